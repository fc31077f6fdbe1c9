#include "tier/cluster/core_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "tier/cluster/clock_estimate.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/endpoint_list_publisher.h"
#include "tier/cluster/endpoint_watch.h"
#include "tier/cluster/member_table.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/placement_keeper.h"
#include "tier/cluster/redundancy_watch.h"
#include "tier/cluster/relay_tree.h"
#include "tier/cluster/retirement.h"
#include "tier/cluster/scale_duty.h"
#include "tier/cluster/usage_duty.h"
#include "tier/cluster/view_codec.h"
#include "tier/cluster/view_publisher.h"
#include "tier/configuration/book.h"
#include "tier/configuration/document_reader.h"
#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{250};
constexpr milliseconds kLongestStoreLease{1500};
constexpr milliseconds kMembersGap{250};    // Between two lists of members, at the least,
constexpr milliseconds kMembersGapEach{1};  // and for each member.
constexpr std::size_t kMembersAtFullRate = 200;
constexpr milliseconds kLeaseTimerLate{50};
// A document is held as text by the map, by what leads to it and by messages on their way, and
// three times read: at most this part of a process's memory.
constexpr std::uint64_t kDocumentPartOfMemory = 32;
constexpr std::uint64_t kFirstEpoch = 1;  // Of the system: no primary was before it.
constexpr const char* kModule = "cluster.core";

LeaseSpans SpansOf(const ProcessSettings& settings) {
  const milliseconds contact = settings.bounds.contact;
  return {contact, std::min(contact / 2, kLongestStoreLease)};
}

PlacementRules RulesOf(const ProcessSettings& settings) {
  const FaultTolerance& tolerance = settings.tolerance;
  PlacementRules rules;
  const int lost = std::max({tolerance.machines, tolerance.zones, tolerance.regions, 0});
  rules.copies = static_cast<std::size_t>(lost) + 1;
  rules.distinct_zones = tolerance.zones > 0 || tolerance.regions > 0;
  return rules;
}

std::uint64_t BytesOf(const coordination::Contents& contents) {
  std::uint64_t bytes = 0;
  for (const auto& [key, value] : contents) bytes += key.size() + value.size();
  return bytes;
}

bool HasDuty(const ProcessSettings& settings, const std::string& duty) {
  return settings.contracts.count("leader") > 0 && settings.cloud.duties.count(duty) > 0;
}

}  // namespace

milliseconds RenewalInterval(const ProcessSettings& settings, std::size_t members) {
  const milliseconds contact = settings.bounds.contact;
  const milliseconds shortest = std::min(settings.heartbeat / 2, contact / 6);
  const milliseconds longest = std::max(shortest, std::min(settings.heartbeat, contact / 3));
  const auto factor = std::max<std::size_t>(members, kMembersAtFullRate);
  const milliseconds scaled(shortest.count() * static_cast<std::int64_t>(factor) /
                            static_cast<std::int64_t>(kMembersAtFullRate));
  return std::clamp(scaled, shortest, longest);
}

struct CoreService::Impl {
  Impl(net::Loop& the_loop, transport::Hub& the_hub, coordination::Replicator& the_replicator,
       platform::Platform* platform, const ProcessSettings& the_settings)
      : loop(the_loop),
        hub(the_hub),
        replicator(the_replicator),
        settings(the_settings),
        spans(SpansOf(settings)),
        members(spans),
        publisher(hub),
        endpoint_lists(loop, hub, publisher, tree,
                       {[this] { return Leads(); }, [this] { return NextVersion(); },
                        [this] { return LastVersion(); }, [this] { return WhyNotLeading(); }}),
        keeper(loop, replicator, members, RulesOf(settings), spans.store),
        redundancy(RulesOf(settings).copies),
        pace(settings.cloud.duty_per_s) {
    if (platform != nullptr) MakePlatformParts(*platform);
    tick_timer = loop.NewTimer([this] { Tick(); });
    lease_timer = loop.NewTimer([this] { OnLeaseTimer(); });
    Serve();
    coordination::Replicator::Watcher watcher;
    watcher.committed = [this](const std::vector<coordination::Write>& writes) {
      OnCommitted(writes);
    };
    watcher.role = [this](bool primary, std::uint64_t of_epoch) { OnRole(primary, of_epoch); };
    watcher.replicas_changed = [this] { ObserveCopies(); };
    replicator.SetWatcher(std::move(watcher));
  }

  void MakePlatformParts(platform::Platform& platform) {
    watch = std::make_unique<EndpointWatch>(
        loop, platform,
        platform::ListReader::Options{settings.cloud.rate_per_s, settings.bounds.drain,
                                      platform::kCoreShareOfRate},
        [this](const std::vector<EndpointEntry>& entries) {
          return endpoint_lists.Publish(entries);
        });
    endpoint_lists.SetWatch(watch.get());
    if (HasDuty(settings, "usage_report")) {
      usage = std::make_unique<UsageDuty>(UsageDuty::Parts{loop, replicator, platform, ledger, pace,
                                                           [this] { return TrueMicros(); }},
                                          settings);
    }
    if (HasDuty(settings, "autoscale")) {
      scale =
          std::make_unique<ScaleDuty>(ScaleDuty::Parts{loop, replicator, platform, members, pace},
                                      settings.node, ScaleTuning());
    }
  }

  void Serve() {
    using transport::Hub;
    using transport::PeerIdentity;
    hub.HandleCall(kRenewKind, [this](const PeerIdentity& from, std::string_view body,
                                      const Hub::Reply& reply) { reply(OnRenewal(from, body)); });
    hub.HandleCall(kFetchKind, [this](const PeerIdentity&, std::string_view body,
                                      const Hub::Reply& reply) { reply(publisher.Answer(body)); });
    hub.HandleCall(kDetourKind, [this](const PeerIdentity&, std::string_view body,
                                       const Hub::Reply& reply) { reply(OnDetour(body)); });
    hub.HandleCall(kLeaveKind, [this](const PeerIdentity& from, std::string_view body,
                                      const Hub::Reply& reply) { reply(OnLeave(from, body)); });
    hub.HandleCall(kBackupReportKind,
                   [this](const PeerIdentity&, std::string_view body, Hub::Reply reply) {
                     OnBackupReport(body, std::move(reply));
                   });
    hub.Watch([this](const PeerIdentity& peer, bool up) {
      if (!up) tree.Distrust(peer.address);
    });
  }

  // --- The role ---

  bool Leads() const { return leading && replicator.is_primary(); }

  const char* WhyNotLeading() const {
    return leading ? "the primary's lease has lapsed" : "not the primary";
  }

  void OnRole(bool primary, std::uint64_t the_epoch) {
    if (primary && leading && the_epoch == epoch + 1) {
      GoOnLeading(the_epoch);
      return;
    }
    if (leading) StopLeading();
    if (primary) StartLeading(the_epoch);
  }

  void StartLeading(std::uint64_t the_epoch) {
    log::Info(kModule, "primary of epoch " + std::to_string(the_epoch));
    leading = true;
    // Its lease may have lapsed for a moment: parts of one epoch are counted on, or none would be
    // newer than those that are out.
    if (the_epoch != epoch) count = 0;
    epoch = the_epoch;
    led_since = loop.Now();
    first_epoch = the_epoch;
    members.Clear();
    tree.Clear();
    clock.Clear();
    members_changed = true;
    redundancy.Begin(loop.Now());
    keeper.Start();
    if (watch) watch->Start();
    if (usage) usage->Start(epoch);
    if (scale) scale->Start(epoch);
    ArmTick();
  }

  // The replicas have changed, the primary has not: leases and the duties' state still hold.
  void GoOnLeading(std::uint64_t the_epoch) {
    epoch = the_epoch;
    members_changed = true;
    ObserveCopies();
    if (usage) usage->SetFence(epoch);
    if (scale) scale->SetFence(epoch);
  }

  void StopLeading() {
    log::Info(kModule, "no longer primary of epoch " + std::to_string(epoch));
    leading = false;
    tick_timer->Cancel();
    lease_timer->Cancel();
    led_before += loop.Now() - led_since;
    redundancy.End();
    keeper.Stop();
    if (watch) watch->Stop();
    if (usage) usage->Stop();
    if (scale) scale->Stop();
  }

  void ArmTick() {
    next_tick = loop.Now() + kTick;
    tick_timer->ArmAt(next_tick);
  }

  void ArmLeaseTimer() {
    lease_due = members.NextEnd();
    if (lease_due < next_tick) lease_timer->ArmAt(lease_due);
  }

  // Between two ticks a lease may run out. Later than due: this process stood still, and the tick
  // sees what that means.
  void OnLeaseTimer() {
    if (!Leads() || loop.Now() > lease_due + kLeaseTimerLate) return;
    EndLeases();
    ArmLeaseTimer();
  }

  void EndLeases() {
    bool store_lost = false;
    for (const MemberLease& lease : members.Expire(loop.Now())) {
      log::Info(kModule,
                "lease of " + lease.member.role + " " + lease.member.node + " has run out");
      Forget(lease.member.address);
      store_lost = store_lost || lease.member.role == "store";
    }
    if (store_lost) OnStoresChanged();
  }

  // What is lost is seen before its repair begins.
  void OnStoresChanged() {
    ObserveCopies();
    keeper.Evaluate();
  }

  void ObserveCopies() {
    if (!Leads()) return;
    const net::Time now = loop.Now();
    if (const std::optional<coordination::ReplicationStatus> copies =
            replicator.replication_status()) {
      redundancy.ObserveControl(now, *copies, [this] { return BytesOf(replicator.contents()); });
    }
    if (keeper.Patient()) return;
    std::set<std::string> live;
    for (const auto& [address, lease] : members.leases()) {
      if (lease.store) live.insert(lease.store->disk);
    }
    redundancy.ObservePartitions(now, live);
  }

  void Tick() {
    const net::Span late = loop.Now() - next_tick;
    ArmTick();
    if (!Leads()) return;
    if (late > kTick) members.Extend(late);
    EndLeases();
    ObserveCopies();
    keeper.Tick();
    PublishMembers();
    if (usage) usage->Tick();
    if (scale) scale->Tick(configuration.get(), watch->entries());
    ArmLeaseTimer();
  }

  // --- Members ---

  void Forget(const net::Address& member) {
    tree.Remove(member);
    clock.Forget(member);
    members_changed = true;
  }

  RenewalAnswer Decline() const {
    RenewalAnswer answer;
    answer.primary = replicator.primary();
    answer.epoch = replicator.epoch();
    answer.disk_refuses = disk_refuses && disk_refuses();
    return answer;
  }

  Result<std::string> OnRenewal(const transport::PeerIdentity& from, std::string_view body) {
    const Result<Renewal> renewal = DecodeRenewal(body);
    if (!renewal) return renewal.error();
    if (!Leads()) return Encode(Decline());
    const MemberTable::Renewed renewed = members.Renew(loop.Now(), from, renewal.value());
    if (renewed == MemberTable::Renewed::kRefused) {
      return MakeError(ErrorCode::kExhausted, "too many members");
    }
    HearMember(from, renewal.value());
    if (renewal.value().store) redundancy.OnStore(loop.Now(), *renewal.value().store);
    if (renewed == MemberTable::Renewed::kChanged) {
      members_changed = true;
      if (from.role == "store") OnStoresChanged();
    }
    return Encode(Accept(from.address));
  }

  void HearMember(const transport::PeerIdentity& from, const Renewal& renewal) {
    tree.Add(from.address, from.zone);
    const std::optional<net::Address> parent = tree.ParentOf(from.address);
    if (renewal.parent_silent && parent && renewal.parent == parent) tree.Distrust(*parent);
    clock.Hear(loop.Now(), from.address, renewal.wall_micros);
    HearUses(from, renewal);
    endpoint_lists.Adopt(from.address, renewal.versions[Part::kEndpoints]);
  }

  void HearUses(const transport::PeerIdentity& from, const Renewal& renewal) {
    ledger.Hear(from.address, from.incarnation, renewal.uses);
    if (usage && from.role == "proxy") usage->Hear(from.address, renewal.window_open);
  }

  RenewalAnswer CommonAnswer() {
    RenewalAnswer answer;
    answer.accepted = true;
    answer.primary = hub.self().address;
    answer.epoch = epoch;
    answer.incarnation = hub.self().incarnation;
    endpoint_lists.PublishPending();
    answer.versions = publisher.versions();
    answer.endpoints_age = endpoint_lists.Age();
    answer.true_micros = TrueMicros();
    answer.settled_before = ledger.settled_before();
    return answer;
  }

  RenewalAnswer Accept(const net::Address& member) {
    RenewalAnswer answer = CommonAnswer();
    const MemberLease& lease = members.leases().at(member);
    const net::Span span = spans.Of(lease.member.role);
    answer.lease_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(span).count());
    answer.interval_ms =
        static_cast<std::uint32_t>(RenewalInterval(settings, members.leases().size()).count());
    answer.parent = tree.ParentOf(member);
    answer.children = tree.ChildrenOf(member);
    tree.MarkTold(member, answer.children);
    if (lease.versions[Part::kMembers] == Version()) {
      for (const coordination::CoreMember& core : replicator.members()) {
        answer.cores.push_back(core.address);
      }
    }
    return answer;
  }

  // From a sidecar that reaches only others of its kind: its counts are taken, it gets no lease.
  Result<std::string> OnDetour(std::string_view body) {
    const Result<Detour> detour = DecodeDetour(body);
    if (!detour) return detour.error();
    if (!Leads()) return MakeError(ErrorCode::kUnavailable, "not the primary");
    const transport::PeerIdentity& origin = detour.value().origin;
    clock.Hear(loop.Now(), origin.address, detour.value().renewal.wall_micros);
    HearUses(origin, detour.value().renewal);
    return Encode(CommonAnswer());
  }

  Result<std::string> OnLeave(const transport::PeerIdentity& from, std::string_view body) {
    const Result<Renewal> last = DecodeRenewal(body);
    if (!last) return last.error();
    if (!Leads()) return MakeError(ErrorCode::kUnavailable, "not the primary");
    HearUses(from, last.value());
    if (usage) usage->Forget(from.address);
    if (members.Leave(from.address, from.incarnation)) {
      log::Info(kModule, from.role + " " + from.node + " leaves");
      Forget(from.address);
      if (from.role == "store") OnStoresChanged();
    }
    return std::string();
  }

  void OnBackupReport(std::string_view body, transport::Hub::Reply reply) {
    const Result<BackupReport> report = DecodeBackupReport(body);
    if (!report) {
      reply(report.error());
      return;
    }
    if (!Leads()) {
      reply(MakeError(ErrorCode::kUnavailable, "not the primary"));
      return;
    }
    redundancy.OnReport(report.value());
    keeper.OnReport(report.value(), [reply = std::move(reply)](const Result<void>& result) {
      if (result) {
        reply(std::string());
      } else {
        reply(result.error());
      }
    });
  }

  std::int64_t TrueMicros() { return clock.TrueMicros(loop.Now(), loop.WallMicros()); }

  // --- Parts of the view ---

  Version NextVersion() { return {epoch, ++count}; }
  Version LastVersion() const { return {epoch, count}; }

  void Publish(Part part, const Version& version, std::string body) {
    const bool push = Leads();
    publisher.Publish({part, version, std::move(body)},
                      push ? tree.PushTargets() : std::vector<net::Address>());
  }

  // Until every member in touch has spoken with this primary, the list would be too short: the one
  // that they have from an earlier primary is better. After the first start of all nobody has any,
  // and one goes out with the first tick: without one a proxy cannot read the platform's list
  // (proxy/list_fallback.h).
  void PublishMembers() {
    const net::Time now = loop.Now();
    const net::Span hearing = 2 * RenewalInterval(settings, 0) + kTick;
    const auto members_now = static_cast<std::int64_t>(members.leases().size());
    if (!members_changed || (first_epoch > kFirstEpoch && now < led_since + hearing)) return;
    if (now < members_published + kMembersGap + kMembersGapEach * members_now) return;
    members_changed = false;
    members_published = now;
    std::vector<Member> all = members.All();
    for (const coordination::CoreMember& core : replicator.members()) {
      all.push_back({core.node, "core", core.zone, core.address, true});
    }
    Publish(Part::kMembers, NextVersion(), EncodeMembers(all));
  }

  ClusterFigures Figures() const {
    ClusterFigures figures;
    if (Leads()) {
      for (const auto& [address, lease] : members.leases()) ++figures.leases[lease.member.role];
      figures.stores = KnownStores();
    }
    endpoint_lists.AddFigures(figures);
    figures.redundancy = Redundancy();
    return figures;
  }

  RedundancyFigures Redundancy() const {
    RedundancyFigures figures;
    figures.control = redundancy.book().history(CopyKind::kControl);
    figures.batch = redundancy.book().history(CopyKind::kBatch);
    figures.led = led_before;
    if (!Leads()) return figures;
    figures.leads = true;
    figures.led += loop.Now() - led_since;
    figures.stores_heard = !keeper.Patient();
    figures.stores = Stores();
    figures.partitions = redundancy.partitions();
    figures.open = redundancy.book().open(loop.Now());
    return figures;
  }

  std::vector<KnownStore> KnownStores() const {
    std::map<std::string, KnownStore> by_node;
    for (const auto& [node, record] : StoresOf(replicator.contents())) by_node[node].node = node;
    for (const auto& [address, lease] : members.leases()) {
      if (lease.member.role != "store") continue;
      by_node[lease.member.node] = {lease.member.node, true, FiguresNow(lease)};
    }
    std::vector<KnownStore> stores;
    stores.reserve(by_node.size());
    for (auto& [node, store] : by_node) stores.push_back(std::move(store));
    return stores;
  }

  // What grows by itself has gone on since the store told it.
  std::optional<StoreFigures> FiguresNow(const MemberLease& lease) const {
    std::optional<StoreFigures> figures = lease.figures;
    if (!figures) return figures;
    const auto since = std::chrono::duration_cast<milliseconds>(loop.Now() - lease.heard_at);
    figures->uptime += since;
    if (figures->endpoints_age) *figures->endpoints_age += since;
    return figures;
  }

  std::vector<StoreStanding> Stores() const {
    std::vector<StoreStanding> stores;
    for (const StoreCandidate& store : keeper.Candidates(replicator.contents())) {
      StoreStanding figures{store.node, store.zone, store.address.Text(), false, store.retiring};
      const auto lease = members.leases().find(store.address);
      if (lease != members.leases().end() && lease->second.store) {
        figures.live = true;
        figures.bytes_used = lease->second.store->bytes_used;
        figures.bytes_free = lease->second.store->bytes_free;
      }
      stores.push_back(std::move(figures));
    }
    return stores;
  }

  void OnCommitted(const std::vector<coordination::Write>& writes) {
    bool configuration_changed = false;
    bool placement_changed = false;
    for (const coordination::Write& write : writes) {
      configuration_changed |= write.key == configuration::kVersionKey;
      placement_changed |= write.key == kPlacementCountKey;
    }
    if (configuration_changed) TakeConfiguration();
    if (placement_changed) {
      const coordination::Contents& contents = replicator.contents();
      std::vector<PartitionRow> rows = RowsOf(contents);
      Publish(Part::kPlacement, {0, NumberAt(contents, kPlacementCountKey)}, EncodePlacement(rows));
      redundancy.OnRows(std::move(rows));
      ObserveCopies();
    }
  }

  // Goes out with the commit, before the operator is answered.
  void TakeConfiguration() {
    const auto current = configuration::CurrentConfiguration(replicator.contents());
    if (!current || (configuration && configuration->version >= current->version)) return;
    auto parsed = documents.Read(current->document);
    if (!parsed) {
      log::Line(log::Level::kError, kModule,
                "the configuration in force cannot be read: " + TextOf(parsed.error()));
      return;
    }
    configuration = std::make_shared<const configuration::Configuration>(std::move(parsed.value()));
    const std::size_t told = publisher.Publish(
        configuration, Leads() ? tree.PushTargets() : std::vector<net::Address>());
    log::Info(kModule, "configuration " + std::to_string(configuration->version) +
                           " in force: " + std::to_string(configuration->routes.size()) +
                           " routes, " + std::to_string(current->document.size()) + " bytes; " +
                           std::to_string(told) + " bytes to each process below");
    if (configuration_watcher) configuration_watcher(configuration);
  }

  // --- Orders ---

  using Contents = coordination::Contents;
  using Writes = std::vector<coordination::Write>;

  // Reads what is certain to be in force.
  template <typename Read>
  void ReadCommitted(Read read) {
    replicator.Submit([](const Contents&) -> Result<Writes> { return Writes(); },
                      [alive = std::weak_ptr<char>(life), read](const Result<void>& result) {
                        if (!alive.expired()) read(result);
                      });
  }

  // What no process of the tier could hold, beside what else it holds, is not taken.
  std::size_t LargestDocument() const {
    return std::min<std::size_t>(configuration::kLargestDocument,
                                 (settings.limits.memory_mb << 20U) / kDocumentPartOfMemory);
  }

  // Submits what `judge` plans; its verdict is told once the writes are committed.
  template <typename Judge>
  void SubmitJudged(Judge judge, ChangeDone done) {
    const auto verdict = std::make_shared<coordination::Verdict>();
    replicator.Submit(
        [alive = std::weak_ptr<char>(life), judge = std::move(judge),
         verdict](const Contents& committed) -> Result<Writes> {
          if (alive.expired()) return MakeError(ErrorCode::kUnavailable, "ending");
          Result<coordination::JudgedPlan> plan = judge(committed);
          if (!plan) return plan.error();
          *verdict = std::move(plan.value().verdict);
          return std::move(plan.value().writes);
        },
        [verdict, done = std::move(done)](const Result<void>& result) {
          if (!result) return done(result.error());
          done(std::visit(VerdictTold{}, *verdict));
        });
  }

  // What the operator is told of a verdict.
  struct VerdictTold {
    using Told = Result<operator_api::OrderOutcome>;
    Told operator()(const coordination::Accepted&) const {
      return operator_api::OrderOutcome(operator_api::Acknowledged{});
    }
    Told operator()(const coordination::Refused& refused) const { return refused.error; }
    Told operator()(const coordination::ConfirmationRequired& required) const {
      return operator_api::OrderOutcome(required);
    }
  };

  void ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) {
    SubmitJudged(
        [this, order = std::move(order)](const Contents& committed) {
          return configuration::PlanChange(committed, order, documents, LargestDocument());
        },
        std::move(done));
  }

  void Retire(operator_api::RetireOrder order, const RetireDone& done) {
    SubmitJudged(
        [this, order = std::move(order)](const Contents& committed) {
          return PlanRetirement(committed, order, {keeper.Candidates(committed), keeper.Patient()},
                                keeper.rules());
        },
        [this, alive = std::weak_ptr<char>(life),
         done](const Result<operator_api::OrderOutcome>& result) {
          if (alive.expired()) return;
          if (result) keeper.Evaluate();
          done(result);
        });
  }

  net::Loop& loop;
  transport::Hub& hub;
  coordination::Replicator& replicator;
  ProcessSettings settings;
  LeaseSpans spans;
  MemberTable members;
  RelayTree tree;
  ClockEstimate clock;
  UsageLedger ledger;
  ViewPublisher publisher;
  EndpointListPublisher endpoint_lists;
  PlacementKeeper keeper;
  RedundancyWatch redundancy;
  DutyPace pace;
  std::unique_ptr<EndpointWatch> watch;  // Null: no platform.
  std::unique_ptr<UsageDuty> usage;      // Null: not our duty.
  std::unique_ptr<ScaleDuty> scale;
  net::TimerPtr tick_timer;
  net::TimerPtr lease_timer;
  net::Time lease_due{};

  bool leading = false;
  std::uint64_t epoch = 0;
  std::uint64_t count = 0;  // Of the parts made under this epoch.
  net::Time led_since{};
  net::Span led_before{};         // Of earlier terms of this process.
  std::uint64_t first_epoch = 0;  // Of those that it has led since then.
  net::Time next_tick{};
  bool members_changed = false;
  net::Time members_published{};
  std::shared_ptr<const configuration::Configuration> configuration;
  configuration::DocumentReader documents;
  std::function<void(const std::shared_ptr<const configuration::Configuration>&)>
      configuration_watcher;
  std::function<bool()> disk_refuses;  // Empty: it has no disk, or does not tell.
  std::shared_ptr<char> life = std::make_shared<char>();
};

CoreService::CoreService(net::Loop& loop, transport::Hub& hub, coordination::Replicator& replicator,
                         platform::Platform* platform, const ProcessSettings& settings)
    : impl_(std::make_unique<Impl>(loop, hub, replicator, platform, settings)) {}

CoreService::~CoreService() = default;

void CoreService::WatchConfiguration(
    std::function<void(const std::shared_ptr<const configuration::Configuration>&)> watcher) {
  impl_->configuration_watcher = std::move(watcher);
  if (impl_->configuration) impl_->configuration_watcher(impl_->configuration);
}

void CoreService::SetDiskCheck(std::function<bool()> disk_refuses) {
  impl_->disk_refuses = std::move(disk_refuses);
}

ClusterFigures CoreService::figures() const { return impl_->Figures(); }

bool CoreService::is_primary() const { return impl_->Leads(); }

std::optional<net::Address> CoreService::primary() const { return impl_->replicator.primary(); }

void CoreService::ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) {
  impl_->ChangeConfiguration(std::move(order), std::move(done));
}

void CoreService::ReadConfiguration(DocumentDone done) {
  impl_->ReadCommitted([impl = impl_.get(), done = std::move(done)](const Result<void>& result) {
    if (!result) {
      done(result.error());
      return;
    }
    const auto current = configuration::CurrentConfiguration(impl->replicator.contents());
    if (current) {
      done(current->document);
    } else {
      done(MakeError(ErrorCode::kNotFound, "no configuration has been taken yet"));
    }
  });
}

void CoreService::Retire(operator_api::RetireOrder order, RetireDone done) {
  impl_->Retire(std::move(order), done);
}

void CoreService::ReadRetireState(std::string node, RetireStateDone done) {
  impl_->ReadCommitted([impl = impl_.get(), node = std::move(node),
                        done = std::move(done)](const Result<void>& result) {
    if (result) {
      done(RetirementState(impl->replicator.contents(), node));
    } else {
      done(result.error());
    }
  });
}

}  // namespace shelflink::cluster
