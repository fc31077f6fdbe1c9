// HTTP frontend for clients: reads requests, checks them against the current configuration, turns
// them into calls or into requests to the batch job service, and streams the responses back.
//
// Invalid requests are never forwarded. Limits: the configuration's `limits` for what a client may
// send, Server::MostClients connections, and a quarter of the memory for bodies; beyond that,
// bodies larger than kHeldBody are refused with 503.
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
    BatchJobService* batch = nullptr;  // Null: requests about batch jobs get 503.
    // Called when an endpoint has started to execute a request of the tenant. May be empty.
    std::function<void(const std::string& tenant)> count_usage;
  };

  // `grace`: time for a drain. `memory`: memory limit of the process in bytes.
  HttpFrontend(net::Loop& loop, kelpspring::Log& log, net::ListenerPtr listener,
               kelpspring::SocketBudget& budget, const kelpspring::Drain& drain, Wiring wiring,
               std::chrono::milliseconds grace, std::uint64_t memory);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // Applies to the requests after this call.
  void SetConfiguration(std::shared_ptr<const configuration::Configuration> configuration);
  // Starts the shutdown; the drain must have been set to leave before. Each response now closes its
  // connection, new connections are accepted for a limited time, and `done` is called when no
  // connection is left.
  void Shutdown(std::function<void()> done) { server_.Leave(false, std::move(done)); }

  net::Address address() const { return server_.address(); }
  std::size_t clients() const { return server_.clients(); }
  const std::map<unsigned, std::uint64_t>& rejected() const { return server_.rejected(); }

 private:
  class Exchange;
  using ClientPtr = std::shared_ptr<kelpspring::Client>;

  // `began`: arrival of the request's first byte.
  void OnRequest(const ClientPtr& client, kelpspring::HttpRequest request, net::Time began);
  // Time within which a request with this head must be received; none: no limit from its route.
  std::optional<std::chrono::milliseconds> MaxArrivalTime(
      const boost::beast::http::request_header<boost::beast::http::fields>& head) const;
  void StartCall(const ClientPtr& client, kelpspring::HttpRequest request,
                 const configuration::Route& route, const configuration::Tenant* tenant,
                 net::Time began);
  // The batch route whose host serves a path under which jobs are read or ended; null: none.
  const configuration::Route* BatchRouteOf(std::string_view host, std::string_view path) const;
  void RemoveExchange(Exchange* exchange);

  net::Loop& loop_;
  Wiring wiring_;
  std::chrono::milliseconds grace_;
  std::uint64_t max_body_bytes_;       // Limit for the bodies in memory, in bytes.
  std::uint64_t call_body_bytes_ = 0;  // Body bytes of requests whose calls are in progress.
  std::shared_ptr<const configuration::Configuration> configuration_;
  PriorityLevels levels_;
  std::unordered_map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  kelpspring::Server server_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_HTTP_FRONTEND_H_
