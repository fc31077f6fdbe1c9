// The operator's HTTP interface on a core process: PUT, PATCH and GET /config, POST and GET
// /retire/NODE, 307 where an order that was refused before has to be confirmed, and GET /metrics
// and /status where there are any. Checks the form of requests and turns answers into status codes;
// knows nothing of configurations themselves.
//
// Limits: kMostOrders under way and kMostBytesHeld of bodies, beyond which 503 with Retry-After;
// kMostConnections open; a body of kBodyLimit, beyond which 413; slow senders are closed after the
// configured times.
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

constexpr std::size_t kMostOrders = 16;  // The operator has eight under way at most.
constexpr std::size_t kMostConnections = 256;
constexpr std::size_t kMostBytesHeld = 40U << 20;  // Of all bodies; beyond it 503 with Retry-After.
// The same at every process, whatever configuration it has: a refusal must not depend on state that
// may be old.
constexpr std::size_t kBodyLimit = 16U << 20;

class Server {
 public:
  struct Counters {
    std::map<int, std::uint64_t> answers;  // By status code; those with figures are not counted.
    std::uint64_t refused_connections = 0;
    std::uint64_t slow_connections = 0;
  };

  // Listens there, on the thread's default GLib context. Throws net::Error where it is taken.
  Server(net::Loop& loop, Forwarder& forwarder, const net::Address& listen);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Of the newest configuration here: how long connections may be slow or idle.
  void SetLimits(const configuration::ClientLimits& limits);
  // Serves GET /metrics with that text, at once and whatever orders are under way.
  void SetMetrics(std::function<std::string()> text);
  // Serves GET /status with that JSON on the same terms.
  void SetStatus(std::function<std::string()> json);
  // Takes no more connections; orders under way are answered.
  void StopListening();
  net::Address address() const;
  const Counters& counters() const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_SERVER_H_
