// Usage reports to the platform, one for each window of true time, sent by the core's primary.
//
// The counts of a window are committed to the replicated map before the first call, and every call
// for the window, including repetitions by a later primary, sends exactly these: a window is never
// reported with two counts. A window is committed when every known sidecar has finished counting
// it, or when 0.7 of the permitted delay has passed. A new primary does not know all sidecars (some
// may be partitioned); until it has led for the permitted delay, it always waits that long.
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
  // Continues under a later epoch of the same primary.
  void SetFence(std::uint64_t epoch) { epoch_ = epoch; }
  // A sidecar has reported its counts; those of windows before `window_open` are final.
  void Hear(const net::Address& sidecar, std::uint64_t window_open) {
    progress_.Hear(parts_.loop.Now(), sidecar, window_open);
  }
  // The sidecar has left.
  void Forget(const net::Address& sidecar) { progress_.Forget(sidecar); }
  // Commits and reports what is due; to be called a few times a second.
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
  net::Span hearing_;  // Time after which the members' clocks are known.
  CountingProgress progress_;

  bool running_ = false;
  std::uint64_t epoch_ = 0;
  net::Time started_{};
  bool committing_ = false;
  bool reporting_ = false;
  std::uint64_t first_window_ = 0;     // The first window to report, if none is committed.
  std::uint64_t reported_before_ = 0;  // All committed windows below are reported.
  net::Time next_report_{};
  net::Span pause_{};
  std::shared_ptr<char> run_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_USAGE_DUTY_H_
