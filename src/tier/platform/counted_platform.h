// A platform whose calls are counted by what they were and how they ended, for metrics.
#ifndef SHELFLINK_TIER_PLATFORM_COUNTED_PLATFORM_H_
#define SHELFLINK_TIER_PLATFORM_COUNTED_PLATFORM_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "tier/platform/platform.h"

namespace shelflink::platform {

enum class CallKind : std::uint8_t { kList, kReportUsage, kScale };

struct CallOutcome {
  CallKind kind = CallKind::kList;
  std::optional<ErrorCode> error;  // None: it succeeded.
  auto operator<=>(const CallOutcome&) const =
      default;  // NOLINT(modernize-use-nullptr): its error.
};
using CallCounts = std::map<CallOutcome, std::uint64_t>;

// As labels' values: "list", "report_usage", "scale"; "ok" or "exhausted", "unavailable" and so on.
const char* NameOf(CallKind kind);
const char* OutcomeName(const CallOutcome& outcome);

class CountedPlatform : public Platform {
 public:
  explicit CountedPlatform(std::unique_ptr<Platform> platform) : platform_(std::move(platform)) {}

  void List(const ListRequest& request, ListDone done) override;
  void ReportUsage(const UsageReport& report, const DutyHolder& holder, DutyDone done) override;
  void Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) override;

  const CallCounts& counts() const { return counts_; }

 private:
  template <typename T>
  std::function<void(CallResult<T>)> Counting(CallKind kind,
                                              std::function<void(CallResult<T>)> done);

  CallCounts counts_;
  std::unique_ptr<Platform> platform_;  // Ends before the counts that its answers raise.
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_COUNTED_PLATFORM_H_
