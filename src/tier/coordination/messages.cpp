#include "tier/coordination/messages.h"

#include <utility>

namespace shelflink::coordination {

namespace {

using cbor::Reader;
using cbor::Writer;

// The count needs no check of its own: reading past the end of the input makes the Reader fail,
// which ends the loop.
template <typename T, typename ReadOne>
std::vector<T> ReadList(Reader& in, ReadOne read_one) {
  std::vector<T> list;
  const std::size_t count = in.Array();
  for (std::size_t i = 0; i < count && in.ok(); ++i) list.push_back(read_one(in));
  return list;
}

template <typename T, typename WriteOne>
void WriteList(Writer& out, const std::vector<T>& list, WriteOne write_one) {
  out.Array(list.size());
  for (const T& item : list) write_one(out, item);
}

void ExpectArray(Reader& in, std::size_t min_size) {
  if (in.Array() < min_size) in.Fail();
}

void WriteOptional(Writer& out, const std::optional<Record>& record) {
  if (record) {
    Put(out, *record);
  } else {
    out.Null();
  }
}
std::optional<Record> ReadOptional(Reader& in) {
  if (in.TakeNull()) return std::nullopt;
  return ReadRecord(in);
}

void WritePosition(Writer& out, const Position& position) {
  out.Array(2).Uint(position.epoch).Uint(position.sequence);
}
Position ReadPosition(Reader& in) {
  ExpectArray(in, 2);
  Position position;
  position.epoch = in.Uint();
  position.sequence = in.Uint();
  return position;
}

void WriteChange(Writer& out, const Write& change) {
  out.Array(2).Bytes(change.key);
  if (change.value) {
    out.Bytes(*change.value);
  } else {
    out.Null();
  }
}
Write ReadChange(Reader& in) {
  ExpectArray(in, 2);
  Write change;
  change.key = in.Bytes();
  if (!in.TakeNull()) change.value.emplace(in.Bytes());
  return change;
}

void WriteEntry(Writer& out, const Entry& entry) {
  out.Array(2);
  WritePosition(out, entry.position);
  WriteList(out, entry.writes, WriteChange);
}
Entry ReadEntry(Reader& in) {
  ExpectArray(in, 2);
  Entry entry;
  entry.position = ReadPosition(in);
  entry.writes = ReadList<Write>(in, ReadChange);
  return entry;
}

void WriteRange(Writer& out, const KeyRange& range) {
  out.Array(2).Bytes(range.from).Bytes(range.until);
}
KeyRange ReadRange(Reader& in) {
  ExpectArray(in, 2);
  KeyRange range;
  range.from = in.Bytes();
  range.until = in.Bytes();
  return range;
}

void WriteDigest(Writer& out, const RangeDigest& digest) {
  out.Array(5);
  WriteRange(out, digest.range);
  out.Uint(digest.digest).Uint(digest.keys).Uint(digest.bytes).Bool(digest.computed);
}
RangeDigest ReadDigest(Reader& in) {
  ExpectArray(in, 5);
  RangeDigest digest;
  digest.range = ReadRange(in);
  digest.digest = in.Uint();
  digest.keys = in.Uint();
  digest.bytes = in.Uint();
  digest.computed = in.Bool();
  return digest;
}

void WriteContents(Writer& out, const RangeContents& contents) {
  out.Array(2);
  WriteRange(out, contents.range);
  WriteList(out, contents.items, [](Writer& to, const std::pair<std::string, std::string>& item) {
    to.Array(2).Bytes(item.first).Bytes(item.second);
  });
}
RangeContents ReadContents(Reader& in) {
  ExpectArray(in, 2);
  RangeContents contents;
  contents.range = ReadRange(in);
  contents.items = ReadList<std::pair<std::string, std::string>>(in, [](Reader& from) {
    ExpectArray(from, 2);
    std::pair<std::string, std::string> item;
    item.first = from.Bytes();
    item.second = from.Bytes();
    return item;
  });
  return contents;
}

// ---- One pair of functions per message type, with its fields in wire order.

constexpr std::size_t kEntryOverheadBytes = 64;

constexpr std::size_t kFieldCounts[] = {2, 7, 3, 5, 1, 3, 3, 3, 0, 4, 5, 5, 6};
static_assert(std::size(kFieldCounts) == std::variant_size_v<Message>);

void WriteFields(Writer& out, const Prepare& m) {
  Put(out, m.base);
  Put(out, m.ballot);
}
void ReadFields(Reader& in, Prepare& m) {
  m.base = ReadRecord(in);
  m.ballot = ReadBallot(in);
}

void WriteFields(Writer& out, const PrepareReply& m) {
  out.Uint(m.epoch);
  Put(out, m.ballot);
  out.Bool(m.promised);
  Put(out, m.blocking);
  out.Uint(m.lease_remaining_ms);
  Put(out, m.accepted);
  WriteOptional(out, m.value);
}
void ReadFields(Reader& in, PrepareReply& m) {
  m.epoch = in.Uint();
  m.ballot = ReadBallot(in);
  m.promised = in.Bool();
  m.blocking = ReadBallot(in);
  m.lease_remaining_ms = in.Uint();
  m.accepted = ReadBallot(in);
  m.value = ReadOptional(in);
}

void WriteFields(Writer& out, const Accept& m) {
  Put(out, m.base);
  Put(out, m.ballot);
  Put(out, m.value);
}
void ReadFields(Reader& in, Accept& m) {
  m.base = ReadRecord(in);
  m.ballot = ReadBallot(in);
  m.value = ReadRecord(in);
}

void WriteFields(Writer& out, const AcceptReply& m) {
  out.Uint(m.epoch);
  Put(out, m.ballot);
  out.Bool(m.accepted);
  Put(out, m.blocking);
  out.Uint(m.lease_remaining_ms);
}
void ReadFields(Reader& in, AcceptReply& m) {
  m.epoch = in.Uint();
  m.ballot = ReadBallot(in);
  m.accepted = in.Bool();
  m.blocking = ReadBallot(in);
  m.lease_remaining_ms = in.Uint();
}

void WriteFields(Writer& out, const Decided& m) { Put(out, m.record); }
void ReadFields(Reader& in, Decided& m) { m.record = ReadRecord(in); }

void WriteFields(Writer& out, const Renew& m) { out.Uint(m.epoch).Uint(m.token).Bool(m.invite); }
void ReadFields(Reader& in, Renew& m) {
  m.epoch = in.Uint();
  m.token = in.Uint();
  m.invite = in.Bool();
}

void WriteFields(Writer& out, const RenewReply& m) {
  out.Uint(m.epoch).Uint(m.token).Bool(m.granted);
}
void ReadFields(Reader& in, RenewReply& m) {
  m.epoch = in.Uint();
  m.token = in.Uint();
  m.granted = in.Bool();
}

void WriteFields(Writer& out, const Hello& m) {
  out.Uint(m.epoch).Bool(m.fresh).Bool(m.wants_reply);
}
void ReadFields(Reader& in, Hello& m) {
  m.epoch = in.Uint();
  m.fresh = in.Bool();
  m.wants_reply = in.Bool();
}

void WriteFields(Writer&, const Leave&) {}
void ReadFields(Reader&, Leave&) {}

void WriteFields(Writer& out, const Append& m) {
  out.Uint(m.epoch);
  WritePosition(out, m.previous);
  WriteList(out, m.entries, WriteEntry);
  out.Uint(m.committed);
}
void ReadFields(Reader& in, Append& m) {
  m.epoch = in.Uint();
  m.previous = ReadPosition(in);
  m.entries = ReadList<Entry>(in, ReadEntry);
  m.committed = in.Uint();
}

void WriteFields(Writer& out, const AppendReply& m) {
  out.Uint(m.epoch).Bool(m.matched).Uint(m.match).Uint(m.resend_from).Uint(m.session);
}
void ReadFields(Reader& in, AppendReply& m) {
  m.epoch = in.Uint();
  m.matched = in.Bool();
  m.match = in.Uint();
  m.resend_from = in.Uint();
  m.session = in.Uint();
}

void WriteFields(Writer& out, const CatchUpRequest& m) {
  out.Uint(m.epoch).Uint(m.session).Bool(m.start);
  WriteList(out, m.digests, WriteRange);
  WriteList(out, m.contents, WriteRange);
}
void ReadFields(Reader& in, CatchUpRequest& m) {
  m.epoch = in.Uint();
  m.session = in.Uint();
  m.start = in.Bool();
  m.digests = ReadList<KeyRange>(in, ReadRange);
  m.contents = ReadList<KeyRange>(in, ReadRange);
}

void WriteFields(Writer& out, const CatchUpReply& m) {
  out.Uint(m.epoch).Uint(m.session).Bool(m.start);
  WritePosition(out, m.at);
  WriteList(out, m.digests, WriteDigest);
  WriteList(out, m.contents, WriteContents);
}
void ReadFields(Reader& in, CatchUpReply& m) {
  m.epoch = in.Uint();
  m.session = in.Uint();
  m.start = in.Bool();
  m.at = ReadPosition(in);
  m.digests = ReadList<RangeDigest>(in, ReadDigest);
  m.contents = ReadList<RangeContents>(in, ReadContents);
}

template <typename T>
std::optional<Message> ReadAs(Reader& in) {
  T message;
  ReadFields(in, message);
  if (!in.ok()) return std::nullopt;
  return message;
}

template <std::size_t... kIndex>
std::optional<Message> ReadKind(Reader& in, std::size_t kind, std::index_sequence<kIndex...>) {
  std::optional<Message> result;
  const auto try_one = [&]<std::size_t kOne>() {
    if (kind == kOne) result = ReadAs<std::variant_alternative_t<kOne, Message>>(in);
  };
  (try_one.template operator()<kIndex>(), ...);
  return result;
}

}  // namespace

std::string Encode(const Message& message) {
  Writer out;
  out.Array(1 + kFieldCounts[message.index()]).Uint(message.index());
  std::visit([&](const auto& m) { WriteFields(out, m); }, message);
  return out.Take();
}

std::optional<Message> DecodeMessage(std::string_view data) {
  Reader in(data);
  const std::size_t items = in.Array();
  const std::uint64_t kind = in.Uint();
  if (!in.ok() || kind >= std::variant_size_v<Message>) return std::nullopt;
  if (items < 1 + kFieldCounts[kind]) return std::nullopt;
  return ReadKind(in, kind, std::make_index_sequence<std::variant_size_v<Message>>());
}

std::size_t SizeOf(const Entry& entry) {
  std::size_t bytes = kEntryOverheadBytes;
  for (const Write& write : entry.writes) {
    bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes;
}

std::string EncodeEntry(const Entry& entry) {
  Writer out;
  WriteEntry(out, entry);
  return out.Take();
}

std::optional<Entry> DecodeEntry(std::string_view data) {
  Reader in(data);
  Entry entry = ReadEntry(in);
  if (!in.ok()) return std::nullopt;
  return entry;
}

std::optional<ReplicaMessage> AsReplicaMessage(Message message) {
  return std::visit(
      [](auto&& m) -> std::optional<ReplicaMessage> {
        if constexpr (std::is_constructible_v<ReplicaMessage, decltype(m)>) {
          return ReplicaMessage(std::forward<decltype(m)>(m));
        } else {
          return std::nullopt;
        }
      },
      std::move(message));
}

Message AsMessage(ReplicaMessage message) {
  return std::visit([](auto&& m) { return Message(std::forward<decltype(m)>(m)); },
                    std::move(message));
}

}  // namespace shelflink::coordination
