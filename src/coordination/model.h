// A coordination store as a pure state machine: keys with revisions, transactions with compares,
// leases with a time to live, events from a revision on, compaction. The semantics are those that
// etcd publishes for its version 3 interface. It knows no clock: whoever drives it says what time
// it is, and lets leases run out by Advance.
#ifndef SHELFLINK_COORDINATION_MODEL_H_
#define SHELFLINK_COORDINATION_MODEL_H_

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "coordination/words.h"

namespace coordination {

// Refused as a whole, with nothing done.
struct Refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Model {
 public:
  Revision revision() const { return revision_; }
  Revision compacted() const { return compacted_; }

  // Throws Refused for a put under a lease that is not there, and for a key put twice.
  Done Apply(const Txn& txn);
  std::vector<Entry> Get(const Range& range) const;

  // `id` 0 asks for any free one. Throws Refused if it is taken or the time is none.
  LeaseId Grant(Micros now, Micros ttl, LeaseId id = 0);
  // From now on for its whole time again; none if it is gone.
  std::optional<Micros> KeepAlive(Micros now, LeaseId lease);
  // False if it was gone. Its keys go with it, in one revision.
  bool Revoke(LeaseId lease);
  // Lets go of what has run out.
  void Advance(Micros now);
  // What would be let go of.
  std::vector<LeaseId> RunOut(Micros now) const;
  // When a lease runs out next.
  Micros next() const;
  // It comes back after standing still: every lease has its whole time again.
  void Resume(Micros now);

  // What happened to these keys in the revisions from `from` on, in order; none where that was
  // compacted away.
  std::optional<std::vector<Event>> Since(Revision from, const Range& range) const;
  // Events up to and with that revision are forgotten. Throws Refused for one to come.
  void Compact(Revision revision);

  // All that it holds, to be kept and taken up again.
  struct Held {
    LeaseId id = 0;
    Micros ttl = 0;
    Micros until = 0;
  };
  struct Image {
    Revision revision = 1;
    Revision compacted = 0;
    LeaseId last_lease = 0;
    std::vector<Entry> entries;
    std::vector<Held> leases;
    std::vector<std::pair<Revision, Event>> events;
  };
  Image image() const;
  Model() = default;
  explicit Model(const Image& image);
  // Events kept, and the revision of the oldest of the last so many; 0 if there are no more.
  Revision OldestOf(std::size_t last) const;

  // All that decides its future, as words: equal for equal futures.
  std::string Words() const;

 private:
  struct Lease {
    Micros ttl = 0;
    Micros until = 0;
    std::set<std::string> keys;
  };

  bool Holds(const Compare& compare) const;
  void Check(const std::vector<Operation>& operations) const;
  void Put(const Operation& operation);
  std::vector<Entry> Delete(const Range& range);
  void Detach(const Entry& entry);

  Revision revision_ = 1;  // As a store that was never written to says.
  Revision compacted_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<LeaseId, Lease> leases_;
  LeaseId last_lease_ = 0;
  std::vector<std::pair<Revision, Event>> events_;
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_MODEL_H_
