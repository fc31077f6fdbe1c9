#include "tier/cluster/placement_keeper.h"

#include <algorithm>

#include "tier/cluster/control_state.h"
#include "tier/cluster/view_codec.h"
#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

// A backup found stalled does not come back to the same row for so long.
constexpr std::chrono::seconds kStalledSpan{10};
constexpr const char* kModule = "cluster.placement";

}  // namespace

PlacementKeeper::PlacementKeeper(net::Loop& loop, coordination::Replicator& replicator,
                                 const MemberTable& members, PlacementRules rules,
                                 net::Span patience)
    : loop_(loop), replicator_(replicator), members_(members), rules_(rules), patience_(patience) {}

PlacementKeeper::~PlacementKeeper() = default;

void PlacementKeeper::Start() {
  running_ = true;
  started_ = loop_.Now();
  settled_ = false;
  was_patient_ = true;
  stalled_until_.clear();
}

void PlacementKeeper::Stop() {
  running_ = false;
  Refuse(std::exchange(waiting_, {}), MakeError(ErrorCode::kUnavailable, "no longer the primary"));
}

void PlacementKeeper::Refuse(const std::vector<WaitingReport>& reports, const Error& error) {
  for (const WaitingReport& waiting : reports) waiting.done(error);
}

std::vector<StoreCandidate> PlacementKeeper::Candidates(
    const coordination::Contents& contents) const {
  const std::set<std::string> retiring = RetiringOf(contents);
  std::map<std::string, StoreCandidate> by_node;
  for (const auto& [node, record] : StoresOf(contents)) {
    by_node[node] = {node,        record.zone, record.address,
                     record.disk, Patient(),   retiring.count(node) > 0};
  }
  for (const auto& [address, lease] : members_.leases()) {
    if (!lease.store) continue;
    const Member& member = lease.member;
    by_node[member.node] = {member.node,
                            member.zone,
                            address,
                            lease.store->disk,
                            true,
                            retiring.count(member.node) > 0,
                            lease.store->tokens_queued};
  }
  std::vector<StoreCandidate> candidates;
  candidates.reserve(by_node.size());
  for (auto& [node, candidate] : by_node) candidates.push_back(std::move(candidate));
  return candidates;
}

Stalled PlacementKeeper::CurrentlyStalled() {
  Stalled stalled;
  for (auto entry = stalled_until_.begin(); entry != stalled_until_.end();) {
    if (entry->second <= loop_.Now()) {
      entry = stalled_until_.erase(entry);
    } else {
      stalled.insert(entry->first);
      ++entry;
    }
  }
  return stalled;
}

void PlacementKeeper::Tick() {
  const net::Time now = loop_.Now();
  const bool patience_ended = std::exchange(was_patient_, Patient()) && !Patient();
  const bool stall_ended = std::any_of(stalled_until_.begin(), stalled_until_.end(),
                                       [now](const auto& entry) { return entry.second <= now; });
  if (!settled_ || patience_ended || stall_ended) Evaluate();
}

void PlacementKeeper::Evaluate() {
  if (!running_) return;
  if (submitted_) {
    evaluate_again_ = true;
    return;
  }
  evaluate_again_ = false;
  in_plan_ = std::exchange(waiting_, {});
  // A plan without writes still costs a round to the replicas.
  settled_ = in_plan_.empty() && MakeWrites(replicator_.contents()).empty();
  if (settled_) return;
  submitted_ = true;
  replicator_.Submit(
      [this, alive = std::weak_ptr<char>(life_)](
          const coordination::Contents& committed) -> Result<std::vector<coordination::Write>> {
        if (alive.expired() || !running_) {
          return MakeError(ErrorCode::kUnavailable, "no longer the primary");
        }
        return MakeWrites(committed);
      },
      [this, alive = std::weak_ptr<char>(life_)](const Result<void>& result) {
        if (!alive.expired()) OnCommitted(result);
      });
}

void PlacementKeeper::OnCommitted(const Result<void>& result) {
  submitted_ = false;
  if (!result) log::Warning(kModule, "a change was not committed: " + result.error().text);
  for (const WaitingReport& waiting : std::exchange(in_plan_, {})) {
    waiting.done(result ? waiting.outcome : Result<void>(result.error()));
  }
  if (evaluate_again_ || !waiting_.empty()) Evaluate();
}

void PlacementKeeper::OnReport(const BackupReport& report, std::function<void(Result<void>)> done) {
  if (!running_) {
    done(MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  if (waiting_.size() >= kMostWaitingReports) {
    done(MakeError(ErrorCode::kExhausted, "too many reports on backups wait"));
    return;
  }
  waiting_.push_back({report, std::move(done), BOOST_OUTCOME_V2_NAMESPACE::success()});
  Evaluate();
}

std::vector<coordination::Write> PlacementKeeper::MakeWrites(
    const coordination::Contents& contents) {
  Proposal proposal;
  proposal.rows = RowsOf(contents);
  TakeReports(proposal);
  RecordStores(contents, proposal);
  if (!Patient()) MakeChanges(contents, proposal);
  if (proposal.changed.empty()) return proposal.writes;
  for (const std::size_t partition : proposal.changed) {
    proposal.writes.push_back({RowKey(partition), EncodeRow(proposal.rows[partition])});
  }
  const std::uint64_t count = NumberAt(contents, kPlacementCountKey) + 1;
  proposal.writes.push_back({std::string(kPlacementCountKey), EncodeNumber(count)});
  return proposal.writes;
}

void PlacementKeeper::TakeReports(Proposal& proposal) {
  for (WaitingReport& waiting : in_plan_) {
    waiting.outcome = TakeReport(proposal, waiting.report);
  }
}

Result<void> PlacementKeeper::TakeReport(Proposal& proposal, const BackupReport& report) {
  if (report.partition >= proposal.rows.size()) {
    return MakeError(ErrorCode::kNotFound, "no such partition");
  }
  PartitionRow& row = proposal.rows[report.partition];
  const bool changed_here =
      std::count(proposal.changed.begin(), proposal.changed.end(), report.partition) > 0;
  const std::uint64_t epoch = changed_here ? row.epoch - 1 : row.epoch;
  const auto backup = std::find(row.backup_disks.begin(), row.backup_disks.end(), report.disk);
  if (report.epoch != epoch || backup == row.backup_disks.end()) {
    return MakeError(ErrorCode::kConflict, "the row of the partition has changed");
  }
  if (report.condition == BackupCondition::kStalled) {
    stalled_until_[{report.partition, report.disk}] = loop_.Now() + kStalledSpan;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (row.complete[static_cast<std::size_t>(backup - row.backup_disks.begin())]) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  row = WithComplete(std::move(row), report.disk);
  row.epoch = epoch + 1;
  if (!changed_here) proposal.changed.push_back(report.partition);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PlacementKeeper::RecordStores(const coordination::Contents& contents,
                                   Proposal& proposal) const {
  const std::map<std::string, StoreRecord> recorded = StoresOf(contents);
  for (const auto& [address, lease] : members_.leases()) {
    if (!lease.store) continue;
    const StoreRecord record{lease.member.zone, address, lease.store->disk};
    const auto known = recorded.find(lease.member.node);
    if (known != recorded.end() && known->second == record) continue;
    proposal.writes.push_back({StoreKey(lease.member.node), EncodeStoreRecord(record)});
  }
}

void PlacementKeeper::MakeChanges(const coordination::Contents& contents, Proposal& proposal) {
  const std::vector<StoreCandidate> candidates = Candidates(contents);
  if (proposal.rows.empty()) {
    proposal.rows = FirstPlacement(candidates, rules_);
    for (std::size_t partition = 0; partition < proposal.rows.size(); ++partition) {
      proposal.changed.push_back(partition);
    }
    return;
  }
  for (RowChange& change : NextChanges(proposal.rows, candidates, CurrentlyStalled(), rules_)) {
    if (change.data_lost) {
      log::Line(log::Level::kError, kModule,
                "partition " + std::to_string(change.partition) +
                    " has lost every complete copy, beyond the fault tolerance");
    }
    const bool known =
        std::count(proposal.changed.begin(), proposal.changed.end(), change.partition) > 0;
    if (!known) proposal.changed.push_back(change.partition);
    proposal.rows[change.partition] = std::move(change.row);
  }
}

}  // namespace shelflink::cluster
