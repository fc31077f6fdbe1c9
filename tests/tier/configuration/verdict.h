// What a new call with an order comes to, as the answer table of docs/design/hardening.md, section
// 2, distinguishes it. Any other outcome fails the test.
#ifndef SHELFLINK_TESTS_TIER_CONFIGURATION_VERDICT_H_
#define SHELFLINK_TESTS_TIER_CONFIGURATION_VERDICT_H_

#include <boost/test/unit_test.hpp>
#include <ostream>

#include "configuration/order_caller.h"

namespace shelflink::configuration {

enum class Verdict { kTaken, kTakenBefore, kConflict, kInvalid };

inline std::ostream& operator<<(std::ostream& out, Verdict verdict) {
  constexpr const char* kNames[] = {"200 and taken", "200 and nothing changes", "412", "400"};
  return out << kNames[static_cast<std::size_t>(verdict)];
}

// Sends the order in a new call.
inline Verdict Submit(coordination::Contents& contents, const ChangeOrder& order) {
  const Outcome outcome = Call(contents, order);
  BOOST_REQUIRE(outcome.refusals_to_confirm == 0U);
  if (outcome.refusal) {
    const ErrorCode code = outcome.refusal->code;
    BOOST_REQUIRE((code == ErrorCode::kConflict || code == ErrorCode::kInvalid));
    return code == ErrorCode::kConflict ? Verdict::kConflict : Verdict::kInvalid;
  }
  return outcome.is_taken_before ? Verdict::kTakenBefore : Verdict::kTaken;
}

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TESTS_TIER_CONFIGURATION_VERDICT_H_
