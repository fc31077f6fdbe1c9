// Maintains the placement of partitions in the replicated map: commits the changes required by
// losses, by reports of the partitions' primaries and by new stores, one plan at a time. Runs on
// the core's primary only.
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

// Reports waiting for their commit; further ones are refused with kExhausted.
constexpr std::size_t kMostWaitingReports = 4096;

class PlacementKeeper {
 public:
  // No store counts as lost before `patience` has passed since the start: until then it may hold a
  // lease of the previous primary.
  PlacementKeeper(net::Loop& loop, coordination::Replicator& replicator, const MemberTable& members,
                  PlacementRules rules, net::Span patience);
  ~PlacementKeeper();

  void Start();
  void Stop();
  // The state of the stores has changed.
  void Evaluate();
  // Makes changes that become due by time alone.
  void Tick();
  void OnReport(const BackupReport& report, std::function<void(Result<void>)> done);
  // All known stores in their current state.
  std::vector<StoreCandidate> Candidates(const coordination::Contents& contents) const;
  const PlacementRules& rules() const { return rules_; }
  // This primary is too new to have heard from every store.
  bool Patient() const { return loop_.Now() < started_ + patience_; }

 private:
  struct WaitingReport {
    BackupReport report;
    std::function<void(Result<void>)> done;
    Result<void> outcome;
  };
  struct Proposal {  // The result of a plan on the committed map.
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
  bool settled_ = false;  // No change is needed until the next event.
  bool was_patient_ = false;
  net::Time started_{};
  std::vector<WaitingReport> waiting_;  // For the next plan.
  std::vector<WaitingReport> in_plan_;  // In the submitted plan.
  std::map<std::pair<std::size_t, std::string>, net::Time> stalled_until_;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_PLACEMENT_KEEPER_H_
