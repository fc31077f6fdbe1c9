// Long prompts are kept apart where they take much of the reading, at the same endpoints
// everywhere.
#define BOOST_TEST_MODULE long_prompts
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "tier/policy/long_prompt_pool.h"

namespace {

using shelflink::policy::LongPrompts;

constexpr double kObjective = 300'000;  // Microseconds.
constexpr double kLong = 90'000;
constexpr double kShort = 3'000;

std::vector<std::uint64_t> Endpoints(std::size_t count) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t i = 0; i < count; ++i) hashes.push_back((i * 7919 + 13) % 10'007);
  return hashes;
}

// Calls of which one in `each` has a long prompt.
void NoteCalls(LongPrompts& prompts, int calls, int each) {
  for (int i = 0; i < calls; ++i) {
    prompts.Note(each > 0 && i % each == 0 ? kLong : kShort, kObjective);
  }
}

std::vector<std::uint64_t> HeldBy(const LongPrompts& prompts,
                                  const std::vector<std::uint64_t>& all) {
  std::vector<std::uint64_t> held;
  std::copy_if(all.begin(), all.end(), std::back_inserter(held),
               [&](std::uint64_t hash) { return prompts.Holds(hash); });
  return held;
}

}  // namespace

BOOST_AUTO_TEST_CASE(TellsLongPromptsByTheirReading) {
  BOOST_TEST(LongPrompts::IsLong(kLong, kObjective));
  BOOST_TEST(!LongPrompts::IsLong(kShort, kObjective));
}

BOOST_AUTO_TEST_CASE(KeepsNothingApartBeforeItHasSeenEnough) {
  LongPrompts prompts;
  prompts.SetEndpoints(Endpoints(9));
  NoteCalls(prompts, 50, 2);
  BOOST_TEST(!prompts.separates());
  BOOST_TEST(HeldBy(prompts, Endpoints(9)).empty());
}

BOOST_AUTO_TEST_CASE(KeepsNothingApartWhereAllPromptsAreShort) {
  LongPrompts prompts;
  prompts.SetEndpoints(Endpoints(9));
  NoteCalls(prompts, 5000, 0);
  BOOST_TEST(!prompts.separates());
}

BOOST_AUTO_TEST_CASE(KeepsNothingApartOnFewEndpoints) {
  LongPrompts prompts;
  prompts.SetEndpoints(Endpoints(3));
  NoteCalls(prompts, 5000, 5);
  BOOST_TEST(!prompts.separates());
}

BOOST_AUTO_TEST_CASE(HoldsAsManyEndpointsAsItsCountAndAtMostHalf) {
  for (std::size_t endpoints = 4; endpoints <= 72; ++endpoints) {
    LongPrompts prompts;
    prompts.SetEndpoints(Endpoints(endpoints));
    NoteCalls(prompts, 5000, 4);
    BOOST_TEST(prompts.separates());
    BOOST_TEST(HeldBy(prompts, Endpoints(endpoints)).size() == prompts.count());
    BOOST_TEST(2 * prompts.count() <= endpoints + 1);
  }
}

BOOST_AUTO_TEST_CASE(AgreesWithOthersThatHaveSeenOtherCallsOfTheSameKind) {
  LongPrompts here;
  LongPrompts there;
  std::vector<std::uint64_t> reversed = Endpoints(9);
  std::reverse(reversed.begin(), reversed.end());
  here.SetEndpoints(Endpoints(9));
  there.SetEndpoints(reversed);
  NoteCalls(here, 4000, 5);
  NoteCalls(there, 9001, 5);
  BOOST_TEST(HeldBy(here, Endpoints(9)) == HeldBy(there, Endpoints(9)),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FollowsAChangeOfWhatIsRead) {
  LongPrompts prompts;
  prompts.SetEndpoints(Endpoints(9));
  NoteCalls(prompts, 5000, 3);
  BOOST_TEST(prompts.separates());
  NoteCalls(prompts, 20'000, 0);
  BOOST_TEST(!prompts.separates());
}

BOOST_AUTO_TEST_CASE(LosesNoPlaceWhenEndpointsLeave) {
  LongPrompts prompts;
  prompts.SetEndpoints(Endpoints(9));
  NoteCalls(prompts, 5000, 3);
  for (std::size_t left = 9; left-- > 0;) {
    prompts.SetEndpoints(Endpoints(left));
    BOOST_TEST(HeldBy(prompts, Endpoints(left)).size() == prompts.count());
  }
}
