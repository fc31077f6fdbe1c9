#include "tier/transport/frames.h"

#include <algorithm>
#include <optional>

#include "tier/foundation/cbor.h"

namespace shelflink::transport {

namespace {

constexpr std::size_t kGrowth = 4;  // Of the room for a frame that is not yet whole.

enum class Type : std::uint64_t {
  kHello = 0,
  kMessage = 1,
  kCall = 2,
  kAnswer = 3,
  kFailure = 4,
  kPing = 5,
  kPong = 6,
  kPart = 7,
};

std::uint64_t Number(Type type) { return static_cast<std::uint64_t>(type); }

void WriteLength(std::string& frame, std::size_t payload) {
  for (std::size_t i = 0; i < kFrameHead; ++i) {
    frame[i] = static_cast<char>(payload >> (8 * (kFrameHead - 1 - i)) & 0xffU);
  }
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHead; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

std::string Framed(std::string_view payload) {
  std::string frame(kFrameHead, '\0');
  frame += payload;
  WriteLength(frame, payload.size());
  return frame;
}

// The head of a byte string of that size (RFC 8949, section 3.1, major type 2).
std::string BytesHead(std::size_t size) {
  constexpr unsigned kByteString = 2U << 5;
  if (size < 24) return {static_cast<char>(kByteString | size)};
  unsigned width = 0;  // The length takes 2^width bytes.
  while (width < 3 && size >> (8U << width) != 0) ++width;
  std::string head{static_cast<char>(kByteString | (24 + width))};
  for (unsigned left = 1U << width; left > 0; --left) {
    head += static_cast<char>(size >> (8 * (left - 1)) & 0xffU);
  }
  return head;
}

// An envelope and a body as its last field, which is copied only once, for it may be large.
std::string FramedWithBody(const cbor::Writer& envelope, std::string_view body) {
  const std::string head = BytesHead(body.size());
  const std::size_t payload = envelope.data().size() + head.size() + body.size();
  std::string frame;
  frame.reserve(kFrameHead + payload);
  frame.append(kFrameHead, '\0');
  WriteLength(frame, payload);
  frame += envelope.data();
  frame += head;
  frame += body;
  return frame;
}

std::string FramedType(Type type) {
  cbor::Writer writer;
  writer.Array(1).Uint(Number(type));
  return Framed(writer.data());
}

ErrorCode ErrorCodeOf(std::uint64_t number) {
  if (number > static_cast<std::uint64_t>(ErrorCode::kStorage)) return ErrorCode::kUnknown;
  return static_cast<ErrorCode>(number);
}

std::optional<MessageKind> ReadKind(cbor::Reader& reader) {
  const std::uint64_t kind = reader.Uint();
  if (kind > UINT16_MAX) return std::nullopt;
  return static_cast<MessageKind>(kind);
}

// Names stand in keys of what is stored, which are short.
bool HasNames(const PeerIdentity& identity) {
  return identity.node.size() <= kLongestName && identity.role.size() <= kLongestName &&
         identity.zone.size() <= kLongestName;
}

// Each reads the fields behind the type.

FrameResult ReadHello(cbor::Reader& reader) {
  // The version comes first and decides whether the rest can be read at all.
  const std::uint64_t version = reader.Uint();
  if (!reader.ok()) return FrameFault::kMalformed;
  if (version != kProtocolVersion) return FrameFault::kVersion;
  HelloFrame hello;
  hello.identity.node = reader.Text();
  hello.identity.role = reader.Text();
  hello.identity.zone = reader.Text();
  const auto address = net::Address::Parse(reader.Text());
  hello.identity.incarnation = reader.Uint();
  hello.dial = reader.Uint();
  if (!reader.ok() || !address || !HasNames(hello.identity)) return FrameFault::kMalformed;
  hello.identity.address = *address;
  return Frame(std::move(hello));
}

FrameResult ReadMessage(cbor::Reader& reader) {
  const auto kind = ReadKind(reader);
  MessageFrame message;
  message.body = reader.Bytes();
  if (!reader.ok() || !kind) return FrameFault::kMalformed;
  message.kind = *kind;
  return Frame(message);
}

FrameResult ReadCall(cbor::Reader& reader) {
  const auto kind = ReadKind(reader);
  CallFrame call;
  call.call = reader.Uint();
  call.body = reader.Bytes();
  if (!reader.ok() || !kind) return FrameFault::kMalformed;
  call.kind = *kind;
  return Frame(call);
}

FrameResult ReadAnswer(cbor::Reader& reader) {
  AnswerFrame answer;
  answer.call = reader.Uint();
  answer.body = reader.Bytes();
  if (!reader.ok()) return FrameFault::kMalformed;
  return Frame(answer);
}

FrameResult ReadFailure(cbor::Reader& reader) {
  FailureFrame failure;
  failure.call = reader.Uint();
  failure.error.code = ErrorCodeOf(reader.Uint());
  failure.error.text = reader.Text();
  if (!reader.ok()) return FrameFault::kMalformed;
  return Frame(std::move(failure));
}

FrameResult ReadPart(cbor::Reader& reader) {
  PartFrame part;
  part.last = reader.Bool();
  part.bytes = reader.Bytes();
  if (!reader.ok() || part.bytes.empty()) return FrameFault::kMalformed;
  return Frame(part);
}

}  // namespace

const char* NameOf(FrameFault fault) {
  switch (fault) {
    case FrameFault::kMalformed:
      return "malformed";
    case FrameFault::kVersion:
      return "version";
    case FrameFault::kTooLong:
      break;
  }
  return "too_long";
}

std::string EncodeHello(const PeerIdentity& identity, std::uint64_t dial, std::uint64_t version) {
  cbor::Writer writer;
  writer.Array(8).Uint(Number(Type::kHello)).Uint(version);
  writer.Text(identity.node).Text(identity.role).Text(identity.zone);
  writer.Text(identity.address.Text()).Uint(identity.incarnation).Uint(dial);
  return Framed(writer.data());
}

std::string EncodeMessage(MessageKind kind, std::string_view body) {
  cbor::Writer writer;
  writer.Array(3).Uint(Number(Type::kMessage)).Uint(kind);
  return FramedWithBody(writer, body);
}

std::string EncodeCall(MessageKind kind, std::uint64_t call, std::string_view body) {
  cbor::Writer writer;
  writer.Array(4).Uint(Number(Type::kCall)).Uint(kind).Uint(call);
  return FramedWithBody(writer, body);
}

std::string EncodeAnswer(std::uint64_t call, std::string_view body) {
  cbor::Writer writer;
  writer.Array(3).Uint(Number(Type::kAnswer)).Uint(call);
  return FramedWithBody(writer, body);
}

std::string EncodeFailure(std::uint64_t call, const Error& error) {
  const std::string_view text = std::string_view(error.text).substr(0, kLongestErrorText);
  cbor::Writer writer;
  writer.Array(4).Uint(Number(Type::kFailure)).Uint(call);
  writer.Uint(static_cast<std::uint64_t>(error.code)).Text(text);
  return Framed(writer.data());
}

std::string EncodePing() { return FramedType(Type::kPing); }
std::string EncodePong() { return FramedType(Type::kPong); }

std::string EncodePart(bool last, std::string_view bytes) {
  cbor::Writer writer;
  writer.Array(3).Uint(Number(Type::kPart)).Bool(last);
  return FramedWithBody(writer, bytes);
}

std::vector<std::string> CutIntoParts(std::string_view frame) {
  std::string_view left = frame.substr(kFrameHead);
  std::vector<std::string> parts;
  while (!left.empty()) {
    const std::string_view bytes = left.substr(0, kLongestPart);
    left.remove_prefix(bytes.size());
    parts.push_back(EncodePart(left.empty(), bytes));
  }
  return parts;
}

FrameResult DecodeFrame(std::string_view payload) {
  cbor::Reader reader(payload);
  const std::size_t fields = reader.Array();
  const std::uint64_t type = reader.Uint();
  if (!reader.ok() || fields == 0) return FrameFault::kMalformed;
  switch (static_cast<Type>(type)) {
    case Type::kHello:
      return ReadHello(reader);
    case Type::kMessage:
      return ReadMessage(reader);
    case Type::kCall:
      return ReadCall(reader);
    case Type::kAnswer:
      return ReadAnswer(reader);
    case Type::kFailure:
      return ReadFailure(reader);
    case Type::kPing:
      return Frame(PingFrame{});
    case Type::kPong:
      return Frame(PongFrame{});
    case Type::kPart:
      return ReadPart(reader);
  }
  return FrameFault::kMalformed;
}

void FrameSplitter::TakeUpTo(std::size_t total, std::string_view& bytes) {
  const std::size_t taken = std::min(total - partial_.size(), bytes.size());
  const std::size_t needed = partial_.size() + taken;
  // Grows with what has come, never beyond the frame: its length alone reserves nothing.
  if (needed > partial_.capacity()) {
    partial_.reserve(std::min(total, std::max(needed, kGrowth * partial_.capacity())));
  }
  partial_.append(bytes.substr(0, taken));
  bytes.remove_prefix(taken);
}

FrameSplitter::Step FrameSplitter::Next(std::string_view& bytes, std::size_t largest,
                                        std::string& whole, std::string_view& payload) {
  if (partial_.empty() && bytes.size() >= kFrameHead) {
    const std::size_t length = ReadLength(bytes);
    if (length > largest) return Step::kTooLong;
    if (bytes.size() >= kFrameHead + length) {
      payload = bytes.substr(kFrameHead, length);
      bytes.remove_prefix(kFrameHead + length);
      return Step::kFrame;
    }
  }
  if (partial_.size() < kFrameHead) TakeUpTo(kFrameHead, bytes);
  if (partial_.size() < kFrameHead) return Step::kIncomplete;
  const std::size_t length = ReadLength(partial_);
  if (length > largest) return Step::kTooLong;
  TakeUpTo(kFrameHead + length, bytes);
  if (partial_.size() < kFrameHead + length) return Step::kIncomplete;
  whole = std::exchange(partial_, {});
  payload = std::string_view(whole).substr(kFrameHead);
  return Step::kFrame;
}

}  // namespace shelflink::transport
