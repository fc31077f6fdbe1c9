// The account catches what is planted, and holds still where nothing is wrong.
#include "emulator/account.h"

#include <gtest/gtest.h>

namespace shelflab {
namespace {

using Kind = Seen::Kind;
constexpr Micros kMs = 1000;
constexpr std::uint32_t kSafe = 0;
constexpr std::uint32_t kNever2 = 1;

FleetSpec Classes() {
  FleetSpec fleet;
  ClassSpec safe;
  safe.repeat = Repeat::kIdempotent;
  ClassSpec never;
  never.repeat = Repeat::kAtMostOnce;
  fleet.classes = {safe, never};
  fleet.drain_grace = 2 * kSecond;
  return fleet;
}

class AccountTest : public ::testing::Test {
 protected:
  void Taken(Micros at, std::uint32_t cls) {
    Seen s = Make(Kind::kTaken, at, ++txn_);
    s.cls = cls;
    s.due = at + kSecond;
    account_.On(s);
  }
  void Began(Micros at, NodeId node = 0) {
    Seen s = Make(Kind::kAttemptBegan, at, txn_);
    s.node = node;
    account_.On(s);
  }
  void Ended(Micros at, int status, bool never_ran = false, std::uint64_t body = 7) {
    Seen s = Make(Kind::kAttemptEnded, at, txn_);
    s.status = status;
    s.never_ran = never_ran;
    s.body = body;
    account_.On(s);
  }
  void Final(Micros at, int status, std::uint64_t body = 7) {
    Seen s = Make(Kind::kFinal, at, txn_);
    s.status = status;
    s.body = body;
    account_.On(s);
  }
  static Seen Make(Kind kind, Micros at, std::uint64_t txn) {
    Seen s;
    s.kind = kind;
    s.at = at;
    s.txn = txn;
    return s;
  }
  std::uint64_t Broken(Rule rule) const {
    return account_.broken()[static_cast<std::size_t>(rule)];
  }
  // One rule, once, and no other.
  void ExpectOnly(Rule rule) {
    account_.Expire(100 * kSecond);
    EXPECT_EQ(Broken(rule), 1U) << WordOf(rule);
    EXPECT_EQ(account_.all_broken(), 1U);
    EXPECT_EQ(account_.examples().size(), 1U);
  }
  std::uint64_t txn_ = 0;
  Account account_{Classes(), 50 * kMs};
};

TEST_F(AccountTest, AServedRequestAndItsHarmlessResendBreakNothing) {
  Taken(0, kNever2);
  Began(1 * kMs);
  Ended(2 * kMs, 503, true);
  Began(3 * kMs, 1);
  Ended(9 * kMs, 200);
  Final(10 * kMs, 200);
  account_.Expire(100 * kSecond);
  EXPECT_EQ(account_.all_broken(), 0U);
  EXPECT_EQ(account_.held(), 0U) << "what is long over is forgotten";
}

TEST_F(AccountTest, CatchesADoubleSend) {
  Taken(0, kNever2);
  Began(1 * kMs);
  Began(5 * kMs, 1);
  Ended(9 * kMs, 200);
  Final(10 * kMs, 200);
  ExpectOnly(Rule::kDoubleRun);
}

TEST_F(AccountTest, AResendAfterAnErrorIsForbiddenTooButNotToASafeClass) {
  Taken(0, kSafe);
  Began(1 * kMs);
  Ended(2 * kMs, 500);
  Began(5 * kMs, 1);
  Ended(9 * kMs, 200);
  Final(10 * kMs, 200);
  EXPECT_EQ(account_.all_broken(), 0U);
  Taken(20 * kMs, kNever2);
  Began(21 * kMs);
  Ended(22 * kMs, 500);
  Began(23 * kMs);
  Final(24 * kMs, 502);
  ExpectOnly(Rule::kDoubleRun);
}

TEST_F(AccountTest, CatchesALostAnswer) {
  Taken(0, kSafe);
  account_.On(Make(Kind::kCut, 10 * kMs, txn_));
  ExpectOnly(Rule::kLost);
}

TEST_F(AccountTest, CatchesAnAnswerThatNeverComesOrComesLate) {
  Taken(0, kSafe);
  ExpectOnly(Rule::kUnanswered);
}

TEST_F(AccountTest, AnAnswerWithinTheSlackIsInTime) {
  Taken(0, kSafe);
  Final(1049 * kMs, 502);
  account_.Expire(100 * kSecond);
  EXPECT_EQ(account_.all_broken(), 0U);
}

TEST_F(AccountTest, NothingIsOwedToAClientThatLeft) {
  Taken(0, kSafe);
  account_.On(Make(Kind::kGone, 10 * kMs, txn_));
  account_.Expire(100 * kSecond);
  EXPECT_EQ(account_.all_broken(), 0U);
}

TEST_F(AccountTest, CatchesASecondAnswer) {
  Taken(0, kSafe);
  Final(1 * kMs, 502);
  Final(2 * kMs, 502);
  ExpectOnly(Rule::kTwice);
}

TEST_F(AccountTest, CatchesAForgedAnswer) {
  Taken(0, kSafe);
  Began(1 * kMs);
  Ended(2 * kMs, 200, false, 7);
  Final(3 * kMs, 200, 8);
  ExpectOnly(Rule::kForged);
}

TEST_F(AccountTest, CatchesARefusalOfWhatMayHaveRun) {
  Taken(0, kNever2);
  Began(1 * kMs);
  Ended(2 * kMs, 500);
  Final(3 * kMs, 503);
  ExpectOnly(Rule::kRefusedRun);
}

TEST_F(AccountTest, CatchesAFourthAttempt) {
  Taken(0, kSafe);
  for (int i = 1; i <= 4; ++i) Began(i * kMs);
  Final(10 * kMs, 502);
  ExpectOnly(Rule::kTooMany);
}

TEST_F(AccountTest, CatchesASendAfterADrainButNotWithinItsGrace) {
  Seen told = Make(Kind::kTold, 0, 0);
  told.node = 3;
  account_.On(told);
  account_.On(told);
  Taken(1900 * kMs, kSafe);
  Began(1990 * kMs, 3);
  Final(2000 * kMs, 502);
  EXPECT_EQ(account_.all_broken(), 0U);
  Taken(2100 * kMs, kSafe);
  Began(2101 * kMs, 3);
  Final(2110 * kMs, 502);
  ExpectOnly(Rule::kDrain);
}

TEST_F(AccountTest, ANodeThatServesAgainMayBeSentTo) {
  Seen told = Make(Kind::kTold, 0, 0);
  account_.On(told);
  told.kind = Kind::kServing;
  told.at = kSecond;
  account_.On(told);
  Taken(9 * kSecond, kSafe);
  Began(9 * kSecond + kMs);
  Final(9 * kSecond + 2 * kMs, 502);
  EXPECT_EQ(account_.all_broken(), 0U);
}

TEST_F(AccountTest, CatchesWhatNobodySentAndAColdNodePushedOver) {
  Began(0);
  EXPECT_EQ(Broken(Rule::kForeign), 1U);
  account_.On(Make(Kind::kFellOver, 1, 0));
  EXPECT_EQ(Broken(Rule::kColdFall), 1U);
}

}  // namespace
}  // namespace shelflab
