// Scripts are dealt and drawn from a seed alone; the judgement of a history fires on each promise
// that is broken and on nothing else.
#include "storm/judge.h"

#include <gtest/gtest.h>

#include <set>

namespace storm {
namespace {

Record Of(Micros at, const std::string& what, std::optional<std::int64_t> version = {},
          std::uint64_t life = 1, const std::string& about = "") {
  return {at, "t0n0", life, what, version, about};
}

std::vector<std::string> Rules(const std::vector<Record>& history) {
  std::vector<std::string> rules;
  for (const Finding& f : Judge(history, {}, 0).findings) rules.push_back(f.rule);
  return rules;
}

// A list of a peer: told by discovery at 1 s to another process.
TEST(HeardLists, AreJudgedByWhatDiscoveryTold) {
  const auto told = [](Micros at) {
    Record r = Of(at, what::kTold, 5);
    r.who = "t0n1";
    return r;
  };
  const auto heard = [](Micros at, Micros held) {
    return Of(at, what::kHeard, 5, 1, std::to_string(held));
  };
  EXPECT_TRUE(Rules({told(kSecond), heard(2 * kSecond, kSecond - 5'000)}).empty());
  EXPECT_EQ(Rules({heard(2 * kSecond, kSecond)}),
            std::vector<std::string>{"a list of a peer that discovery told nobody"});
  EXPECT_EQ(Rules({told(kSecond), heard(2 * kSecond, 2 * kSecond)}),
            std::vector<std::string>{"a list of a peer called younger than it is"});
  EXPECT_EQ(Rules({told(kSecond), heard(302 * kSecond, kSecond)}),
            std::vector<std::string>{"a list of a peer beyond its age"});
  EXPECT_EQ(Rules({told(kSecond), Of(2 * kSecond, what::kHeard, 5)}),
            std::vector<std::string>{"a list of a peer of no age"});
  const auto record = FromTrace("sidecar: trace 7000000 heard 5 held 6500000", 6'000'000);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->at, kSecond);
  EXPECT_EQ(record->version, 5);
  EXPECT_EQ(record->about, "500000");
}

TEST(Lessons, AreJudgedByWhatTheProcessHadLearnedBefore) {
  const auto lesson = [](Micros at, const std::string& words, std::uint64_t life) {
    return Of(at, what::kLesson, {}, life, words);
  };
  const auto recall = [](Micros at, const std::string& words) {
    return Of(at, what::kRecall, {}, 2, words);
  };
  EXPECT_TRUE(Rules({lesson(kSecond, "9.5 shunned a b", 1), lesson(2 * kSecond, "8.0 shunned", 1),
                     recall(4 * kSecond, "9.5 shunned b")})
                  .empty());
  const std::vector<std::string> nobody{"a lesson that nobody learned"};
  EXPECT_EQ(Rules({lesson(kSecond, "9.5 shunned a", 1), recall(4 * kSecond, "9.5 shunned b")}),
            nobody);
  EXPECT_EQ(Rules({lesson(kSecond, "9.5 shunned", 1), recall(4 * kSecond, "9.4 shunned")}), nobody);
  EXPECT_EQ(Rules({lesson(kSecond, "9.5 shunned", 2), recall(4 * kSecond, "9.5 shunned")}), nobody);
  EXPECT_EQ(Rules({lesson(kSecond, "9.5 shunned", 1), recall(62 * kSecond, "9.5 shunned")}),
            std::vector<std::string>{"a lesson beyond its age"});
  const auto record = FromTrace("sidecar: trace 7000000 recall 9.5 shunned a b", 6'000'000);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->about, "9.5 shunned a b");
}

TEST(Script, AShareIsDealtByTheSeedAlone) {
  Storm storm;
  storm.events = {{Deed::kStop, 2 * kSecond, kSecond, 0.3},
                  {Deed::kKill, kSecond, kSecond, 0.7},
                  {Deed::kMute, 3 * kSecond, kSecond, 0.0001}};
  const auto deals = Compile(storm, 10, 5);
  ASSERT_EQ(deals.size(), 11U);                      // 7, 3, and one at least.
  EXPECT_EQ(deals.front().event.deed, Deed::kKill);  // In the order of the times.
  std::set<std::uint32_t> killed;
  for (std::size_t i = 0; i < 7; ++i) killed.insert(deals[i].process);
  EXPECT_EQ(killed.size(), 7U);
  const auto again = Compile(storm, 10, 5);
  const auto other = Compile(storm, 10, 6);
  bool differs = false;
  for (std::size_t i = 0; i < deals.size(); ++i) {
    EXPECT_EQ(deals[i].process, again[i].process);
    differs = differs || deals[i].process != other[i].process;
  }
  EXPECT_TRUE(differs);
  EXPECT_EQ(EndOf(storm), 4 * kSecond);
}

TEST(Script, DrawnStormsEndInTimeAndMeetEveryDeed) {
  std::set<Deed> met;
  std::size_t near = 0;
  std::size_t all = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Storm storm = Draw(seed, {});
    ASSERT_GE(storm.events.size(), 2U);
    ASSERT_LE(storm.events.size(), 5U);
    EXPECT_LE(EndOf(storm), 17 * kSecond);  // Of twenty.
    for (std::size_t i = 0; i < storm.events.size(); ++i) {
      met.insert(storm.events[i].deed);
      ++all;
      const bool close =
          (i > 0 && storm.events[i].at - storm.events[i - 1].at <= kSecond) ||
          (i + 1 < storm.events.size() && storm.events[i + 1].at - storm.events[i].at <= kSecond);
      near += close ? 1 : 0;
    }
  }
  EXPECT_EQ(met.size(), 8U);
  EXPECT_GT(near * 2, all);
}

TEST(History, ARecordOutlivesItsLine) {
  const Record record{12, "t0n3", 2, what::kSend, 41, "store-1"};
  const Record read = ParseRecord(LineOf(record), "h", 1);
  EXPECT_EQ(read.at, 12);
  EXPECT_EQ(read.who, "t0n3");
  EXPECT_EQ(read.life, 2U);
  EXPECT_EQ(read.what, what::kSend);
  EXPECT_EQ(read.version, 41);
  EXPECT_EQ(read.about, "store-1");
}

TEST(History, WhatIsNoRecordIsNamedByLine) {
  try {
    ParseHistory(LineOf(Of(1, "list", 2)) + "\n{\"at\":", "h.jsonl");
    FAIL();
  } catch (const BadHistory& e) {
    EXPECT_EQ(std::string(e.what()).rfind("h.jsonl:2: expected a record", 0), 0U) << e.what();
  }
}

TEST(History, TracesAreRead) {
  const auto send =
      FromTrace("kelpspring: trace 1000500 send 77 0 to store-1 age 20 version 41", 1'000'000);
  ASSERT_TRUE(send);
  EXPECT_EQ(send->at, 500);
  EXPECT_EQ(send->what, what::kSend);
  EXPECT_EQ(send->version, 41);
  EXPECT_EQ(send->about, "store-1");
  const auto list = FromTrace("kelpspring: trace 1000700 list 42 whole a=0 b=1", 1'000'000);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->version, 42);
  EXPECT_FALSE(FromTrace("kelpspring: discovery: status 503", 0));
  EXPECT_FALSE(FromTrace("trace soon list 4", 0));
}

TEST(Stale, ADecisionOnAListThatWasReplacedLongAgo) {
  const Micros told = kSecond;
  std::vector<Record> history = {Of(0, what::kList, 1), Of(told, what::kTold, 2),
                                 Of(told + 200'000, what::kSend, 1)};
  EXPECT_TRUE(Rules(history).empty());  // It may not have read it yet.
  history.push_back(Of(told + 300'000, what::kSend, 1));
  EXPECT_EQ(Rules(history), std::vector<std::string>{"a decision on a stale list"});
}

TEST(Stale, OneThatStoodStillCouldNotKnow) {
  const std::vector<Record> history = {
      Of(0, what::kList, 1), Of(kSecond, what::kStopped), Of(kSecond + 1, what::kTold, 2),
      Of(4 * kSecond, what::kWoken), Of(4 * kSecond + 100'000, what::kSend, 1)};
  EXPECT_TRUE(Rules(history).empty());
}

TEST(Stale, ANewLifeKnowsNothingOfWhatTheLastWasTold) {
  EXPECT_TRUE(Rules({Of(0, what::kList, 1), Of(kSecond, what::kTold, 5),
                     Of(2 * kSecond, what::kStarted, {}, 2), Of(3 * kSecond, what::kSend, 1, 2)})
                  .empty());
}

TEST(Stale, AnOlderListOverANewer) {
  EXPECT_EQ(Rules({Of(0, what::kList, 3), Of(1, what::kList, 2)}),
            std::vector<std::string>{"an older list over a newer"});
  EXPECT_TRUE(
      Rules({Of(0, what::kList, 3), Of(1, what::kList, 3), Of(2, what::kList, 2, 2)}).empty());
}

TEST(Returns, AreCountedFromTheSecondLifeOn) {
  std::vector<Record> history = {Of(0, what::kStarted), Of(10, what::kCalled),
                                 Of(kSecond, what::kStarted, {}, 2)};
  for (int i = 0; i < 3; ++i) {
    history.push_back(Of(2 * kSecond + i * 40'000, what::kCalled, {}, 2));
  }
  history.push_back(Of(3 * kSecond, what::kReady, {}, 2));
  history.push_back(Of(12 * kSecond, what::kCalled, {}, 2));
  const Judgement j = Judge(history, {}, kSecond);
  ASSERT_EQ(j.backs.size(), 1U);
  EXPECT_EQ(j.backs[0].calls, 3U);  // The last came after ten seconds.
  EXPECT_EQ(j.backs[0].ready, 3 * kSecond);
  EXPECT_FALSE(j.backs[0].cut_short);
  EXPECT_EQ(j.calls, 5U);
  EXPECT_EQ(j.fullest_tenth_calls, 3U);
}

}  // namespace
}  // namespace storm
