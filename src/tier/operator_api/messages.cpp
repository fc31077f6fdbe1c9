#include "tier/operator_api/messages.h"

#include <utility>

#include "tier/foundation/cbor.h"

namespace shelflink::operator_api {
namespace {

using configuration::ChangeMethod;
using configuration::ChangeOrder;

// The first field of each message. The numbers are part of the protocol.
enum class OrderTag : std::uint8_t { kPut, kPatch, kRead, kRetire, kRetireState };
enum class AnswerTag : std::uint8_t {
  kAcknowledged,
  kDocument,
  kRunning,
  kCompleted,
  kConfirmationRequired
};

template <typename Tag>
cbor::Writer& Start(cbor::Writer& writer, Tag tag, std::size_t more_fields) {
  return writer.Array(1 + more_fields).Uint(static_cast<std::uint64_t>(tag));
}

struct OrderEncoder {
  cbor::Writer& writer;

  void operator()(const ChangeOrder& order) const {
    const bool put = order.method == ChangeMethod::kPut;
    Start(writer, put ? OrderTag::kPut : OrderTag::kPatch, 2 + ConfirmationFields(order))
        .Uint(order.base_version)
        .Bytes(order.body);
    WriteConfirmation(order);
  }
  void operator()(const ReadConfigurationOrder&) const { Start(writer, OrderTag::kRead, 0); }
  void operator()(const RetireOrder& order) const {
    Start(writer, OrderTag::kRetire, 2 + ConfirmationFields(order))
        .Text(order.node)
        .Int(order.deadline.count());
    WriteConfirmation(order);
  }
  void operator()(const RetireStateOrder& order) const {
    Start(writer, OrderTag::kRetireState, 1).Text(order.node);
  }

 private:
  // The field is left out while it is 0, so that earlier versions can read the order.
  template <typename ConfirmedOrder>
  static std::size_t ConfirmationFields(const ConfirmedOrder& order) {
    return order.refusals_seen == 0 ? 0 : 1;
  }
  template <typename ConfirmedOrder>
  void WriteConfirmation(const ConfirmedOrder& order) const {
    if (order.refusals_seen != 0) writer.Uint(order.refusals_seen);
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
  void operator()(const ConfirmationRequired& required) const {
    Start(writer, AnswerTag::kConfirmationRequired, 1).Uint(required.refusals_seen);
  }
};

// Number of fields of a change or a retirement that carries `refusals_seen`, including its tag.
constexpr std::size_t kConfirmedOrderFields = 4;

std::uint64_t ReadConfirmation(cbor::Reader& reader, std::size_t fields) {
  return fields == kConfirmedOrderFields ? reader.Uint() : 0;
}

ChangeOrder ReadChange(cbor::Reader& reader, ChangeMethod method, std::size_t fields) {
  ChangeOrder order;
  order.method = method;
  order.base_version = reader.Uint();
  order.body = reader.Bytes();
  order.refusals_seen = ReadConfirmation(reader, fields);
  return order;
}

RetireOrder ReadRetire(cbor::Reader& reader, std::size_t fields) {
  RetireOrder order;
  order.node = reader.Text();
  order.deadline = std::chrono::milliseconds(reader.Int());
  order.refusals_seen = ReadConfirmation(reader, fields);
  return order;
}

std::optional<Order> ReadOrder(cbor::Reader& reader, std::size_t fields) {
  switch (static_cast<OrderTag>(reader.Uint())) {
    case OrderTag::kPut:
      return ReadChange(reader, ChangeMethod::kPut, fields);
    case OrderTag::kPatch:
      return ReadChange(reader, ChangeMethod::kPatch, fields);
    case OrderTag::kRead:
      return ReadConfigurationOrder{};
    case OrderTag::kRetire:
      return ReadRetire(reader, fields);
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
    case AnswerTag::kConfirmationRequired:
      return ConfirmationRequired{reader.Uint()};
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
  const std::size_t fields = reader.Array();
  if (fields == 0) return std::nullopt;
  std::optional<Order> order = ReadOrder(reader, fields);
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
