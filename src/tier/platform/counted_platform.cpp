#include "tier/platform/counted_platform.h"

#include <utility>

namespace shelflink::platform {

const char* NameOf(CallKind kind) {
  switch (kind) {
    case CallKind::kList:
      return "list";
    case CallKind::kReportUsage:
      return "report_usage";
    case CallKind::kScale:
      return "scale";
  }
  return "unknown";
}

const char* OutcomeName(const CallOutcome& outcome) {
  if (!outcome.error) return "ok";
  switch (*outcome.error) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "no_answer";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kExhausted:
      return "exhausted";
    case ErrorCode::kStorage:
      return "storage";
  }
  return "unknown";
}

template <typename T>
std::function<void(CallResult<T>)> CountedPlatform::Counting(
    CallKind kind, std::function<void(CallResult<T>)> done) {
  return [this, kind, done = std::move(done)](CallResult<T> result) {
    CallOutcome outcome{kind, std::nullopt};
    if (result.has_error()) outcome.error = result.error().code;
    ++counts_[outcome];
    done(std::move(result));
  };
}

void CountedPlatform::List(const ListRequest& request, ListDone done) {
  platform_->List(request, Counting<InstancePage>(CallKind::kList, std::move(done)));
}

void CountedPlatform::ReportUsage(const UsageReport& report, const DutyHolder& holder,
                                  DutyDone done) {
  platform_->ReportUsage(report, holder, Counting<void>(CallKind::kReportUsage, std::move(done)));
}

void CountedPlatform::Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) {
  platform_->Scale(order, holder, Counting<void>(CallKind::kScale, std::move(done)));
}

}  // namespace shelflink::platform
