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

// The platform needs two missed checks, a second apart, to send no more new connections.
constexpr auto kPlatformNotices = milliseconds(2500);
// Clients keep within the limits by their own clocks; what the way takes comes on top.
constexpr auto kWaySlack = milliseconds(500);
constexpr std::size_t kLargestHead = 65536;
// What is configured beyond that is no limit to any client.
constexpr std::size_t kLargestHeaderLimit = std::size_t{1} << 30;
constexpr double kNotReadyRetryAfter = 0.25;
constexpr double kNoRoomRetryAfter = 0.5;

kelpspring::ServerTerms TermsOf(const configuration::ClientLimits& limits, milliseconds grace) {
  kelpspring::ServerTerms terms;
  terms.health_path.clear();
  terms.header_limit =
      static_cast<std::uint32_t>(std::min(limits.max_header_bytes, kLargestHeaderLimit));
  terms.body_limit = limits.max_body_bytes;
  terms.first_span.reset();
  terms.request_span = limits.header_timeout + kWaySlack;
  terms.rest_span = limits.idle_timeout;
  terms.drain_window = std::min(kPlatformNotices, grace / 3);
  terms.leave_half_read = grace / 2;
  terms.folded_headers = false;
  terms.break_by_reset = false;
  return terms;
}

HttpResponse Refusal(std::optional<double> retry_after) {
  HttpResponse response = kelpspring::PlainText(http::status::service_unavailable,
                                                "has not run and will not: try again\n");
  if (retry_after) {
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", *retry_after);
    response.set(kRetryAfterHeader, std::string(text.data(), static_cast<std::size_t>(length)));
  }
  return response;
}

HttpResponse HeadOf(int status, const HeaderList& headers) {
  HttpResponse head{http::int_to_status(static_cast<unsigned>(status)), 11};
  if (head.result() == http::status::unknown) head.result(static_cast<unsigned>(status));
  for (const auto& [name, value] : headers) head.insert(name, value);
  return head;
}

}  // namespace

// Until a configuration tells the limits, nothing is turned away for its size: all of it gets 503.
configuration::ClientLimits LimitsBeforeConfiguration() {
  configuration::ClientLimits limits;
  limits.max_header_bytes = kLargestHead;
  limits.max_body_bytes = kelpspring::kLargestBody;
  return limits;
}

// What the client will still wait. A fraction of a millisecond does not count.
std::optional<milliseconds> ClientWait(const HttpRequest& request) {
  constexpr std::uint64_t kLongest = 86'400'000;
  const std::string_view text = View(request[kDeadlineHeader]);
  const auto wait = WholeNumber(text.substr(0, text.find('.')));
  if (!wait) return std::nullopt;
  return milliseconds(std::min(*wait, kLongest));
}

// One request of a client, from its call to the end of its answer.
class HttpFrontend::Exchange final : public CallUser {
 public:
  Exchange(HttpFrontend& front, ClientPtr client, std::string tenant, net::Time due,
           std::uint64_t body)
      : front_(front),
        client_(std::move(client)),
        tenant_(std::move(tenant)),
        due_(due),
        body_(body) {
    front_.called_bodies_ += body_;
  }
  ~Exchange() { front_.called_bodies_ -= body_; }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // False: its client has gone meanwhile.
  bool Start(CallRequest request) {
    client_->OnGone([this] { Gone(); });
    started_ = false;
    call_ = front_.wiring_.calls.Start(std::move(request), *this);
    started_ = true;
    if (gone_) front_.wiring_.calls.Cancel(call_);
    return !gone_;
  }

 private:
  void Gone() {
    gone_ = true;
    if (!started_) return;
    front_.wiring_.calls.Cancel(call_);
    front_.Ended(this);
  }

  // Nothing is sent for a client that has left, also if this process stood still meanwhile and its
  // end has not been read. Finding that out ends this exchange.
  bool MaySend() override {
    const ClientPtr client = client_;
    return !client->HasLeft();
  }

  void OnHead(int status, const HeaderList& headers, std::optional<std::uint64_t> length) override {
    client_->Begin(HeadOf(status, headers), length, [this] { front_.wiring_.calls.Resume(call_); });
  }

  bool OnBody(std::string_view bytes) override {
    if (!std::exchange(counted_, true)) CountUse();
    const ClientPtr client = client_;  // Its end would end this.
    return client->Part(bytes);
  }

  bool WantsEvents() const override { return false; }

  void OnEnd(const CallSummary& summary) override {
    const ClientPtr client = client_;
    const net::Time due = due_;
    HttpFrontend& front = front_;
    front.Ended(this);
    switch (summary.end) {
      case CallEnd::kComplete:
        return client->EndBody();
      case CallEnd::kBroken:
        return client->Break();
      case CallEnd::kRefused:
        return client->Respond(Refusal(summary.retry_after_s));
      case CallEnd::kFailed:
        break;
    }
    const bool late = front.loop_.Now() >= due;
    client->RespondPlain(late ? 504 : 502, late ? "no answer in time\n" : "no usable answer\n");
  }

  void CountUse() {
    if (!tenant_.empty() && front_.wiring_.count_use) front_.wiring_.count_use(tenant_);
  }

  HttpFrontend& front_;
  ClientPtr client_;
  std::string tenant_;
  net::Time due_;
  std::uint64_t body_;  // Its bytes.
  policy::CallId call_ = 0;
  bool counted_ = false;
  bool started_ = false;
  bool gone_ = false;
};

HttpFrontend::HttpFrontend(net::Loop& loop, kelpspring::Log& log, net::ListenerPtr listener,
                           kelpspring::SocketBudget& budget, const kelpspring::Drain& drain,
                           Wiring wiring, milliseconds grace, std::uint64_t memory)
    : loop_(loop),
      wiring_(std::move(wiring)),
      grace_(grace),
      most_bodies_(memory / 4),
      server_(
          loop, log, std::move(listener), budget, drain, [] { return true; },
          // A body is taken whole, up to the limit, before anything is decided; one that would not
          // fit into memory comes as a part and is refused.
          [this] {
            const bool room = server_.body_bytes() + called_bodies_ < most_bodies_;
            return room ? UINT64_MAX : kelpspring::kHeldBody;
          },
          [this](const ClientPtr& client, HttpRequest request, kelpspring::Arrival arrival) {
            if (!arrival.whole) return client->Respond(Refusal(kNoRoomRetryAfter));
            OnRequest(client, std::move(request), arrival.began);
          },
          TermsOf(LimitsBeforeConfiguration(), grace)) {
  server_.Open();
}

HttpFrontend::~HttpFrontend() = default;

void HttpFrontend::SetConfiguration(std::shared_ptr<const Configuration> configuration) {
  configuration_ = std::move(configuration);
  if (!configuration_) return;
  levels_ = PriorityLevels(*configuration_);
  kelpspring::ServerTerms terms = TermsOf(configuration_->limits, grace_);
  terms.longest_arrival = [this](const auto& head) { return LongestArrival(head); };
  server_.SetTerms(std::move(terms));
}

// A request whose body is still coming when its route's time is over is answered then.
std::optional<milliseconds> HttpFrontend::LongestArrival(
    const http::request_header<http::fields>& head) const {
  const kelpspring::Target target = kelpspring::Split(View(head.target()));
  const std::string_view host =
      target.authority.empty() ? View(head[http::field::host]) : target.authority;
  const Route* route = configuration_->FindRoute(host, kelpspring::PathOf(target.origin));
  if (route == nullptr || route->kind == RouteKind::kBatch) return std::nullopt;
  return route->timeout;
}

// The exchange exists no more after this.
void HttpFrontend::Ended(Exchange* exchange) { exchanges_.erase(exchange); }

// Jobs are read and ended by paths of their own, under the host of a batch route.
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
  if (!configuration_) return client->Respond(Refusal(kNotReadyRetryAfter));
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
  if (wiring_.batch == nullptr) return client->Respond(Refusal(kNotReadyRetryAfter));
  const BatchCaller caller{configuration_, route, tenant == nullptr ? "" : tenant->name,
                           loop_.Now()};
  AnswerBatchRequest(client, std::move(request), caller, *wiring_.batch);
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
  const bool ranked = tenant != nullptr && tenant->priority;
  call.level = levels_.Of(ranked ? *tenant->priority : route.priority);
  call.resumable = route.kind == RouteKind::kStreaming && route.resumable;
  // All spans count from the request's first byte: its body may have come slowly.
  call.began = began;
  net::Time due = began + route.timeout;
  if (const auto wait = ClientWait(request)) {
    call.due = began + *wait;
    due = std::min(due, *call.due);
  }
  if (call.resumable) {
    call.last_event_id = WholeNumber(View(request[kLastEventIdHeader]));
  }
  auto exchange = std::make_unique<Exchange>(*this, client, call.tenant, due, call.body.size());
  Exchange& started = *exchange;
  exchanges_.emplace(&started, std::move(exchange));
  if (!started.Start(std::move(call))) Ended(&started);
}

}  // namespace shelflink::proxy
