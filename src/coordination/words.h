// What is said to a coordination store and by it, as plain values: keys with revisions,
// transactions with compares, events. The meaning is that of etcd's version 3 interface.
#ifndef SHELFLINK_COORDINATION_WORDS_H_
#define SHELFLINK_COORDINATION_WORDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace coordination {

using Micros = std::int64_t;  // Of the driver's clock.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct Entry {
  std::string key;
  std::string value;
  Revision created = 0;
  Revision modified = 0;
  std::int64_t version = 0;  // Puts since it was created; 0: it is gone.
  LeaseId lease = 0;         // 0: none.
};

// Keys from `key` up to and without `end`; `end` empty: that key alone; "\0": all from it on.
struct Range {
  std::string key;
  std::string end{};
};
// All keys that begin with it.
inline Range Prefix(const std::string& key) {
  std::string end = key;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) end.pop_back();
  if (end.empty()) return {key, std::string(1, '\0')};
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return {key, end};
}

struct Compare {
  enum class Of { kVersion, kCreated, kModified, kLease, kValue };
  enum class Is { kEqual, kNotEqual, kLess, kGreater };
  std::string key;  // One that is not there compares as 0 and as the empty value.
  Of of = Of::kVersion;
  Is is = Is::kEqual;
  std::int64_t number = 0;
  std::string value{};
};

struct Operation {
  enum class What { kPut, kDelete, kRange };
  What what = What::kRange;
  Range range{};
  std::string value{};
  LeaseId lease = 0;
};

struct Txn {
  std::vector<Compare> compares;  // All must hold for `then`, else `otherwise` is done.
  std::vector<Operation> then;
  std::vector<Operation> otherwise{};
};

struct Done {
  bool succeeded = false;  // The compares held.
  Revision revision = 0;   // Of the store after it.
  // By operation: what a range found, what a delete took away, nothing for a put.
  std::vector<std::vector<Entry>> found;
};

struct Event {
  bool gone = false;  // Then `entry` names the key and the revision only.
  Entry entry;
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_WORDS_H_
