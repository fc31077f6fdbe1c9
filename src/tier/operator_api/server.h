// The operator's HTTP interface on a core process: PUT, PATCH and GET /config, POST and GET
// /retire/NODE, and GET /metrics and /status if they are set. It checks the form of requests and
// converts answers to status codes; the contents of configurations are opaque to it. An order that
// was refused before and has to be confirmed is answered 307.
//
// Limits: kMostOrders executed at once and kMostBytesHeld of bodies in memory, beyond which the
// answer is 503 with Retry-After; kMostConnections open connections; kBodyLimit bytes in a body,
// beyond which the answer is 413. Connections of slow senders are closed after the configured
// times.
#ifndef SHELFLINK_TIER_OPERATOR_API_SERVER_H_
#define SHELFLINK_TIER_OPERATOR_API_SERVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/address.h"
#include "net/loop.h"
#include "tier/configuration/model.h"
#include "tier/operator_api/forwarder.h"

namespace shelflink::operator_api {

constexpr std::size_t kMostOrders = 16;  // An operator sends at most eight at once.
constexpr std::size_t kMostConnections = 256;
constexpr std::size_t kMostBytesHeld = 40U << 20;  // Sum over all bodies.
// The same at every process and under every configuration: a refusal must not depend on state that
// may be outdated.
constexpr std::size_t kBodyLimit = 16U << 20;

class Server {
 public:
  struct Counters {
    std::map<int, std::uint64_t> answers;  // By status code, without metrics and status.
    std::uint64_t refused_connections = 0;
    std::uint64_t slow_connections = 0;
  };

  // Listens at `listen` on the thread's default GLib context. Throws net::Error if the address is
  // in use.
  Server(net::Loop& loop, Forwarder& forwarder, const net::Address& listen);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Sets how long connections may be slow or idle, from the newest configuration here.
  void SetLimits(const configuration::ClientLimits& limits);
  // Serves GET /metrics with the result of `text`, independently of the limit on orders.
  void SetMetrics(std::function<std::string()> text);
  // Serves GET /status with the result of `json` in the same way.
  void SetStatus(std::function<std::string()> json);
  // Stops accepting connections. Orders that are being executed are still answered.
  void StopListening();
  net::Address address() const;
  const Counters& counters() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_SERVER_H_
