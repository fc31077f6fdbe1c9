// What a caller sends where it is told to confirm its order: the same with the number of its
// refusal.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_CONFIRMED_ORDER_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_CONFIRMED_ORDER_H_

#include <optional>
#include <variant>

#include "tier/operator_api/messages.h"

namespace shelflink::operator_api {

// None: `result` does not ask for that.
inline std::optional<Order> ConfirmedOrder(const Order& order, const Result<Answer>& result) {
  if (!result) return std::nullopt;
  const auto* required = std::get_if<ConfirmationRequired>(&result.value());
  if (required == nullptr) return std::nullopt;
  Order confirmed = order;
  if (auto* change = std::get_if<configuration::ChangeOrder>(&confirmed)) {
    change->refusals_seen = required->refusals_seen;
  } else if (auto* retire = std::get_if<RetireOrder>(&confirmed)) {
    retire->refusals_seen = required->refusals_seen;
  }
  return confirmed;
}

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_CONFIRMED_ORDER_H_
