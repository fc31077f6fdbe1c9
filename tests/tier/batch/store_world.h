// Stores of batch jobs on the virtual network: real hubs, replicas and services on disks that
// crash, with a core and proxies that behave as the agreed interfaces say.
#ifndef SHELFLINK_TESTS_TIER_BATCH_STORE_WORLD_H_
#define SHELFLINK_TESTS_TIER_BATCH_STORE_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/virtual.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition.h"
#include "tier/batch/replica_host.h"
#include "tier/batch/store_disk.h"
#include "tier/batch/store_service.h"
#include "tier/cluster/placement.h"
#include "tier/storage/crash_storage.h"

namespace shelflink::batch {

using std::chrono::milliseconds;

constexpr std::uint16_t kStorePort = 7002;
constexpr std::uint16_t kProxyPort = 7000;
constexpr milliseconds kSyncTakes{2};
constexpr milliseconds kCoreTick{100};
constexpr milliseconds kStoreLease{1000};
constexpr std::size_t kTestPartitions = 3;

// Timers that run a step once and vanish.
class Later {
 public:
  explicit Later(net::Loop& loop) : loop_(loop) {}
  void Run(net::Span after, std::function<void()> step) {
    std::erase_if(timers_, [](const auto& entry) { return *entry.first; });
    auto done = std::make_shared<bool>(false);
    net::TimerPtr timer = loop_.NewTimer([done, step = std::move(step)] {
      *done = true;
      step();
    });
    timer->ArmAt(loop_.Now() + after);
    timers_.emplace_back(done, std::move(timer));
  }

 private:
  net::Loop& loop_;
  std::list<std::pair<std::shared_ptr<bool>, net::TimerPtr>> timers_;
};

inline Bounds TestBounds() { return {}; }

inline configuration::Configuration TestConfiguration() {
  configuration::Configuration configuration;
  configuration::Route route;
  route.name = "route";
  route.kind = configuration::RouteKind::kBatch;
  configuration.routes.push_back(route);
  return configuration;
}

struct StoreMachine;

// A start of the store's process, on an opening of its disk.
struct StoreProcessInTest {
  // Without `opened` it opens the machine's disk itself and never looks whether it has failed.
  StoreProcessInTest(net::VirtualNet& net, StoreMachine& machine, std::uint64_t incarnation,
                     std::size_t copies, storage::Storage* opened,
                     std::function<std::uint64_t()> random,
                     std::function<void(const cluster::BackupReport&)> report);
  ~StoreProcessInTest() { loop.Kill(); }

  net::VirtualProcess loop;
  Later later;
  transport::Hub hub;
  std::unique_ptr<storage::CrashStorage> own_storage;
  storage::Storage& storage;
  storage::DiskIdentity identity;
  ReplicaHost replicas;
  StoreService service;
  bool identity_synced = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// Opens a machine's disk; steps of its syncs may be scheduled with `syncs`.
using OpenDisk = std::function<std::unique_ptr<storage::Storage>(StoreMachine& machine,
                                                                 net::Loop& loop, Later& syncs)>;
inline std::unique_ptr<storage::Storage> OpenCrashDisk(StoreMachine& machine, net::Loop& loop,
                                                       Later& syncs);

// What keeps a store on its disk, as the store's program does, on a loop beside the store's.
struct DiskKeeper {
  DiskKeeper(net::VirtualNet& net, StoreMachine& machine, const OpenDisk& open,
             StoreDisk::Work work);
  ~DiskKeeper() { loop.Kill(); }

  net::VirtualProcess loop;
  Later syncs;
  StoreDisk disk;
};

struct StoreMachine {
  std::uint32_t number = 0;
  std::string zone;
  storage::CrashDisk disk;
  std::unique_ptr<StoreProcessInTest> process;
  std::unique_ptr<DiskKeeper> keeper;  // Where the world keeps the stores on their disks.
  net::Time lease_until{};  // As the store counts it, under the newest placement it was told of.
  net::Time live_until{};   // As the core does.
  // The newest renewal: its end, and which placement the core had then.
  net::Time renewed_until{};
  std::uint64_t renewed_placement = 0;
  std::uint64_t known_placement = 0;  // To the store.
  std::uint32_t moves = 0;            // Each to another address.
  std::string known_disk;             // To the core.
  bool paused = false;
  bool cut = false;
  bool retiring = false;

  std::uint32_t host() const { return 0x0a000100U + number + 32U * moves; }
  net::Address address() const { return net::Address::V4(host(), kStorePort); }
  bool reaches_core() const { return process != nullptr && !paused && !cut; }
  void CountLease() {
    if (known_placement >= renewed_placement) lease_until = renewed_until;
  }
};

// Time of day as all but a stepped machine have it.
inline Micros WallOf(const net::VirtualNet& net) {
  return std::chrono::duration_cast<std::chrono::microseconds>(net.Now().time_since_epoch())
             .count() +
         1'700'000'000'000'000;
}

inline transport::PeerIdentity IdentityOf(const StoreMachine& machine, std::uint64_t incarnation) {
  transport::PeerIdentity self;
  self.node = "store-" + std::to_string(machine.number);
  self.role = "store";
  self.zone = machine.zone;
  self.address = machine.address();
  self.incarnation = incarnation;
  return self;
}

inline ReplicaHost::Options HostOptionsOf(const std::string& disk, std::size_t copies) {
  ReplicaHost::Options options;
  options.disk = disk;
  options.least_replicas = copies;
  return options;
}

inline StoreProcessInTest::StoreProcessInTest(
    net::VirtualNet& net, StoreMachine& machine, std::uint64_t incarnation, std::size_t copies,
    storage::Storage* opened, std::function<std::uint64_t()> random,
    std::function<void(const cluster::BackupReport&)> report)
    : loop(net, machine.host(), "store-" + std::to_string(machine.number), 200),
      later(loop),
      hub(loop, IdentityOf(machine, incarnation), {}),
      own_storage(opened != nullptr ? nullptr
                                    : std::make_unique<storage::CrashStorage>(
                                          machine.disk,
                                          [this](std::function<void()> step) {
                                            later.Run(kSyncTakes, std::move(step));
                                          })),
      storage(opened != nullptr ? *opened : *own_storage),
      identity(storage::ReadOrDrawIdentity(storage, random)),
      replicas(loop, hub, storage, HostOptionsOf(identity.id, copies),
               {[&machine] { return machine.lease_until; }, std::move(report)}),
      service(loop, hub, replicas, {TestBounds(), random(), [&net] { return WallOf(net); }}) {
  storage.Sync([this, alive = std::weak_ptr<bool>(alive)](const Result<void>& synced) {
    if (!alive.expired()) identity_synced = synced.has_value();
  });
  service.OnConfiguration(TestConfiguration());
}

inline std::unique_ptr<storage::Storage> OpenCrashDisk(StoreMachine& machine, net::Loop&,
                                                       Later& syncs) {
  return std::make_unique<storage::CrashStorage>(
      machine.disk,
      [&syncs](std::function<void()> step) { syncs.Run(kSyncTakes, std::move(step)); });
}

inline DiskKeeper::DiskKeeper(net::VirtualNet& net, StoreMachine& machine, const OpenDisk& open,
                              StoreDisk::Work work)
    : loop(net, machine.host(), "disk-" + std::to_string(machine.number), 10),
      syncs(loop),
      disk(
          loop, [this, &machine, open] { return open(machine, loop, syncs); }, std::move(work)) {}

// What clients were promised, and what they have seen.
struct Promise {
  Submit submit;
  bool acknowledged = false;
  std::optional<net::Time> end_acknowledged;
  bool end_asked = false;
  std::vector<ItemResult> read;
};

class StoreWorld;

// A proxy: clients' calls, and runs of items that take a while.
class ProxyInTest {
 public:
  ProxyInTest(StoreWorld& world, std::uint32_t number);
  ~ProxyInTest() { loop_.Kill(); }
  ProxyInTest(const ProxyInTest&) = delete;
  ProxyInTest& operator=(const ProxyInTest&) = delete;

  void SetCapacity(std::uint32_t capacity) { capacity_ = capacity; }
  void TakePlacement(std::uint64_t count, const std::vector<cluster::PartitionRow>& rows) {
    if (count <= placement_) return;
    placement_ = count;
    rows_ = rows;
  }
  void CallJob(MessageKind kind, const JobRef& job, std::string body,
               std::function<void(Result<std::string>)> done);
  transport::Hub& hub() { return hub_; }
  std::uint64_t runs() const { return runs_started_; }

 private:
  struct Run {
    Assign assign;
    Output output;
    net::Time valid_until{};
    std::uint64_t confirmed = 0;  // Bytes of output that the store has.
    bool delivered = false;
    std::optional<Finished> finished;
  };

  net::Address PrimaryOf(const JobRef& job) const { return rows_.at(job.partition).primary; }
  void OnAssign(const Assign& assign);
  void Deliver(LeaseId lease);
  void Advance(LeaseId lease);
  void Tell(LeaseId lease);
  void OfferAll();
  void OfferTo(const net::Address& store);
  void OnOfferAnswer(const net::Address& store, const std::vector<LeaseId>& leases, net::Time sent,
                     const OfferAnswer& answer);
  void AdoptAt(const net::Address& store, const std::vector<LeaseId>& leases);

  StoreWorld& world_;
  net::VirtualProcess loop_;
  Later later_;
  transport::Hub hub_;
  std::uint64_t placement_ = 0;
  std::vector<cluster::PartitionRow> rows_;  // As known here; they come late.
  std::map<LeaseId, Run> running_;
  std::uint32_t capacity_ = 6;
  std::uint64_t runs_started_ = 0;
};

class StoreWorld {
 public:
  // `keeps_disks`: stores leave when their disks fail and return when they take writes again.
  StoreWorld(std::uint64_t seed, std::uint32_t stores, std::size_t copies = 2,
             bool keeps_disks = false, OpenDisk open_disk = OpenCrashDisk)
      : net(seed),
        random_(seed * 7919 + 1),
        copies_(copies),
        keeps_disks_(keeps_disks),
        open_disk_(std::move(open_disk)) {
    rules_.copies = copies;
    for (std::uint32_t number = 0; number < stores; ++number) {
      auto machine = std::make_unique<StoreMachine>();
      machine->number = number;
      machine->zone = "zone-" + std::to_string(number % 3);
      machines.push_back(std::move(machine));
      Start(number);
    }
    for (std::uint32_t number = 0; number < 2; ++number) {
      proxies.push_back(std::make_unique<ProxyInTest>(*this, number));
    }
    TickCore();
  }
  ~StoreWorld() {
    proxies.clear();
    machines.clear();
    net.Clear();
  }
  StoreWorld(const StoreWorld&) = delete;
  StoreWorld& operator=(const StoreWorld&) = delete;

  // The primary's part goes to the first backup and back, and the primary hears of both at once.
  void SwapTwice(std::uint32_t partition) {
    cluster::PartitionRow& row = rows_.at(partition);
    StoreMachine& machine = *machines[*StoreAt(row.primary)];
    cluster::Placement placement;
    placement.rows = rows_;
    cluster::PartitionRow& swapped = placement.rows[partition];
    std::swap(swapped.primary, swapped.backups[0]);
    std::swap(swapped.primary_disk, swapped.backup_disks[0]);
    swapped.epoch = row.epoch + 1;
    row.epoch += 2;
    placements_ += 2;
    machine.known_placement = placements_;
    machine.process->replicas.OnPlacement(placement);
    placement.rows = rows_;
    machine.process->replicas.OnPlacement(placement);
    TellPlacement();
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  void RunFor(net::Span span) { net.RunUntil(net.Now() + span); }

  // --- Faults ---------------------------------------------------------------------------------

  void Start(std::uint32_t number) {
    StoreMachine& machine = *machines[number];
    machine.lease_until = {};
    machine.renewed_until = {};
    machine.known_placement = 0;
    if (keeps_disks_) {
      machine.keeper = std::make_unique<DiskKeeper>(net, machine, open_disk_, WorkOf(machine));
    } else {
      StartProcess(machine, nullptr);
    }
  }
  // What LMDB had not committed is gone with the process, as with the power.
  void Kill(std::uint32_t number) {
    StoreMachine& machine = *machines[number];
    if (!machine.process && !machine.keeper) return;
    machine.keeper.reset();
    machine.process.reset();
    machine.paused = false;
    machine.disk.LosePower(Draw(machine.disk.unsynced() + 1));
  }
  void Wipe(std::uint32_t number) {
    Kill(number);
    machines[number]->disk.Wipe();
  }
  // An empty machine takes the place of this one, at another address. What it had on disk is given
  // back.
  storage::CrashDisk Replace(std::uint32_t number) {
    Kill(number);
    StoreMachine& machine = *machines[number];
    ++machine.moves;
    return std::exchange(machine.disk, storage::CrashDisk());
  }
  void Pause(std::uint32_t number, bool paused) {
    StoreMachine& machine = *machines[number];
    if (!machine.process) return;
    machine.paused = paused;
    machine.process->loop.SetPaused(paused);
  }
  void CutBetween(std::uint32_t one, std::uint32_t other, bool cut) {
    net.SetCut(machines[one]->host(), machines[other]->host(), cut);
  }
  void Cut(std::uint32_t number, bool cut) {
    machines[number]->cut = cut;
    net.SetCutOff(machines[number]->host(), cut);
  }
  std::optional<std::uint32_t> StoreAt(const net::Address& address) const {
    for (const auto& machine : machines) {
      if (machine->address() == address) return machine->number;
    }
    return {};
  }
  const cluster::PartitionRow& RowOf(const JobRef& job) const { return rows_.at(job.partition); }
  const std::vector<cluster::PartitionRow>& rows() const { return rows_; }
  bool AllComplete() const {
    return std::all_of(rows_.begin(), rows_.end(), [this](const cluster::PartitionRow& row) {
      return row.backups.size() + 1 == copies_ &&
             std::count(row.complete.begin(), row.complete.end(), false) == 0;
    });
  }
  std::size_t copies() const { return copies_; }
  std::uint64_t data_lost() const { return data_lost_; }

  net::VirtualNet net;
  std::vector<std::unique_ptr<StoreMachine>> machines;
  std::vector<std::unique_ptr<ProxyInTest>> proxies;
  std::map<std::string, Promise> promises;  // By job id.
  std::vector<std::string> broken;          // Promises that were broken.
  std::set<std::string> finished;           // Items of which an endpoint gave the whole output.

 private:
  void StartProcess(StoreMachine& machine, storage::Storage* opened) {
    machine.lease_until = {};
    machine.renewed_until = {};
    machine.known_placement = 0;
    machine.process = std::make_unique<StoreProcessInTest>(
        net, machine, ++incarnations_, copies_, opened, [this] { return random_(); },
        [this, number = machine.number](const cluster::BackupReport& report) {
          OnReport(number, report);
        });
  }
  StoreDisk::Work WorkOf(StoreMachine& machine) {
    StoreDisk::Work work;
    work.start = [this, &machine](storage::Storage& disk) { StartProcess(machine, &disk); };
    // The core takes the lease back at once where it is in reach.
    work.leave = [this, &machine](const std::function<void()>& done) {
      machine.process->identity_synced = false;
      if (machine.reaches_core()) machine.live_until = net.Now();
      done();
    };
    work.stop = [&machine] { machine.process.reset(); };
    return work;
  }

  // --- The core -------------------------------------------------------------------------------

  void TickCore() {
    for (auto& machine : machines) RenewLease(*machine);
    Plan();
    net.At(net.Now() + kCoreTick, [this] { TickCore(); });
  }

  void RenewLease(StoreMachine& machine) {
    if (!machine.reaches_core() || !machine.process->identity_synced) return;
    machine.renewed_until = net.Now() + kStoreLease;
    machine.renewed_placement = placements_;
    machine.CountLease();
    machine.live_until = net.Now() + kStoreLease + milliseconds(20);
    machine.known_disk = machine.process->identity.id;
  }

  std::vector<cluster::StoreCandidate> Candidates() const {
    std::vector<cluster::StoreCandidate> candidates;
    for (const auto& machine : machines) {
      if (machine->known_disk.empty()) continue;
      cluster::StoreCandidate candidate;
      candidate.node = "store-" + std::to_string(machine->number);
      candidate.zone = machine->zone;
      candidate.address = machine->address();
      candidate.disk = machine->known_disk;
      candidate.live = net.Now() < machine->live_until;
      candidate.retiring = machine->retiring;
      candidates.push_back(candidate);
    }
    return candidates;
  }

  void Plan() {
    const std::vector<cluster::StoreCandidate> candidates = Candidates();
    if (rows_.empty()) {
      if (candidates.size() < machines.size()) return;
      rows_ = cluster::FirstPlacement(candidates, rules_);
      rows_.resize(kTestPartitions);
      ++placements_;
    }
    std::erase_if(stalled_until_, [this](const auto& entry) { return entry.second <= net.Now(); });
    cluster::Stalled stalled;
    for (const auto& [who, until] : stalled_until_) stalled.insert(who);
    for (const cluster::RowChange& change :
         cluster::NextChanges(rows_, candidates, stalled, rules_)) {
      rows_[change.partition] = change.row;
      ++placements_;
      if (change.data_lost) ++data_lost_;
    }
    TellPlacement();
  }

  // Each proxy and each reachable store hears of it after a delay of its own.
  void TellPlacement() {
    cluster::Placement placement;
    placement.rows = rows_;
    for (auto& proxy : proxies) {
      net.At(net.Now() + milliseconds(1 + Draw(300)),
             [to = proxy.get(), count = placements_, rows = rows_] {
               to->TakePlacement(count, rows);
             });
    }
    for (auto& machine : machines) {
      if (!machine->reaches_core()) continue;
      StoreMachine* const to = machine.get();
      const StoreProcessInTest* const process = to->process.get();
      net.At(net.Now() + milliseconds(1 + Draw(30)), [to, process, placement, count = placements_] {
        if (to->process.get() != process || !to->reaches_core()) return;
        if (count < to->known_placement) return;
        to->known_placement = count;
        to->CountLease();
        to->process->replicas.OnPlacement(placement);
      });
    }
  }

  void OnReport(std::uint32_t number, const cluster::BackupReport& report) {
    if (!machines[number]->reaches_core()) return;
    net.At(net.Now() + milliseconds(1 + Draw(10)), [this, report] {
      if (report.partition >= rows_.size()) return;
      cluster::PartitionRow& row = rows_[report.partition];
      if (row.epoch != report.epoch) return;
      if (report.condition == cluster::BackupCondition::kComplete) {
        row = cluster::WithComplete(row, report.disk);
        ++placements_;
      } else {
        stalled_until_[{report.partition, report.disk}] = net.Now() + milliseconds(1000);
      }
      Plan();
    });
  }

  std::mt19937_64 random_;
  std::size_t copies_;
  bool keeps_disks_;
  OpenDisk open_disk_;
  cluster::PlacementRules rules_;
  std::vector<cluster::PartitionRow> rows_;
  std::map<std::pair<std::size_t, std::string>, net::Time> stalled_until_;
  std::uint64_t placements_ = 0;  // Counts their changes.
  std::uint64_t incarnations_ = 0;
  std::uint64_t data_lost_ = 0;
};

// --- Proxies
// --------------------------------------------------------------------------------------

// What the endpoints output for an item, event by event.
inline std::string EventOf(const std::string& item, std::uint64_t number) {
  return "event " + std::to_string(number) + " of " + item;
}
constexpr std::uint64_t kEventsOfItem = 4;
inline std::string WholeOutput(const std::string& item) {
  std::string text;
  for (std::uint64_t number = 0; number < kEventsOfItem; ++number) {
    if (number > 0) text += "\n";
    text += EventOf(item, number);
  }
  return text;
}

inline transport::PeerIdentity ProxyIdentity(std::uint32_t number) {
  transport::PeerIdentity self;
  self.node = "proxy-" + std::to_string(number);
  self.role = "proxy";
  self.zone = "zone-" + std::to_string(number);
  self.address = net::Address::V4(0x0a000201U + number, kProxyPort);
  self.incarnation = 1000 + number;
  return self;
}

inline ProxyInTest::ProxyInTest(StoreWorld& world, std::uint32_t number)
    : world_(world),
      loop_(world.net, 0x0a000201U + number, "proxy-" + std::to_string(number), 200),
      later_(loop_),
      hub_(loop_, ProxyIdentity(number), {}) {
  hub_.Handle(kAssign, [this](const transport::PeerIdentity&, std::string_view body) {
    const Result<Assign> assign = Decode<Assign>(body);
    if (assign) OnAssign(assign.value());
  });
  hub_.Handle(kRevoke, [this](const transport::PeerIdentity&, std::string_view body) {
    const Result<Revoke> revoke = Decode<Revoke>(body);
    if (revoke) running_.erase(revoke.value().lease);
  });
  OfferAll();
}

inline void ProxyInTest::CallJob(MessageKind kind, const JobRef& job, std::string body,
                                 std::function<void(Result<std::string>)> done) {
  if (rows_.empty()) {
    done(MakeError(ErrorCode::kUnavailable, "no placement"));
    return;
  }
  hub_.Call(PrimaryOf(job), kind, std::move(body), milliseconds(2000),
            [done = std::move(done)](Result<std::string> result) { done(std::move(result)); });
}

inline void ProxyInTest::OnAssign(const Assign& assign) {
  const std::string& job = assign.item.job.job;
  const auto promise = world_.promises.find(job);
  if (promise == world_.promises.end()) {
    world_.broken.push_back("an item of an unknown job is handed out: " + job);
    return;
  }
  const auto& items = promise->second.submit.items;
  const auto item = std::find_if(items.begin(), items.end(),
                                 [&](const Item& one) { return one.id == assign.item.item; });
  if (item == items.end() || item->body != assign.body || item->path != assign.path) {
    world_.broken.push_back("an item is handed out with other bytes: " + assign.item.item);
    return;
  }
  Run run;
  run.assign = assign;
  run.output = assign.output;
  run.confirmed = assign.output.text.size();
  // The lease counts from an offer that the store took before; the next offer renews it.
  run.valid_until = loop_.Now() + LeaseSpan(TestBounds()) / 2;
  running_[assign.lease] = std::move(run);
  ++runs_started_;
  later_.Run(milliseconds(5 + world_.Draw(50)), [this, lease = assign.lease] { Deliver(lease); });
}

inline void ProxyInTest::Deliver(LeaseId lease) {
  const auto found = running_.find(lease);
  if (found == running_.end() || loop_.Now() >= found->second.valid_until) return;
  Run& run = found->second;
  run.delivered = true;
  const Promise& promise = world_.promises.at(run.assign.item.job.job);
  if (promise.end_acknowledged && loop_.Now() > *promise.end_acknowledged + TestBounds().cancel) {
    world_.broken.push_back("an item is sent on long after the end of its job");
  }
  later_.Run(milliseconds(50 + world_.Draw(400)), [this, lease] { Advance(lease); });
}

inline void ProxyInTest::Advance(LeaseId lease) {
  const auto found = running_.find(lease);
  if (found == running_.end() || found->second.finished) return;
  Run& run = found->second;
  Finished finished{run.assign.item, lease, RunOutcome::kComplete, {}};
  const std::uint64_t chance = world_.Draw(100);
  if (chance < 3) {
    finished.outcome = RunOutcome::kReturned;
  } else if (chance < 6) {
    finished.outcome = RunOutcome::kInterrupted;
    finished.output = run.output;
  } else if (run.output.events < kEventsOfItem) {
    if (run.output.events > 0) run.output.text += "\n";
    run.output.text += EventOf(run.assign.item.item, run.output.events);
    run.output.last_event_id = run.output.events;
    ++run.output.events;
    later_.Run(milliseconds(20 + world_.Draw(200)), [this, lease] { Advance(lease); });
    return;
  } else {
    finished.output = run.output;
    world_.finished.insert(run.assign.item.item);
  }
  run.finished = std::move(finished);
  Tell(lease);
}

// Until a store has taken it.
inline void ProxyInTest::Tell(LeaseId lease) {
  const auto found = running_.find(lease);
  if (found == running_.end()) return;
  const Finished& finished = *found->second.finished;
  CallJob(kFinished, finished.item.job, Encode(finished), [this, lease](const auto& result) {
    if (result) {
      running_.erase(lease);
    } else {
      later_.Run(milliseconds(100), [this, lease] { Tell(lease); });
    }
  });
}

inline void ProxyInTest::OfferAll() {
  for (const auto& machine : world_.machines) OfferTo(machine->address());
  later_.Run(milliseconds(250), [this] { OfferAll(); });
}

inline void ProxyInTest::OfferTo(const net::Address& store) {
  Offer offer;
  std::vector<LeaseId> leases;
  for (const auto& [lease, run] : running_) {
    const JobRef& job = run.assign.item.job;
    if (rows_.empty() || PrimaryOf(job) != store) continue;
    HeldLease held{job.partition, lease, std::nullopt};
    if (run.confirmed < run.output.text.size()) {
      held.more = OutputPart{run.confirmed, run.output.text.substr(run.confirmed),
                             run.output.events, run.output.last_event_id};
    }
    offer.held.push_back(std::move(held));
    leases.push_back(lease);
  }
  offer.items = capacity_ - std::min<std::uint32_t>(capacity_, offer.held.size());
  offer.room = offer.items;
  hub_.Call(store, kOffer, Encode(offer), milliseconds(1000),
            [this, store, leases, sent = loop_.Now()](const Result<std::string>& result) {
              if (!result) return;
              const Result<OfferAnswer> answer = Decode<OfferAnswer>(result.value());
              if (answer) OnOfferAnswer(store, leases, sent, answer.value());
            });
}

inline void ProxyInTest::OnOfferAnswer(const net::Address& store,
                                       const std::vector<LeaseId>& leases, net::Time sent,
                                       const OfferAnswer& answer) {
  std::vector<LeaseId> unknown;
  for (std::size_t index = 0; index < std::min(leases.size(), answer.held.size()); ++index) {
    const auto run = running_.find(leases[index]);
    if (run == running_.end()) continue;
    switch (answer.held[index]) {
      case LeaseStatus::kRenewed:
        run->second.valid_until = sent + LeaseSpan(TestBounds());
        break;
      case LeaseStatus::kRevoked:
        running_.erase(run);
        break;
      case LeaseStatus::kUnknown:
        unknown.push_back(leases[index]);
        break;
      case LeaseStatus::kNotPrimary:
        break;
    }
  }
  if (!unknown.empty()) AdoptAt(store, unknown);
}

inline void ProxyInTest::AdoptAt(const net::Address& store, const std::vector<LeaseId>& leases) {
  Adopt adopt;
  for (const LeaseId lease : leases) {
    const Run& run = running_.at(lease);
    adopt.leases.push_back({run.assign.item, lease, run.output});
  }
  hub_.Call(store, kAdopt, Encode(adopt), milliseconds(1000),
            [this, leases, sent = loop_.Now()](const Result<std::string>& result) {
              if (!result) return;
              const Result<AdoptAnswer> answer = Decode<AdoptAnswer>(result.value());
              if (!answer) return;
              for (std::size_t index = 0; index < leases.size(); ++index) {
                const auto run = running_.find(leases[index]);
                if (run == running_.end()) continue;
                if (answer.value().leases[index] == LeaseStatus::kRevoked) {
                  running_.erase(run);
                } else if (answer.value().leases[index] == LeaseStatus::kRenewed) {
                  run->second.valid_until = sent + LeaseSpan(TestBounds());
                }
              }
            });
}

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_STORE_WORLD_H_
