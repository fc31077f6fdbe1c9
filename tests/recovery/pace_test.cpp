// When a sidecar asks discovery: spread over the group, once where once suffices, and away for as
// long as discovery wants.
#include "recovery/pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "storm/judge.h"

namespace recovery {
namespace {

constexpr Micros kSecond = 1'000'000;

Pace::Place PlaceOf(std::uint32_t me, std::uint32_t group, bool knows = false) {
  return {me, group, 10 * kSecond, knows, 0, 77 + std::uint64_t{me}};
}

TEST(FirstAsk, OneThatIsAloneAsksAtOnce) { EXPECT_EQ(Pace(PlaceOf(0, 1)).FirstAsk(500), 500); }

TEST(FirstAsk, AnyPartOfAGroupLiesEvenlyOverTheTimeThatAllNeed) {
  constexpr std::uint32_t kGroup = 100;
  // Seven in ten: the first ones, the last ones, every number but each third.
  std::vector<std::vector<std::uint32_t>> parts(3);
  for (std::uint32_t me = 0; me < kGroup; ++me) {
    if (me < 70) parts[0].push_back(me);
    if (me >= 30) parts[1].push_back(me);
    if (me % 10 < 7) parts[2].push_back(me);
  }
  for (const auto& part : parts) {
    std::vector<Micros> asks;
    for (const std::uint32_t me : part) asks.push_back(Pace(PlaceOf(me, kGroup)).FirstAsk(kSecond));
    EXPECT_LE(storm::FullestTenth(asks), 8U);
    EXPECT_GE(*std::min_element(asks.begin(), asks.end()), kSecond);
    EXPECT_LE(*std::max_element(asks.begin(), asks.end()), kSecond + kGroup * kCallGuess);
  }
}

TEST(FirstAsk, TheFresherItsListTheLaterOneAsksAndAnOldOneAsOneOfUnknownAge) {
  const auto last = [](double fresh) {
    Micros latest = 0;
    for (std::uint32_t me = 0; me < 50; ++me) {
      Pace::Place place = PlaceOf(me, 50, true);
      place.fresh = fresh;
      latest = std::max(latest, Pace(place).FirstAsk(0));
    }
    return latest;
  };
  EXPECT_LE(last(0), 50 * kCallGuess);
  EXPECT_GT(last(0.5), 2 * kSecond);
  EXPECT_GT(last(1), 4 * kSecond);
  EXPECT_LE(last(7), 5 * kSecond);  // Never beyond half of what it may go without asking.
}

TEST(FirstAsk, NobodyWaitsLongerThanACallMay) {
  for (std::uint32_t me = 0; me < 5000; me += 7) {
    EXPECT_LE(Pace(PlaceOf(me, 5000)).FirstAsk(0), 4 * kSecond);
  }
}

TEST(Answered, OnceSufficesWhileAllComeBackThroughASlowDiscovery) {
  Pace pace(PlaceOf(3, 100));
  const Micros next = pace.OnAnswer(kSecond, 400'000, true);
  EXPECT_GE(next, kSecond + 9 * kSecond);
  EXPECT_LE(next, kSecond + 10 * kSecond);  // Never beyond what it may go without asking.
  // From then on a change is followed by the next watch as usual.
  EXPECT_LE(pace.OnAnswer(20 * kSecond, 5 * kSecond, true), 20 * kSecond + kSpread);
}

TEST(Answered, AFastDiscoveryIsWatchedAgainAtOnce) {
  Pace pace(PlaceOf(3, 20));
  EXPECT_LE(pace.OnAnswer(kSecond, 500, true), kSecond + kSpread);
}

// A change wakes all watches at once; asking again after equal times they would stay in step.
TEST(Answered, OneThatHadAListWatchesAgainAsUsual) {
  Pace pace(PlaceOf(3, 100, true));
  EXPECT_LE(pace.OnAnswer(6 * kSecond, 5 * kSecond, true), 6 * kSecond + kSpread);
}

TEST(Answered, NothingNewIsNoReasonToWait) {
  Pace pace(PlaceOf(3, 100, true));
  EXPECT_EQ(pace.OnAnswer(kSecond, 10 * kSecond, false), kSecond);
}

TEST(Refused, AdviceIsHeededAndNobodyComesBackAtItsEnd) {
  std::vector<Micros> asks;
  for (std::uint32_t me = 0; me < 100; ++me) {
    asks.push_back(Pace(PlaceOf(me, 100)).OnFailure(0, {true, 3 * kSecond}));
  }
  EXPECT_GE(*std::min_element(asks.begin(), asks.end()), 3 * kSecond);
  EXPECT_LE(*std::max_element(asks.begin(), asks.end()), 5 * kSecond);
  EXPECT_LE(storm::FullestTenth(asks), 15U);
}

TEST(Refused, EachTimeItStaysAwayLongerUpToACap) {
  Pace pace(PlaceOf(3, 10));
  Micros longest = 0;
  for (int i = 0; i < 12; ++i) longest = pace.OnFailure(0, {true, std::nullopt});
  EXPECT_GT(longest, kSecond);
  EXPECT_LE(longest, 8 * kSecond);  // Half again of half of what it may go without asking.
  EXPECT_EQ(pace.OnAnswer(20 * kSecond, 1000, false), 20 * kSecond);
  EXPECT_LE(pace.OnFailure(0, {true, std::nullopt}), kSecond);  // An answer starts it afresh.
}

TEST(Refused, WhatCannotBeReachedIsNotSpared) {
  Pace pace(PlaceOf(3, 100));
  EXPECT_EQ(pace.OnFailure(kSecond, {false, std::nullopt}), kSecond);
}

TEST(Refused, AdviceBeyondWhatItMayGoWithoutAskingIsCapped) {
  Pace pace(PlaceOf(3, 10));
  EXPECT_LE(pace.OnFailure(0, {true, 3600 * kSecond}), 11 * kSecond);
}

TEST(Draws, TheSameSeedGivesTheSameTimes) {
  Pace a(PlaceOf(3, 100));
  Pace b(PlaceOf(3, 100));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(a.OnFailure(i, {true, std::nullopt}), b.OnFailure(i, {true, std::nullopt}));
    EXPECT_EQ(a.OnAnswer(i, 1000, true), b.OnAnswer(i, 1000, true));
  }
}

}  // namespace
}  // namespace recovery
