// What a sidecar remembers from one start to the next, in a folder of its own: one row in an SQLite
// database, replaced as a whole in one transaction. Off unless a folder is configured; the platform
// has no disk that lasts.
//
// A store that cannot be trusted (torn, of another sidecar, of a newer program, unreadable) is set
// aside under a name that says why, and the process starts as with none. It must never be the
// reason why a process does not serve.
#ifndef SHELFLINK_STATE_STORE_H_
#define SHELFLINK_STATE_STORE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "state/moment.h"

struct sqlite3;

namespace state {

// Bytes of one snapshot; a longer one is not stored. A list of 5,000 endpoints takes about 1 MiB.
constexpr std::size_t kMostBytes = 4 << 20;

struct Snapshot {
  std::int64_t version = 0;  // Of the list.
  std::string list;          // In discovery's form.
  Moment learned;
  // What else the process had learned, in its own form, and when; empty: nothing.
  std::string lesson{};
  Moment lesson_learned{};
  // The highest fence of an owner that the process has seen; it has no age, since it only grows.
  std::int64_t fence = 0;
};

// A folder that cannot be used: names it and says what was expected.
struct BadFolder : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws BadFolder for one that is missing, not writable, a link or no folder.
void CheckFolder(const std::string& folder);

class Store {
 public:
  // `owner` is the sidecar's name. Throws BadFolder for a folder that is missing, not writable, a
  // link or no folder. Where another process holds it, `in_use()` is true and nothing is read or
  // written.
  Store(const std::string& folder, std::string owner);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool in_use() const { return lock_ < 0; }
  // One line on what was set aside at the start, and where to; empty if nothing was.
  const std::string& set_aside() const { return set_aside_; }
  // As last saved; none if there is none.
  std::optional<Snapshot> Load();
  // Replaces what is there, or leaves it whole. Returns what went wrong; empty if nothing did. May
  // block on the disk: not for the loop's thread.
  std::string Save(const Snapshot& snapshot);

 private:
  struct Close {
    void operator()(sqlite3* db) const;
  };
  using Database = std::unique_ptr<sqlite3, Close>;

  std::string Path() const { return folder_ + "/state.sqlite"; }
  // Why what is there cannot be used, in a word; empty if it can.
  std::string Open();
  std::string Fault();
  void SetAside(const std::string& why);

  std::string folder_;
  std::string owner_;
  int lock_ = -1;
  Database db_;
  std::string set_aside_;
};

}  // namespace state

#endif  // SHELFLINK_STATE_STORE_H_
