#include "tier/cluster/agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/cluster/core_finder.h"
#include "tier/cluster/endpoint_summary.h"
#include "tier/cluster/use_counts.h"
#include "tier/cluster/view_store.h"
#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{400};        // Of a renewal; then the next core is asked.
constexpr milliseconds kFetchTimeout{400};       // From a parent; then the core is asked.
constexpr milliseconds kCoreFetchTimeout{1000};  // From the core.
constexpr milliseconds kRetryPause{100};
constexpr milliseconds kPushGrace{40};  // What a renewal names as newer may be on its way.
constexpr milliseconds kReportTimeout{1000};
constexpr milliseconds kLeaveTimeout{300};
constexpr milliseconds kDetourTimeout{900};  // Two hops.
constexpr milliseconds kDetourPause{500};
constexpr std::size_t kMostDetours = 64;  // Forwarded for others at a time; one more is refused.
constexpr const char* kModule = "cluster.agent";

std::int64_t SteadyMicros(net::Time time) {
  return duration_cast<microseconds>(time.time_since_epoch()).count();
}

constexpr Part kAllParts[] = {Part::kConfiguration, Part::kEndpoints, Part::kPlacement,
                              Part::kMembers};

}  // namespace

struct Agent::Impl {
  Impl(net::Loop& the_loop, transport::Hub& the_hub, const ProcessSettings& the_settings,
       Changes the_changes)
      : loop(the_loop), hub(the_hub), settings(the_settings), changes(std::move(the_changes)) {
    SetSeeds(settings.seeds);
    renew_timer = loop.NewTimer([this] { Renew(); });
    lease_timer = loop.NewTimer([this] { CheckLease(); });
    repair_timer = loop.NewTimer([this] { FetchStaleParts(); });
    detour_timer = loop.NewTimer([this] { TakeDetour(); });
    hub.Handle(kPushKind, [this](const transport::PeerIdentity& from, std::string_view body) {
      OnPush(from, body);
    });
    hub.HandleCall(kFetchKind,
                   [this](const transport::PeerIdentity&, std::string_view body,
                          const transport::Hub::Reply& reply) { OnFetch(body, reply); });
    hub.HandleCall(kDetourKind, [this](const transport::PeerIdentity& from, std::string_view body,
                                       const transport::Hub::Reply& reply) {
      ForwardDetour(from, body, reply);
    });
    renew_timer->ArmAt(loop.Now());
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

  void Renew() {
    if (renewing || leaving) return;
    const std::optional<net::Address> target = finder.Target();
    if (!target) {
      RenewAfter(kRetryPause);
      return;
    }
    Renewal renewal = MakeRenewal();
    const net::Time sent = loop.Now();
    renewing = true;
    renew_again = false;
    std::string body = Encode(renewal);
    hub.Call(*target, kRenewKind, std::move(body), kCallTimeout,
             [this, alive = Alive(), target = *target, sent,
              uses = std::move(renewal.uses)](const Result<std::string>& answer) {
               if (alive.expired()) return;
               renewing = false;
               OnRenewed(target, sent, uses, answer);
             });
  }

  Renewal MakeRenewal() {
    Renewal renewal;
    renewal.ready = ready;
    renewal.versions = store.versions();
    renewal.parent = parent;
    renewal.parent_silent = parent_silent;
    renewal.wall_micros = loop.WallMicros();
    renewal.window_open = CurrentWindow();
    renewal.uses = uses.Unacknowledged();
    for (const auto& [service, load] : loads) renewal.loads.push_back(load);
    if (report) renewal.store = report();
    if (figures) renewal.figures = figures();
    return renewal;
  }

  void OnRenewed(const net::Address& by, net::Time sent, const std::vector<UseCount>& told,
                 const Result<std::string>& body) {
    if (!body) {
      finder.Failed(by);
      const bool waited = loop.Now() - sent >= kCallTimeout;
      RenewAfter(waited ? milliseconds(0) : kRetryPause);
      return;
    }
    const Result<RenewalAnswer> answer = DecodeRenewalAnswer(body.value());
    if (!answer) {
      log::Bounded(log::Level::kWarning, kModule, "answer", answer.error().text,
                   SteadyMicros(loop.Now()));
      finder.Failed(by);
      RenewAfter(kRetryPause);
      return;
    }
    if (!answer.value().accepted) {
      NoteDisk(by, answer.value().disk_refuses);
      const bool at_once = finder.Declined(by, answer.value().primary);
      RenewAfter(at_once ? milliseconds(0) : kRetryPause);
      return;
    }
    OnAccepted(by, sent, told, answer.value());
  }

  void NoteDisk(const net::Address& core, bool refuses) {
    if (refuses) {
      refusing_cores.insert(core);
    } else {
      refusing_cores.erase(core);
    }
  }

  void OnAccepted(const net::Address& by, net::Time sent, const std::vector<UseCount>& told,
                  const RenewalAnswer& answer) {
    if (answer.epoch < epoch) {  // A former primary, however it came to answer.
      finder.Failed(by);
      RenewAfter(kRetryPause);
      return;
    }
    epoch = answer.epoch;
    refusing_cores.clear();
    finder.Accepted(by);
    finder.Learn(answer.cores);
    TakeCommon(sent, told, answer);
    if (parent != answer.parent) parent_silent = false;
    parent = answer.parent;
    children = answer.children;
    ExtendLease(sent + milliseconds(answer.lease_ms));
    renewal_interval = milliseconds(answer.interval_ms);
    RenewAfter(renew_again ? milliseconds(0) : renewal_interval);
    Repair(answer.versions);
    ExtendPlacementLease();
  }

  void TakeCommon(net::Time sent, const std::vector<UseCount>& told, const RenewalAnswer& answer) {
    uses.Acknowledge(answer.incarnation, told);
    uses.Settle(answer.settled_before);
    SetTrueTime(sent, answer.true_micros);
    if (answer.endpoints_age) {
      told_reading = {answer.versions[Part::kEndpoints], sent - *answer.endpoints_age};
      TakeReading();
    }
  }

  // What is held is at least as new as that reading once it has the version that was named with it.
  void TakeReading() {
    if (store.versions()[Part::kEndpoints] < told_reading.version) return;
    endpoints_read_at = std::max(endpoints_read_at, told_reading.at);
  }

  void RenewAfter(milliseconds pause) { renew_timer->ArmAt(loop.Now() + pause); }

  void RenewSoon() {
    renew_again = true;
    if (!renewing) RenewAfter(milliseconds(0));
  }

  // --- The lease ---

  bool InTouch() const { return loop.Now() < lease_until; }

  void ExtendLease(net::Time until) {
    if (until <= lease_until || until <= loop.Now()) return;
    lease_until = until;
    if (!touched) {
      touched = true;
      lease_timer->ArmAt(lease_until);
      log::Info(kModule, "in touch with the core; " + EndpointListText());
      if (changes.contact) changes.contact(true);
    }
  }

  // A process that was frozen or cut off gets its lease back before it hears that its partitions
  // have moved.
  void ExtendPlacementLease() {
    if (!IsStale(Part::kPlacement)) placement_lease_until = lease_until;
  }

  void CheckLease() {
    if (InTouch()) {
      lease_timer->ArmAt(lease_until);
      return;
    }
    touched = false;
    log::Warning(kModule,
                 "out of touch with the core: the lease has run out; " + EndpointListText());
    detour_timer->ArmAt(loop.Now());
    if (changes.contact) changes.contact(false);
  }

  // --- Detours: this sidecar may still reach others that reach the core ---

  // Sidecars in turn, the one that served last first.
  std::optional<net::Address> DetourPeer() const {
    if (!store.view().members) return std::nullopt;
    std::vector<net::Address> peers;
    for (const Member& member : store.view().members->all) {
      if (member.role == "proxy" && member.address != hub.self().address) {
        peers.push_back(member.address);
      }
    }
    if (peers.empty()) return std::nullopt;
    return peers[detour_turn % peers.size()];
  }

  void TakeDetour() {
    if (InTouch() || leaving || hub.self().role != "proxy") return;
    detour_timer->ArmAt(loop.Now() + kDetourPause);
    const std::optional<net::Address> peer = DetourPeer();
    if (!peer || detouring) return;
    detouring = true;
    Detour detour{hub.self(), MakeRenewal()};
    const net::Time sent = loop.Now();
    std::string body = Encode(detour);
    hub.Call(*peer, kDetourKind, std::move(body), kDetourTimeout,
             [this, alive = Alive(), peer = *peer, sent,
              told = std::move(detour.renewal.uses)](const Result<std::string>& answer) {
               if (alive.expired()) return;
               detouring = false;
               OnDetourAnswer(peer, sent, told, answer);
             });
  }

  void OnDetourAnswer(const net::Address& peer, net::Time sent, const std::vector<UseCount>& told,
                      const Result<std::string>& body) {
    const Result<RenewalAnswer> answer =
        body ? DecodeRenewalAnswer(body.value()) : Result<RenewalAnswer>(body.error());
    if (!answer || !answer.value().accepted || answer.value().epoch < epoch) {
      ++detour_turn;
      return;
    }
    epoch = answer.value().epoch;
    TakeCommon(sent, told, answer.value());
    newest = answer.value().versions;
    for (const Part part : kAllParts) {
      if (IsStale(part)) FetchFrom(peer, part, kFetchTimeout, [](const Result<std::string>&) {});
    }
  }

  void ForwardDetour(const transport::PeerIdentity& from, std::string_view body,
                     transport::Hub::Reply reply) {
    const Result<Detour> detour = DecodeDetour(body);
    if (!detour || detour.value().origin.address != from.address) {
      reply(MakeError(ErrorCode::kInvalid, "malformed detour, or not of its sender"));
      return;
    }
    const std::optional<net::Address> target = finder.primary();
    if (!InTouch() || !target) {
      reply(MakeError(ErrorCode::kUnavailable, "out of touch as well"));
      return;
    }
    if (detours_forwarded >= kMostDetours) {
      reply(MakeError(ErrorCode::kExhausted, "too many detours"));
      return;
    }
    ++detours_forwarded;
    hub.Call(*target, kDetourKind, std::string(body), kCallTimeout,
             [this, alive = Alive(), reply = std::move(reply)](Result<std::string> answer) {
               if (alive.expired()) return;
               --detours_forwarded;
               reply(std::move(answer));
             });
  }

  // --- True time ---

  void SetTrueTime(net::Time sent, std::int64_t true_micros) {
    const net::Time middle = sent + (loop.Now() - sent) / 2;
    true_ahead = true_micros - SteadyMicros(middle);
  }

  std::int64_t TrueMicros() const {
    return true_ahead ? SteadyMicros(loop.Now()) + *true_ahead : loop.WallMicros();
  }

  std::uint64_t CurrentWindow() const {
    const std::int64_t now = TrueMicros();
    const std::int64_t span = duration_cast<microseconds>(settings.bounds.usage_window).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(now, 0) /
                                      std::max<std::int64_t>(span, 1));
  }

  // --- Parts of the view ---

  bool MayPush(const transport::PeerIdentity& from) const {
    return from.role == "core" || (parent && from.address == *parent);
  }

  void OnPush(const transport::PeerIdentity& from, std::string_view body) {
    if (!MayPush(from)) {
      ++pushes_refused;
      return;
    }
    const Result<Push> push = DecodePush(body);
    if (!push) {
      log::Bounded(log::Level::kWarning, kModule, "push", push.error().text + " from " + from.node,
                   SteadyMicros(loop.Now()));
      return;
    }
    TakePush(push.value());
  }

  void TakePush(const Push& push) {
    const Result<bool> taken = store.Take(push);
    if (!taken) {
      log::Bounded(log::Level::kWarning, kModule, "part", taken.error().text,
                   SteadyMicros(loop.Now()));
      return;
    }
    if (!taken.value()) return;
    if (push.part == Part::kEndpoints) NoteEndpointList();
    PassOn(push);
    if (push.part == Part::kMembers) LearnCores();
    if (push.part == Part::kPlacement) ExtendPlacementLease();
    if (push.part == Part::kEndpoints) TakeReading();
    Tell(push.part);
  }

  void NoteEndpointList() {
    endpoints_taken_at = loop.Now();
    log::Bounded(log::Level::kInfo, kModule, "endpoints", EndpointListText(),
                 SteadyMicros(loop.Now()));
  }

  std::string EndpointListText() const {
    const std::shared_ptr<const EndpointList>& list = store.view().endpoints;
    if (!list) return "endpoint list: none";
    const std::string text = "endpoint list: " + TextOf(SummaryOf(list->version, list->entries));
    if (endpoints_read_at == net::Time{}) return text + ", of unknown age";
    const std::int64_t age = (loop.Now() - endpoints_read_at) / milliseconds(1);
    return text + ", read " + std::to_string(age) + " ms ago";
  }

  void LearnCores() {
    std::vector<net::Address> cores;
    for (const Member& member : store.view().members->all) {
      if (member.role == "core") cores.push_back(member.address);
    }
    finder.Learn(std::move(cores));
  }

  void PassOn(const Push& push) {
    if (children.empty()) return;
    const std::string body = Encode(push);
    for (const net::Address& child : children) hub.Send(child, kPushKind, body);
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

  void OnFetch(std::string_view body, const transport::Hub::Reply& reply) {
    const Result<Fetch> fetch = DecodeFetch(body);
    if (!fetch) {
      reply(fetch.error());
      return;
    }
    const Part part = fetch.value().part;
    if (!store.Has(part) || store.versions()[part] < fetch.value().least) {
      reply(MakeError(ErrorCode::kNotFound, "no such version of the part here"));
      return;
    }
    reply(Encode(store.PushOf(part)));
  }

  bool IsStale(Part part) const { return store.versions()[part] < newest[part]; }

  // The renewal's answer names the newest versions; what a push has not brought is asked for.
  void Repair(const PartVersions& versions) {
    newest = versions;
    bool stale = false;
    bool missing = false;
    for (const Part part : kAllParts) {
      stale = stale || IsStale(part);
      missing = missing || (IsStale(part) && !store.Has(part));
    }
    if (stale) repair_timer->ArmAt(loop.Now() + (missing ? milliseconds(0) : kPushGrace));
  }

  void FetchStaleParts() {
    for (const Part part : kAllParts) {
      if (IsStale(part)) FetchPart(part);
    }
  }

  void FetchPart(Part part) {
    if (parent && !parent_silent) {
      FetchFrom(*parent, part, kFetchTimeout,
                [this, part](const Result<std::string>& body) { AfterParent(part, body); });
    } else {
      FetchFromCore(part);
    }
  }

  void FetchFromCore(Part part) {
    const std::optional<net::Address> source = finder.primary();
    if (!source) return;
    // The next renewal sees what is still missing.
    FetchFrom(*source, part, kCoreFetchTimeout, [](const Result<std::string>&) {});
  }

  // A parent that has no such version is late as well; only a silent one is replaced.
  void AfterParent(Part part, const Result<std::string>& body) {
    if (!IsStale(part)) return;
    if (!body && body.error().code != ErrorCode::kNotFound) {
      parent_silent = true;
      RenewSoon();
    }
    FetchFromCore(part);
  }

  // One at a time for each part. `after` is called once what came has been taken.
  void FetchFrom(const net::Address& source, Part part, milliseconds timeout,
                 std::function<void(const Result<std::string>&)> after) {
    bool& under_way = fetching[static_cast<std::size_t>(part)];
    if (under_way) return;
    under_way = true;
    hub.Call(
        source, kFetchKind, Encode(Fetch{part, newest[part]}), timeout,
        [this, alive = Alive(), part, after = std::move(after)](const Result<std::string>& body) {
          if (alive.expired()) return;
          fetching[static_cast<std::size_t>(part)] = false;
          const Result<Push> push = body ? DecodePush(body.value()) : Result<Push>(body.error());
          if (push) TakePush(push.value());
          after(body);
        });
  }

  // --- Farewell ---

  void Leave(std::function<void()> done) {
    leaving = true;
    renew_timer->Cancel();
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
  ViewStore store;
  UseCounts uses;
  std::map<std::string, ServiceLoad> loads;
  std::function<StoreReport()> report;
  std::function<StoreFigures()> figures;
  bool ready = false;

  net::TimerPtr renew_timer;
  net::TimerPtr lease_timer;
  net::TimerPtr repair_timer;
  net::TimerPtr detour_timer;
  bool renewing = false;
  bool renew_again = false;
  bool leaving = false;
  bool touched = false;
  net::Time lease_until{};
  net::Time placement_lease_until{};
  std::uint64_t epoch = 0;
  std::set<net::Address> refusing_cores;   // As they said when they declined, see the header.
  std::optional<std::int64_t> true_ahead;  // True time less the steady clock, in microseconds.

  std::optional<net::Address> parent;
  bool parent_silent = false;
  std::vector<net::Address> children;
  PartVersions newest;  // As the primary told last.
  struct Reading {      // Of the platform's list.
    Version version;    // Under which it was published.
    net::Time at{};     // On this process's clock, no later than it began.
  };
  Reading told_reading;
  net::Time endpoints_read_at{};
  net::Time endpoints_taken_at{};  // When the list of endpoints in the view was taken.
  milliseconds renewal_interval{0};
  bool fetching[kParts] = {};
  bool detouring = false;
  std::size_t detour_turn = 0;
  std::size_t detours_forwarded = 0;
  std::uint64_t pushes_refused = 0;
  std::shared_ptr<char> life = std::make_shared<char>();
};

Agent::Agent(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings, Changes changes)
    : impl_(std::make_unique<Impl>(loop, hub, settings, std::move(changes))) {}

Agent::~Agent() = default;

const View& Agent::view() const { return impl_->store.view(); }

bool Agent::in_touch() const { return impl_->InTouch(); }

net::Time Agent::lease_until() const { return impl_->lease_until; }

net::Time Agent::placement_lease_until() const { return impl_->placement_lease_until; }

net::Time Agent::endpoints_taken_at() const { return impl_->endpoints_taken_at; }

net::Time Agent::endpoints_read_at() const { return impl_->endpoints_read_at; }

net::Span Agent::renewal_interval() const { return impl_->renewal_interval; }

std::size_t Agent::refusing_cores() const { return impl_->refusing_cores.size(); }

std::int64_t Agent::TrueMicros() const { return impl_->TrueMicros(); }

std::optional<net::Address> Agent::primary() const { return impl_->finder.primary(); }

void Agent::SetReady(bool ready) {
  if (impl_->ready == ready) return;
  impl_->ready = ready;
  impl_->RenewSoon();
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
