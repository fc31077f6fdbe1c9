// The store as its interface is published: revisions, compares, leases, events, compaction.
#include <gtest/gtest.h>

#include "coordination/model.h"

namespace coordination {
namespace {

constexpr Micros kSecond = 1'000'000;
using What = Operation::What;

Operation Put(const std::string& key, const std::string& value, LeaseId lease = 0) {
  return {What::kPut, {key}, value, lease};
}
Operation Delete(const std::string& key) { return {What::kDelete, {key}}; }
Operation Read(const std::string& key) { return {What::kRange, {key}}; }
Compare Absent(const std::string& key) {
  return {key, Compare::Of::kCreated, Compare::Is::kEqual, 0};
}

TEST(Revisions, GrowWithEachChangeAndWithNothingElse) {
  Model model;
  EXPECT_EQ(model.revision(), 1);
  EXPECT_EQ(model.Apply({{}, {Put("a", "1"), Put("b", "2")}}).revision, 2);  // One for both.
  EXPECT_EQ(model.Apply({{}, {Read("a")}}).revision, 2);
  EXPECT_EQ(model.Apply({{}, {Delete("none")}}).revision, 2);
  model.Apply({{}, {Put("a", "3")}});
  const Entry a = model.Get({"a"}).at(0);
  EXPECT_EQ(a.created, 2);
  EXPECT_EQ(a.modified, 3);
  EXPECT_EQ(a.version, 2);
  model.Apply({{}, {Delete("a")}});
  model.Apply({{}, {Put("a", "4")}});
  EXPECT_EQ(model.Get({"a"}).at(0).created, 5);
  EXPECT_EQ(model.Get({"a"}).at(0).version, 1);
}

TEST(Compares, AllMustHoldElseTheOtherBranchIsDone) {
  Model model;
  const Txn claim{{Absent("k")}, {Put("k", "one")}, {Read("k")}};
  EXPECT_TRUE(model.Apply(claim).succeeded);
  const Done second = model.Apply(claim);
  EXPECT_FALSE(second.succeeded);
  EXPECT_EQ(second.found.at(0).at(0).value, "one");
  const auto holds = [&](Compare::Of of, Compare::Is is, std::int64_t n, const char* value = "") {
    return model.Apply({{{"k", of, is, n, value}}, {}}).succeeded;
  };
  EXPECT_TRUE(holds(Compare::Of::kValue, Compare::Is::kEqual, 0, "one"));
  EXPECT_FALSE(holds(Compare::Of::kValue, Compare::Is::kNotEqual, 0, "one"));
  EXPECT_TRUE(holds(Compare::Of::kModified, Compare::Is::kLess, 3));
  EXPECT_FALSE(holds(Compare::Of::kModified, Compare::Is::kGreater, 2));
  EXPECT_TRUE(holds(Compare::Of::kVersion, Compare::Is::kEqual, 1));
  EXPECT_FALSE(model.Apply({{Absent("none"), Absent("k")}, {}}).succeeded);
}

TEST(Refusals, LeaveNothingDone) {
  Model model;
  EXPECT_THROW(model.Apply({{}, {Put("a", "1"), Put("b", "2", 77)}}), Refused);
  EXPECT_THROW(model.Apply({{}, {Put("a", "1"), Put("a", "2")}}), Refused);
  EXPECT_EQ(model.revision(), 1);
  EXPECT_TRUE(model.Get(Prefix("")).empty());
}

TEST(Leases, TakeTheirKeysWithThemInOneRevision) {
  Model model;
  const LeaseId lease = model.Grant(0, 2 * kSecond);
  model.Apply({{}, {Put("m/1", "x", lease), Put("m/2", "y", lease), Put("n", "z")}});
  EXPECT_EQ(model.KeepAlive(kSecond, lease), 2 * kSecond);
  model.Advance(3 * kSecond - 1);
  EXPECT_EQ(model.Get(Prefix("m/")).size(), 2U);
  EXPECT_EQ(model.next(), 3 * kSecond);
  model.Advance(3 * kSecond);
  EXPECT_TRUE(model.Get(Prefix("m/")).empty());
  EXPECT_EQ(model.Get({"n"}).size(), 1U);
  EXPECT_EQ(model.revision(), 3);
  EXPECT_FALSE(model.KeepAlive(3 * kSecond, lease));
  EXPECT_FALSE(model.Revoke(lease));
  EXPECT_THROW(model.Grant(0, 0), Refused);
  EXPECT_THROW((model.Grant(0, 1, 9), model.Grant(0, 1, 9)), Refused);
}

TEST(Leases, AKeyPutAnewGoesWithItsLastLeaseOnly) {
  Model model;
  const LeaseId first = model.Grant(0, kSecond);
  const LeaseId second = model.Grant(0, 9 * kSecond);
  model.Apply({{}, {Put("k", "x", first)}});
  model.Apply({{}, {Put("k", "y", second)}});
  model.Advance(2 * kSecond);
  EXPECT_EQ(model.Get({"k"}).size(), 1U);
  model.Resume(8 * kSecond);  // Its whole time again.
  model.Advance(16 * kSecond);
  EXPECT_EQ(model.Get({"k"}).size(), 1U);
  model.Advance(17 * kSecond);
  EXPECT_TRUE(model.Get({"k"}).empty());
}

TEST(Events, ComeInOrderFromARevisionOnUntilTheyAreCompacted) {
  Model model;
  model.Apply({{}, {Put("m/1", "x"), Put("other", "-")}});
  model.Apply({{}, {Put("m/2", "y")}});
  model.Apply({{}, {Delete("m/1")}});
  const auto all = model.Since(1, Prefix("m/"));
  ASSERT_TRUE(all);
  ASSERT_EQ(all->size(), 3U);
  EXPECT_EQ((*all)[0].entry.key, "m/1");
  EXPECT_EQ((*all)[1].entry.modified, 3);
  EXPECT_TRUE((*all)[2].gone);
  EXPECT_EQ(model.Since(4, Prefix("m/"))->size(), 1U);
  model.Compact(3);
  EXPECT_FALSE(model.Since(3, Prefix("m/")));
  EXPECT_EQ(model.Since(4, Prefix("m/"))->size(), 1U);
  EXPECT_THROW(model.Compact(3), Refused);
  EXPECT_THROW(model.Compact(99), Refused);
}

TEST(Ranges, PrefixesEndWhereTheNextOneBegins) {
  EXPECT_EQ(Prefix("m/").end, "m0");
  EXPECT_EQ(Prefix(std::string("a\xff")).end, "b");
  EXPECT_EQ(Prefix("").end, std::string(1, '\0'));
  Model model;
  model.Apply({{}, {Put("m", "1"), Put("m/1", "2"), Put("m0", "3")}});
  EXPECT_EQ(model.Get(Prefix("m/")).size(), 1U);
  EXPECT_EQ(model.Get({"m", std::string(1, '\0')}).size(), 3U);
}

}  // namespace
}  // namespace coordination
