// The outcome of an order as a test reads it that expects an order to be accepted without a
// confirmation: being asked for one is an error.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_ACCEPTED_AT_ONCE_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_ACCEPTED_AT_ONCE_H_

#include <variant>

#include "tier/operator_api/service.h"

namespace shelflink::operator_api {

inline Result<void> AcceptedAtOnce(const Result<OrderOutcome>& told) {
  if (!told) return told.error();
  if (!std::holds_alternative<Acknowledged>(told.value())) {
    return MakeError(ErrorCode::kUnknown, "a confirmation is required");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_ACCEPTED_AT_ONCE_H_
