#include "tier/coordination/group.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tier/foundation/invariants.h"
#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"
#include "tier/storage/lmdb_storage.h"

namespace shelflink::coordination {

namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

constexpr char kModule[] = "core.group";
constexpr transport::MessageKind kGroupMessage = transport::kCoordinationKinds;
constexpr Milliseconds kShortestLease{400};
constexpr Milliseconds kLongestLease{2000};
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kShareOfLink = 0.5;  // The machine's other process has the rest.
// Of the disk: a small share, since what a member keeps is small. Bodies of batch jobs need the
// rest.
constexpr std::uint64_t kDiskShare = 2;
constexpr std::uint64_t kMegabyte = 1U << 20;
constexpr Milliseconds kTransferWaits{150};  // For a write under way.
constexpr int kStuckLeases = 8;
// Stored with an identity that was drawn by a process that might found the system.
constexpr char kMayFoundKey[] = "may-found";

// Whoever receives it counts on what this process has stored.
bool Vouches(const Message& message) {
  if (const auto* reply = std::get_if<PrepareReply>(&message)) return reply->promised;
  if (const auto* reply = std::get_if<AcceptReply>(&message)) return reply->accepted;
  if (const auto* reply = std::get_if<RenewReply>(&message)) return reply->granted;
  if (const auto* reply = std::get_if<AppendReply>(&message)) return reply->matched;
  return false;
}

std::string SecondsText(net::Span span) {
  const auto tenths = span / std::chrono::milliseconds(100);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

// A disk whose identity came to be durable, and nothing that a member stored: as good as new.
bool HoldsIdentityOnly(const storage::Storage& storage) {
  return storage.Get(kMayFoundKey).has_value() && !Witness::HasStored(storage);
}

// Whose processes this one may have to find by itself again.
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

// Entries and contents may be long and keep their order; leases and records need not wait for them.
bool IsOfReplication(const Message& message) {
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
  member.lease = std::clamp(third, kShortestLease, kLongestLease);
  member.reluctant = settings.bounds.lease;
  member.link_bytes_per_second =
      static_cast<std::uint64_t>(settings.limits.link_mbps * kBytesPerMegabit * kShareOfLink);
  options.patience = settings.bounds.ack * 3 / 4;
  return options;
}

Result<std::unique_ptr<storage::Storage>> Group::OpenStorage(net::Loop& loop,
                                                             const ProcessSettings& settings) {
  if (settings.data_dir.empty()) return std::unique_ptr<storage::Storage>();
  storage::LmdbStorage::Options options;
  options.folder = settings.data_dir + "/core";
  options.bytes_limit = settings.limits.disk_mb * kMegabyte / kDiskShare;
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
      may_found_(options_.member.found) {
  options_.member.incarnation = hub_.self().incarnation;
  timer_ = loop_.NewTimer([this] { OnTimer(); });
  hub_.Handle(kGroupMessage, [this](const transport::PeerIdentity& from, std::string_view body) {
    OnBody(from, body);
  });
  if (storage_ && !storage_->failed()) TakeIdentity();
  if (storage_ && storage_->failed()) {
    OnDiskFailure();
  } else {
    StartMember();
  }
}

Group::~Group() {
  *alive_ = false;
  hub_.Handle(kGroupMessage, [](const transport::PeerIdentity&, std::string_view) {});
}

void Group::SetWatcher(Watcher watcher) {
  watcher_ = std::move(watcher);
  if (member_->replica().complete() && !Reload()) {
    OnDiskFailure();
    return;
  }
  if (member_->primary() && watcher_.role) watcher_.role(true, member_->epoch());
}

bool Group::is_primary() const {
  return !failed() && member_->primary() && member_->HasLease(loop_.Now());
}

std::uint64_t Group::epoch() const {
  return member_->primary() ? member_->epoch() : member_->record().number;
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

// ---- Lives of the member.

storage::Storage& Group::disk() {
  if (storage_ && !failed()) return *storage_;
  return no_storage_;
}

void Group::TakeIdentity() {
  storage::Batch beside;
  if (may_found_) beside.Put(kMayFoundKey, "");
  const storage::DiskIdentity identity =
      storage::ReadOrDrawIdentity(*storage_, random_, std::move(beside));
  may_found_ = may_found_ && (identity.is_new || HoldsIdentityOnly(*storage_));
  identity_ = identity.id;
}

Member::Options Group::MemberOptions() {
  const transport::PeerIdentity& self = hub_.self();
  Member::Options member = options_.member;
  const bool has_disk = storage_ != nullptr && !failed();
  member.self = {self.node, self.zone, has_disk ? identity_ : "", self.address};
  member.found = has_disk && may_found_;
  member.told = told_sequence_;
  if (life_ > 1) member.incarnation = random_();
  member.after_failure = disk_health_.status().failures > 0;
  if (!has_disk && member_) AddAddressesOf(member_->record(), member.seeds);
  return member;
}

void Group::StartMember() {
  ++life_;
  member_ = std::make_unique<Member>(MemberOptions(), disk(), loop_.Now());
  Run([this](Step& step, MemberOutput& out) { member_->Start(step, out); });
}

// What the member has in memory may be ahead of the disk: it ends here, and nothing of the step
// that found the failure leaves this process.
void Group::OnDiskFailure() {
  const std::uint64_t epoch = member_ ? member_->record().number : 0;
  log::Bounded(log::Level::kError, kModule, "refuses",
               std::string("the disk refuses (") + storage::NameOf(storage_->failure()) +
                   "): " + storage_->failure_text() +
                   "; this process is no member until it takes writes again",
               SteadyMicros(loop_.Now()));
  disk_health_.Refuses(loop_.Now());
  running_ = false;
  if (told_primary_) ToldRole({false, epoch});
  if (transferred_) EndTransfer(false);
  StartMember();
}

void Group::TryRecovery() {
  disk_health_.AttemptBegins();
  if (storage_->Recover().has_error()) {
    OnRecoveryFailed();
    return;
  }
  TakeIdentity();
  // Others may name a disk that they have heard of: it does not forget its identity any more.
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
  disk_health_.AttemptFailed(loop_.Now());
  Arm();
}

void Group::OnRecovered() {
  const net::Time now = loop_.Now();
  log::Bounded(
      log::Level::kInfo, kModule, "takes writes",
      "the disk takes writes again after " + SecondsText(now - disk_health_.status().since),
      SteadyMicros(now));
  disk_health_.TakesWrites(now);
  StartMember();
}

// ---- Steps of the member.

void Group::Run(const Event& event) {
  Step step{loop_.Now(), disk(), ++ticket_, false};
  MemberOutput out;
  running_ = true;
  event(step, out);
  if (step.storage.failed()) {
    OnDiskFailure();
    return;
  }
  if (step.wants_sync) SyncFor(step.ticket);
  SayIfRecordChanged();
  Carry(out);
  TellIfCopiesChanged();
  running_ = false;
  Pump();
  Arm();
}

void Group::SyncFor(Ticket ticket) {
  disk().Sync([this, ticket, life = life_, alive = alive_](const Result<void>& result) {
    if (!*alive || life != life_) return;
    if (result.has_error()) {
      OnDiskFailure();
      return;
    }
    may_found_ = false;
    synced_ticket_ = std::max(synced_ticket_, ticket);
    Run([this, ticket](Step& step, MemberOutput& out) { member_->OnSynced(step, out, ticket); });
  });
}

void Group::Carry(const MemberOutput& out) {
  for (const auto& [to, message] : out.messages) Send(to, message);
  if (out.reset && !Reload()) {
    OnDiskFailure();
    return;
  }
  for (const Entry& entry : out.committed) Take(entry);
  for (const MemberOutput::Role& role : out.roles) ToldRole(role);
  if (out.transferred) EndTransfer(*out.transferred);
}

// Two elements, then the incarnation of the member: that of the process where it is missing.
void Group::Send(const net::Address& to, const Message& message) {
  if (Vouches(message) && (storage_ == nullptr || failed() || storage_->failed())) {
    ProcessInvariants().Violate(Invariant::kMemberCanStore, "an answer to " + to.Text(),
                                SteadyMicros(loop_.Now()));
  }
  const Member::Options& self = member_->options();
  cbor::Writer frame;
  frame.Array(3).Text(self.self.disk).Bytes(Encode(message)).Uint(self.incarnation);
  hub_.Send(to, kGroupMessage, frame.Take(), {.urgent = !IsOfReplication(message)});
}

void Group::OnBody(const transport::PeerIdentity& from, std::string_view body) {
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
  Run([&](Step& step, MemberOutput& out) { member_->OnMessage(step, out, sender, *message); });
}

void Group::OnTimer() {
  const net::Time now = loop_.Now();
  Expire(now);
  SayIfStuck(now);
  if (disk_health_.next_attempt() && now >= *disk_health_.next_attempt()) TryRecovery();
  if (transferred_ && !transfer_begun_ && now - transfer_from_ >= kTransferWaits) BeginTransfer();
  if (now >= member_->deadline()) {
    Run([this](Step& step, MemberOutput& out) { member_->OnTimer(step, out); });
  } else {
    Arm();
  }
}

void Group::Arm() {
  net::Time at = member_->deadline();
  if (const auto attempt = disk_health_.next_attempt()) at = std::min(at, *attempt);
  if (!waiting_.empty()) at = std::min(at, waiting_.front().until);
  if (in_flight_) at = std::min(at, in_flight_->until);
  if (transferred_ && !transfer_begun_) at = std::min(at, transfer_from_ + kTransferWaits);
  timer_->ArmAt(at);
}

void Group::SayIfStuck(net::Time now) {
  if (!member_->IsStuck(now, options_.member.lease * kStuckLeases)) return;
  std::string nodes;
  for (const CoreMember& replica : member_->record().replicas) nodes += " " + replica.node;
  log::Bounded(log::Level::kWarning, kModule, "stuck",
               "no primary: epoch " + std::to_string(member_->record().number) +
                   " needs one of its replicas and a majority of its witnesses; replicas:" + nodes,
               SteadyMicros(now));
}

void Group::SayIfRecordChanged() {
  const Record& record = member_->record();
  if (record.number == record_told_) return;
  record_told_ = record.number;
  log::Info(kModule, "record: " + DescriptionOf(record));
}

// ---- The map and the role.

bool Group::Reload() {
  Contents contents;
  std::vector<Write> all;
  member_->replica().ForEach(disk(), [&](std::string_view key, std::string_view value) {
    contents.emplace(key, value);
    all.push_back({std::string(key), std::string(value)});
    return true;
  });
  if (disk().failed()) return false;
  contents_ = std::move(contents);
  told_sequence_ = member_->replica().committed().sequence;
  if (watcher_.committed) watcher_.committed(all);
  return true;
}

void Group::Take(const Entry& entry) {
  for (const Write& write : entry.writes) {
    if (write.value) {
      contents_[write.key] = *write.value;
    } else {
      contents_.erase(write.key);
    }
  }
  told_sequence_ = entry.position.sequence;
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
    done(MakeError(ErrorCode::kUnknown, "another primary put something else in its place"));
  }
}

void Group::ToldRole(const MemberOutput::Role& role) {
  told_primary_ = role.primary;
  log::Info(kModule, (role.primary ? "primary of epoch " : "no longer primary of epoch ") +
                         std::to_string(role.epoch));
  if (!role.primary) {
    if (in_flight_) {
      AnswerLater(std::move(in_flight_->done),
                  MakeError(ErrorCode::kUnknown, "no longer the primary"));
      in_flight_.reset();
    }
    for (Request& request : waiting_) {
      AnswerLater(std::move(request.done), MakeError(ErrorCode::kUnavailable, "not the primary"));
    }
    waiting_.clear();
  }
  if (watcher_.role) watcher_.role(role.primary, role.epoch);
}

void Group::TellIfCopiesChanged() {
  const std::size_t there = is_primary() ? member_->responsive_replicas(loop_.Now()) : 0;
  if (there == std::exchange(told_there_, there)) return;
  if (there > 0 && watcher_.replicas_changed) watcher_.replicas_changed();
}

// ---- Plans.

void Group::Submit(Plan plan, Done done) {
  if (!is_primary() || transferred_) {
    AnswerLater(std::move(done), MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  if (waiting_.size() >= kMaxQueuedPlans) {
    AnswerLater(std::move(done), MakeError(ErrorCode::kExhausted, "too many orders are waiting"));
    return;
  }
  waiting_.push_back({std::move(plan), std::move(done), loop_.Now() + options_.patience / 2});
  if (running_) return;  // Pumped behind the step.
  loop_.Post([this, alive = alive_] {
    if (*alive && !running_) Pump();
  });
}

void Group::Pump() {
  while (!running_ && !in_flight_ && !waiting_.empty() && member_->Serving(loop_.Now())) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    Start(std::move(request));
  }
  if (transferred_ && !transfer_begun_ && !in_flight_ && !running_) BeginTransfer();
  Arm();
}

void Group::Start(Request request) {
  const Result<std::vector<Write>> planned = request.plan(contents_);
  // What was read was the newest only if this is the primary still.
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
  const net::Time until = loop_.Now() + options_.patience;
  Run([&](Step& step, MemberOutput& out) {
    const Result<Position> position = member_->Propose(step, out, planned.value());
    if (position.has_error()) {
      refused = position.error();
      return;
    }
    in_flight_ = InFlight{position.value(), step.ticket, request.done, until};
  });
  if (refused) request.done(*refused);
}

bool Group::HasRoomFor(const std::vector<Write>& writes) {
  const storage::Usage usage = disk().usage();
  std::uint64_t bytes = 0;
  for (const Write& write : writes) {
    // Once as an entry of the tail, once in the map.
    if (write.value) bytes += 2 * (write.key.size() + write.value->size());
  }
  return bytes == 0 || usage.bytes_used + bytes <= usage.bytes_limit / 100 * kMaxDiskUsePercent;
}

void Group::Expire(net::Time now) {
  if (in_flight_ && now >= in_flight_->until) {
    AnswerLater(std::move(in_flight_->done),
                MakeError(ErrorCode::kUnknown, "not acknowledged in time"));
    in_flight_.reset();
  }
  while (!waiting_.empty() && now >= waiting_.front().until) {
    AnswerLater(std::move(waiting_.front().done),
                MakeError(ErrorCode::kUnavailable, "the primary cannot act at the moment"));
    waiting_.pop_front();
  }
}

void Group::AnswerLater(Done done, Result<void> result) {
  loop_.Post([done = std::move(done), result = std::move(result), alive = alive_] {
    if (*alive) done(result);
  });
}

// ---- Handing over.

void Group::Transfer(std::function<void(bool)> done) {
  if (transferred_) {
    loop_.Post([done = std::move(done)] { done(false); });
    return;
  }
  // The member has no disk meanwhile, and knows nothing of the one that refuses.
  if (failed()) {
    loop_.Post([done = std::move(done), released = !MayHoldReplica(), alive = alive_] {
      if (*alive) done(released);
    });
    return;
  }
  transferred_ = std::move(done);
  transfer_begun_ = false;
  transfer_from_ = loop_.Now();
  if (!running_) Pump();
}

bool Group::MayHoldReplica() const {
  const Record& record = member_->record();
  if (record.number == 0 || identity_.empty()) return true;
  return FindDisk(record.replicas, identity_) != nullptr;
}

void Group::BeginTransfer() {
  transfer_begun_ = true;
  Run([this](Step& step, MemberOutput& out) { member_->Transfer(step, out); });
}

void Group::EndTransfer(bool moved) {
  if (!transferred_) return;
  loop_.Post([done = std::move(transferred_), moved, alive = alive_] {
    if (*alive) done(moved);
  });
  transferred_ = nullptr;
}

}  // namespace shelflink::coordination
