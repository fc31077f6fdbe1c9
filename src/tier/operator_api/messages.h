// The CBOR messages by which core processes forward the operator's orders and return the answers.
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

// The result of an order that was not refused.
struct Document {
  std::string json;
};
using Answer = std::variant<Acknowledged, Document, RetireState, ConfirmationRequired>;

std::string EncodeOrder(const Order& order);
// Returns none if the message is malformed or of a kind that this version does not know.
std::optional<Order> DecodeOrder(std::string_view message);

std::string EncodeAnswer(const Answer& answer);
std::optional<Answer> DecodeAnswer(std::string_view message);

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_MESSAGES_H_
