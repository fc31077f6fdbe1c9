#include "tier/cluster/usage_duty.h"

#include <algorithm>
#include <utility>

#include "tier/cluster/control_state.h"
#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

constexpr std::chrono::milliseconds kFirstPause{300};
constexpr std::chrono::milliseconds kLongestPause{2000};
constexpr double kWaitedShare = 0.7;  // Of the time that a window may be late.
constexpr const char* kModule = "cluster.usage";

std::int64_t Micros(std::chrono::milliseconds span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

}  // namespace

UsageDuty::UsageDuty(Parts parts, const ProcessSettings& settings)
    : parts_(std::move(parts)),
      node_(settings.node),
      span_micros_(std::max<std::int64_t>(Micros(settings.bounds.usage_window), 1)),
      late_micros_(Micros(settings.bounds.usage_late)),
      hearing_(settings.bounds.contact / 4),
      progress_(settings.bounds.usage_late) {}

void UsageDuty::Start(std::uint64_t epoch) {
  run_ = std::make_shared<char>();
  running_ = true;
  epoch_ = epoch;
  started_ = parts_.loop.Now();
  progress_.Clear();
  committing_ = false;
  reporting_ = false;
  first_window_ = 0;
  reported_before_ = NumberAt(parts_.replicator.contents(), kReportedBeforeKey);
  next_report_ = started_;
  pause_ = kFirstPause;
}

void UsageDuty::Stop() {
  running_ = false;
  run_.reset();
}

void UsageDuty::Tick() {
  if (!running_ || !parts_.replicator.is_primary()) return;
  Settle();
  CommitNext();
  ReportNext();
}

std::uint64_t UsageDuty::WindowAt(std::int64_t true_micros) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(true_micros, 0) / span_micros_);
}

std::int64_t UsageDuty::EndOf(std::uint64_t window) const {
  return static_cast<std::int64_t>(window + 1) * span_micros_;
}

// What is committed will be reported as it stands; more counts of it are of no use.
void UsageDuty::Settle() {
  const auto windows = UsageOf(parts_.replicator.contents());
  if (!windows.empty()) parts_.ledger.Settle(windows.rbegin()->first);
}

// The one behind the last committed; where there is none, the first that begins in this system's
// life. None while it is not known which that is.
std::optional<std::uint64_t> UsageDuty::NextWindow() const {
  const std::uint64_t current = WindowAt(parts_.true_micros());
  const std::uint64_t oldest = current - std::min<std::uint64_t>(current, kMostOpenWindows / 2);
  const auto windows = UsageOf(parts_.replicator.contents());
  if (!windows.empty()) return std::max(windows.rbegin()->first + 1, oldest);
  if (reported_before_ > 0) return std::max(reported_before_, oldest);
  if (first_window_ == 0) return std::nullopt;
  return first_window_;
}

bool UsageDuty::IsComplete(std::uint64_t window) {
  const std::int64_t since_end = parts_.true_micros() - EndOf(window);
  if (since_end < 0) return false;
  const net::Time now = parts_.loop.Now();
  const bool knows_all = now >= started_ + std::chrono::microseconds(late_micros_);
  if (knows_all && progress_.AllBeyond(now, window)) return true;
  return static_cast<double>(since_end) >= kWaitedShare * static_cast<double>(late_micros_);
}

void UsageDuty::CommitNext() {
  if (committing_ || parts_.loop.Now() < started_ + hearing_) return;
  if (first_window_ == 0) first_window_ = WindowAt(parts_.true_micros());
  const std::optional<std::uint64_t> window = NextWindow();
  if (!window || !IsComplete(*window)) return;
  committing_ = true;
  parts_.replicator.Submit(
      [this, run = std::weak_ptr<char>(run_), window = *window](
          const coordination::Contents& committed) -> Result<std::vector<coordination::Write>> {
        if (run.expired()) return MakeError(ErrorCode::kUnavailable, "no longer the primary");
        return PlanCommit(committed, window);
      },
      [this, run = std::weak_ptr<char>(run_)](const Result<void>& result) {
        if (run.expired()) return;
        committing_ = false;
        if (!result) log::Warning(kModule, "counts were not committed: " + result.error().text);
        Tick();
      });
}

// Also takes away what the platform has, so that it needs no commit of its own.
Result<std::vector<coordination::Write>> UsageDuty::PlanCommit(
    const coordination::Contents& committed, std::uint64_t window) const {
  std::vector<coordination::Write> writes;
  const auto windows = UsageOf(committed);
  if (windows.count(window) > 0) return writes;
  writes.push_back({UsageKey(window), EncodeUsage(parts_.ledger.Total(window))});
  if (reported_before_ > NumberAt(committed, kReportedBeforeKey)) {
    writes.push_back({std::string(kReportedBeforeKey), EncodeNumber(reported_before_)});
  }
  std::size_t kept = windows.size() + 1;
  for (const auto& [old, counts] : windows) {
    if (old >= reported_before_ && kept <= kMostCommittedWindows) break;
    writes.push_back({UsageKey(old), std::nullopt});
    --kept;
  }
  return writes;
}

void UsageDuty::ReportNext() {
  const net::Time now = parts_.loop.Now();
  if (reporting_ || now < next_report_) return;
  const auto windows = UsageOf(parts_.replicator.contents());
  const auto due = windows.lower_bound(reported_before_);
  if (due == windows.end() || !parts_.pace.Take(now)) return;
  reporting_ = true;
  parts_.platform.ReportUsage({due->first, due->second}, {node_, epoch_},
                              [this, run = std::weak_ptr<char>(run_), window = due->first,
                               fence = epoch_](const platform::CallResult<void>& result) {
                                if (!run.expired()) OnReported(window, fence, result);
                              });
}

void UsageDuty::OnReported(std::uint64_t window, std::uint64_t fence,
                           const platform::CallResult<void>& result) {
  reporting_ = false;
  const net::Time now = parts_.loop.Now();
  if (result) {
    reported_before_ = window + 1;
    pause_ = kFirstPause;
    next_report_ = now;
    ReportNext();
    return;
  }
  if (result.error().code == ErrorCode::kConflict && fence == epoch_) {
    log::Warning(kModule, "the platform knows a later holder of the duty");
    Stop();
    return;
  }
  log::Warning(kModule, "window " + std::to_string(window) + ": " + result.error().text);
  const net::Span told = result.error().retry_after.value_or(std::chrono::milliseconds(0));
  next_report_ = now + std::max<net::Span>(pause_, told);
  pause_ = std::min<net::Span>(pause_ * 2, kLongestPause);
}

}  // namespace shelflink::cluster
