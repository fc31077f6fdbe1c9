// Reports of use to the platform, one for each window of true time, by the core's primary.
//
// The counts of a window are committed to the replicated map before the first call, and every call
// for the window, also a repeated one by the next holder, sends exactly those: a window is never
// reported with two counts. A window is committed when every sidecar heard of has counted it to its
// end, or when 0.7 of the time it may be late has passed. A primary does not know at first whom it
// has not heard yet (sidecars on the other side of a cut); until it has led for as long as a window
// may be late, it takes that time.
#ifndef SHELFLINK_TIER_CLUSTER_USAGE_DUTY_H_
#define SHELFLINK_TIER_CLUSTER_USAGE_DUTY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/cluster/counting_progress.h"
#include "tier/cluster/duty_pace.h"
#include "tier/cluster/usage_ledger.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/settings.h"
#include "tier/platform/platform.h"

namespace shelflink::cluster {

class UsageDuty {
 public:
  struct Parts {
    net::Loop& loop;
    coordination::Replicator& replicator;
    platform::Platform& platform;
    UsageLedger& ledger;
    DutyPace& pace;
    std::function<std::int64_t()> true_micros;
  };

  UsageDuty(Parts parts, const ProcessSettings& settings);

  void Start(std::uint64_t epoch);
  void Stop();
  // The same holder goes on under a later epoch.
  void SetFence(std::uint64_t epoch) { epoch_ = epoch; }
  // A sidecar has told its counts; all windows before `window_open` to their end.
  void Hear(const net::Address& sidecar, std::uint64_t window_open) {
    progress_.Hear(parts_.loop.Now(), sidecar, window_open);
  }
  // It has said farewell.
  void Forget(const net::Address& sidecar) { progress_.Forget(sidecar); }
  // Does what is due; called a few times a second.
  void Tick();

 private:
  std::uint64_t WindowAt(std::int64_t true_micros) const;
  std::int64_t EndOf(std::uint64_t window) const;
  std::optional<std::uint64_t> NextWindow() const;
  bool IsComplete(std::uint64_t window);
  void Settle();
  void CommitNext();
  Result<std::vector<coordination::Write>> PlanCommit(const coordination::Contents& committed,
                                                      std::uint64_t window) const;
  void ReportNext();
  void OnReported(std::uint64_t window, std::uint64_t fence,
                  const platform::CallResult<void>& result);

  Parts parts_;
  std::string node_;
  std::int64_t span_micros_;
  std::int64_t late_micros_;
  net::Span hearing_;  // After so long clocks have been heard.
  CountingProgress progress_;

  bool running_ = false;
  std::uint64_t epoch_ = 0;
  net::Time started_{};
  bool committing_ = false;
  bool reporting_ = false;
  std::uint64_t first_window_ = 0;     // Where none has been committed: the first to report.
  std::uint64_t reported_before_ = 0;  // The platform has all windows below that are committed.
  net::Time next_report_{};
  net::Span pause_{};
  std::shared_ptr<char> run_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_USAGE_DUTY_H_
