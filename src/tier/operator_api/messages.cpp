#include "tier/operator_api/messages.h"

#include <utility>

#include "tier/foundation/cbor.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;
using configuration::ChangeOrder;

// First field of each message.
enum class OrderTag : std::uint8_t { kPut, kPatch, kRead, kRetire, kRetireState };
enum class AnswerTag : std::uint8_t { kAcknowledged, kDocument, kRunning, kCompleted };

template <typename Tag>
cbor::Writer& Start(cbor::Writer& writer, Tag tag, std::size_t more_fields) {
  return writer.Array(1 + more_fields).Uint(static_cast<std::uint64_t>(tag));
}

struct OrderEncoder {
  cbor::Writer& writer;

  void operator()(const ChangeOrder& order) const {
    const bool put = order.method == ChangeMethod::kPut;
    Start(writer, put ? OrderTag::kPut : OrderTag::kPatch, 2)
        .Uint(order.base_version)
        .Bytes(order.body);
  }
  void operator()(const ReadConfigurationOrder&) const { Start(writer, OrderTag::kRead, 0); }
  void operator()(const RetireOrder& order) const {
    Start(writer, OrderTag::kRetire, 2).Text(order.node).Int(order.deadline.count());
  }
  void operator()(const RetireStateOrder& order) const {
    Start(writer, OrderTag::kRetireState, 1).Text(order.node);
  }
};

struct AnswerEncoder {
  cbor::Writer& writer;

  void operator()(const Acknowledged&) const { Start(writer, AnswerTag::kAcknowledged, 0); }
  void operator()(const Document& document) const {
    Start(writer, AnswerTag::kDocument, 1).Bytes(document.json);
  }
  void operator()(RetireState state) const {
    const bool completed = state == RetireState::kCompleted;
    Start(writer, completed ? AnswerTag::kCompleted : AnswerTag::kRunning, 0);
  }
};

ChangeOrder ReadChange(cbor::Reader& reader, ChangeMethod method) {
  ChangeOrder order;
  order.method = method;
  order.base_version = reader.Uint();
  order.body = reader.Bytes();
  return order;
}

RetireOrder ReadRetire(cbor::Reader& reader) {
  RetireOrder order;
  order.node = reader.Text();
  order.deadline = std::chrono::milliseconds(reader.Int());
  return order;
}

std::optional<Order> ReadOrder(cbor::Reader& reader) {
  switch (static_cast<OrderTag>(reader.Uint())) {
    case OrderTag::kPut:
      return ReadChange(reader, ChangeMethod::kPut);
    case OrderTag::kPatch:
      return ReadChange(reader, ChangeMethod::kPatch);
    case OrderTag::kRead:
      return ReadConfigurationOrder{};
    case OrderTag::kRetire:
      return ReadRetire(reader);
    case OrderTag::kRetireState:
      return RetireStateOrder{std::string(reader.Text())};
  }
  return std::nullopt;
}

std::optional<Answer> ReadAnswer(cbor::Reader& reader) {
  switch (static_cast<AnswerTag>(reader.Uint())) {
    case AnswerTag::kAcknowledged:
      return Acknowledged{};
    case AnswerTag::kDocument:
      return Document{std::string(reader.Bytes())};
    case AnswerTag::kRunning:
      return RetireState::kRunning;
    case AnswerTag::kCompleted:
      return RetireState::kCompleted;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeOrder(const Order& order) {
  cbor::Writer writer;
  std::visit(OrderEncoder{writer}, order);
  return writer.Take();
}

std::optional<Order> DecodeOrder(std::string_view message) {
  cbor::Reader reader(message);
  if (reader.Array() == 0) return std::nullopt;
  std::optional<Order> order = ReadOrder(reader);
  return reader.ok() && reader.AtEnd() ? std::move(order) : std::nullopt;
}

std::string EncodeAnswer(const Answer& answer) {
  cbor::Writer writer;
  std::visit(AnswerEncoder{writer}, answer);
  return writer.Take();
}

std::optional<Answer> DecodeAnswer(std::string_view message) {
  cbor::Reader reader(message);
  if (reader.Array() == 0) return std::nullopt;
  std::optional<Answer> answer = ReadAnswer(reader);
  return reader.ok() && reader.AtEnd() ? std::move(answer) : std::nullopt;
}

}  // namespace shelflink::operator_api
