// Violations are counted by invariant and handed to the handler; what holds leaves no trace.
#define BOOST_TEST_MODULE invariants
#include "tier/foundation/invariants.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace shelflink {
namespace {

BOOST_AUTO_TEST_CASE(violations_are_counted_and_handed_on) {
  Invariants invariants;
  std::vector<Invariant> told;
  invariants.SetHandler([&](Invariant violated, const std::string& detail) {
    BOOST_TEST(detail == "a detail");
    told.push_back(violated);
  });
  invariants.Check(true, Invariant::kMemberCanStore, "holds", 0);
  BOOST_TEST(told.empty());
  invariants.Check(false, Invariant::kMemberCanStore, "a detail", 1);
  invariants.Check(false, Invariant::kMemberCanStore, "a detail", 2);
  invariants.Check(false, Invariant::kEndpointListIsFresh, "a detail", 3);
  BOOST_TEST(told.size() == 3U);
  BOOST_TEST(invariants.violations(Invariant::kMemberCanStore) == 2U);
  BOOST_TEST(invariants.violations(Invariant::kEndpointListIsFresh) == 1U);
  BOOST_TEST(invariants.violations(Invariant::kAcknowledgedIsSynced) == 0U);
  BOOST_TEST(invariants.violations() == 3U);
}

BOOST_AUTO_TEST_CASE(each_invariant_has_a_name_of_its_own) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kInvariants; ++i) {
    const std::string name = NameOf(static_cast<Invariant>(i));
    BOOST_TEST(name != "unknown");
    BOOST_TEST((std::find(names.begin(), names.end(), name) == names.end()));
    names.push_back(name);
  }
}

}  // namespace
}  // namespace shelflink
