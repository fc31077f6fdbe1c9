// A coordination store as the program uses it: keys that are compared and set, leases, watches. One
// interface for whatever holds it. Off unless configured, and never on the path of a request: each
// call is bounded in time and size, and serving goes on without any of them.
#ifndef SHELFLINK_COORDINATION_STORE_H_
#define SHELFLINK_COORDINATION_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/words.h"

namespace coordination {

enum class Fate {
  kDone,
  kRefused,  // The store said no: nothing happened.
  kUnknown   // No answer, or none that can be understood: it may have happened, now or later.
};

template <typename T>
struct Answer {
  Fate fate = Fate::kUnknown;
  T value{};        // Where it is done.
  std::string why;  // Where it is not.
  bool done() const { return fate == Fate::kDone; }
};
template <typename T>
using Then = std::function<void(const Answer<T>&)>;

struct Lease {
  LeaseId id = 0;  // 0: it is gone.
  Micros ttl = 0;  // What the store grants, which may be more than was asked for.
};

// One watch. No more is told once it is destroyed, which may happen in any of these.
class Watch {
 public:
  struct User {
    // All that happened to the range up to and with that revision, in order.
    std::function<void(const std::vector<Event>& events, Revision upto)> on_events;
    // What happened up to and with that revision cannot be had any more, or the store stands at
    // one before those known: the range is to be read again. The watch is over.
    std::function<void(Revision compacted)> on_compacted;
    // The watch is over; nothing was left out up to the last revision that was told.
    std::function<void(const std::string& why)> on_broken;
  };
  virtual ~Watch() = default;
};

// Whoever calls is told once, and not from inside the call; nobody is told anything once the store
// is destroyed.
class Store {
 public:
  // Calls by how they ended, and watches that were opened.
  struct Counts {
    std::uint64_t done = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t watches = 0;
  };

  virtual ~Store() = default;
  const Counts& counts() const { return counts_; }
  virtual void Grant(Micros ttl, Then<Lease> then) = 0;
  virtual void KeepAlive(LeaseId lease, Then<Lease> then) = 0;
  // Value: whether it was there.
  virtual void Revoke(LeaseId lease, Then<bool> then) = 0;
  // One without compares that holds only ranges is a read.
  virtual void Commit(const Txn& txn, Then<Done> then) = 0;
  virtual std::unique_ptr<Watch> Open(const Range& range, Revision from, Watch::User user) = 0;

 protected:
  void Count(Fate fate) {
    ++(fate == Fate::kDone      ? counts_.done
       : fate == Fate::kRefused ? counts_.refused
                                : counts_.unknown);
  }
  Counts counts_;
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_STORE_H_
