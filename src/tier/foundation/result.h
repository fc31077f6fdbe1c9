// Errors of the serving tier: a value or a typed error, never an exception across modules, and the
// findings that a check collects, each with its place.
#ifndef SHELFLINK_TIER_FOUNDATION_RESULT_H_
#define SHELFLINK_TIER_FOUNDATION_RESULT_H_

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shelflink {

enum class ErrorCode {
  kInvalid,      // The input cannot be used; the same input never will be.
  kNotFound,     // Certain: it does not exist.
  kConflict,     // Another version or another owner is in place.
  kUnavailable,  // Did not happen, may succeed elsewhere or later.
  kUnknown,      // No answer: it may or may not have happened.
  kTooLarge,     // Beyond a stated limit.
  kExhausted,    // A quota or a queue is full; nothing happened.
  kStorage,      // The disk refused, or holds what cannot be read.
};

struct Error {
  ErrorCode code = ErrorCode::kUnknown;
  std::string text;  // One line of plain English, no secrets.
};

// One thing wrong with an input: where it stands and what was expected there.
struct Finding {
  std::string place;     // "routes[2].timeoutMs", "settings line 7, key limits.maxFds"
  std::string expected;  // "expected a whole number above 0, found \"abc\""
};
using Findings = std::vector<Finding>;

// "place: expected; place: expected"
std::string TextOf(const Findings& findings);

template <typename T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

inline Error MakeError(ErrorCode code, std::string text) { return {code, std::move(text)}; }

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_RESULT_H_
