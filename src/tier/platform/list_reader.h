// Reads the platform's list of endpoints again and again, page after page, within a share of the
// platform's rate. Yields complete lists only: a walk that fails midway is dropped and started
// anew.
//
// Everything that it waits for is a share of `drain`, so that a whole list is read within half of
// it once the platform answers again: kAnswerPatience for an answer, PauseAfter and kLongestAdvice
// between calls. An answer that comes later than that is still taken (OnLatePage), so that a
// platform that is slow is read as well.
//
// Pure: it names the call that is due and is told what came of it.
#ifndef SHELFLINK_TIER_PLATFORM_LIST_READER_H_
#define SHELFLINK_TIER_PLATFORM_LIST_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/platform/platform.h"

namespace shelflink::platform {

// Of the platform's rate: for the core's reader. A former primary may still read as well.
constexpr double kCoreShareOfRate = 0.5;

class ListReader {
 public:
  struct Options {
    double rate_per_s = 1.0;                // The platform's, for all callers together.
    std::chrono::milliseconds drain{3000};  // An endpoint that drains must be known well within it.
    double share_of_rate = kCoreShareOfRate;  // Used at most by this reader.
  };

  explicit ListReader(const Options& options);

  // Holds from the next call on.
  void SetShareOfRate(double share);

  // The first walk is due at once; what was begun before is forgotten.
  void Start(net::Time now);
  void Stop();
  bool running() const { return running_; }

  // When the next call is due; none while one is under way or the reader is stopped.
  std::optional<net::Time> next_due() const;
  // The call that is due now, if one is. It then is under way until its outcome is told.
  std::optional<ListRequest> TakeDue(net::Time now);

  // The outcome of the call under way. OnPage answers the whole list after its last page.
  std::optional<std::vector<cluster::EndpointEntry>> OnPage(net::Time now, InstancePage page);
  void OnFailure(net::Time now, const CallError& error);
  // How long an answer is waited for; then the call counts as failed and OnFailure is due.
  net::Span answer_patience() const;
  // A platform that takes longer than this for an answer is slow.
  net::Span slow_answer() const;
  // The answer of a call that was given up: taken if that page is still the one that is wanted, and
  // nothing newer has been read since.
  std::optional<std::vector<cluster::EndpointEntry>> OnLatePage(net::Time now,
                                                                const ListRequest& request,
                                                                net::Time sent, InstancePage page);

  // When the walk began that has yielded the last list; what the list says is not older.
  net::Time list_started() const { return list_started_; }
  // Failures since the last complete list.
  std::uint32_t failures() const { return failures_; }

 private:
  void BeginWalk(net::Time due);
  void FailWalk(net::Time now);
  net::Time AfterFailure(net::Time now) const;
  net::Span PauseAfterFailures() const;
  std::vector<cluster::EndpointEntry> FinishWalk();

  double rate_per_s_;
  net::Span call_spacing_;
  net::Span walk_period_;
  net::Span drain_;
  bool running_ = false;
  bool under_way_ = false;
  net::Time next_call_{};
  net::Time last_call_{};
  net::Time walk_started_{};
  net::Time list_started_{};  // The walk of the last whole list.
  std::string page_token_;
  std::uint32_t page_failures_ = 0;    // Of the page that is due.
  std::set<std::string> tokens_seen_;  // Of this walk; a token that comes again would never end it.
  std::vector<cluster::EndpointEntry> entries_;
  std::uint32_t failures_ = 0;
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_LIST_READER_H_
