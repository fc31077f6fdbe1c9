#include "tier/storage/lmdb_records.h"

#include <lmdb.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>

#include "mix.h"

namespace shelflink::storage {
namespace {

// All of a page but its header: LMDB gives such a piece a page of its own.
constexpr std::size_t kPieceBytes = 4080;
constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);
constexpr std::size_t kLongestShort = kPieceBytes - kChecksumBytes;
constexpr std::size_t kNumberBytes = sizeof(std::uint32_t);

// What stands under the key of a long value.
struct LongValue {
  std::uint64_t mark = 0;  // Of the two below; no checksum of a short value.
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;  // Of the key and the whole value.

  std::size_t pieces() const {
    return static_cast<std::size_t>((length + kPieceBytes - 1) / kPieceBytes);
  }
};

// It guards against damage, not against people.
std::uint64_t Checksum(std::string_view key, std::string_view value) {
  return gaugecart::Fnv1a(value, gaugecart::Fnv1a(key) * gaugecart::kFnvPrime);
}

std::uint64_t MarkOf(std::string_view key, const LongValue& value) {
  char told[sizeof value.length + sizeof value.checksum];
  std::memcpy(told, &value.length, sizeof value.length);
  std::memcpy(told + sizeof value.length, &value.checksum, sizeof value.checksum);
  return ~Checksum(key, {told, sizeof told});
}

MDB_val ToVal(std::string_view bytes) {
  return {bytes.size(), const_cast<char*>(bytes.data())};  // LMDB does not write through it.
}

std::string_view ToView(const MDB_val& val) {
  return {static_cast<const char*>(val.mv_data), val.mv_size};
}

// Keys of the pieces of one value, in their order.
class PieceKey {
 public:
  explicit PieceKey(std::string_view key) : bytes_(1, kPieceMark) {
    bytes_ += key;
    bytes_.append(kNumberBytes, '\0');
  }
  MDB_val Of(std::size_t number) {
    for (std::size_t index = 1; index <= kNumberBytes; ++index) {
      bytes_[bytes_.size() - index] = static_cast<char>(number & 0xffU);
      number >>= 8U;
    }
    return ToVal(bytes_);
  }

 private:
  std::string bytes_;
};

// None: what is stored is a short value.
std::optional<LongValue> LongValueOf(std::string_view key, std::string_view stored) {
  LongValue value;
  if (stored.size() != sizeof value) return std::nullopt;
  std::memcpy(&value, stored.data(), sizeof value);
  if (value.mark != MarkOf(key, value)) return std::nullopt;
  return value;
}

int PutShort(const RecordTable& to, std::string_view key, std::string_view value) {
  const std::uint64_t checksum = Checksum(key, value);
  MDB_val name = ToVal(key);
  MDB_val room{kChecksumBytes + value.size(), nullptr};
  const int code = mdb_put(to.transaction, to.table, &name, &room, MDB_RESERVE);
  if (code != 0) return code;
  char* const at = static_cast<char*>(room.mv_data);
  std::memcpy(at, &checksum, kChecksumBytes);
  std::copy(value.begin(), value.end(), at + kChecksumBytes);
  return 0;
}

int PutLong(const RecordTable& to, std::string_view key, std::string_view value) {
  LongValue told;
  told.length = value.size();
  told.checksum = Checksum(key, value);
  told.mark = MarkOf(key, told);
  MDB_val name = ToVal(key);
  MDB_val head{sizeof told, &told};
  if (const int code = mdb_put(to.transaction, to.table, &name, &head, 0); code != 0) return code;
  PieceKey piece_key(key);
  for (std::size_t number = 0; number < told.pieces(); ++number) {
    MDB_val piece_name = piece_key.Of(number);
    MDB_val piece = ToVal(value.substr(number * kPieceBytes, kPieceBytes));
    if (const int code = mdb_put(to.transaction, to.table, &piece_name, &piece, 0); code != 0) {
      return code;
    }
  }
  return 0;
}

// Of what the key has now; none where that is a short value, or nothing.
int RemovePieces(const RecordTable& from, std::string_view key) {
  MDB_val name = ToVal(key);
  MDB_val stored{};
  const int found = mdb_get(from.transaction, from.table, &name, &stored);
  if (found == MDB_NOTFOUND) return 0;
  if (found != 0) return found;
  const std::optional<LongValue> value = LongValueOf(key, ToView(stored));
  if (!value) return 0;
  PieceKey piece_key(key);
  for (std::size_t number = 0; number < value->pieces(); ++number) {
    MDB_val piece_name = piece_key.Of(number);
    const int code = mdb_del(from.transaction, from.table, &piece_name, nullptr);
    if (code != 0) return code == MDB_NOTFOUND ? MDB_CORRUPTED : code;
  }
  return 0;
}

int Assemble(const RecordTable& from, std::string_view key, const LongValue& told,
             std::string& whole) {
  whole.clear();
  PieceKey piece_key(key);
  for (std::size_t number = 0; number < told.pieces(); ++number) {
    MDB_val piece_name = piece_key.Of(number);
    MDB_val piece{};
    const int code = mdb_get(from.transaction, from.table, &piece_name, &piece);
    if (code != 0) return code == MDB_NOTFOUND ? MDB_CORRUPTED : code;
    whole += ToView(piece);
  }
  const bool as_written = whole.size() == told.length && Checksum(key, whole) == told.checksum;
  return as_written ? 0 : MDB_CORRUPTED;
}

}  // namespace

int PutRecord(const RecordTable& to, const std::string& key, std::string_view value) {
  if (const int code = RemovePieces(to, key); code != 0) return code;
  return value.size() <= kLongestShort ? PutShort(to, key, value) : PutLong(to, key, value);
}

int RemoveRecord(const RecordTable& from, const std::string& key) {
  if (const int code = RemovePieces(from, key); code != 0) return code;
  MDB_val name = ToVal(key);
  const int code = mdb_del(from.transaction, from.table, &name, nullptr);
  return code == MDB_NOTFOUND ? 0 : code;
}

int ReadRecord(const RecordTable& from, std::string_view key, std::string_view stored,
               std::string& whole, std::string_view& value) {
  if (const std::optional<LongValue> told = LongValueOf(key, stored)) {
    const int code = Assemble(from, key, *told, whole);
    value = whole;
    return code;
  }
  if (stored.size() < kChecksumBytes) return MDB_CORRUPTED;
  value = stored.substr(kChecksumBytes);
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, stored.data(), kChecksumBytes);
  return checksum == Checksum(key, value) ? 0 : MDB_CORRUPTED;
}

}  // namespace shelflink::storage
