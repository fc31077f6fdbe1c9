// How an LMDB storage keeps values: each with a checksum of its key and itself, and a long one in
// pieces that take a page each.
//
// LMDB gives a value that is longer than a page a run of pages that follow each other. In a file
// that has lived for a while such runs become rare long before it is full, and a commit fails for
// want of one while half of the pages are free. Pieces need single pages only, so that what is free
// can be used.
//
// A short value stands behind its checksum. A long one has its length there instead, told apart by
// another checksum, and its bytes in pieces under keys that begin with kPieceMark, which sort
// behind all others. An earlier program wrote every value as a short one; these are still read.
//
// Functions work in a transaction that the caller has begun, and return 0 or an LMDB code;
// MDB_CORRUPTED: what is stored is not what was written.
#ifndef SHELFLINK_TIER_STORAGE_LMDB_RECORDS_H_
#define SHELFLINK_TIER_STORAGE_LMDB_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>

struct MDB_txn;

namespace shelflink::storage {

// No key of an owner begins with it.
constexpr char kPieceMark = '\xff';

// The table in which records stand, within a transaction.
struct RecordTable {
  MDB_txn* transaction = nullptr;
  unsigned table = 0;
};

inline bool IsPiece(std::string_view key) { return !key.empty() && key.front() == kPieceMark; }

// Puts the value in place of what the key had.
int PutRecord(const RecordTable& to, const std::string& key, std::string_view value);
// Removes the key with what it has; 0 also where there is nothing.
int RemoveRecord(const RecordTable& from, const std::string& key);
// The value of a record, of which `stored` was found under the key. It stands in the map, valid as
// long as `stored`, or in `whole`, where it was put together.
int ReadRecord(const RecordTable& from, std::string_view key, std::string_view stored,
               std::string& whole, std::string_view& value);

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_LMDB_RECORDS_H_
