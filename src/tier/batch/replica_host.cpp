#include "tier/batch/replica_host.h"

#include <algorithm>
#include <cstdlib>

#include "tier/foundation/log.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.replicas";
constexpr std::string_view kLifeKey = "life";
constexpr milliseconds kTick{150};
// A timer later than this: the process stood still, and so did its view of the others.
constexpr milliseconds kStall{150};
// After that it judges nobody for so long: what slowed it may slow the others too.
constexpr milliseconds kCalmDown{1000};
constexpr milliseconds kReportPause{500};
// A partition that no row gives to this disk any more is kept so long: the disk may be named again
// soon, and then little has to move.
constexpr milliseconds kKeepUnnamed{20000};
// So much of the disk may be used where new jobs are accepted, what they will still need counted
// in; where copies of partitions are taken up; and where results of accepted jobs are. The rest is
// for what removes something: the storage itself keeps a last part for that (lmdb_storage.h).
constexpr double kRoomShare = 0.8;
constexpr double kCopyShare = 0.9;
constexpr double kResultShare = 0.95;

// A part of a copy for a joiner.
bool IsCopy(const ReplicaFrame& frame) {
  const auto* reply =
      frame.message ? std::get_if<coordination::CatchUpReply>(&*frame.message) : nullptr;
  return reply != nullptr && !reply->contents.empty();
}

std::uint64_t BytesCopiedTo(const HostedPartition& hosted, const std::string& disk) {
  for (const coordination::LearnerProgress& learner : hosted.Learners()) {
    if (learner.disk == disk) return learner.bytes_copied;
  }
  return 0;
}

}  // namespace

ReplicaHost::ReplicaHost(net::Loop& loop, transport::Hub& hub, storage::Storage& storage,
                         Options options, Outside outside)
    : loop_(loop),
      hub_(hub),
      storage_(storage),
      options_(std::move(options)),
      outside_(std::move(outside)),
      drops_(loop, std::string(kLogName), dropped_),
      timer_(loop.NewTimer([this] { OnTimer(); })) {
  around_ = std::make_unique<PartitionSurroundings>(
      PartitionSurroundings{loop_, storage_, options_.disk, options_.least_replicas,
                            outside_.lease_until, [this] { return HasRoom(); },
                            [this] { return IsBelow(kResultShare); }, [this] { return ++ticket_; },
                            [this](const net::Address& to, ReplicaFrame frame) {
                              hub_.Send(to, kReplicate, Encode(std::move(frame)));
                              ArmTimer();
                            },
                            [this] { LookLater(); }});
  hub_.Handle(kReplicate, [this](const transport::PeerIdentity& from, std::string_view body) {
    OnFrame(from, body);
  });
  CountLife();
}

ReplicaHost::~ReplicaHost() {
  *alive_ = false;
  hub_.Handle(kReplicate, nullptr);
}

void ReplicaHost::CountLife() {
  const std::optional<std::string> stored = storage_.Get(kLifeKey);
  life_ = 1 + (stored ? std::strtoull(stored->c_str(), nullptr, 10) : 0);
  storage::Batch batch;
  batch.Put(std::string(kLifeKey), std::to_string(life_));
  storage_.Apply(batch);
  storage_.Sync([this, alive = alive_](const Result<void>& synced) {
    if (!*alive || !synced) return;
    life_is_synced_ = true;
    if (placement_) TakePlacement();
  });
}

// --- Placement ----------------------------------------------------------------------------------

void ReplicaHost::OnPlacement(const cluster::Placement& placement) {
  placement_ = placement;
  if (life_is_synced_) TakePlacement();
}

void ReplicaHost::TakePlacement() {
  for (std::uint32_t partition = 0; partition < placement_->rows.size(); ++partition) {
    TakeRow(partition, placement_->rows[partition]);
  }
  LearnLater();
  ArmTimer();
}

void ReplicaHost::TakeRow(std::uint32_t partition, const cluster::PartitionRow& row) {
  const bool named = Names(row, options_.disk);
  const auto found = hosted_.find(partition);
  if (found == hosted_.end() && !named && !IsStored(partition)) return;
  auto& hosted = found == hosted_.end() ? hosted_[partition] : found->second;
  if (!hosted) hosted = std::make_unique<HostedPartition>(*around_, partition);
  if (named) {
    hosted->TakeRow(row, life_);
  } else if (row.epoch > hosted->row_epoch()) {
    hosted->LeaveRow(row.epoch);
  }
}

bool ReplicaHost::IsStored(std::uint32_t partition) const {
  bool stored = false;
  const std::string prefix = HostedPartition::PrefixOf(partition);
  storage_.Scan(prefix, prefix, [&](std::string_view, std::string_view) {
    stored = true;
    return false;
  });
  return stored;
}

void ReplicaHost::LookLater() {
  if (look_posted_) return;
  look_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (*alive) Look();
  });
}

// Tells who leads what now. A primary that stays one over a change of its row keeps its server:
// what it has under way is decided in the new row, and until then it serves nothing.
void ReplicaHost::Look() {
  look_posted_ = false;
  for (auto& [partition, hosted] : hosted_) {
    const auto led = led_.find(partition);
    const bool goes_on = hosted->acting() && led != led_.end() && led->second == hosted->term();
    if (goes_on) continue;
    Lost(partition);
    if (!hosted->leading()) continue;
    led_[partition] = hosted->term();
    if (events_.primary) events_.primary(partition, *hosted);
  }
}

void ReplicaHost::LeadAnew(std::uint32_t partition) {
  Lost(partition);
  LookLater();
}

void ReplicaHost::Lost(std::uint32_t partition) {
  if (led_.erase(partition) != 0 && events_.lost) events_.lost(partition);
}

ReplicaHost::Copies ReplicaHost::copies() const {
  Copies copies;
  for (const auto& [partition, hosted] : hosted_) {
    if (!hosted->named()) {
      ++copies.left;
    } else if (hosted->acting()) {
      ++copies.primaries;
    } else if (hosted->learning()) {
      ++copies.incomplete;
    } else {
      ++copies.backups;
    }
  }
  return copies;
}

// --- Frames -------------------------------------------------------------------------------------

void ReplicaHost::OnFrame(const transport::PeerIdentity& from, std::string_view body) {
  const Result<ReplicaFrame> frame = DecodeReplicaFrame(body);
  if (!frame) {
    drops_.Tell("malformed", frame.error().text + " from " + from.address.Text());
    return;
  }
  heard_at_[frame.value().disk] = loop_.Now();
  const auto found = hosted_.find(frame.value().partition);
  if (found == hosted_.end()) return drops_.Count("not_hosted");
  HostedPartition& hosted = *found->second;
  if (IsCopy(frame.value()) && !IsBelow(kCopyShare)) return drops_.Count("no_room");
  CountUse(hosted.OnFrame(frame.value(), body.size()), frame.value(), from);
  ReportJoined(found->first, hosted);
  if (hosted.learning()) LearnLater();
  ArmTimer();
}

void ReplicaHost::CountUse(FrameUse use, const ReplicaFrame& frame,
                           const transport::PeerIdentity& from) {
  if (use == FrameUse::kTaken) return;
  const bool older = use == FrameUse::kOlderEpoch;
  drops_.Tell(older ? "older_epoch" : "unnamed_disk",
              "a frame of disk " + frame.disk + " about partition " +
                  std::to_string(frame.partition) + " from " + from.address.Text());
}

// --- Time ---------------------------------------------------------------------------------------

void ReplicaHost::ArmTimer() {
  if (timer_armed_) return;
  const bool wanted = std::any_of(hosted_.begin(), hosted_.end(), [](const auto& entry) {
    return entry.second->busy() || !entry.second->named();
  });
  if (!wanted) return;
  timer_armed_ = true;
  timer_due_ = loop_.Now() + kTick;
  timer_->ArmAt(timer_due_);
}

void ReplicaHost::OnTimer() {
  timer_armed_ = false;
  const bool stood_still = loop_.Now() - timer_due_ > kStall;
  for (auto& [partition, hosted] : hosted_) {
    if (!hosted->busy()) continue;
    hosted->OnTimer();
    ReportJoined(partition, *hosted);
  }
  if (stood_still) {
    stalled_before_.clear();
    judges_from_ = loop_.Now() + kCalmDown;
  }
  if (loop_.Now() >= judges_from_) ReportStalled();
  ChooseLearners();
  DropUnnamed();
  ArmTimer();
}

std::vector<cluster::CopyUnderWay> ReplicaHost::copying() const {
  std::vector<cluster::CopyUnderWay> copies;
  for (const auto& [partition, hosted] : hosted_) {
    for (const coordination::LearnerProgress& learner : hosted->Learners()) {
      if (!learner.bytes_left) continue;
      copies.push_back({partition, learner.disk, learner.bytes_copied, *learner.bytes_left});
    }
  }
  return copies;
}

void ReplicaHost::ReportJoined(std::uint32_t partition, HostedPartition& hosted) {
  for (const std::string& disk : hosted.RequireJoined()) {
    Report({partition, hosted.row_epoch(), disk, cluster::BackupCondition::kComplete,
            BytesCopiedTo(hosted, disk)});
  }
}

void ReplicaHost::ReportStalled() {
  std::set<std::pair<std::uint32_t, std::string>> stalled;
  for (auto& [partition, hosted] : hosted_) {
    const std::vector<std::string> owed_long = hosted->Stalled(options_.longest_owed);
    for (const std::string& disk : hosted->Stalled(options_.patience)) {
      const bool too_long = std::count(owed_long.begin(), owed_long.end(), disk) > 0;
      if (!too_long && !Silent(disk)) continue;
      stalled.emplace(partition, disk);
      // Seen twice: an answer may have come that was not read yet.
      if (stalled_before_.count({partition, disk}) == 0) continue;
      Report({partition, hosted->row_epoch(), disk, cluster::BackupCondition::kStalled});
    }
  }
  stalled_before_ = std::move(stalled);
}

bool ReplicaHost::Silent(const std::string& disk) const {
  const auto found = heard_at_.find(disk);
  return found == heard_at_.end() || loop_.Now() - found->second > options_.patience;
}

void ReplicaHost::Report(const cluster::BackupReport& report) {
  net::Time& reported_at = reported_[{report.partition, report.disk}];
  const net::Time now = loop_.Now();
  if (reported_at != net::Time{} && now - reported_at < kReportPause) return;
  reported_at = now;
  const bool complete = report.condition == cluster::BackupCondition::kComplete;
  log::Info(kLogName, "partition " + std::to_string(report.partition) + ": backup " + report.disk +
                          (complete ? " has caught up" : " owes acknowledgements"));
  outside_.report(report);
}

void ReplicaHost::LearnLater() {
  if (learn_posted_) return;
  learn_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (!*alive) return;
    learn_posted_ = false;
    ChooseLearners();
  });
}

// A copy that has come in part stays, and goes on where there is room again.
void ReplicaHost::ChooseLearners() {
  std::vector<HostedPartition*> learning;
  for (auto& [partition, hosted] : hosted_) {
    if (hosted->learning() && !hosted->caught_up()) learning.push_back(hosted.get());
  }
  if (!learning.empty() && !IsBelow(kCopyShare)) {
    log::Bounded(log::Level::kWarning, std::string(kLogName), "no_room",
                 std::to_string(learning.size()) + " copies wait for room on this disk",
                 loop_.Now().time_since_epoch() / std::chrono::microseconds(1));
    return;
  }
  std::stable_sort(learning.begin(), learning.end(),
                   [](const HostedPartition* one, const HostedPartition* other) {
                     return one->complete_copies() < other->complete_copies();
                   });
  if (learning.size() > options_.most_catching_up) learning.resize(options_.most_catching_up);
  for (HostedPartition* hosted : learning) hosted->CatchUp();
}

void ReplicaHost::DropUnnamed() {
  for (auto entry = hosted_.begin(); entry != hosted_.end();) {
    HostedPartition& hosted = *entry->second;
    if (hosted.named() || loop_.Now() - hosted.left_at() < kKeepUnnamed) {
      ++entry;
      continue;
    }
    if (!hosted.EraseMore()) {
      ++entry;
      continue;
    }
    Lost(entry->first);
    entry = hosted_.erase(entry);
  }
}

bool ReplicaHost::HasRoom() const {
  const storage::Usage usage = storage_.usage();
  const std::uint64_t reserved = outside_.reserved_bytes ? outside_.reserved_bytes() : 0;
  return static_cast<double>(usage.bytes_used + reserved) <
         kRoomShare * static_cast<double>(usage.bytes_limit);
}

bool ReplicaHost::IsBelow(double share) const {
  const storage::Usage usage = storage_.usage();
  return static_cast<double>(usage.bytes_used) < share * static_cast<double>(usage.bytes_limit);
}

}  // namespace shelflink::batch
