// A caller that receives every answer and confirms its order when it is asked to; the writes of its
// order are committed.
#ifndef SHELFLINK_TESTS_TIER_CONFIGURATION_ORDER_CALLER_H_
#define SHELFLINK_TESTS_TIER_CONFIGURATION_ORDER_CALLER_H_

#include <optional>
#include <variant>

#include "tier/configuration/book.h"
#include "tier/coordination/apply_writes.h"
#include "tier/coordination/refusals.h"

namespace shelflink::configuration {

// Outcome of one copy of an order, after its writes were committed.
struct Outcome {
  std::optional<Error> refusal;
  std::uint64_t refusals_to_confirm = 0;  // Above 0: the order has to be confirmed.
  bool is_taken_before = false;
};

inline Outcome SendCopy(coordination::Contents& contents, const ChangeOrder& order) {
  Outcome outcome;
  auto plan = PlanChange(contents, order);
  if (!plan) {
    outcome.refusal = plan.error();
    return outcome;
  }
  const coordination::JudgedPlan& judged = plan.value();
  if (const auto* refused = std::get_if<coordination::Refused>(&judged.verdict)) {
    outcome.refusal = refused->error;
  } else if (const auto* required =
                 std::get_if<coordination::ConfirmationRequired>(&judged.verdict)) {
    outcome.refusals_to_confirm = required->refusals_seen;
  } else {
    outcome.is_taken_before = judged.writes.empty();
  }
  Apply(contents, judged.writes);
  return outcome;
}

inline Outcome Call(coordination::Contents& contents, ChangeOrder order) {
  const Outcome outcome = SendCopy(contents, order);
  if (outcome.refusals_to_confirm == 0) return outcome;
  order.refusals_seen = outcome.refusals_to_confirm;
  return SendCopy(contents, order);
}

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TESTS_TIER_CONFIGURATION_ORDER_CALLER_H_
