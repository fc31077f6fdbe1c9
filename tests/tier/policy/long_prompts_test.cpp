// Long prompts are separated if they take a large share of prefill time, at the same endpoints at
// every sidecar.
#define BOOST_TEST_MODULE long_prompts
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "tier/policy/long_prompt_pool.h"

namespace {

using shelflink::policy::LongPromptPool;

constexpr double kObjective = 300'000;  // Microseconds.
constexpr double kLongPrefill = 90'000;
constexpr double kShortPrefill = 3'000;

std::vector<std::uint64_t> Endpoints(std::size_t count) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t i = 0; i < count; ++i) hashes.push_back((i * 7919 + 13) % 10'007);
  return hashes;
}

// Records calls of which one in `interval` has a long prompt.
void NoteCalls(LongPromptPool& pool, int calls, int interval) {
  for (int i = 0; i < calls; ++i) {
    pool.Note(interval > 0 && i % interval == 0 ? kLongPrefill : kShortPrefill, kObjective);
  }
}

std::vector<std::uint64_t> PoolMembers(const LongPromptPool& pool,
                                       const std::vector<std::uint64_t>& hashes) {
  std::vector<std::uint64_t> members;
  std::copy_if(hashes.begin(), hashes.end(), std::back_inserter(members),
               [&](std::uint64_t hash) { return pool.Contains(hash); });
  return members;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ClassifiesPromptsByPrefillTime) {
  BOOST_TEST(LongPromptPool::IsLong(kLongPrefill, kObjective));
  BOOST_TEST(!LongPromptPool::IsLong(kShortPrefill, kObjective));
}

BOOST_AUTO_TEST_CASE(IsInactiveBeforeEnoughCalls) {
  LongPromptPool pool;
  pool.SetEndpoints(Endpoints(9));
  NoteCalls(pool, 50, 2);
  BOOST_TEST(!pool.active());
  BOOST_TEST(PoolMembers(pool, Endpoints(9)).empty());
}

BOOST_AUTO_TEST_CASE(IsInactiveIfAllPromptsAreShort) {
  LongPromptPool pool;
  pool.SetEndpoints(Endpoints(9));
  NoteCalls(pool, 5000, 0);
  BOOST_TEST(!pool.active());
}

BOOST_AUTO_TEST_CASE(IsInactiveWithFewEndpoints) {
  LongPromptPool pool;
  pool.SetEndpoints(Endpoints(3));
  NoteCalls(pool, 5000, 5);
  BOOST_TEST(!pool.active());
}

BOOST_AUTO_TEST_CASE(ContainsAsManyEndpointsAsItsSizeAndAtMostHalf) {
  for (std::size_t endpoints = 4; endpoints <= 72; ++endpoints) {
    LongPromptPool pool;
    pool.SetEndpoints(Endpoints(endpoints));
    NoteCalls(pool, 5000, 4);
    BOOST_TEST(pool.active());
    BOOST_TEST(PoolMembers(pool, Endpoints(endpoints)).size() == pool.size());
    BOOST_TEST(2 * pool.size() <= endpoints + 1);
  }
}

BOOST_AUTO_TEST_CASE(AgreesWithAnotherSidecarWithTheSameMixOfCalls) {
  LongPromptPool here;
  LongPromptPool there;
  std::vector<std::uint64_t> reversed = Endpoints(9);
  std::reverse(reversed.begin(), reversed.end());
  here.SetEndpoints(Endpoints(9));
  there.SetEndpoints(reversed);
  NoteCalls(here, 4000, 5);
  NoteCalls(there, 9001, 5);
  BOOST_TEST(PoolMembers(here, Endpoints(9)) == PoolMembers(there, Endpoints(9)),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FollowsAChangeOfTheMix) {
  LongPromptPool pool;
  pool.SetEndpoints(Endpoints(9));
  NoteCalls(pool, 5000, 3);
  BOOST_TEST(pool.active());
  NoteCalls(pool, 20'000, 0);
  BOOST_TEST(!pool.active());
}

BOOST_AUTO_TEST_CASE(SizeStaysValidWhenEndpointsLeave) {
  LongPromptPool pool;
  pool.SetEndpoints(Endpoints(9));
  NoteCalls(pool, 5000, 3);
  for (std::size_t remaining = 9; remaining-- > 0;) {
    pool.SetEndpoints(Endpoints(remaining));
    BOOST_TEST(PoolMembers(pool, Endpoints(remaining)).size() == pool.size());
  }
}
