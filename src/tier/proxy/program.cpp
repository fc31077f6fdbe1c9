#include "tier/proxy/program.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "mix.h"
#include "sidecar/drain.h"
#include "sidecar/log.h"
#include "sidecar/server.h"
#include "tier/batch/front.h"
#include "tier/batch/runner.h"
#include "tier/cluster/agent.h"
#include "tier/foundation/log.h"
#include "tier/proxy/endpoint_calls.h"
#include "tier/proxy/http_frontend.h"
#include "tier/proxy/list_fallback.h"
#include "tier/proxy/metrics.h"
#include "tier/proxy/metrics_answer.h"
#include "tier/proxy/readiness.h"
#include "tier/proxy/ready_text.h"
#include "tier/transport/hub.h"

namespace shelflink::proxy {
namespace {

// Descriptors that are not available for connections to clients and endpoints.
constexpr std::size_t kFileDescriptorReserve = 200;
// For the hub, the event loop and the ready listener.
constexpr std::size_t kInternalDescriptorReserve = 200;
constexpr std::size_t kMinClientSockets = 64;
constexpr std::size_t kMaxReadyConnections = 32;
constexpr std::string_view kReadyPath = "/ready";
constexpr unsigned kReadyStatus = 200;
constexpr unsigned kNotReadyStatus = 503;
// How long a proxy that shuts down waits until the core has released its lease; after that, the
// lease expires by itself.
constexpr auto kLeaseReleaseTimeout = std::chrono::milliseconds(300);

std::size_t MaxSockets(const ProcessSettings& settings) {
  constexpr std::size_t kReserved = kFileDescriptorReserve + kInternalDescriptorReserve;
  const std::size_t max_fds = settings.limits.max_fds;
  return std::max(kMinClientSockets, max_fds > kReserved ? max_fds - kReserved : max_fds / 2);
}

net::Address RequireAddress(const std::optional<net::Address>& address, const char* key) {
  if (!address) throw net::Error(net::Fault::kOther, std::string(key) + ": expected an address");
  return *address;
}

std::uint64_t SeedOf(const net::Loop& loop, const ProcessSettings& settings) {
  std::uint64_t seed = static_cast<std::uint64_t>(loop.WallMicros());
  for (const char c : settings.node) seed = gaugecart::Mix(seed ^ static_cast<unsigned char>(c));
  return seed;
}

transport::PeerIdentity IdentityOf(const ProcessSettings& settings, std::uint64_t seed) {
  return {settings.node, "proxy", settings.zone, InternalAddress(settings, ProcessKind::kProxy),
          gaugecart::Mix(seed)};
}

kelpspring::ServerTerms ReadyTerms() {
  kelpspring::ServerTerms terms;
  terms.health_path = "";  // AnswerReadyListener serves /ready, with the reasons.
  return terms;
}

}  // namespace

struct Program::Impl {
  Impl(net::Loop& the_loop, const ProcessSettings& the_settings, PlatformFactory make_platform)
      : loop(the_loop),
        settings(the_settings),
        seed(SeedOf(loop, settings)),
        log(loop, [](std::string_view line) { log::Info("proxy", std::string(line)); }),
        budget{MaxSockets(settings), 0, nullptr, nullptr},
        ready_budget{kMaxReadyConnections, 0, [] { return false; }, nullptr},
        hub(loop, IdentityOf(settings, seed), {}),
        agent(loop, hub, settings,
              {[this] { OnConfiguration(); }, [this] { OnCoreList(); }, [this] { OnPlacement(); },
               [this] { OnView(); }, [this](bool) { ReportReady(); }}),
        fallback(loop, hub, agent, settings, std::move(make_platform), [this] { OnView(); }),
        calls(loop, log, budget,
              {settings.node, settings.zone, seed,
               kelpspring::Server::MostClients(budget.limit) / 8 * 7,
               [this] { return fallback.State(); }}),
        batch_front(loop, hub, View(), settings.bounds),
        runner(loop, hub, calls, View(), settings.bounds),
        front(loop, log, loop.Listen(RequireAddress(settings.listen_front, "listen.front")), budget,
              drain,
              {calls, &batch_front, [this](const std::string& tenant) { agent.CountUse(tenant); }},
              settings.bounds.grace, settings.limits.memory_mb << 20),
        ready_server(
            loop, log, loop.Listen(RequireAddress(settings.listen_ready, "listen.ready")),
            ready_budget, drain, [this] { return Ready(); }, [] { return std::uint64_t{0}; },
            [this](const std::shared_ptr<kelpspring::Client>& client,
                   const kelpspring::HttpRequest& request,
                   kelpspring::Arrival) { AnswerReadyListener(*client, request); },
            ReadyTerms()),
        load_timer(loop.NewTimer([this] { ReportLoads(); })),
        leave_timer(loop.NewTimer([this] { FinishLeaving(); })) {
    ready_server.Open();
    ReportLoads();
  }

  batch::ViewSource View() {
    return [this]() -> const cluster::View& { return agent.view(); };
  }

  // Handles every request to the ready listener.
  void AnswerReadyListener(kelpspring::Client& client,
                           const kelpspring::HttpRequest& request) const {
    if (kelpspring::PathOf(kelpspring::View(request.target())) == kReadyPath) {
      client.RespondPlain(Ready() ? kReadyStatus : kNotReadyStatus, ReadyBody());
    } else {
      AnswerMetrics(client, request, [this] { return Metrics(); });
    }
  }

  bool Ready() const { return ReadinessNow().IsReady(loop.Now()); }

  std::string ReadyBody() const {
    const net::Time now = loop.Now();
    ListCondition list;
    list.state = fallback.State();
    list.max_age = settings.bounds.drain;
    const net::Time read_at = EndpointsReadAt();
    if (read_at != net::Time()) list.age = now - read_at;
    return ReadyText(ReadinessNow(), list, agent.refusing_cores(), now);
  }

  Readiness ReadinessNow() const {
    Readiness readiness;
    readiness.shutting_down = !drain.serving();
    readiness.has_configuration = agent.view().configuration != nullptr;
    readiness.has_endpoints = agent.view().endpoints != nullptr && AllowsRequests(fallback.State());
    readiness.had_lease = agent.lease_until() > net::Time();
    readiness.lease_until = agent.lease_until();
    readiness.contact_slack = settings.bounds.contact;
    return readiness;
  }

  // When the reading of the platform's list began that the list in use stands for; net::Time() if
  // unknown.
  net::Time EndpointsReadAt() const { return fallback.read_at(); }

  std::string Metrics() const { return MetricsOf(Figures(), ProcessInvariants()); }

  ProxyFigures Figures() const {
    const net::Time now = loop.Now();
    ProxyFigures figures;
    figures.process = {settings.node, "proxy", now - started_at};
    figures.ready = Ready();
    figures.in_touch = agent.in_touch();
    figures.lease_remaining = std::max(agent.lease_until() - now, net::Span::zero());
    figures.drain_bound = settings.bounds.drain;
    AddViewFigures(figures, now);
    figures.calls = calls.active_calls();
    figures.endpoint_connections = calls.dials();
    figures.batch = calls.batch();
    figures.batch_room = calls.BatchCapacity();
    figures.batch_runs = BatchRuns();
    return figures;
  }

  BatchRunFigures BatchRuns() const {
    const batch::Runner::Counters& counters = runner.counters();
    return {.held = runner.runs(),
            .offered = counters.offered,
            .taken = counters.assigned,
            .completed = counters.completed,
            .failed = counters.errors,
            .impossible = counters.impossible,
            .interrupted = counters.interrupted,
            .returned = counters.returned,
            .revoked = counters.revoked,
            .begun = counters.begun,
            .first_event_wait = counters.first_event_wait,
            .reported = counters.reported,
            .report_wait = counters.report_wait};
  }

  void AddViewFigures(ProxyFigures& figures, net::Time now) const {
    const cluster::View& view = agent.view();
    if (view.endpoints) {
      figures.endpoints = cluster::SummaryOf(view.endpoints->version, view.endpoints->entries);
      figures.endpoints_unchanged = now - agent.endpoints_taken_at();
      const net::Time read_at = EndpointsReadAt();
      if (read_at != net::Time()) figures.endpoints_age = now - read_at;
    }
    if (view.configuration) figures.configuration_version = view.configuration->version;
    if (view.placement) figures.placement_version = view.placement->version.count;
  }

  void OnConfiguration() {
    front.SetConfiguration(agent.view().configuration);
    OnView();
    runner.OnConfiguration();
  }
  void OnPlacement() {
    batch_front.OnPlacement();
    runner.OnPlacement();
  }
  void OnCoreList() {
    fallback.OnCoreList();
    OnView();
  }
  // The core's view with the list of endpoints that the fallback has chosen.
  cluster::View EffectiveView() const {
    cluster::View view = agent.view();
    view.endpoints = fallback.list();
    return view;
  }
  void OnView() {
    calls.OnView(EffectiveView());
    ReportReady();
  }
  void ReportReady() { agent.SetReady(Ready()); }

  void ReportLoads() {
    for (const auto& [service, load] : calls.Loads()) {
      agent.SetLoad(service, load.running, load.waiting);
      reported_services[service] = true;
    }
    for (auto& [service, has_load] : reported_services) {
      if (!std::exchange(has_load, false)) agent.SetLoad(service, 0, 0);
    }
    ReportReady();  // No event signals that the age of a list becomes known or exceeds its limit.
    load_timer->ArmAt(loop.Now() + settings.heartbeat);
  }

  void Leave(std::function<void()> when_done) {
    if (!drain.Leave(false)) return;
    done = std::move(when_done);
    ReportReady();
    runner.Drain([this] { OnComponentLeft(); });
    front.Shutdown([this] { OnComponentLeft(); });
  }
  void OnComponentLeft() {
    if (--components_to_leave > 0) return;
    leave_timer->ArmAt(loop.Now() + kLeaseReleaseTimeout);
    agent.Leave([this] { FinishLeaving(); });
  }
  void FinishLeaving() {
    leave_timer->Cancel();
    if (done) std::exchange(done, nullptr)();
  }

  net::Loop& loop;
  ProcessSettings settings;
  std::uint64_t seed;
  net::Time started_at = loop.Now();
  kelpspring::Log log;
  kelpspring::SocketBudget budget;
  kelpspring::SocketBudget ready_budget;
  kelpspring::Drain drain;
  transport::Hub hub;
  cluster::Agent agent;
  ListFallback fallback;
  EndpointCalls calls;
  batch::Front batch_front;
  batch::Runner runner;
  HttpFrontend front;
  kelpspring::Server ready_server;
  net::TimerPtr load_timer;
  net::TimerPtr leave_timer;
  // Services whose load has been reported; the value: since the last ReportLoads began.
  std::map<std::string, bool> reported_services;
  int components_to_leave = 2;  // The runner and the front.
  std::function<void()> done;
};

Program::Program(net::Loop& loop, const ProcessSettings& settings, PlatformFactory make_platform)
    : impl_(std::make_unique<Impl>(loop, settings, std::move(make_platform))) {}
Program::~Program() = default;

void Program::Reload(const ProcessSettings& settings) { impl_->agent.SetSeeds(settings.seeds); }
void Program::Leave(std::function<void()> done) { impl_->Leave(std::move(done)); }
bool Program::ready() const { return impl_->Ready(); }
cluster::View Program::view() const { return impl_->EffectiveView(); }
net::Time Program::endpoints_read_at() const { return impl_->fallback.read_at(); }

}  // namespace shelflink::proxy
