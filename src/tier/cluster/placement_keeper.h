// Keeps the placement of partitions in the replicated map: commits what losses, reports of the
// partitions' primaries and newcomers ask for, one plan at a time. Works on the core's primary
// only.
#ifndef SHELFLINK_TIER_CLUSTER_PLACEMENT_KEEPER_H_
#define SHELFLINK_TIER_CLUSTER_PLACEMENT_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/member_table.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/placement.h"
#include "tier/coordination/replicator.h"

namespace shelflink::cluster {

// Reports that wait for their commit; one that comes beyond is refused with kExhausted.
constexpr std::size_t kMostWaitingReports = 4096;

class PlacementKeeper {
 public:
  // Nobody counts as lost before `patience` has passed since the start: that long a store may have
  // spoken with the primary before this one.
  PlacementKeeper(net::Loop& loop, coordination::Replicator& replicator, const MemberTable& members,
                  PlacementRules rules, net::Span patience);
  ~PlacementKeeper();

  void Start();
  void Stop();
  // Something about the stores has changed.
  void Evaluate();
  // Does what falls due with time alone.
  void Tick();
  void OnReport(const BackupReport& report, std::function<void(Result<void>)> done);
  // All stores known, as of now.
  std::vector<StoreCandidate> Candidates(const coordination::Contents& contents) const;
  const PlacementRules& rules() const { return rules_; }
  // This primary is so new that it may not have heard of every store yet.
  bool Patient() const { return loop_.Now() < started_ + patience_; }

 private:
  struct WaitingReport {
    BackupReport report;
    std::function<void(Result<void>)> done;
    Result<void> outcome;
  };
  struct Proposal {  // What a plan makes of the committed map.
    std::vector<PartitionRow> rows;
    std::vector<std::size_t> changed;  // Of the rows.
    std::vector<coordination::Write> writes;
  };

  std::vector<coordination::Write> MakeWrites(const coordination::Contents& contents);
  void TakeReports(Proposal& proposal);
  Result<void> TakeReport(Proposal& proposal, const BackupReport& report);
  void RecordStores(const coordination::Contents& contents, Proposal& proposal) const;
  void MakeChanges(const coordination::Contents& contents, Proposal& proposal);
  Stalled CurrentlyStalled();
  void OnCommitted(const Result<void>& result);
  static void Refuse(const std::vector<WaitingReport>& reports, const Error& error);

  net::Loop& loop_;
  coordination::Replicator& replicator_;
  const MemberTable& members_;
  PlacementRules rules_;
  net::Span patience_;
  bool running_ = false;
  bool submitted_ = false;
  bool evaluate_again_ = false;
  bool settled_ = false;  // Nothing is left to change until something happens.
  bool was_patient_ = false;
  net::Time started_{};
  std::vector<WaitingReport> waiting_;  // For the next plan.
  std::vector<WaitingReport> in_plan_;  // Of the plan that is submitted.
  std::map<std::pair<std::size_t, std::string>, net::Time> stalled_until_;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_PLACEMENT_KEEPER_H_
