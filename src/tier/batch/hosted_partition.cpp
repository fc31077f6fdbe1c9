#include "tier/batch/hosted_partition.h"

#include <algorithm>
#include <limits>

#include "tier/coordination/catch_up.h"

namespace shelflink::batch {
namespace {

constexpr std::size_t kMostEarlyBytes = 256U << 10;  // Of all that is kept of a row to come.
// A row may already be decided that names a joiner complete on the word of an earlier process of
// this disk; it is known here by then.
constexpr std::chrono::milliseconds kRestartPause{1000};
constexpr std::chrono::milliseconds kActiveSpan{2000};
// Connections lose nothing while they last: sent again sooner, large writes would only come twice
// to a backup that is slow already.
constexpr std::chrono::milliseconds kResend{1000};
// A storage that is nearly full has room for the note of so much that was removed at a time.
constexpr std::size_t kMostErasedBytes = 1U << 20;
// A disk that had no room for new jobs is asked again so often: while none are taken there may be
// nothing else to say to it.
constexpr std::chrono::milliseconds kAskFullDisks{1000};

coordination::Replica::Options ReplicaOptions(const PartitionSurroundings& around,
                                              std::uint32_t partition) {
  coordination::Replica::Options options;
  options.disk = around.disk;
  options.prefix = HostedPartition::PrefixOf(partition);
  options.least_replicas = around.least_replicas;
  options.resend = kResend;
  return options;
}

}  // namespace

bool Names(const cluster::PartitionRow& row, const std::string& disk) {
  const auto& backups = row.backup_disks;
  return row.primary_disk == disk ||
         std::find(backups.begin(), backups.end(), disk) != backups.end();
}

std::string HostedPartition::PrefixOf(std::uint32_t partition) {
  return "p" + std::to_string(partition) + "/";
}

HostedPartition::HostedPartition(PartitionSurroundings& around, std::uint32_t partition)
    : around_(around),
      partition_(partition),
      replica_(ReplicaOptions(around, partition), around.storage) {}

HostedPartition::~HostedPartition() { *alive_ = false; }

// --- Rows ---------------------------------------------------------------------------------------

void HostedPartition::TakeRow(const cluster::PartitionRow& row, std::uint64_t life) {
  if (row.epoch <= row_.epoch) return;
  const std::string primary_before = row_.primary_disk;
  const bool first_row = row_.epoch == 0;
  life_ = life;
  TakeMembers(row);
  NoteEpoch(row.epoch);
  if (IsStartedEmpty()) {
    EraseUpTo(std::numeric_limits<std::size_t>::max());
    replica_ = coordination::Replica(ReplicaOptions(around_, partition_), around_.storage);
  }
  const bool nothing_stored = !replica_.complete() && replica_.tail_entries() == 0 &&
                              replica_.committed() == coordination::Position{};
  if (complete_in_row_ && nothing_stored) {
    Run([this](coordination::Step& step, coordination::ReplicaOutput&) { replica_.Found(step); });
  }
  act_from_.reset();
  if (row.primary_disk != around_.disk) {
    AssignEpoch(ReplicaEpoch(row.epoch, 0), false);
    FailCommits();
  } else if (first_row && std::count(row.complete.begin(), row.complete.end(), false) > 0) {
    act_from_ = around_.loop.Now() + kRestartPause;
  } else {
    Act();
    Announce(primary_before);
  }
  TakeEarlyFrames();
}

void HostedPartition::TakeMembers(const cluster::PartitionRow& row) {
  row_ = row;
  full_disks_.clear();  // One that has left says no more; the others say so again.
  named_ = true;
  complete_in_row_ = row.primary_disk == around_.disk;
  addresses_[row.primary_disk] = row.primary;
  for (std::size_t index = 0; index < row.backups.size(); ++index) {
    addresses_[row.backup_disks[index]] = row.backups[index];
    if (row.backup_disks[index] == around_.disk) complete_in_row_ = row.complete[index];
  }
}

// The row's one complete copy is here, and yet it never became whole here: all that were complete
// are gone, and the core goes on with what is left. Nothing of a part is worth keeping.
bool HostedPartition::IsStartedEmpty() const {
  const bool alone = row_.primary_disk == around_.disk && complete_copies() == 1;
  return alone && !replica_.complete();
}

void HostedPartition::Act() {
  act_from_.reset();
  AssignEpoch(ReplicaEpoch(row_.epoch, life_), true);
}

void HostedPartition::Announce(const std::string& primary_before) {
  std::set<std::string> others(row_.backup_disks.begin(), row_.backup_disks.end());
  if (!primary_before.empty()) others.insert(primary_before);
  others.erase(around_.disk);
  for (const std::string& disk : others) SendTo(disk, std::nullopt);
}

void HostedPartition::LeaveRow(std::uint64_t epoch) {
  NoteEpoch(epoch);
  if (named_ || row_.epoch == 0) left_at_ = around_.loop.Now();
  named_ = false;
  complete_in_row_ = false;
  act_from_.reset();
  row_ = {};
  row_.epoch = epoch;
  AssignEpoch(ReplicaEpoch(epoch, 0), false);
  FailCommits();
}

void HostedPartition::AssignEpoch(std::uint64_t epoch, bool acting) {
  asked_to_catch_up_ = false;
  coordination::Assignment assignment;
  assignment.epoch = epoch;
  assignment.primary = row_.primary_disk;
  if (!row_.primary_disk.empty()) assignment.replicas.push_back(row_.primary_disk);
  for (std::size_t index = 0; index < row_.backup_disks.size(); ++index) {
    if (row_.complete[index]) assignment.replicas.push_back(row_.backup_disks[index]);
  }
  const bool acted = replica_.acting();
  Run([&](coordination::Step& step, coordination::ReplicaOutput& out) {
    replica_.Assign(step, out, assignment, acting);
    if (!acted && replica_.acting()) ++term_;
  });
}

void HostedPartition::NoteEpoch(std::uint64_t row_epoch) {
  newest_epoch_ = std::max(newest_epoch_, row_epoch);
}

std::size_t HostedPartition::complete_copies() const {
  return 1 + static_cast<std::size_t>(std::count(row_.complete.begin(), row_.complete.end(), true));
}

// --- Steps of the replica -----------------------------------------------------------------------

void HostedPartition::Run(const Event& event) {
  if (around_.storage.failed()) return;
  coordination::Step step{around_.loop.Now(), around_.storage, around_.next_ticket(), false};
  coordination::ReplicaOutput out;
  event(step, out);
  if (step.wants_sync) {
    around_.storage.Sync([this, alive = alive_, ticket = step.ticket](const Result<void>& synced) {
      if (!*alive || !synced) return;
      Run([&](coordination::Step& then, coordination::ReplicaOutput& after) {
        replica_.OnSynced(then, after, ticket);
      });
    });
  }
  Carry(out);
}

void HostedPartition::Carry(coordination::ReplicaOutput& out) {
  if (!out.messages.empty()) active_at_ = around_.loop.Now();
  for (auto& [disk, message] : out.messages) SendTo(disk, std::move(message));
  for (const coordination::Entry& entry : out.committed) {
    if (commits_.empty() || commits_.front().first != entry.position) continue;
    around_.loop.Post([done = std::move(commits_.front().second)] {
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
    commits_.pop_front();
  }
  const std::tuple role(acting(), leading(), term_);
  if (role == told_role_) return;
  told_role_ = role;
  around_.role_changed();
}

void HostedPartition::SendTo(const std::string& disk,
                             std::optional<coordination::ReplicaMessage> message) {
  const auto found = addresses_.find(disk);
  if (found == addresses_.end()) return;
  around_.send(found->second, {partition_, replica_.epoch(), around_.disk, around_.has_room(),
                               std::move(message), around_.takes_results()});
}

FrameUse HostedPartition::OnFrame(const ReplicaFrame& frame, std::size_t bytes) {
  const std::uint64_t row_epoch = RowEpochOf(frame.epoch);
  NoteEpoch(row_epoch);
  if (row_epoch > row_.epoch) {
    if (!frame.message || early_bytes_ + bytes > kMostEarlyBytes) return FrameUse::kTaken;
    early_.emplace_back(frame, bytes);
    early_bytes_ += bytes;
    return FrameUse::kTaken;
  }
  if (row_epoch < row_.epoch) {
    SendTo(frame.disk, std::nullopt);  // It learns that it acts in an older row.
    return FrameUse::kOlderEpoch;
  }
  if (!named_ || !Names(row_, frame.disk)) return FrameUse::kUnnamed;
  NoteRoom(frame);
  const bool from_primary = frame.disk == row_.primary_disk && frame.disk != around_.disk;
  if (from_primary && frame.epoch > replica_.epoch()) AssignEpoch(frame.epoch, false);
  if (acting() && frame.epoch < replica_.epoch()) {
    SendTo(frame.disk, std::nullopt);  // It learns this primary's life.
    return FrameUse::kOlderEpoch;
  }
  if (frame.epoch != replica_.epoch() || !frame.message) return FrameUse::kTaken;
  Run([&](coordination::Step& step, coordination::ReplicaOutput& out) {
    replica_.OnMessage(step, out, frame.disk, *frame.message);
  });
  return FrameUse::kTaken;
}

void HostedPartition::NoteRoom(const ReplicaFrame& frame) {
  if (frame.has_room) {
    full_disks_.erase(frame.disk);
  } else {
    full_disks_[frame.disk] = frame.takes_results;
  }
}

void HostedPartition::TakeEarlyFrames() {
  const auto frames = std::exchange(early_, {});
  early_bytes_ = 0;
  for (const auto& [frame, bytes] : frames) OnFrame(frame, bytes);
}

// --- Time ---------------------------------------------------------------------------------------

void HostedPartition::OnTimer() {
  if (act_from_ && around_.loop.Now() >= *act_from_) {
    Act();
    Announce({});
  }
  if (!acting()) return;
  AskFullDisks();
  Run([this](coordination::Step& step, coordination::ReplicaOutput& out) {
    replica_.OnTimer(step, out);
  });
}

// Each answer tells whether its disk has room by now.
void HostedPartition::AskFullDisks() {
  if (full_disks_.empty() || around_.loop.Now() - asked_full_disks_ < kAskFullDisks) return;
  asked_full_disks_ = around_.loop.Now();
  for (const auto& [disk, takes_results] : full_disks_) replica_.TellAgain(disk);
}

bool HostedPartition::busy() const {
  if (learning() || act_from_) return true;
  if (!acting()) return false;
  return replica_.tail_entries() > 0 || complete_copies() <= row_.backups.size() ||
         !full_disks_.empty() || around_.loop.Now() - active_at_ < kActiveSpan;
}

std::vector<std::string> HostedPartition::Stalled(net::Span patience) const {
  std::vector<std::string> stalled;
  if (!acting()) return stalled;
  for (const std::string& disk : row_.backup_disks) {
    const std::optional<net::Time> since = replica_.Owing(disk);
    if (since && around_.loop.Now() - *since > patience) stalled.push_back(disk);
  }
  return stalled;
}

std::vector<coordination::LearnerProgress> HostedPartition::Learners() const {
  if (!acting()) return {};
  return replica_.learners();
}

std::vector<std::string> HostedPartition::RequireJoined() {
  std::vector<std::string> joined;
  if (!acting()) return joined;
  for (std::size_t index = 0; index < row_.backup_disks.size(); ++index) {
    const std::string& disk = row_.backup_disks[index];
    if (!row_.complete[index] && replica_.Joined(disk)) joined.push_back(disk);
  }
  replica_.Require({joined.begin(), joined.end()});
  return joined;
}

void HostedPartition::CatchUp() {
  asked_to_catch_up_ = true;
  Run([this](coordination::Step& step, coordination::ReplicaOutput& out) {
    replica_.CatchUp(step, out);
  });
}

// The replica's state goes with the first part, so that what is left is never taken for a copy: it
// may be named again meanwhile.
bool HostedPartition::EraseMore() {
  const bool all = EraseUpTo(kMostErasedBytes);
  replica_ = coordination::Replica(ReplicaOptions(around_, partition_), around_.storage);
  AssignEpoch(ReplicaEpoch(row_.epoch, 0), false);
  return all;
}

bool HostedPartition::EraseUpTo(std::size_t bytes) {
  storage::Batch batch;
  batch.Remove(coordination::Replica::StateKeyOf(PrefixOf(partition_)));
  std::size_t erased = 0;
  const std::string prefix = PrefixOf(partition_);
  around_.storage.Scan(prefix, prefix, [&](std::string_view key, std::string_view value) {
    batch.Remove(std::string(key));
    erased += key.size() + value.size();
    return erased < bytes;
  });
  around_.storage.Apply(batch);
  around_.storage.Sync([](const Result<void>&) {});
  return erased < bytes;
}

// --- Log ----------------------------------------------------------------------------------------

bool HostedPartition::serving() const {
  return leading() && newest_epoch_ <= row_.epoch && !around_.storage.failed() &&
         around_.loop.Now() < around_.lease_until();
}

bool HostedPartition::has_room() const { return full_disks_.empty() && around_.has_room(); }

bool HostedPartition::takes_results() const {
  return around_.takes_results() &&
         std::all_of(full_disks_.begin(), full_disks_.end(),
                     [](const auto& full_disk) { return full_disk.second; });
}

void HostedPartition::Commit(std::vector<coordination::Write> writes, Done done) {
  Result<coordination::Position> proposed =
      MakeError(ErrorCode::kUnavailable, "the store's disk has failed");
  Run([&](coordination::Step& step, coordination::ReplicaOutput& out) {
    proposed = replica_.Propose(step, out, std::move(writes));
    if (proposed) commits_.emplace_back(proposed.value(), std::move(done));
  });
  if (proposed) return;
  around_.loop.Post([done = std::move(done), error = proposed.error()] { done(error); });
}

void HostedPartition::FailCommits() {
  for (auto& [position, done] : commits_) {
    around_.loop.Post([done = std::move(done)] {
      done(MakeError(ErrorCode::kUnknown, "no longer the partition's primary"));
    });
  }
  commits_.clear();
}

std::optional<std::string> HostedPartition::Get(std::string_view key) const {
  return replica_.Get(around_.storage, key);
}

void HostedPartition::Scan(std::string_view prefix, const Visitor& visitor) const {
  // The map of a replica lies behind its prefix and an "m".
  const coordination::PrefixView map(around_.storage, PrefixOf(partition_) + "m");
  coordination::KeyRange range;
  range.from = prefix;
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    return key.substr(0, prefix.size()) == prefix && visitor(key, value);
  });
}

}  // namespace shelflink::batch
