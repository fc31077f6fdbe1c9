#include "tier/coordination/group.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tier/coordination/apply_writes.h"
#include "tier/foundation/invariants.h"
#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::coordination {

namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

constexpr char kModule[] = "core.group";
constexpr transport::MessageKind kMessageKind = transport::kCoordinationKinds;
constexpr Milliseconds kMinLease{400};
constexpr Milliseconds kMaxLease{2000};
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kLinkShare = 0.5;  // The rest is left to the other process on the machine.
// The core uses 1/kDiskLimitDivisor of the disk limit. Its state is small; the bodies of batch jobs
// need the rest.
constexpr std::uint64_t kDiskLimitDivisor = 2;
constexpr std::uint64_t kBytesPerMegabyte = 1U << 20;
// A transfer waits this long for the write in flight.
constexpr Milliseconds kTransferGrace{150};
// A member that has heard of no primary for this many lease durations logs a warning.
constexpr int kStuckAfterLeases = 8;
// Key that is stored with a disk identity drawn by a process that may bootstrap the system.
constexpr char kMayBootstrapKey[] = "may-found";

// Whether the receiver of the message relies on state that this process has stored.
bool RequiresStorage(const Message& message) {
  if (const auto* reply = std::get_if<PrepareReply>(&message)) return reply->promised;
  if (const auto* reply = std::get_if<AcceptReply>(&message)) return reply->accepted;
  if (const auto* reply = std::get_if<RenewReply>(&message)) return reply->granted;
  if (const auto* reply = std::get_if<AppendReply>(&message)) return reply->matched;
  return false;
}

std::string FormatSeconds(net::Span span) {
  const auto tenths = span / std::chrono::milliseconds(100);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

// Whether only the identity of the disk became durable and no state of a member, so that the disk
// is equivalent to a new one.
bool HoldsIdentityOnly(const storage::Storage& storage) {
  return storage.Get(kMayBootstrapKey).has_value() && !Witness::HasStored(storage);
}

// Adds the addresses of the record's members, which this process may have to find again without a
// record of its own.
void AddAddressesOf(const Record& record, std::vector<net::Address>& seeds) {
  for (const CoreMember& member : MembersOf(record)) {
    if (std::find(seeds.begin(), seeds.end(), member.address) == seeds.end()) {
      seeds.push_back(member.address);
    }
  }
}

std::uint64_t DrawRandom() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

// Replication messages may be large and keep their order. Messages about leases and records are
// sent ahead of them.
bool IsReplicationMessage(const Message& message) {
  return std::holds_alternative<Append>(message) || std::holds_alternative<AppendReply>(message) ||
         std::holds_alternative<CatchUpRequest>(message) ||
         std::holds_alternative<CatchUpReply>(message);
}

}  // namespace

Group::Options Group::OptionsOf(const ProcessSettings& settings) {
  Options options;
  Member::Options& member = options.member;
  member.found = settings.bootstrap;
  for (const net::Address& seed : settings.seeds) {
    member.seeds.push_back(CoreAddressOf(settings, seed));
  }
  const FaultTolerance& tolerance = settings.tolerance;
  member.failures = static_cast<std::size_t>(
      std::max({tolerance.machines, tolerance.zones, tolerance.regions, 0}));
  const Milliseconds third = std::min(settings.bounds.contact, settings.bounds.lease) / 3;
  member.lease = std::clamp(third, kMinLease, kMaxLease);
  member.reluctant = settings.bounds.lease;
  member.link_bytes_per_second =
      static_cast<std::uint64_t>(settings.limits.link_mbps * kBytesPerMegabit * kLinkShare);
  options.ack_timeout = settings.bounds.ack * 3 / 4;
  return options;
}

Result<std::unique_ptr<storage::Storage>> Group::OpenStorage(net::Loop& loop,
                                                             const ProcessSettings& settings) {
  if (settings.data_dir.empty()) return std::unique_ptr<storage::Storage>();
  storage::LmdbStorage::Options options;
  options.folder = settings.data_dir + "/core";
  options.bytes_limit = settings.limits.disk_mb * kBytesPerMegabyte / kDiskLimitDivisor;
  options.log_failures = false;
  std::unique_ptr<storage::Storage> opened = storage::LmdbStorage::OpenOrFailed(loop, options);
  const storage::Failure failure = opened->failure();
  if (failure == storage::Failure::kDamaged || failure == storage::Failure::kFatal) {
    return MakeError(ErrorCode::kStorage, options.folder + ": " + opened->failure_text());
  }
  return opened;
}

Group::Group(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings,
             std::unique_ptr<storage::Storage> storage)
    : Group(loop, hub, std::move(storage), OptionsOf(settings), DrawRandom) {}

Group::Group(net::Loop& loop, transport::Hub& hub, std::unique_ptr<storage::Storage> storage,
             Options options, std::function<std::uint64_t()> random)
    : loop_(loop),
      hub_(hub),
      storage_(std::move(storage)),
      options_(std::move(options)),
      random_(std::move(random)),
      may_bootstrap_(options_.member.found) {
  options_.member.incarnation = hub_.self().incarnation;
  timer_ = loop_.NewTimer([this] { OnTimer(); });
  hub_.Handle(kMessageKind, [this](const transport::PeerIdentity& from, std::string_view body) {
    OnFrame(from, body);
  });
  if (storage_ && !storage_->failed()) LoadIdentity();
  if (storage_ && storage_->failed()) {
    OnDiskFailure();
  } else {
    StartMember();
  }
}

Group::~Group() {
  *alive_ = false;
  hub_.Handle(kMessageKind, [](const transport::PeerIdentity&, std::string_view) {});
}

void Group::SetWatcher(Watcher watcher) {
  watcher_ = std::move(watcher);
  if (member_->replica().complete() && !ReloadContents()) {
    OnDiskFailure();
    return;
  }
  if (member_->primary() && watcher_.role) watcher_.role(true, member_->epoch());
}

bool Group::is_primary() const {
  return !failed() && member_->primary() && member_->HasLease(loop_.Now());
}

std::uint64_t Group::epoch() const {
  return member_->primary() ? member_->epoch() : member_->record().epoch;
}

std::optional<net::Address> Group::primary() const { return member_->primary_address(); }

std::vector<CoreMember> Group::members() const { return MembersOf(member_->record()); }

std::optional<ReplicationStatus> Group::replication_status() const {
  if (!is_primary()) return std::nullopt;
  return member_->replication_status(loop_.Now());
}

void Group::SetSeeds(const std::vector<net::Address>& control_seeds,
                     const ProcessSettings& settings) {
  std::vector<net::Address> seeds;
  seeds.reserve(control_seeds.size());
  for (const net::Address& seed : control_seeds) seeds.push_back(CoreAddressOf(settings, seed));
  options_.member.seeds = seeds;
  member_->SetSeeds(std::move(seeds));
}

// ---- Creation and recovery of the member.

storage::Storage& Group::disk() {
  if (storage_ && !failed()) return *storage_;
  return no_storage_;
}

void Group::LoadIdentity() {
  storage::Batch beside;
  if (may_bootstrap_) beside.Put(kMayBootstrapKey, "");
  const storage::DiskIdentity identity =
      storage::ReadOrDrawIdentity(*storage_, random_, std::move(beside));
  may_bootstrap_ = may_bootstrap_ && (identity.is_new || HoldsIdentityOnly(*storage_));
  identity_ = identity.id;
}

Member::Options Group::MemberOptions() {
  const transport::PeerIdentity& self = hub_.self();
  Member::Options member = options_.member;
  const bool has_disk = storage_ != nullptr && !failed();
  member.self = {self.node, self.zone, has_disk ? identity_ : "", self.address};
  member.found = has_disk && may_bootstrap_;
  member.told = delivered_sequence_;
  if (generation_ > 1) member.incarnation = random_();
  member.after_failure = disk_health_.status().failures > 0;
  if (!has_disk && member_) AddAddressesOf(member_->record(), member.seeds);
  return member;
}

void Group::StartMember() {
  ++generation_;
  member_ = std::make_unique<Member>(MemberOptions(), disk(), loop_.Now());
  RunStep([this](Step& step, MemberOutput& out) { member_->Start(step, out); });
}

// The state of the member in memory may be ahead of the disk, so the member is discarded. Messages
// of the step that met the failure are not sent.
void Group::OnDiskFailure() {
  const std::uint64_t epoch = member_ ? member_->record().epoch : 0;
  log::Bounded(log::Level::kError, kModule, "refuses",
               std::string("the disk refuses writes (") + storage::NameOf(storage_->failure()) +
                   "): " + storage_->failure_text() +
                   "; this process is not a group member until the disk accepts writes again",
               SteadyMicros(loop_.Now()));
  disk_health_.OnFailure(loop_.Now());
  in_step_ = false;
  if (reported_primary_) OnRoleChange({false, epoch});
  if (transfer_done_) EndTransfer(false);
  StartMember();
}

void Group::TryRecovery() {
  disk_health_.OnAttemptStarted();
  if (storage_->Recover().has_error()) {
    OnRecoveryFailed();
    return;
  }
  LoadIdentity();
  // Other members may name this disk in a record once they know it, so the identity is made durable
  // first.
  storage_->Sync([this, alive = alive_](const Result<void>& result) {
    if (!*alive) return;
    if (result.has_error() || storage_->failed()) {
      OnRecoveryFailed();
    } else {
      OnRecovered();
    }
  });
}

void Group::OnRecoveryFailed() {
  disk_health_.OnAttemptFailed(loop_.Now());
  ArmTimer();
}

void Group::OnRecovered() {
  const net::Time now = loop_.Now();
  log::Bounded(log::Level::kInfo, kModule, "takes writes",
               "the disk accepts writes again after " +
                   FormatSeconds(now - disk_health_.status().changed_at),
               SteadyMicros(now));
  disk_health_.OnRecovered(now);
  StartMember();
}

// ---- Steps of the member.

void Group::RunStep(const Event& event) {
  Step step{loop_.Now(), disk(), ++ticket_, false};
  MemberOutput out;
  in_step_ = true;
  event(step, out);
  if (step.storage.failed()) {
    OnDiskFailure();
    return;
  }
  if (step.wants_sync) RequestSync(step.ticket);
  LogIfRecordChanged();
  ApplyOutput(out);
  NotifyIfReplicasChanged();
  in_step_ = false;
  StartQueuedPlans();
  ArmTimer();
}

void Group::RequestSync(Ticket ticket) {
  disk().Sync([this, ticket, generation = generation_, alive = alive_](const Result<void>& result) {
    if (!*alive || generation != generation_) return;
    if (result.has_error()) {
      OnDiskFailure();
      return;
    }
    may_bootstrap_ = false;
    synced_ticket_ = std::max(synced_ticket_, ticket);
    RunStep(
        [this, ticket](Step& step, MemberOutput& out) { member_->OnSynced(step, out, ticket); });
  });
}

void Group::ApplyOutput(const MemberOutput& out) {
  for (const auto& [to, message] : out.messages) Send(to, message);
  if (out.reset && !ReloadContents()) {
    OnDiskFailure();
    return;
  }
  for (const Entry& entry : out.committed) ApplyEntry(entry);
  for (const MemberOutput::Role& role : out.roles) OnRoleChange(role);
  if (out.transferred) EndTransfer(*out.transferred);
}

// The frame holds the disk, the message and the incarnation of the member. If a frame has no
// incarnation, the receiver uses that of the process.
void Group::Send(const net::Address& to, const Message& message) {
  if (RequiresStorage(message) && (storage_ == nullptr || failed() || storage_->failed())) {
    ProcessInvariants().Violate(Invariant::kMemberCanStore, "an answer to " + to.Text(),
                                SteadyMicros(loop_.Now()));
  }
  const Member::Options& self = member_->options();
  cbor::Writer frame;
  frame.Array(3).Text(self.self.disk).Bytes(Encode(message)).Uint(self.incarnation);
  hub_.Send(to, kMessageKind, frame.Take(), {.urgent = !IsReplicationMessage(message)});
}

void Group::OnFrame(const transport::PeerIdentity& from, std::string_view body) {
  cbor::Reader in(body);
  const std::size_t elements = in.Array();
  if (elements < 2) in.Fail();
  Sender sender;
  sender.member = {from.node, from.zone, std::string(in.Text()), from.address};
  const std::string_view encoded = in.Bytes();
  sender.incarnation = elements > 2 ? in.Uint() : from.incarnation;
  const std::optional<Message> message =
      in.ok() && from.role == "core" ? DecodeMessage(encoded) : std::nullopt;
  if (!message) {
    log::Bounded(log::Level::kWarning, kModule, "malformed",
                 "dropped a malformed message from " + from.address.Text(),
                 SteadyMicros(loop_.Now()));
    return;
  }
  RunStep([&](Step& step, MemberOutput& out) { member_->OnMessage(step, out, sender, *message); });
}

void Group::OnTimer() {
  const net::Time now = loop_.Now();
  ExpirePlans(now);
  LogIfStuck(now);
  if (disk_health_.next_attempt() && now >= *disk_health_.next_attempt()) TryRecovery();
  if (transfer_done_ && !transfer_started_ && now - transfer_since_ >= kTransferGrace)
    BeginTransfer();
  if (now >= member_->deadline()) {
    RunStep([this](Step& step, MemberOutput& out) { member_->OnTimer(step, out); });
  } else {
    ArmTimer();
  }
}

void Group::ArmTimer() {
  net::Time at = member_->deadline();
  if (const auto attempt = disk_health_.next_attempt()) at = std::min(at, *attempt);
  if (!queue_.empty()) at = std::min(at, queue_.front().deadline);
  if (in_flight_) at = std::min(at, in_flight_->deadline);
  if (transfer_done_ && !transfer_started_) at = std::min(at, transfer_since_ + kTransferGrace);
  timer_->ArmAt(at);
}

void Group::LogIfStuck(net::Time now) {
  if (!member_->IsStuck(now, options_.member.lease * kStuckAfterLeases)) return;
  std::string nodes;
  for (const CoreMember& replica : member_->record().replicas) nodes += " " + replica.node;
  log::Bounded(log::Level::kWarning, kModule, "stuck",
               "no primary: epoch " + std::to_string(member_->record().epoch) +
                   " needs one of its replicas and a majority of its witnesses; replicas:" + nodes,
               SteadyMicros(now));
}

void Group::LogIfRecordChanged() {
  const Record& record = member_->record();
  if (record.epoch == logged_epoch_) return;
  logged_epoch_ = record.epoch;
  log::Info(kModule, "record: " + DescriptionOf(record));
}

// ---- The map and the role.

bool Group::ReloadContents() {
  Contents contents;
  std::vector<Write> all;
  member_->replica().ForEach(disk(), [&](std::string_view key, std::string_view value) {
    contents.emplace(key, value);
    all.push_back({std::string(key), std::string(value)});
    return true;
  });
  if (disk().failed()) return false;
  contents_ = std::move(contents);
  delivered_sequence_ = member_->replica().committed().sequence;
  if (watcher_.committed) watcher_.committed(all);
  return true;
}

void Group::ApplyEntry(const Entry& entry) {
  Apply(contents_, entry.writes);
  delivered_sequence_ = entry.position.sequence;
  if (watcher_.committed) watcher_.committed(entry.writes);
  if (!in_flight_ || entry.position.sequence < in_flight_->position.sequence) return;
  const Done done = std::move(in_flight_->done);
  const bool same = entry.position == in_flight_->position;
  if (same && in_flight_->ticket > synced_ticket_) {
    ProcessInvariants().Violate(Invariant::kAcknowledgedIsSynced,
                                "entry " + std::to_string(entry.position.sequence),
                                SteadyMicros(loop_.Now()));
  }
  in_flight_.reset();
  if (same) {
    done(outcome::success());
  } else {
    done(MakeError(ErrorCode::kUnknown, "another primary has replaced this entry"));
  }
}

void Group::OnRoleChange(const MemberOutput::Role& role) {
  reported_primary_ = role.primary;
  log::Info(kModule, (role.primary ? "primary of epoch " : "no longer primary of epoch ") +
                         std::to_string(role.epoch));
  if (!role.primary) {
    if (in_flight_) {
      PostResult(std::move(in_flight_->done),
                 MakeError(ErrorCode::kUnknown, "no longer the primary"));
      in_flight_.reset();
    }
    for (QueuedPlan& request : queue_) {
      PostResult(std::move(request.done), MakeError(ErrorCode::kUnavailable, "not the primary"));
    }
    queue_.clear();
  }
  if (watcher_.role) watcher_.role(role.primary, role.epoch);
}

void Group::NotifyIfReplicasChanged() {
  const std::size_t responsive = is_primary() ? member_->responsive_replicas(loop_.Now()) : 0;
  if (responsive == std::exchange(reported_replicas_, responsive)) return;
  if (responsive > 0 && watcher_.replicas_changed) watcher_.replicas_changed();
}

// ---- Plans.

void Group::Submit(Plan plan, Done done) {
  if (!is_primary() || transfer_done_) {
    PostResult(std::move(done), MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  if (queue_.size() >= kMaxQueuedPlans) {
    PostResult(std::move(done), MakeError(ErrorCode::kExhausted, "too many queued requests"));
    return;
  }
  queue_.push_back({std::move(plan), std::move(done), loop_.Now() + options_.ack_timeout / 2});
  if (in_step_) return;  // RunStep starts queued plans after the step.
  loop_.Post([this, alive = alive_] {
    if (*alive && !in_step_) StartQueuedPlans();
  });
}

void Group::StartQueuedPlans() {
  while (!in_step_ && !in_flight_ && !queue_.empty() && member_->Serving(loop_.Now())) {
    QueuedPlan request = std::move(queue_.front());
    queue_.pop_front();
    RunPlan(std::move(request));
  }
  if (transfer_done_ && !transfer_started_ && !in_flight_ && !in_step_) BeginTransfer();
  ArmTimer();
}

void Group::RunPlan(QueuedPlan request) {
  const Result<std::vector<Write>> planned = request.plan(contents_);
  // The plan has read the newest map only if this process is still the primary.
  if (!member_->Serving(loop_.Now())) {
    request.done(MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  if (planned.has_error()) {
    request.done(planned.error());
    return;
  }
  if (planned.value().empty()) {
    request.done(outcome::success());
    return;
  }
  if (!HasRoomFor(planned.value())) {
    request.done(MakeError(ErrorCode::kExhausted, "the disk is nearly full"));
    return;
  }
  std::optional<Error> refused;
  const net::Time deadline = loop_.Now() + options_.ack_timeout;
  RunStep([&](Step& step, MemberOutput& out) {
    const Result<Position> position = member_->Propose(step, out, planned.value());
    if (position.has_error()) {
      refused = position.error();
      return;
    }
    in_flight_ = InFlight{position.value(), step.ticket, request.done, deadline};
  });
  if (refused) request.done(*refused);
}

bool Group::HasRoomFor(const std::vector<Write>& writes) {
  const storage::Usage usage = disk().usage();
  std::uint64_t bytes = 0;
  for (const Write& write : writes) {
    // Stored twice: as an entry of the tail and in the map.
    if (write.value) bytes += 2 * (write.key.size() + write.value->size());
  }
  return bytes == 0 || usage.bytes_used + bytes <= usage.bytes_limit / 100 * kMaxDiskUsePercent;
}

void Group::ExpirePlans(net::Time now) {
  if (in_flight_ && now >= in_flight_->deadline) {
    PostResult(std::move(in_flight_->done),
               MakeError(ErrorCode::kUnknown, "not acknowledged in time"));
    in_flight_.reset();
  }
  while (!queue_.empty() && now >= queue_.front().deadline) {
    PostResult(std::move(queue_.front().done),
               MakeError(ErrorCode::kUnavailable, "the primary did not become ready in time"));
    queue_.pop_front();
  }
}

void Group::PostResult(Done done, Result<void> result) {
  loop_.Post([done = std::move(done), result = std::move(result), alive = alive_] {
    if (*alive) done(result);
  });
}

// ---- Transfer of the primary role.

void Group::Transfer(std::function<void(bool)> done) {
  if (transfer_done_) {
    loop_.Post([done = std::move(done)] { done(false); });
    return;
  }
  // The current member has no disk and knows nothing about the disk that refuses writes.
  if (failed()) {
    loop_.Post([done = std::move(done), released = !MayHoldReplica(), alive = alive_] {
      if (*alive) done(released);
    });
    return;
  }
  transfer_done_ = std::move(done);
  transfer_started_ = false;
  transfer_since_ = loop_.Now();
  if (!in_step_) StartQueuedPlans();
}

bool Group::MayHoldReplica() const {
  const Record& record = member_->record();
  if (record.epoch == 0 || identity_.empty()) return true;
  return FindDisk(record.replicas, identity_) != nullptr;
}

void Group::BeginTransfer() {
  transfer_started_ = true;
  RunStep([this](Step& step, MemberOutput& out) { member_->Transfer(step, out); });
}

void Group::EndTransfer(bool moved) {
  if (!transfer_done_) return;
  loop_.Post([done = std::move(transfer_done_), moved, alive = alive_] {
    if (*alive) done(moved);
  });
  transfer_done_ = nullptr;
}

}  // namespace shelflink::coordination
