// The platform's calls: the list of endpoints and the duties. An interface, so that whoever uses it
// is tested without sockets; platform/soup_platform.h speaks HTTP.
#ifndef SHELFLINK_TIER_PLATFORM_PLATFORM_H_
#define SHELFLINK_TIER_PLATFORM_PLATFORM_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier/cluster/view.h"
#include "tier/foundation/result.h"

namespace shelflink::platform {

// Codes: kExhausted (429: over the rate), kConflict (409: a higher fence was seen), kUnknown (no
// answer: it may have happened), kUnavailable (nothing happened; 503), kInvalid (refused, or an
// answer that cannot be used; all findings in the text), kTooLarge (an answer beyond the bound).
struct CallError {
  ErrorCode code = ErrorCode::kUnknown;
  std::string text;
  std::optional<std::chrono::milliseconds> retry_after;  // Where the platform told it.
};
template <typename T>
using CallResult =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, CallError,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

struct ListRequest {
  std::string zone;        // Empty: all zones.
  std::string page_token;  // Empty: the first page.
};
struct InstancePage {
  std::vector<cluster::EndpointEntry> entries;
  std::string next_token;  // Empty: this is the last page.
};

// Who performs a duty; the fence rises whenever the holder changes.
struct DutyHolder {
  std::string node;
  std::uint64_t fence = 0;
};

struct UsageReport {
  std::uint64_t window = 0;                     // Number since 1970.
  std::map<std::string, std::uint64_t> counts;  // Requests begun, by tenant.
};

struct ScaleOrder {
  std::string service;
  std::string zone;
  int desired = 0;  // Endpoints of the service in the zone.
};

// Each `done` is called once, on the loop's thread, never from inside the call, and not after the
// platform object is gone.
class Platform {
 public:
  using ListDone = std::function<void(CallResult<InstancePage>)>;
  using DutyDone = std::function<void(CallResult<void>)>;

  virtual ~Platform() = default;
  virtual void List(const ListRequest& request, ListDone done) = 0;
  virtual void ReportUsage(const UsageReport& report, const DutyHolder& holder, DutyDone done) = 0;
  virtual void Scale(const ScaleOrder& order, const DutyHolder& holder, DutyDone done) = 0;
};

}  // namespace shelflink::platform

#endif  // SHELFLINK_TIER_PLATFORM_PLATFORM_H_
