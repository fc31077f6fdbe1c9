// Groups on the virtual network, with disks that can lose power, be wiped, become full or stall.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_CLUSTER_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_CLUSTER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/virtual.h"
#include "tier/coordination/group.h"
#include "tier/storage/crash_storage.h"
#include "tier/transport/hub.h"

namespace shelflink::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kPort = 7361;
constexpr net::Span kSyncTime = milliseconds(4);

// A machine of the core. Its disk outlives its processes.
class Machine {
 public:
  Machine(net::VirtualNet& net, std::uint32_t host, std::string zone, Group::Options options)
      : net_(net), host_(host), zone_(std::move(zone)), options_(std::move(options)) {}
  ~Machine() { Stop(); }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start(bool bootstrap, bool with_disk = true) {
    ++starts_;
    process_ = std::make_unique<net::VirtualProcess>(net_, host_, "core", 256);
    transport::PeerIdentity self{"node-" + std::to_string(host_ & 0xffU), "core", zone_, address(),
                                 (std::uint64_t{host_} << 20U) + starts_};
    hub_ = std::make_unique<transport::Hub>(*process_, self, transport::Hub::Options{});
    std::unique_ptr<storage::Storage> storage;
    if (with_disk) {
      storage = std::make_unique<storage::CrashStorage>(
          disk, [this](std::function<void()> step) { Schedule(std::move(step)); });
    }
    Group::Options options = options_;
    options.member.found = bootstrap;
    group_ = std::make_unique<Group>(*process_, *hub_, std::move(storage), options,
                                     [this] { return ++drawn_numbers_ * 1000003 + host_; });
    group_->SetWatcher({[this](const std::vector<Write>& writes) {
                          if (committed) committed(writes);
                        },
                        [this](bool primary, std::uint64_t epoch) {
                          if (role) role(primary, epoch);
                        }});
  }
  // Kills the process. Of the batches that no sync covers, `kept` remain on the disk.
  void Stop(std::size_t kept = 0) {
    if (!process_) return;
    process_->Kill();
    syncs_.clear();
    group_.reset();
    hub_.reset();
    killed_processes_.push_back(std::move(process_));
    disk.LosePower(kept);
    paused = false;
  }
  void Wipe() {
    Stop();
    disk.Wipe();
  }

  void SetPaused(bool is_paused) {
    paused = is_paused;
    if (process_) process_->SetPaused(is_paused);
  }

  void SetSeeds(std::vector<net::Address> seeds) { options_.member.seeds = std::move(seeds); }

  bool up() const { return process_ != nullptr; }
  std::uint64_t start_count() const { return starts_; }
  Group& group() { return *group_; }
  net::VirtualProcess& process() { return *process_; }
  net::Address address() const { return net::Address::V4(host_, kPort); }
  std::uint32_t host() const { return host_; }

  storage::CrashDisk disk;
  net::Span sync_time = kSyncTime;
  bool paused = false;
  std::function<void(const std::vector<Write>&)> committed;
  std::function<void(bool, std::uint64_t)> role;

 private:
  void Schedule(std::function<void()> step) {
    syncs_.remove_if([](const Pending& pending) { return pending.done; });
    Pending& pending = syncs_.emplace_back();
    pending.timer = process_->NewTimer([&pending, step = std::move(step)] {
      pending.done = true;
      const auto run = step;  // Scheduling another step may free this function.
      run();
    });
    pending.timer->ArmAt(process_->Now() + sync_time);
  }

  struct Pending {
    net::TimerPtr timer;
    bool done = false;
  };

  net::VirtualNet& net_;
  std::uint32_t host_;
  std::string zone_;
  Group::Options options_;
  std::uint64_t starts_ = 0;
  std::uint64_t drawn_numbers_ = 0;
  std::unique_ptr<net::VirtualProcess> process_;
  std::unique_ptr<transport::Hub> hub_;
  std::unique_ptr<Group> group_;
  std::list<Pending> syncs_;
  std::vector<std::unique_ptr<net::VirtualProcess>> killed_processes_;
};

class Cluster {
 public:
  explicit Cluster(std::size_t size, std::uint64_t seed = 1, std::size_t failures = 1,
                   std::uint64_t link_bytes_per_second = 0)
      : net(seed) {
    options_.member.failures = failures;
    options_.member.link_bytes_per_second = link_bytes_per_second;
    for (std::size_t i = 0; i < std::min<std::size_t>(size, 3); ++i) {
      options_.member.seeds.push_back(net::Address::V4(HostOf(i), kPort));
    }
    for (std::size_t i = 0; i < size; ++i) AddMachine();
  }
  ~Cluster() {
    machines.clear();
    net.Clear();
  }

  Machine& AddMachine() {
    const std::size_t index = machines.size();
    machines.push_back(
        std::make_unique<Machine>(net, HostOf(index), "zone-" + std::to_string(index), options_));
    return *machines.back();
  }
  void StartAll(bool bootstrap = true) {
    for (auto& machine : machines) machine->Start(bootstrap);
  }
  void Run(net::Span span) { net.RunUntil(net.Now() + span); }
  // Runs until `condition` is true. Returns false if that does not happen within `timeout`.
  bool RunUntil(const std::function<bool()>& condition, net::Span timeout) {
    const net::Time until = net.Now() + timeout;
    while (!condition()) {
      if (net.Now() >= until) return false;
      net.RunUntil(net.Now() + milliseconds(5));
    }
    return true;
  }
  Machine* Primary() {
    for (auto& machine : machines) {
      if (machine->up() && machine->group().is_primary()) return machine.get();
    }
    return nullptr;
  }
  // Throws if there is no primary.
  Machine& ThePrimary() {
    Machine* const primary = Primary();
    if (primary == nullptr) throw std::runtime_error("there is no primary");
    return *primary;
  }
  Machine& At(std::size_t index) { return *machines[index]; }
  Machine& Other(const Machine& excluded, std::size_t nth = 0) {
    for (auto& machine : machines) {
      if (machine.get() != &excluded && nth-- == 0) return *machine;
    }
    return *machines.front();
  }
  // Submits a write to the current primary repeatedly until it is acknowledged.
  bool Put(const std::string& key, const std::string& value, net::Span timeout) {
    const net::Time until = net.Now() + timeout;
    while (net.Now() < until) {
      Machine* const primary = Primary();
      if (primary == nullptr) {
        Run(milliseconds(20));
        continue;
      }
      // Shared, since the callback may run after the wait has ended.
      const auto result_seen = std::make_shared<std::optional<bool>>();
      primary->group().Submit(
          [key, value](const Contents&) -> Result<std::vector<Write>> {
            return std::vector<Write>{{key, value}};
          },
          [result_seen](const Result<void>& result) { *result_seen = result.has_value(); });
      const Machine* const target = primary;
      RunUntil([&] { return result_seen->has_value() || !target->up(); }, until - net.Now());
      if (result_seen->value_or(false)) return true;
      Run(milliseconds(50));
    }
    return false;
  }

  net::VirtualNet net;
  std::vector<std::unique_ptr<Machine>> machines;

 private:
  static std::uint32_t HostOf(std::size_t index) {
    return 0x0a000001 + static_cast<std::uint32_t>(index);
  }
  Group::Options options_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_CLUSTER_H_
