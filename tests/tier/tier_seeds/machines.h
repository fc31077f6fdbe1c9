// Machines of the tier: real code of one process each on the virtual network, and what may befall
// its process and its disk.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_MACHINES_H_
#define SHELFLINK_TESTS_TIER_SEEDS_MACHINES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/virtual.h"
#include "tier/batch/store_process.h"
#include "tier/cluster/core_service.h"
#include "tier/coordination/group.h"
#include "tier/foundation/settings.h"
#include "tier/operator_api/forwarder.h"
#include "tier/proxy/program.h"
#include "tier/storage/crash_storage.h"
#include "tier/transport/hub.h"
#include "tier_seeds/narrow_link.h"
#include "tier_seeds/platform_world.h"

namespace shelflink::tier_seeds {

class Machine {
 public:
  Machine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings);
  virtual ~Machine() = default;
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start();
  // The process dies; its files remain as they were.
  void Kill();
  // The machine goes dark: of the writes that no sync covers only the first `kept` remain.
  void LosePower(std::size_t kept);
  // The process dies and its disk is empty afterwards.
  void Wipe();
  // SIGTERM: leaves in order and ends; SIGKILL after the time of grace.
  void Terminate();
  void SetFrozen(bool frozen);
  // Its settings name other core processes from now on, also while it runs.
  void SetSeeds(std::vector<net::Address> seeds);
  // Refuses writes until it has room again; of what was not synced then the first `kept` remain.
  void FillDisk(std::size_t kept) {
    disk_.SetKeptOnFailure(kept);
    disk_.SetFull(true);
  }
  void EmptyDisk() { disk_.SetFull(false); }
  void SetDiskStalled(bool stalled) { disk_.SetStalled(stalled); }
  void SetSyncSpan(net::Span span) { sync_span_ = span; }
  // Of what it sends, from its next start on; without it the machine's link has no width.
  void SetLink(std::uint64_t bytes_per_second);
  // Bytes that went over its link; 0 where it has no width.
  std::uint64_t sent() const { return link_ ? link_->sent() : 0; }
  // Its process knows that the disk takes no writes.
  virtual bool knows_disk_refuses() const { return false; }

  bool up() const { return process_ != nullptr; }
  bool frozen() const { return frozen_; }
  bool leaving() const { return leaving_; }
  std::uint64_t lives() const { return lives_; }
  std::uint32_t host() const { return host_; }
  const ProcessSettings& settings() const { return settings_; }
  const std::string& node() const { return settings_.node; }
  std::size_t unsynced() const { return disk_.unsynced(); }
  // As something that arrives: dropped if the process has died, put off while it is frozen.
  void Deliver(std::function<void()> step);
  std::function<void()> on_start;

 protected:
  virtual void Open() = 0;
  virtual void Close() = 0;
  virtual void LeaveInOrder(std::function<void()> done) = 0;
  // The settings have changed; its process runs.
  virtual void Reload() = 0;

  transport::PeerIdentity Identity(const std::string& role, ProcessKind kind) const;
  std::unique_ptr<storage::Storage> OpenStorage();
  std::uint64_t Draw() { return (std::uint64_t{host_} << 32U) + lives_ * 1000003 + ++drawn_; }
  net::Loop& process();

  net::VirtualNet& net_;
  std::uint32_t host_;
  ProcessSettings settings_;

 private:
  struct PendingSync {
    net::TimerPtr timer;
    bool done = false;
  };

  void End(bool in_order);
  void EndLife(std::uint64_t life);
  void ScheduleSync(std::function<void()> step);

  storage::CrashDisk disk_;
  net::Span sync_span_;
  net::Time last_sync_due_{};
  std::list<PendingSync> syncs_;
  std::unique_ptr<NarrowLink> link_;  // None: of no width.
  std::unique_ptr<net::VirtualProcess> process_;
  std::unique_ptr<NarrowLoop> narrow_loop_;
  std::vector<std::unique_ptr<net::VirtualProcess>> past_;  // They outlive what they made.
  std::uint64_t lives_ = 0;
  std::uint64_t drawn_ = 0;
  bool frozen_ = false;
  bool leaving_ = false;
};

// A core process: member of the group, the cluster's services, the operator's orders.
class CoreMachine : public Machine {
 public:
  CoreMachine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
              PlatformWorld& platform);
  ~CoreMachine() override { Kill(); }

  operator_api::Forwarder& forwarder() { return *forwarder_; }
  coordination::Group& group() { return *group_; }
  const cluster::CoreService& service() const { return *service_; }
  bool is_primary() const { return service_ && service_->is_primary(); }
  bool knows_disk_refuses() const override { return group_ && group_->failed(); }

 protected:
  void Open() override;
  void Close() override;
  void LeaveInOrder(std::function<void()> done) override;
  void Reload() override { group_->SetSeeds(settings_.seeds, settings_); }

 private:
  PlatformWorld& platform_world_;
  std::unique_ptr<transport::Hub> hub_;
  std::unique_ptr<coordination::Group> group_;
  std::unique_ptr<platform::Platform> platform_;
  std::unique_ptr<cluster::CoreService> service_;
  std::unique_ptr<operator_api::Forwarder> forwarder_;
};

class StoreMachine : public Machine {
 public:
  using Machine::Machine;
  ~StoreMachine() override { Kill(); }

  // Copies that it makes for others, of partitions that it leads.
  std::vector<cluster::CopyUnderWay> copying() const {
    return store_ ? store_->copying() : std::vector<cluster::CopyUnderWay>();
  }
  const batch::StoreProcess& store() const { return *store_; }
  bool knows_disk_refuses() const override { return store_ && !store_->disk().is_working(); }

 protected:
  void Open() override;
  void Close() override { store_.reset(); }
  void LeaveInOrder(std::function<void()> done) override { store_->Leave(std::move(done)); }
  void Reload() override { store_->SetSeeds(settings_.seeds); }

 private:
  std::unique_ptr<batch::StoreProcess> store_;
};

class ProxyMachine : public Machine {
 public:
  ProxyMachine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
               PlatformWorld& platform);
  ~ProxyMachine() override { Kill(); }

  net::Address front() const { return *settings_.listen_front; }
  net::Address ready() const { return *settings_.listen_ready; }
  const proxy::Program& program() const { return *program_; }

 protected:
  void Open() override;
  void Close() override { program_.reset(); }
  void LeaveInOrder(std::function<void()> done) override { program_->Leave(std::move(done)); }
  void Reload() override { program_->Reload(settings_); }

 private:
  PlatformWorld& platform_world_;
  std::unique_ptr<proxy::Program> program_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_MACHINES_H_
