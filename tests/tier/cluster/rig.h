// A small tier on the virtual network: core processes that share a map in memory, a platform,
// proxies and stores with their agents.
#ifndef SHELFLINK_TESTS_TIER_CLUSTER_RIG_H_
#define SHELFLINK_TESTS_TIER_CLUSTER_RIG_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/virtual.h"
#include "operator_api/accepted_at_once.h"
#include "tier/cluster/agent.h"
#include "tier/cluster/configuration_history.h"
#include "tier/cluster/core_service.h"
#include "tier/coordination/apply_writes.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/settings.h"
#include "tier/platform/platform.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kFirstPort = 7360;
constexpr milliseconds kCommitTakes{5};

class MemoryReplicator;

// What the core processes of a rig agree on; whoever is elected is the primary.
struct SharedMap {
  coordination::Contents contents;
  std::uint64_t epoch = 0;
  MemoryReplicator* primary = nullptr;
  std::vector<MemoryReplicator*> replicas;
  // The next commit is stored, but its primary ends before it hears so: the next one finds it.
  bool lose_next_done = false;
  std::vector<coordination::Write> unheard;

  // The primary's lease lapses once it has been asked for so many times; negative: it holds.
  int asked_until_lapse = -1;
  bool LeaseHolds() {
    if (asked_until_lapse > 0) --asked_until_lapse;
    return asked_until_lapse != 0;
  }

  void Elect(MemoryReplicator* next);
  // The same primary under another record.
  void RaiseEpoch();
};

class MemoryReplicator : public coordination::Replicator {
 public:
  MemoryReplicator(SharedMap& map, net::Loop& loop, coordination::CoreMember self)
      : map_(map), loop_(loop), self_(std::move(self)) {
    map_.replicas.push_back(this);
    timer_ = loop_.NewTimer([this] { RunNext(); });
  }
  ~MemoryReplicator() override {
    std::erase(map_.replicas, this);
    if (map_.primary == this) map_.primary = nullptr;
  }

  void SetWatcher(Watcher watcher) override {
    watcher_ = std::move(watcher);
    std::vector<coordination::Write> all;
    for (const auto& [key, value] : map_.contents) all.push_back({key, value});
    if (!all.empty()) watcher_.committed(all);
  }

  void Submit(Plan plan, Done done) override {
    waiting_.emplace_back(std::move(plan), std::move(done));
    if (waiting_.size() == 1) timer_->ArmAt(loop_.Now() + kCommitTakes);
  }

  const coordination::Contents& contents() const override { return map_.contents; }
  bool is_primary() const override { return map_.primary == this && map_.LeaseHolds(); }
  std::uint64_t epoch() const override { return map_.epoch; }
  std::optional<net::Address> primary() const override {
    if (map_.primary == nullptr) return std::nullopt;
    return map_.primary->self_.address;
  }
  std::vector<coordination::CoreMember> members() const override {
    std::vector<coordination::CoreMember> all;
    for (const MemoryReplicator* replica : map_.replicas) all.push_back(replica->self_);
    return all;
  }
  void Transfer(std::function<void(bool)> done) override {
    loop_.Post([done = std::move(done)] { done(false); });
  }

  void TellRole(bool primary) {
    if (primary && !map_.unheard.empty()) watcher_.committed(std::exchange(map_.unheard, {}));
    watcher_.role(primary, map_.epoch);
  }

 private:
  void RunNext() {
    auto [plan, done] = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    if (!waiting_.empty()) timer_->ArmAt(loop_.Now() + kCommitTakes);
    if (!is_primary()) {
      done(MakeError(ErrorCode::kUnavailable, "not the primary"));
      return;
    }
    const auto writes = plan(map_.contents);
    if (!writes) {
      done(writes.error());
      return;
    }
    Commit(writes.value());
    if (std::exchange(map_.lose_next_done, false)) return;
    done(BOOST_OUTCOME_V2_NAMESPACE::success());
  }

  void Commit(const std::vector<coordination::Write>& writes) {
    if (writes.empty()) return;
    coordination::Apply(map_.contents, writes);
    if (map_.lose_next_done) {
      map_.unheard = writes;
      return;
    }
    for (MemoryReplicator* replica : map_.replicas) {
      if (replica->watcher_.committed) replica->watcher_.committed(writes);
    }
  }

  SharedMap& map_;
  net::Loop& loop_;
  coordination::CoreMember self_;
  Watcher watcher_;
  net::TimerPtr timer_;
  std::vector<std::pair<Plan, Done>> waiting_;
};

inline void SharedMap::Elect(MemoryReplicator* next) {
  MemoryReplicator* before = std::exchange(primary, nullptr);
  if (before != nullptr) before->TellRole(false);
  ++epoch;
  primary = next;
  if (next != nullptr) next->TellRole(true);
}

inline void SharedMap::RaiseEpoch() {
  ++epoch;
  if (primary != nullptr) primary->TellRole(true);
}

// The platform as all core processes see it.
struct PlatformWorld {
  struct UsageCall {
    std::uint64_t window;
    std::map<std::string, std::uint64_t> counts;
    std::string holder;
    std::uint64_t fence;
  };
  // A duty's call that was refused since a higher fence had been seen.
  struct RefusedCall {
    std::string subject;
    std::string holder;
    std::uint64_t fence;
  };
  bool up = true;
  // Duties' calls with a lower fence than this are refused.
  std::uint64_t highest_fence = 0;
  std::vector<RefusedCall> refused;
  // The calls of these processes fail.
  std::set<const net::Loop*> cut_off;
  bool silent = false;     // Calls for the list get no answer.
  net::Span list_takes{};  // Until a call for the list is answered.
  // The next report of use arrives, but its answer is lost.
  bool lose_next_answer = false;
  std::vector<EndpointEntry> list;
  std::size_t page_size = 100000;
  std::vector<UsageCall> usage;
  std::vector<platform::ScaleOrder> orders;
  std::uint64_t list_calls = 0;
};

class FakePlatform : public platform::Platform {
 public:
  FakePlatform(PlatformWorld& world, net::Loop& loop) : world_(world), loop_(loop) {}

  void List(const platform::ListRequest& request, ListDone done) override {
    ++world_.list_calls;
    if (world_.silent) return;
    const auto answer = [this, alive = std::weak_ptr<char>(life_), request,
                         done = std::move(done)] {
      if (alive.expired()) return;
      if (!world_.up || world_.cut_off.contains(&loop_)) {
        done(platform::CallError{ErrorCode::kUnavailable, "down", std::nullopt});
        return;
      }
      done(PageOf(request));
    };
    if (world_.list_takes == net::Span()) {
      loop_.Post(answer);
      return;
    }
    timers_.push_back(loop_.NewTimer(answer));
    timers_.back()->ArmAt(loop_.Now() + world_.list_takes);
  }

  void ReportUsage(const platform::UsageReport& report, const platform::DutyHolder& holder,
                   DutyDone done) override {
    loop_.Post([this, report, holder, done = std::move(done)] {
      if (!world_.up) {
        done(platform::CallError{ErrorCode::kUnavailable, "down", std::nullopt});
        return;
      }
      if (Refuses("usage", holder, done)) return;
      world_.usage.push_back({report.window, report.counts, holder.node, holder.fence});
      if (std::exchange(world_.lose_next_answer, false)) {
        done(platform::CallError{ErrorCode::kUnknown, "no answer", std::nullopt});
        return;
      }
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
  }

  void Scale(const platform::ScaleOrder& order, const platform::DutyHolder& holder,
             DutyDone done) override {
    loop_.Post([this, order, holder, done = std::move(done)] {
      if (!world_.up) {
        done(platform::CallError{ErrorCode::kUnavailable, "down", std::nullopt});
        return;
      }
      if (Refuses("scale " + order.service + " " + order.zone, holder, done)) return;
      world_.orders.push_back(order);
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
  }

 private:
  bool Refuses(const std::string& subject, const platform::DutyHolder& holder,
               const DutyDone& done) const {
    if (holder.fence >= world_.highest_fence) return false;
    world_.refused.push_back({subject, holder.node, holder.fence});
    done(platform::CallError{ErrorCode::kConflict, "a higher fence was seen", std::nullopt});
    return true;
  }
  platform::InstancePage PageOf(const platform::ListRequest& request) const {
    const std::size_t all = world_.list.size();
    const std::size_t first = request.page_token.empty() ? 0 : std::stoul(request.page_token);
    const std::size_t behind = std::min(all, first + world_.page_size);
    platform::InstancePage page;
    for (std::size_t index = first; index < behind; ++index) {
      page.entries.push_back(world_.list[index]);
    }
    if (behind < all) page.next_token = std::to_string(behind);
    return page;
  }

  PlatformWorld& world_;
  net::Loop& loop_;
  std::vector<net::TimerPtr> timers_;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

inline std::string RigConfiguration(std::uint64_t version) {
  return R"({"configVersion":)" + std::to_string(version) +
         R"(,"routes":[{"name":"one","hostname":"a.example","pathPrefix":"/a/",)"
         R"("routeKind":"idempotent","timeoutMs":1000,"service":"big","public":true}],)"
         R"("services":[{"name":"big","engine":{"slots":32,"kvTokens":100000},)"
         R"("autoscale":{"min":2,"max":5,"bootS":4}}]})";
}

// How a process hears of that document from another one that has it, whatever itself has.
inline std::string WholeBody(const std::string& document) {
  auto parsed = configuration::Parse(document);
  ConfigurationHistory history;
  history.Advance(std::make_shared<const configuration::Configuration>(std::move(parsed.value())));
  return history.BodySince(0);
}

inline ProcessSettings RigSettings(std::size_t cores) {
  ProcessSettings settings;
  settings.port_first = kFirstPort;
  settings.port_last = kFirstPort + 15;
  for (std::size_t index = 0; index < std::min<std::size_t>(cores, 3); ++index) {
    settings.seeds.push_back(
        net::Address::V4(0x0a010001 + static_cast<std::uint32_t>(index), 8683));
  }
  settings.contracts = {"base", "leader"};
  settings.cloud.duties = {"usage_report", "autoscale"};
  settings.cloud.rate_per_s = 40;
  settings.cloud.duty_per_s = 50;
  return settings;
}

// One machine with one process; its agent or its core service.
class RigMachine {
 public:
  RigMachine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings)
      : net_(net), host_(host), settings_(std::move(settings)) {}
  virtual ~RigMachine() { Stop(); }
  RigMachine(const RigMachine&) = delete;
  RigMachine& operator=(const RigMachine&) = delete;

  void Start() {
    Stop();
    ++lives_;
    process_ = std::make_unique<net::VirtualProcess>(net_, host_, settings_.node, 2048);
    const transport::PeerIdentity self{settings_.node, settings_.role, settings_.zone, address(),
                                       (std::uint64_t{host_} << 20U) + lives_};
    hub_ = std::make_unique<transport::Hub>(*process_, self, transport::Hub::Options{});
    Open();
  }
  void Stop() {
    if (!process_) return;
    process_->Kill();
    Close();
    hub_.reset();
    graveyard_.push_back(std::move(process_));
  }

  bool up() const { return process_ != nullptr; }
  std::uint32_t host() const { return host_; }
  net::VirtualProcess& process() { return *process_; }
  transport::Hub& hub() { return *hub_; }
  const ProcessSettings& settings() const { return settings_; }
  net::Address address() const {
    const std::uint16_t kind = settings_.role == "core" ? 1 : settings_.role == "store" ? 2 : 0;
    return net::Address::V4(host_, static_cast<std::uint16_t>(kFirstPort + kind));
  }

 protected:
  virtual void Open() = 0;
  virtual void Close() = 0;

  net::VirtualNet& net_;
  std::uint32_t host_;
  ProcessSettings settings_;
  std::uint64_t lives_ = 0;
  std::unique_ptr<net::VirtualProcess> process_;
  std::unique_ptr<transport::Hub> hub_;
  std::vector<std::unique_ptr<net::VirtualProcess>> graveyard_;
};

class RigCore : public RigMachine {
 public:
  RigCore(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings, SharedMap& map,
          PlatformWorld& platform)
      : RigMachine(net, host, std::move(settings)), map_(map), platform_world_(platform) {}
  ~RigCore() override { Stop(); }

  CoreService& service() { return *service_; }
  MemoryReplicator& replicator() { return *replicator_; }

 protected:
  void Open() override {
    replicator_ = std::make_unique<MemoryReplicator>(
        map_, *process_,
        coordination::CoreMember{settings_.node, settings_.zone, settings_.node, address()});
    platform_ = std::make_unique<FakePlatform>(platform_world_, *process_);
    service_ =
        std::make_unique<CoreService>(*process_, *hub_, *replicator_, platform_.get(), settings_);
  }
  void Close() override {
    service_.reset();
    platform_.reset();
    replicator_.reset();
  }

 private:
  SharedMap& map_;
  PlatformWorld& platform_world_;
  std::unique_ptr<MemoryReplicator> replicator_;
  std::unique_ptr<FakePlatform> platform_;
  std::unique_ptr<CoreService> service_;
};

class RigAgent : public RigMachine {
 public:
  using RigMachine::RigMachine;
  ~RigAgent() override { Stop(); }

  Agent& agent() { return *agent_; }
  std::uint64_t configuration_version() const {
    const auto& configuration = agent_->view().configuration;
    return configuration ? configuration->version : 0;
  }
  std::string disk;            // Of a store.
  std::vector<bool> contacts;  // As they were told, over all lives.
  bool stepped_back = false;   // A version of a part was lower than one before, in one life.

 protected:
  void Open() override {
    seen_ = {};
    Agent::Changes changes;
    changes.configuration = [this] { Watch({0, configuration_version()}, 0); };
    changes.endpoints = [this] { Watch(agent_->view().endpoints->version, 1); };
    changes.placement = [this] { Watch(agent_->view().placement->version, 2); };
    changes.members = [this] { Watch(agent_->view().members->version, 3); };
    changes.contact = [this](bool touch) { contacts.push_back(touch); };
    agent_ = std::make_unique<Agent>(*process_, *hub_, settings_, std::move(changes));
    if (settings_.role == "store") {
      if (disk.empty()) disk = settings_.node + "-disk";
      agent_->SetStoreReport([this] { return StoreState{disk, 0, 1000, 0}; });
    }
  }
  void Close() override { agent_.reset(); }

 private:
  void Watch(const Version& version, std::size_t part) {
    stepped_back = stepped_back || version <= seen_[part];
    seen_[part] = version;
  }

  std::unique_ptr<Agent> agent_;
  std::array<Version, kParts> seen_{};
};

class Rig {
 public:
  explicit Rig(std::size_t core_count = 3, std::size_t proxy_count = 3, std::size_t store_count = 0,
               std::uint64_t seed = 1)
      : net(seed) {
    const ProcessSettings base = RigSettings(core_count);
    for (std::size_t index = 0; index < core_count; ++index) {
      cores.push_back(std::make_unique<RigCore>(net, 0x0a010001 + static_cast<std::uint32_t>(index),
                                                Named(base, "core", index), map, platform));
    }
    for (std::size_t index = 0; index < proxy_count; ++index) AddProxy();
    for (std::size_t index = 0; index < store_count; ++index) AddStore();
  }
  ~Rig() {
    stores.clear();
    proxies.clear();
    cores.clear();
    net.Clear();
  }

  RigAgent& AddProxy() { return Add(proxies, "proxy", 0x0a020001); }
  RigAgent& AddStore() { return Add(stores, "store", 0x0a030001); }

  // All of them; the first core process is the primary.
  void Start() {
    for (auto& core : cores) core->Start();
    for (auto& proxy : proxies) proxy->Start();
    for (auto& store : stores) store->Start();
    map.Elect(&cores[0]->replicator());
  }
  void Elect(std::size_t core) { map.Elect(&cores[core]->replicator()); }
  RigCore& Primary() {
    for (auto& core : cores) {
      if (core->up() && core->service().is_primary()) return *core;
    }
    throw std::runtime_error("no primary");
  }

  void Run(net::Span span) { net.RunUntil(net.Now() + span); }
  // Whether it came true within the span.
  template <typename Condition>
  bool RunUntil(Condition condition, net::Span within) {
    const net::Time end = net.Now() + within;
    while (net.Now() < end) {
      if (condition()) return true;
      net.RunUntil(std::min(end, net.Now() + milliseconds(1)));
    }
    return condition();
  }

  // Sends the configuration and waits for its acknowledgement.
  Result<void> Put(std::uint64_t version, std::uint64_t base) {
    std::optional<Result<void>> result;
    Primary().service().ChangeConfiguration(
        {configuration::ChangeMethod::kPut, base, RigConfiguration(version)},
        [&](const auto& told) { result = operator_api::AcceptedAtOnce(told); });
    RunUntil([&] { return result.has_value(); }, seconds(1));
    if (!result) return MakeError(ErrorCode::kUnknown, "no answer");
    return *result;
  }

  bool AllHave(std::uint64_t version) {
    return std::all_of(proxies.begin(), proxies.end(), [&](const auto& proxy) {
      return !proxy->up() || proxy->configuration_version() == version;
    });
  }

  net::VirtualNet net;
  SharedMap map;
  PlatformWorld platform;
  std::vector<std::unique_ptr<RigCore>> cores;
  std::vector<std::unique_ptr<RigAgent>> proxies;
  std::vector<std::unique_ptr<RigAgent>> stores;

 private:
  static ProcessSettings Named(ProcessSettings settings, const std::string& role,
                               std::size_t index) {
    settings.role = role;
    settings.zone = "zone-" + std::to_string(index % 3);
    settings.node = role + "-" + std::to_string(index);
    return settings;
  }
  RigAgent& Add(std::vector<std::unique_ptr<RigAgent>>& to, const std::string& role,
                std::uint32_t first_host) {
    const std::size_t index = to.size();
    to.push_back(std::make_unique<RigAgent>(net, first_host + static_cast<std::uint32_t>(index),
                                            Named(RigSettings(cores.size()), role, index)));
    return *to.back();
  }
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TESTS_TIER_CLUSTER_RIG_H_
