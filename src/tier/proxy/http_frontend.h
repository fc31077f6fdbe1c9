// Where clients come in: requests are read, checked against the configuration in force and made
// into calls or into questions to the batch part; their answers go back as they come.
//
// Nothing that cannot be used is passed on. Limits: the configuration's `limits` for what a client
// may send, Server::MostClients connections, and a quarter of the memory for bodies: beyond that
// bodies over kHeldBody are refused with 503.
#ifndef SHELFLINK_TIER_PROXY_HTTP_FRONTEND_H_
#define SHELFLINK_TIER_PROXY_HTTP_FRONTEND_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/loop.h"
#include "sidecar/drain.h"
#include "sidecar/log.h"
#include "sidecar/server.h"
#include "tier/proxy/batch_job_service.h"
#include "tier/proxy/calls.h"
#include "tier/proxy/priority_levels.h"

namespace shelflink::proxy {

class HttpFrontend {
 public:
  struct Wiring {
    Calls& calls;
    BatchJobService* batch = nullptr;  // Null: batch jobs are answered with 503.
    // An endpoint has begun to run a request of that tenant. May be empty.
    std::function<void(const std::string& tenant)> count_use;
  };

  HttpFrontend(net::Loop& loop, kelpspring::Log& log, net::ListenerPtr listener,
               kelpspring::SocketBudget& budget, const kelpspring::Drain& drain, Wiring wiring,
               std::chrono::milliseconds grace, std::uint64_t memory);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // In force from the next request on.
  void SetConfiguration(std::shared_ptr<const configuration::Configuration> configuration);
  // After the drain has begun to leave: answers end their connections, new connections are taken in
  // for a while, and `done` is called when nothing is held any more.
  void Leave(std::function<void()> done) { server_.Leave(false, std::move(done)); }

  net::Address address() const { return server_.address(); }
  std::size_t clients() const { return server_.clients(); }
  const std::map<unsigned, std::uint64_t>& rejected() const { return server_.rejected(); }

 private:
  class Exchange;
  using ClientPtr = std::shared_ptr<kelpspring::Client>;

  // `began`: when the request's first byte came.
  void OnRequest(const ClientPtr& client, kelpspring::HttpRequest request, net::Time began);
  std::optional<std::chrono::milliseconds> LongestArrival(
      const boost::beast::http::request_header<boost::beast::http::fields>& head) const;
  void StartCall(const ClientPtr& client, kelpspring::HttpRequest request,
                 const configuration::Route& route, const configuration::Tenant* tenant,
                 net::Time began);
  const configuration::Route* BatchRouteOf(std::string_view host, std::string_view path) const;
  void Ended(Exchange* exchange);

  net::Loop& loop_;
  Wiring wiring_;
  std::chrono::milliseconds grace_;
  std::uint64_t most_bodies_;        // Bytes of bodies held in all.
  std::uint64_t called_bodies_ = 0;  // Of requests whose calls are under way.
  std::shared_ptr<const configuration::Configuration> configuration_;
  PriorityLevels levels_;
  std::unordered_map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  kelpspring::Server server_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_HTTP_FRONTEND_H_
