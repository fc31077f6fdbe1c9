#include "tier/proxy/http_frontend.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "tier/proxy/batch_requests.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/headers.h"

namespace shelflink::proxy {

using configuration::Configuration;
using configuration::Route;
using configuration::RouteKind;
using configuration::Tenant;
using kelpspring::HttpRequest;
using kelpspring::HttpResponse;
using kelpspring::View;
using std::chrono::milliseconds;

namespace {

namespace http = boost::beast::http;

// The platform stops sending new connections after two failed checks, one second apart.
constexpr auto kPlatformDetectionTime = milliseconds(2500);
// Added to the limits, which clients measure by their own clocks, for the network latency.
constexpr auto kNetworkSlack = milliseconds(500);
constexpr std::size_t kInitialMaxHeaderBytes = 65536;
// A larger configured limit is reduced to this, which no client reaches.
constexpr std::size_t kMaxHeaderLimitBytes = std::size_t{1} << 30;
constexpr double kNotReadyRetryAfterS = 0.25;
constexpr double kNoMemoryRetryAfterS = 0.5;

kelpspring::ServerTerms TermsOf(const configuration::ClientLimits& limits, milliseconds grace) {
  kelpspring::ServerTerms terms;
  terms.health_path.clear();
  terms.header_limit =
      static_cast<std::uint32_t>(std::min(limits.max_header_bytes, kMaxHeaderLimitBytes));
  terms.body_limit = limits.max_body_bytes;
  terms.first_span.reset();
  terms.request_span = limits.header_timeout + kNetworkSlack;
  terms.rest_span = limits.idle_timeout;
  terms.drain_window = std::min(kPlatformDetectionTime, grace / 3);
  terms.leave_half_read = grace / 2;
  terms.folded_headers = false;
  terms.break_by_reset = false;
  return terms;
}

HttpResponse UnavailableResponse(std::optional<double> retry_after) {
  HttpResponse response = kelpspring::PlainText(http::status::service_unavailable,
                                                "has not run and will not: try again\n");
  if (retry_after) {
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", *retry_after);
    response.set(kRetryAfterHeader, std::string(text.data(), static_cast<std::size_t>(length)));
  }
  return response;
}

HttpResponse ResponseHeadOf(int status, const HeaderList& headers) {
  HttpResponse head{http::int_to_status(static_cast<unsigned>(status)), 11};
  if (head.result() == http::status::unknown) head.result(static_cast<unsigned>(status));
  for (const auto& [name, value] : headers) head.insert(name, value);
  return head;
}

}  // namespace

// Limits before the first configuration: no request is rejected for its size, all of them get 503.
configuration::ClientLimits InitialLimits() {
  configuration::ClientLimits limits;
  limits.max_header_bytes = kInitialMaxHeaderBytes;
  limits.max_body_bytes = kelpspring::kLargestBody;
  return limits;
}

// How long the client will wait, from its deadline header. A fraction of a millisecond is ignored.
std::optional<milliseconds> ClientTimeout(const HttpRequest& request) {
  constexpr std::uint64_t kMaxMs = 86'400'000;
  const std::string_view text = View(request[kDeadlineHeader]);
  const auto wait = ParseUnsigned(text.substr(0, text.find('.')));
  if (!wait) return std::nullopt;
  return milliseconds(std::min(*wait, kMaxMs));
}

// One request of a client, from the start of its call to the end of the response.
class HttpFrontend::Exchange final : public CallUser {
 public:
  Exchange(HttpFrontend& frontend, ClientPtr client, std::string tenant, net::Time deadline,
           std::uint64_t body)
      : frontend_(frontend),
        client_(std::move(client)),
        tenant_(std::move(tenant)),
        deadline_(deadline),
        body_size_(body) {
    frontend_.call_body_bytes_ += body_size_;
  }
  ~Exchange() { frontend_.call_body_bytes_ -= body_size_; }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Starts the call. Returns false if the client has disconnected meanwhile.
  bool Start(CallRequest request) {
    client_->OnGone([this] { OnClientGone(); });
    started_ = false;
    call_ = frontend_.wiring_.calls.Start(std::move(request), *this);
    started_ = true;
    if (client_gone_) frontend_.wiring_.calls.Cancel(call_);
    return !client_gone_;
  }

 private:
  void OnClientGone() {
    client_gone_ = true;
    if (!started_) return;
    frontend_.wiring_.calls.Cancel(call_);
    frontend_.RemoveExchange(this);
  }

  // Returns false if the client has disconnected, even if the process was suspended and has not
  // read the close of the connection yet. Detecting the close destroys this exchange.
  bool MaySend() override {
    const ClientPtr client = client_;
    return !client->HasLeft();
  }

  void OnHead(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override {
    client_->Begin(ResponseHeadOf(status, headers), length,
                   [this] { frontend_.wiring_.calls.Resume(call_); });
  }

  bool OnBody(std::string_view bytes) override {
    if (!std::exchange(usage_counted_, true)) CountUsage();
    const ClientPtr client = client_;  // This exchange may be destroyed during Part.
    return client->Part(bytes);
  }

  bool WantsEvents() const override { return false; }

  void OnEnd(const CallSummary& summary) override {
    const ClientPtr client = client_;
    const net::Time deadline = deadline_;
    HttpFrontend& frontend = frontend_;
    frontend.RemoveExchange(this);
    switch (summary.end) {
      case CallEnd::kComplete:
        return client->EndBody();
      case CallEnd::kBroken:
        return client->Break();
      case CallEnd::kRefused:
        return client->Respond(UnavailableResponse(summary.retry_after_s));
      case CallEnd::kFailed:
        break;
    }
    const bool timed_out = frontend.loop_.Now() >= deadline;
    client->RespondPlain(timed_out ? 504 : 502,
                         timed_out ? "no answer in time\n" : "no usable answer\n");
  }

  void CountUsage() {
    if (!tenant_.empty() && frontend_.wiring_.count_usage) frontend_.wiring_.count_usage(tenant_);
  }

  HttpFrontend& frontend_;
  ClientPtr client_;
  std::string tenant_;
  net::Time deadline_;
  std::uint64_t body_size_;  // Bytes of the request's body.
  policy::CallId call_ = 0;
  bool usage_counted_ = false;
  bool started_ = false;
  bool client_gone_ = false;
};

HttpFrontend::HttpFrontend(net::Loop& loop, kelpspring::Log& log, net::ListenerPtr listener,
                           kelpspring::SocketBudget& budget, const kelpspring::Drain& drain,
                           Wiring wiring, milliseconds grace, std::uint64_t memory)
    : loop_(loop),
      wiring_(std::move(wiring)),
      grace_(grace),
      max_body_bytes_(memory / 4),
      server_(
          loop, log, std::move(listener), budget, drain, [] { return true; },
          // A body is read completely, up to the limit, before the request is handled. A body that
          // does not fit into memory is passed on incomplete and refused.
          [this] {
            const bool fits = server_.body_bytes() + call_body_bytes_ < max_body_bytes_;
            return fits ? UINT64_MAX : kelpspring::kHeldBody;
          },
          [this](const ClientPtr& client, HttpRequest request, kelpspring::Arrival arrival) {
            if (!arrival.whole) return client->Respond(UnavailableResponse(kNoMemoryRetryAfterS));
            OnRequest(client, std::move(request), arrival.began);
          },
          TermsOf(InitialLimits(), grace)) {
  server_.Open();
}

HttpFrontend::~HttpFrontend() = default;

void HttpFrontend::SetConfiguration(std::shared_ptr<const Configuration> configuration) {
  configuration_ = std::move(configuration);
  if (!configuration_) return;
  levels_ = PriorityLevels(*configuration_);
  kelpspring::ServerTerms terms = TermsOf(configuration_->limits, grace_);
  terms.longest_arrival = [this](const auto& head) { return MaxArrivalTime(head); };
  server_.SetTerms(std::move(terms));
}

// A request whose body is still being received when its route's timeout expires gets its response
// then.
std::optional<milliseconds> HttpFrontend::MaxArrivalTime(
    const http::request_header<http::fields>& head) const {
  const kelpspring::Target target = kelpspring::Split(View(head.target()));
  const std::string_view host =
      target.authority.empty() ? View(head[http::field::host]) : target.authority;
  const Route* route = configuration_->FindRoute(host, kelpspring::PathOf(target.origin));
  if (route == nullptr || route->kind == RouteKind::kBatch) return std::nullopt;
  return route->timeout;
}

// Destroys the exchange.
void HttpFrontend::RemoveExchange(Exchange* exchange) { exchanges_.erase(exchange); }

// Jobs are read and ended under their own paths on the host of a batch route.
const Route* HttpFrontend::BatchRouteOf(std::string_view host, std::string_view path) const {
  if (!IsBatchJobPath(path)) return nullptr;
  for (const Route& route : configuration_->routes) {
    if (route.kind == RouteKind::kBatch &&
        configuration_->FindRoute(host, route.path_prefix) == &route) {
      return &route;
    }
  }
  return nullptr;
}

void HttpFrontend::OnRequest(const ClientPtr& client, HttpRequest request, net::Time began) {
  if (!configuration_) return client->Respond(UnavailableResponse(kNotReadyRetryAfterS));
  const kelpspring::Target target = kelpspring::Split(View(request.target()));
  const std::string_view path = kelpspring::PathOf(target.origin);
  if (request.count(http::field::host) != 1 || path.empty() || path.front() != '/') {
    return client->Reject(400, "expected one Host and an absolute path\n");
  }
  const std::string_view host =
      target.authority.empty() ? View(request[http::field::host]) : target.authority;
  const Route* route = configuration_->FindRoute(host, path);
  if (route == nullptr) route = BatchRouteOf(host, path);
  if (route == nullptr) return client->RespondPlain(404, "no route\n");
  const Tenant* tenant = nullptr;
  if (configuration_->has_tenants && !route->is_public) {
    if (request.count(kCredentialHeader) == 1) {
      tenant = configuration_->TenantOfKey(View(request[kCredentialHeader]));
    }
    if (tenant == nullptr) return client->RespondPlain(401, "unknown key\n");
  }
  if (route->kind != RouteKind::kBatch) {
    return StartCall(client, std::move(request), *route, tenant, began);
  }
  if (wiring_.batch == nullptr) return client->Respond(UnavailableResponse(kNotReadyRetryAfterS));
  const BatchCaller caller{configuration_, route, tenant == nullptr ? "" : tenant->name,
                           loop_.Now()};
  HandleBatchRequest(client, std::move(request), caller, *wiring_.batch);
}

void HttpFrontend::StartCall(const ClientPtr& client, HttpRequest request, const Route& route,
                             const Tenant* tenant, net::Time began) {
  if (request.count(kRequestIdHeader) != 1 || request[kRequestIdHeader].empty()) {
    return client->RespondPlain(400, "Shelflink-Request-Id: expected once\n");
  }
  CallRequest call;
  call.request_id = std::string(View(request[kRequestIdHeader]));
  call.method = std::string(View(request.method_string()));
  call.target = std::string(kelpspring::Split(View(request.target())).origin);
  // A target in absolute form names the host itself (RFC 9112, 3.2.2).
  const std::string_view authority = kelpspring::Split(View(request.target())).authority;
  if (!authority.empty()) request.set(http::field::host, std::string(authority));
  call.headers = RequestHeaders(request);
  call.body = std::move(request.body());
  call.configuration = configuration_;
  call.route = &route;
  if (tenant != nullptr) call.tenant = tenant->name;
  const bool has_tenant_priority = tenant != nullptr && tenant->priority;
  call.level = levels_.LevelOf(has_tenant_priority ? *tenant->priority : route.priority);
  call.resumable = route.kind == RouteKind::kStreaming && route.resumable;
  // All times count from the request's first byte: its body may have been received slowly.
  call.timeout_start = began;
  net::Time deadline = began + route.timeout;
  if (const auto wait = ClientTimeout(request)) {
    call.deadline = began + *wait;
    deadline = std::min(deadline, *call.deadline);
  }
  if (call.resumable) {
    call.last_event_id = ParseUnsigned(View(request[kLastEventIdHeader]));
  }
  auto exchange =
      std::make_unique<Exchange>(*this, client, call.tenant, deadline, call.body.size());
  Exchange& added = *exchange;
  exchanges_.emplace(&added, std::move(exchange));
  if (!added.Start(std::move(call))) RemoveExchange(&added);
}

}  // namespace shelflink::proxy
