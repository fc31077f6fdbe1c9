#include "tier_seeds/machines.h"

#include <algorithm>
#include <utility>

namespace shelflink::tier_seeds {
namespace {

constexpr std::size_t kDescriptors = 4096;
constexpr Milliseconds kSyncTakes{4};
// As in cluster/core_program.cpp.
constexpr Milliseconds kTransferSpan{2000};
constexpr Milliseconds kAnswerSpan{200};

}  // namespace

Machine::Machine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings)
    : net_(net), host_(host), settings_(std::move(settings)), sync_span_(kSyncTakes) {
  settings_.ip = std::to_string(host_ >> 24U) + "." + std::to_string(host_ >> 16U & 255U) + "." +
                 std::to_string(host_ >> 8U & 255U) + "." + std::to_string(host_ & 255U);
}

void Machine::Start() {
  if (up()) return;
  ++lives_;
  frozen_ = false;
  leaving_ = false;
  process_ = std::make_unique<net::VirtualProcess>(net_, host_, settings_.node, kDescriptors);
  if (link_) narrow_loop_ = std::make_unique<NarrowLoop>(*process_, *link_);
  Open();
  settings_.bootstrap = false;
  if (on_start) on_start();
}

void Machine::SetLink(std::uint64_t bytes_per_second) {
  link_ = std::make_unique<NarrowLink>(net_, bytes_per_second);
}

net::Loop& Machine::process() {
  if (narrow_loop_) return *narrow_loop_;
  return *process_;
}

void Machine::End(bool in_order) {
  if (!up()) return;
  if (in_order) {
    process_->Exit();
  } else {
    process_->Kill();
  }
  Close();
  syncs_.clear();
  past_.push_back(std::move(process_));
}

void Machine::EndLife(std::uint64_t life) {
  if (life == lives_) End(true);
}

void Machine::Kill() { End(false); }

void Machine::LosePower(std::size_t kept) {
  End(false);
  disk_.LosePower(kept);
}

void Machine::Wipe() {
  End(false);
  disk_.Wipe();
}

void Machine::Terminate() {
  if (!up() || leaving_) return;
  leaving_ = true;
  const std::uint64_t life = lives_;
  net_.At(net_.Now() + settings_.bounds.grace, [this, life] {
    if (life == lives_) Kill();
  });
  Deliver([this, life] {
    LeaveInOrder([this, life] { net_.At(net_.Now(), [this, life] { EndLife(life); }); });
  });
}

void Machine::SetFrozen(bool frozen) {
  if (!up()) return;
  frozen_ = frozen;
  process_->SetPaused(frozen);
}

void Machine::SetSeeds(std::vector<net::Address> seeds) {
  settings_.seeds = std::move(seeds);
  Deliver([this] { Reload(); });
}

void Machine::Deliver(std::function<void()> step) {
  if (up()) process_->Post(std::move(step));
}

transport::PeerIdentity Machine::Identity(const std::string& role, ProcessKind kind) const {
  return {settings_.node, role, settings_.zone, InternalAddress(settings_, kind),
          (std::uint64_t{host_} << 20U) + lives_};
}

std::unique_ptr<storage::Storage> Machine::OpenStorage() {
  return std::make_unique<storage::CrashStorage>(
      disk_, [this](std::function<void()> step) { ScheduleSync(std::move(step)); });
}

// Syncs end in the order in which they were asked for.
void Machine::ScheduleSync(std::function<void()> step) {
  syncs_.remove_if([](const PendingSync& pending) { return pending.done; });
  PendingSync& pending = syncs_.emplace_back();
  pending.timer = process_->NewTimer([&pending, step = std::move(step)] {
    pending.done = true;
    const auto run = step;  // Scheduling again may free this.
    run();
  });
  last_sync_due_ = std::max(last_sync_due_, net_.Now() + sync_span_);
  pending.timer->ArmAt(last_sync_due_);
}

// ---- Core ----

CoreMachine::CoreMachine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
                         PlatformWorld& platform)
    : Machine(net, host, std::move(settings)), platform_world_(platform) {}

void CoreMachine::Open() {
  hub_ = std::make_unique<transport::Hub>(process(), Identity("core", ProcessKind::kCore),
                                          transport::Hub::Options{});
  group_ = std::make_unique<coordination::Group>(process(), *hub_, OpenStorage(),
                                                 coordination::Group::OptionsOf(settings_),
                                                 [this] { return Draw(); });
  platform_ = platform_world_.Connect(process(), host_);
  service_ =
      std::make_unique<cluster::CoreService>(process(), *hub_, *group_, platform_.get(), settings_);
  forwarder_ = std::make_unique<operator_api::Forwarder>(process(), *hub_, *service_,
                                                         operator_api::Forwarder::Options{});
}

void CoreMachine::Close() {
  forwarder_.reset();
  service_.reset();
  platform_.reset();
  group_.reset();
  hub_.reset();
}

void CoreMachine::LeaveInOrder(std::function<void()> done) {
  net_.At(net_.Now() + kTransferSpan, done);
  group_->Transfer(
      [this, done = std::move(done)](bool) { net_.At(net_.Now() + kAnswerSpan, done); });
}

// ---- Store ----

void StoreMachine::Open() {
  store_ = std::make_unique<batch::StoreProcess>(
      process(), settings_, [this] { return OpenStorage(); }, [this] { return Draw(); });
}

// ---- Proxy ----

ProxyMachine::ProxyMachine(net::VirtualNet& net, std::uint32_t host, ProcessSettings settings,
                           PlatformWorld& platform)
    : Machine(net, host, std::move(settings)), platform_world_(platform) {}

void ProxyMachine::Open() {
  program_ = std::make_unique<proxy::Program>(
      process(), settings_, [this] { return platform_world_.Connect(process(), host_); });
}

}  // namespace shelflink::tier_seeds
