// Records, in the replicated map, of requests that were refused for a reason that may pass, so that
// a copy of such a request that was held up on its way is not accepted once the reason has passed.
//
// A refusal ends a request for its sender. An earlier copy of it may still lie in the socket of a
// process that stands still, for any time, and nothing in the copy tells its age. So the refusal is
// committed, under a number, before the sender is told. A request that would be accepted although
// its refusal is on record has to be confirmed: the sender is told the number and sends the request
// again with it, which nobody does for a copy that was held up. No clock is involved.
//
// A reason that never passes needs no record. Pure functions of the committed map.
//
// Limits: kMostRefusals records below each prefix. Beyond them the greatest id is dropped, and
// every id from there on counts as refused.
#ifndef SHELFLINK_TIER_COORDINATION_REFUSALS_H_
#define SHELFLINK_TIER_COORDINATION_REFUSALS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tier/coordination/replicator.h"
#include "tier/foundation/result.h"

namespace shelflink::coordination {

constexpr std::size_t kMostRefusals = 1024;

// What the sender of a request is told once the writes of its plan are committed.
struct Accepted {};
struct Refused {
  Error error;
};
struct ConfirmationRequired {
  std::uint64_t refusals_seen = 0;  // What the request has to carry to be accepted.
};
using Verdict = std::variant<Accepted, Refused, ConfirmationRequired>;

struct JudgedPlan {
  std::vector<Write> writes;
  Verdict verdict;
};

// The records below one prefix. An id stands for all copies of one request; ids that sort first are
// kept for longest.
class RefusalRecords {
 public:
  // Both outlive this object. Nobody else writes below `prefix`, which ends with a slash.
  RefusalRecords(const Contents& committed, std::string_view prefix)
      : committed_(committed), prefix_(prefix) {}

  // The request can be accepted with these writes. `refusals_seen`: what it carries; 0 at first.
  JudgedPlan Accept(std::string_view id, std::uint64_t refusals_seen,
                    std::vector<Write> writes) const;
  // The request is refused for a reason that may pass.
  JudgedPlan Refuse(std::string_view id, std::uint64_t refusals_seen, Error error) const;
  // Removes the records of all ids below `id`: they can't be accepted any more.
  std::vector<Write> ForgetBelow(std::string_view id) const;

 private:
  // Of the last refusal of that id; 0: there was none.
  std::uint64_t NumberOf(std::string_view id) const;
  std::string RecordKey(std::string_view id) const;
  // The id with the greatest record, if there is no room for one more.
  void MakeRoom(std::vector<Write>& writes) const;

  const Contents& committed_;
  std::string_view prefix_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_REFUSALS_H_
