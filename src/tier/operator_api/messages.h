// The operator's orders and their answers as messages between core processes, in CBOR.
#ifndef SHELFLINK_TIER_OPERATOR_API_MESSAGES_H_
#define SHELFLINK_TIER_OPERATOR_API_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tier/operator_api/service.h"

namespace shelflink::operator_api {

struct ReadConfigurationOrder {};
struct RetireStateOrder {
  std::string node;
};
using Order =
    std::variant<configuration::ChangeOrder, ReadConfigurationOrder, RetireOrder, RetireStateOrder>;

// What an order came to, where it was not refused.
struct Document {
  std::string json;
};
using Answer = std::variant<Acknowledged, Document, RetireState, ConfirmationRequired>;

std::string EncodeOrder(const Order& order);
// None: malformed, or of a kind that this version doesn't know.
std::optional<Order> DecodeOrder(std::string_view message);

std::string EncodeAnswer(const Answer& answer);
std::optional<Answer> DecodeAnswer(std::string_view message);

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_MESSAGES_H_
