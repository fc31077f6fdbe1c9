#include "tier/cluster/agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/cluster/core_finder.h"
#include "tier/cluster/core_lease.h"
#include "tier/cluster/detours.h"
#include "tier/cluster/endpoint_summary.h"
#include "tier/cluster/heartbeat.h"
#include "tier/cluster/list_reading_time.h"
#include "tier/cluster/true_time.h"
#include "tier/cluster/use_counts.h"
#include "tier/cluster/view_relay.h"
#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kReportTimeout{1000};
constexpr milliseconds kLeaveTimeout{300};
constexpr const char* kModule = "cluster.agent";

}  // namespace

struct Agent::Impl {
  Impl(net::Loop& the_loop, transport::Hub& the_hub, const ProcessSettings& the_settings,
       Changes the_changes)
      : loop(the_loop),
        hub(the_hub),
        settings(the_settings),
        changes(std::move(the_changes)),
        lease(loop, [this](bool in_touch) { OnContact(in_touch); }),
        relay(loop, hub, finder,
              {[this](Part part) { OnTaken(part); }, [this] { heartbeat.RenewSoon(); }}),
        detours(loop, hub, finder, lease, relay,
                {[this] { return MakeRenewal(); },
                 [this](const RenewalExchange& exchange, const RenewalAnswer& answer) {
                   return OnDetourAccepted(exchange, answer);
                 }}),
        heartbeat(loop, hub, finder,
                  {[this] { return MakeRenewal(); },
                   [this](const RenewalExchange& exchange, const RenewalAnswer& answer) {
                     return OnAccepted(exchange, answer);
                   },
                   [this](const net::Address& core, const RenewalAnswer& answer) {
                     NoteDisk(core, answer.disk_refuses);
                   }}) {
    SetSeeds(settings.seeds);
  }

  void SetSeeds(const std::vector<net::Address>& controls) {
    std::vector<net::Address> seeds;
    seeds.reserve(controls.size());
    for (const net::Address& control : controls) {
      seeds.push_back(CoreAddressOf(settings, control));
    }
    finder.SetSeeds(std::move(seeds));
  }

  // --- Renewals ---

  Renewal MakeRenewal() const {
    Renewal renewal;
    renewal.ready = ready;
    renewal.versions = relay.versions();
    renewal.parent = relay.parent();
    renewal.parent_silent = relay.parent_silent();
    renewal.wall_micros = loop.WallMicros();
    renewal.window_open = CurrentWindow();
    renewal.uses = uses.Unacknowledged();
    for (const auto& [service, load] : loads) renewal.loads.push_back(load);
    if (report) renewal.store = report();
    if (figures) renewal.figures = figures();
    return renewal;
  }

  void NoteDisk(const net::Address& core, bool refuses) {
    if (refuses) {
      refusing_cores.insert(core);
    } else {
      refusing_cores.erase(core);
    }
  }

  bool OnAccepted(const RenewalExchange& exchange, const RenewalAnswer& answer) {
    if (answer.epoch < epoch) return false;  // A former primary, however it came to answer.
    epoch = answer.epoch;
    refusing_cores.clear();
    finder.Accepted(exchange.peer);
    finder.Learn(answer.cores);
    TakeCommon(exchange, answer);
    relay.SetPlace(answer.parent, answer.children);
    lease.Extend(exchange.sent + milliseconds(answer.lease_ms));
    heartbeat.RenewAfterInterval(milliseconds(answer.interval_ms));
    relay.Repair(answer.versions);
    ExtendPlacementLease();
    return true;
  }

  bool OnDetourAccepted(const RenewalExchange& exchange, const RenewalAnswer& answer) {
    if (answer.epoch < epoch) return false;
    epoch = answer.epoch;
    TakeCommon(exchange, answer);
    relay.RepairFrom(exchange.peer, answer.versions);
    return true;
  }

  // What an answer brings also over another sidecar.
  void TakeCommon(const RenewalExchange& exchange, const RenewalAnswer& answer) {
    uses.Acknowledge(answer.incarnation, exchange.uses);
    uses.Settle(answer.settled_before);
    true_time.Take(exchange.sent, loop.Now(), answer.true_micros);
    if (answer.endpoints_age) {
      list_reading.OnTold(answer.versions[Part::kEndpoints], exchange.sent - *answer.endpoints_age,
                          relay.versions()[Part::kEndpoints]);
    }
  }

  // --- The lease ---

  void OnContact(bool in_touch) {
    if (in_touch) {
      log::Info(kModule, "in touch with the core; " + EndpointListText());
    } else {
      log::Warning(kModule,
                   "out of touch with the core: the lease has run out; " + EndpointListText());
      detours.Begin();
    }
    if (changes.contact) changes.contact(in_touch);
  }

  void ExtendPlacementLease() {
    if (!relay.IsStale(Part::kPlacement)) lease.ExtendPlacement();
  }

  // --- True time ---

  std::int64_t TrueMicros() const { return true_time.Micros(loop.Now(), loop.WallMicros()); }

  std::uint64_t CurrentWindow() const {
    const std::int64_t now = TrueMicros();
    const std::int64_t span = duration_cast<microseconds>(settings.bounds.usage_window).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(now, 0) /
                                      std::max<std::int64_t>(span, 1));
  }

  // --- Parts of the view ---

  void OnTaken(Part part) {
    if (part == Part::kEndpoints) NoteEndpointList();
    if (part == Part::kMembers) LearnCores();
    if (part == Part::kPlacement) ExtendPlacementLease();
    Tell(part);
  }

  void NoteEndpointList() {
    endpoints_taken_at = loop.Now();
    log::Bounded(log::Level::kInfo, kModule, "endpoints", EndpointListText(),
                 SteadyMicros(loop.Now()));
    list_reading.OnHeld(relay.versions()[Part::kEndpoints]);
  }

  std::string EndpointListText() const {
    const std::shared_ptr<const EndpointList>& list = relay.view().endpoints;
    if (!list) return "endpoint list: none";
    const std::string text = "endpoint list: " + TextOf(SummaryOf(list->version, list->entries));
    if (!list_reading.known()) return text + ", of unknown age";
    const std::int64_t age = (loop.Now() - list_reading.read_at()) / milliseconds(1);
    return text + ", read " + std::to_string(age) + " ms ago";
  }

  void LearnCores() {
    std::vector<net::Address> cores;
    for (const Member& member : relay.view().members->all) {
      if (member.role == "core") cores.push_back(member.address);
    }
    finder.Learn(std::move(cores));
  }

  void Tell(Part part) {
    const std::function<void()>* told = nullptr;
    switch (part) {
      case Part::kConfiguration:
        told = &changes.configuration;
        break;
      case Part::kEndpoints:
        told = &changes.endpoints;
        break;
      case Part::kPlacement:
        told = &changes.placement;
        break;
      case Part::kMembers:
        told = &changes.members;
        break;
    }
    if (told != nullptr && *told) (*told)();
  }

  // --- Farewell ---

  void Leave(std::function<void()> done) {
    heartbeat.Stop();
    detours.Stop();
    const std::optional<net::Address> target = finder.primary();
    if (!target) {
      if (done) loop.Post(std::move(done));
      return;
    }
    hub.Call(*target, kLeaveKind, Encode(MakeRenewal()), kLeaveTimeout,
             [alive = Alive(), done = std::move(done)](const Result<std::string>&) {
               if (!alive.expired() && done) done();
             });
  }

  std::weak_ptr<char> Alive() const { return life; }

  net::Loop& loop;
  transport::Hub& hub;
  ProcessSettings settings;
  Changes changes;
  CoreFinder finder;
  CoreLease lease;
  ViewRelay relay;
  Detours detours;
  Heartbeat heartbeat;
  TrueTime true_time;
  ListReadingTime list_reading;
  UseCounts uses;
  std::map<std::string, ServiceLoad> loads;
  std::function<StoreReport()> report;
  std::function<StoreFigures()> figures;
  bool ready = false;
  std::set<net::Address> refusing_cores;  // As they said when they declined, see the header.
  std::uint64_t epoch = 0;                // The highest of a primary that has answered.
  net::Time endpoints_taken_at{};         // When the list of endpoints in the view was taken.
  std::shared_ptr<char> life = std::make_shared<char>();
};

Agent::Agent(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings, Changes changes)
    : impl_(std::make_unique<Impl>(loop, hub, settings, std::move(changes))) {}

Agent::~Agent() = default;

const View& Agent::view() const { return impl_->relay.view(); }

bool Agent::in_touch() const { return impl_->lease.IsValid(); }

net::Time Agent::lease_until() const { return impl_->lease.until(); }

net::Time Agent::placement_lease_until() const { return impl_->lease.placement_until(); }

net::Time Agent::endpoints_taken_at() const { return impl_->endpoints_taken_at; }

net::Time Agent::endpoints_read_at() const { return impl_->list_reading.read_at(); }

net::Span Agent::renewal_interval() const { return impl_->heartbeat.interval(); }

std::size_t Agent::refusing_cores() const { return impl_->refusing_cores.size(); }

std::int64_t Agent::TrueMicros() const { return impl_->TrueMicros(); }

std::optional<net::Address> Agent::primary() const { return impl_->finder.primary(); }

void Agent::SetReady(bool ready) {
  if (impl_->ready == ready) return;
  impl_->ready = ready;
  impl_->heartbeat.RenewSoon();
}

void Agent::CountUse(const std::string& tenant) {
  impl_->uses.Count(impl_->CurrentWindow(), tenant);
}

void Agent::SetLoad(const std::string& service, std::uint64_t tokens_running,
                    std::uint64_t tokens_waiting) {
  impl_->loads[service] = {service, tokens_running, tokens_waiting};
}

void Agent::SetStoreReport(std::function<StoreReport()> report) {
  impl_->report = std::move(report);
}

void Agent::SetStoreFigures(std::function<StoreFigures()> figures) {
  impl_->figures = std::move(figures);
}

void Agent::ReportBackup(const BackupReport& report, std::function<void(Result<void>)> done) {
  const std::optional<net::Address> target = impl_->finder.primary();
  if (!target) {
    impl_->loop.Post([done = std::move(done)] {
      done(MakeError(ErrorCode::kUnavailable, "no primary of the core is known"));
    });
    return;
  }
  impl_->hub.Call(
      *target, kBackupReportKind, Encode(report), kReportTimeout,
      [alive = impl_->Alive(), done = std::move(done)](const Result<std::string>& body) {
        if (alive.expired()) return;
        if (body) {
          done(BOOST_OUTCOME_V2_NAMESPACE::success());
        } else {
          done(body.error());
        }
      });
}

void Agent::SetSeeds(const std::vector<net::Address>& seeds) { impl_->SetSeeds(seeds); }

void Agent::Leave(std::function<void()> done) { impl_->Leave(std::move(done)); }

}  // namespace shelflink::cluster
