#include "tier/coordination/group.h"

#include <algorithm>
#include <random>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/storage/lmdb_storage.h"
#include "tier/storage/no_storage.h"

namespace shelflink::coordination {

namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

constexpr char kModule[] = "core.group";
constexpr transport::MessageKind kGroupMessage = transport::kCoordinationKinds;
constexpr Milliseconds kShortestLease{400};
constexpr Milliseconds kLongestLease{2000};
// Of the disk: a small share, since what a member keeps is small. Bodies of batch jobs need the
// rest.
constexpr std::uint64_t kDiskShare = 2;
constexpr std::uint64_t kMegabyte = 1U << 20;
constexpr Milliseconds kTransferWaits{150};  // For a write under way.
constexpr int kStuckLeases = 8;

std::uint64_t DrawRandom() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
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
  options.patience = settings.bounds.ack * 3 / 4;
  return options;
}

Result<std::unique_ptr<storage::Storage>> Group::OpenStorage(net::Loop& loop,
                                                             const ProcessSettings& settings) {
  if (settings.data_dir.empty()) return std::unique_ptr<storage::Storage>();
  storage::LmdbStorage::Options options;
  options.folder = settings.data_dir + "/core";
  options.bytes_limit = settings.limits.disk_mb * kMegabyte / kDiskShare;
  auto opened = storage::LmdbStorage::Open(loop, options);
  if (opened.has_error()) return opened.error();
  return std::unique_ptr<storage::Storage>(std::move(opened).value());
}

Group::Group(net::Loop& loop, transport::Hub& hub, const ProcessSettings& settings,
             std::unique_ptr<storage::Storage> storage)
    : Group(loop, hub, std::move(storage), OptionsOf(settings), DrawRandom) {}

Group::Group(net::Loop& loop, transport::Hub& hub, std::unique_ptr<storage::Storage> storage,
             Options options, const std::function<std::uint64_t()>& random)
    : loop_(loop), hub_(hub), storage_(std::move(storage)), options_(std::move(options)) {
  Member::Options& member = options_.member;
  const transport::PeerIdentity& self = hub_.self();
  member.self = {self.node, self.zone, "", self.address};
  member.incarnation = self.incarnation;
  if (storage_) {
    const storage::DiskIdentity identity = storage::ReadOrDrawIdentity(*storage_, random);
    member.self.disk = identity.id;
    member.found = member.found && identity.is_new;
  } else {
    storage_ = std::make_unique<storage::NoStorage>();
    member.found = false;
  }
  member_ = std::make_unique<Member>(member, *storage_, loop_.Now());
  timer_ = loop_.NewTimer([this] { OnTimer(); });
  hub_.Handle(kGroupMessage, [this](const transport::PeerIdentity& from, std::string_view body) {
    OnBody(from, body);
  });
  Run([this](Step& step, MemberOutput& out) { member_->Start(step, out); });
}

Group::~Group() {
  *alive_ = false;
  hub_.Handle(kGroupMessage, [](const transport::PeerIdentity&, std::string_view) {});
}

void Group::SetWatcher(Watcher watcher) {
  watcher_ = std::move(watcher);
  if (member_->replica().complete()) Reload();
  if (member_->primary() && watcher_.role) watcher_.role(true, member_->epoch());
}

bool Group::is_primary() const {
  return !failed_ && member_->primary() && member_->HasLease(loop_.Now());
}

std::uint64_t Group::epoch() const {
  return member_->primary() ? member_->epoch() : member_->record().number;
}

std::optional<net::Address> Group::primary() const { return member_->primary_address(); }

std::vector<CoreMember> Group::members() const { return MembersOf(member_->record()); }

void Group::SetSeeds(const std::vector<net::Address>& control_seeds,
                     const ProcessSettings& settings) {
  std::vector<net::Address> seeds;
  seeds.reserve(control_seeds.size());
  for (const net::Address& seed : control_seeds) seeds.push_back(CoreAddressOf(settings, seed));
  member_->SetSeeds(std::move(seeds));
}

// ---- Steps of the member.

void Group::Run(const Event& event) {
  if (failed_) return;
  Step step{loop_.Now(), *storage_, ++ticket_, false};
  MemberOutput out;
  running_ = true;
  event(step, out);
  if (storage_->failed()) {
    FailAll();
    return;
  }
  if (step.wants_sync) SyncFor(step.ticket);
  Carry(out);
  running_ = false;
  Pump();
  Arm();
}

void Group::SyncFor(Ticket ticket) {
  storage_->Sync([this, ticket, alive = alive_](const Result<void>& result) {
    if (!*alive) return;
    if (result.has_error()) {
      FailAll();
      return;
    }
    Run([this, ticket](Step& step, MemberOutput& out) { member_->OnSynced(step, out, ticket); });
  });
}

void Group::Carry(const MemberOutput& out) {
  for (const auto& [to, message] : out.messages) {
    cbor::Writer frame;
    frame.Array(2).Text(options_.member.self.disk).Bytes(Encode(message));
    hub_.Send(to, kGroupMessage, frame.Take());
  }
  if (out.reset) Reload();
  for (const Entry& entry : out.committed) Take(entry);
  for (const MemberOutput::Role& role : out.roles) ToldRole(role);
  if (out.transferred) EndTransfer(*out.transferred);
}

void Group::OnBody(const transport::PeerIdentity& from, std::string_view body) {
  cbor::Reader in(body);
  if (in.Array() < 2) in.Fail();
  Sender sender;
  sender.member = {from.node, from.zone, std::string(in.Text()), from.address};
  sender.incarnation = from.incarnation;
  const std::string_view encoded = in.Bytes();
  const std::optional<Message> message =
      in.ok() && from.role == "core" ? DecodeMessage(encoded) : std::nullopt;
  if (!message) {
    log::Bounded(log::Level::kWarning, kModule, "malformed",
                 "dropped a malformed message from " + from.address.Text(),
                 loop_.Now().time_since_epoch() / std::chrono::microseconds(1));
    return;
  }
  Run([&](Step& step, MemberOutput& out) { member_->OnMessage(step, out, sender, *message); });
}

void Group::OnTimer() {
  const net::Time now = loop_.Now();
  Expire(now);
  SayIfStuck(now);
  if (transferred_ && !transfer_begun_ && now - transfer_from_ >= kTransferWaits) BeginTransfer();
  if (now >= member_->deadline()) {
    Run([this](Step& step, MemberOutput& out) { member_->OnTimer(step, out); });
  } else {
    Arm();
  }
}

void Group::Arm() {
  if (failed_) return;
  net::Time at = member_->deadline();
  if (!waiting_.empty()) at = std::min(at, waiting_.front().until);
  if (in_flight_) at = std::min(at, in_flight_->until);
  if (transferred_ && !transfer_begun_) at = std::min(at, transfer_from_ + kTransferWaits);
  timer_->ArmAt(at);
}

void Group::FailAll() {
  failed_ = true;
  running_ = false;
  timer_->Cancel();
  log::Line(log::Level::kError, kModule, "the disk has failed; this process is no member any more");
  ToldRole({false, member_->record().number});
  if (transferred_) EndTransfer(false);
}

void Group::SayIfStuck(net::Time now) {
  if (!member_->IsStuck(now, options_.member.lease * kStuckLeases)) return;
  std::string nodes;
  for (const CoreMember& replica : member_->record().replicas) nodes += " " + replica.node;
  log::Bounded(log::Level::kWarning, kModule, "stuck",
               "no primary: epoch " + std::to_string(member_->record().number) +
                   " needs one of its replicas and a majority of its witnesses; replicas:" + nodes,
               now.time_since_epoch() / std::chrono::microseconds(1));
}

// ---- The map and the role.

void Group::Reload() {
  contents_.clear();
  std::vector<Write> all;
  member_->replica().ForEach(*storage_, [&](std::string_view key, std::string_view value) {
    contents_.emplace(key, value);
    all.push_back({std::string(key), std::string(value)});
    return true;
  });
  if (watcher_.committed) watcher_.committed(all);
}

void Group::Take(const Entry& entry) {
  for (const Write& write : entry.writes) {
    if (write.value) {
      contents_[write.key] = *write.value;
    } else {
      contents_.erase(write.key);
    }
  }
  if (watcher_.committed) watcher_.committed(entry.writes);
  if (!in_flight_ || entry.position.sequence < in_flight_->position.sequence) return;
  const Done done = std::move(in_flight_->done);
  const bool same = entry.position == in_flight_->position;
  in_flight_.reset();
  if (same) {
    done(outcome::success());
  } else {
    done(MakeError(ErrorCode::kUnknown, "another primary put something else in its place"));
  }
}

void Group::ToldRole(const MemberOutput::Role& role) {
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

// ---- Plans.

void Group::Submit(Plan plan, Done done) {
  if (!is_primary() || transferred_) {
    AnswerLater(std::move(done), MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  if (waiting_.size() >= kMostWaiting) {
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
  while (!failed_ && !running_ && !in_flight_ && !waiting_.empty() &&
         member_->Serving(loop_.Now())) {
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
    in_flight_ = InFlight{position.value(), request.done, until};
  });
  if (refused) request.done(*refused);
}

bool Group::HasRoomFor(const std::vector<Write>& writes) const {
  const storage::Usage usage = storage_->usage();
  std::uint64_t bytes = 0;
  for (const Write& write : writes) {
    // Once as an entry of the tail, once in the map.
    if (write.value) bytes += 2 * (write.key.size() + write.value->size());
  }
  return bytes == 0 || usage.bytes_used + bytes <= usage.bytes_limit / 100 * kMostFullPercent;
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
  if (failed_ || transferred_) {
    loop_.Post([done = std::move(done)] { done(false); });
    return;
  }
  transferred_ = std::move(done);
  transfer_begun_ = false;
  transfer_from_ = loop_.Now();
  if (!running_) Pump();
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
