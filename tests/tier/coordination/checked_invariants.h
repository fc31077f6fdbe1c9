// A fixture of whole test programs: invariants that the process checks fail the test.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_CHECKED_INVARIANTS_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_CHECKED_INVARIANTS_H_

#include <boost/test/unit_test.hpp>
#include <string>

#include "tier/foundation/invariants.h"

namespace shelflink::coordination {

// A violated invariant is a failed check, in place of the end of the process.
struct CheckedInvariants {
  CheckedInvariants() {
    before = ProcessInvariants().SetHandler([](Invariant violated, const std::string& detail) {
      BOOST_ERROR("violated: " << NameOf(violated) << ": " << detail);
    });
  }
  ~CheckedInvariants() { ProcessInvariants().SetHandler(before); }
  Invariants::Handler before;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_CHECKED_INVARIANTS_H_
