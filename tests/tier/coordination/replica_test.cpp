// The replica by itself: what it takes from whom, and what a catch-up moves.
#define BOOST_TEST_MODULE coordination_replica
#include "tier/coordination/replica.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

#include "tier/storage/crash_storage.h"

namespace shelflink::coordination {
namespace {

using std::chrono::milliseconds;

// A replica on a disk of its own; syncs end when told.
struct One {
  explicit One(const std::string& disk_name, bool founded = true,
               std::uint64_t link_bytes_per_second = 0)
      : storage(disk, [](const std::function<void()>& step) { step(); }),
        replica({.disk = disk_name, .prefix = "p/", .link_bytes_per_second = link_bytes_per_second},
                storage) {
    if (founded) {
      Step step = NewStep();
      replica.Found(step);
      Sync();
    }
  }
  Step NewStep() { return {net::Time(milliseconds(now)), storage, ++ticket, false}; }
  void Assign(std::uint64_t epoch, const std::string& primary, std::vector<std::string> replicas,
              bool acting) {
    Step step = NewStep();
    replica.Assign(step, out, {epoch, primary, std::move(replicas)}, acting);
  }
  void Take(const std::string& from, const ReplicaMessage& message) {
    Step step = NewStep();
    replica.OnMessage(step, out, from, message);
  }
  void Sync() {
    storage.Sync([](const Result<void>&) {});
    Step step = NewStep();
    replica.OnSynced(step, out, ticket);
  }
  Result<Position> Propose(const std::string& key, const std::string& value) {
    Step step = NewStep();
    return replica.Propose(step, out, {{key, value}});
  }
  // The last message to that disk of that kind.
  template <typename Kind>
  std::optional<Kind> Last(const std::string& to) const {
    for (auto at = out.messages.rbegin(); at != out.messages.rend(); ++at) {
      if (at->first == to && std::holds_alternative<Kind>(at->second)) {
        return std::get<Kind>(at->second);
      }
    }
    return std::nullopt;
  }

  storage::CrashDisk disk;
  storage::CrashStorage storage;
  Replica replica;
  ReplicaOutput out;
  Ticket ticket = 0;
  int now = 1;
};

Append EntryOf(std::uint64_t epoch, std::uint64_t sequence, const std::string& value,
               Position previous, std::uint64_t committed = 0) {
  return {epoch, previous, {{{epoch, sequence}, {{"key", value}}}}, committed};
}

BOOST_AUTO_TEST_CASE(a_write_is_in_force_when_all_have_synced_it_and_not_before) {
  One primary("a");
  primary.Assign(1, "a", {"a", "b", "c"}, true);
  BOOST_REQUIRE(primary.Propose("key", "value").has_value());
  primary.Sync();
  primary.Take("b", AppendReply{1, true, 1, 0, 0});
  BOOST_TEST(primary.out.committed.empty());
  primary.Take("c", AppendReply{1, true, 1, 0, 0});
  BOOST_TEST(primary.out.committed.size() == 1U);
  BOOST_TEST(primary.replica.Get(primary.storage, "key").value() == "value");
}

BOOST_AUTO_TEST_CASE(the_primary_counts_itself_only_when_it_has_synced) {
  One primary("a");
  primary.Assign(1, "a", {"a", "b"}, true);
  BOOST_REQUIRE(primary.Propose("key", "value").has_value());
  primary.Take("b", AppendReply{1, true, 1, 0, 0});
  BOOST_TEST(primary.out.committed.empty());
  primary.Sync();
  BOOST_TEST(primary.out.committed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_is_in_force_with_fewer_replicas_than_the_least) {
  One primary("a");
  primary.Assign(1, "a", {"a"}, true);
  BOOST_REQUIRE(primary.Propose("key", "value").has_value());
  primary.Sync();
  BOOST_TEST(primary.out.committed.empty());
}

BOOST_AUTO_TEST_CASE(a_replica_answers_only_after_its_sync) {
  One replica("b");
  replica.Assign(1, "a", {"a", "b"}, false);
  replica.Take("a", EntryOf(1, 1, "value", {}));
  BOOST_TEST(!replica.Last<AppendReply>("a").has_value());
  replica.Sync();
  BOOST_REQUIRE(replica.Last<AppendReply>("a").has_value());
  BOOST_TEST(replica.Last<AppendReply>("a")->match == 1U);
}

BOOST_AUTO_TEST_CASE(entries_of_an_older_epoch_or_of_another_than_the_primary_are_refused) {
  One replica("b");
  replica.Assign(2, "c", {"b", "c"}, false);
  replica.Take("a", EntryOf(1, 1, "old", {}));
  replica.Take("c", EntryOf(1, 1, "old", {}));
  replica.Take("a", EntryOf(2, 1, "stranger", {}));
  replica.Take("c", EntryOf(3, 1, "unknown epoch", {}));
  replica.Sync();
  BOOST_TEST(replica.replica.last().sequence == 0U);
  BOOST_TEST(replica.out.messages.empty());
  replica.Assign(1, "a", {"a", "b"}, false);  // An older assignment changes nothing.
  BOOST_TEST(replica.replica.epoch() == 2U);
}

BOOST_AUTO_TEST_CASE(another_primarys_entry_takes_the_place_of_one_that_it_lacks) {
  One replica("b");
  replica.Assign(1, "a", {"a", "b", "c"}, false);
  replica.Take("a", EntryOf(1, 1, "lost", {}));
  replica.Sync();
  replica.Assign(2, "c", {"b", "c"}, false);
  replica.Take("c", EntryOf(2, 1, "won", {}, 1));
  BOOST_TEST(replica.replica.Get(replica.storage, "key").value() == "won");
}

// A long entry takes longer than a repetition waits: it must not be followed by itself.
BOOST_AUTO_TEST_CASE(what_is_still_on_its_way_is_neither_sent_again_nor_owed) {
  constexpr std::uint64_t kRate = 1'000'000;
  One primary("a", true, kRate);
  primary.Assign(1, "a", {"a", "b", "c"}, true);
  primary.out = {};
  BOOST_REQUIRE(primary.Propose("key", std::string(kRate, 'x')));
  const auto sent_to = [&](const std::string& disk) {
    return std::count_if(primary.out.messages.begin(), primary.out.messages.end(),
                         [&](const auto& message) { return message.first == disk; });
  };
  const auto at = [&](int now) {
    primary.now = now;
    Step step = primary.NewStep();
    primary.replica.OnTimer(step, primary.out);
  };
  BOOST_TEST(sent_to("b") + sent_to("c") == 2);
  for (int now = 100; now <= 1200; now += 100) at(now);
  BOOST_TEST(sent_to("b") + sent_to("c") == 2);
  // One of them has it after a second, the other one after two.
  BOOST_TEST((*primary.replica.Owing("b") >= net::Time(milliseconds(1000))));
  BOOST_TEST((*primary.replica.Owing("c") >= net::Time(milliseconds(2000))));
  at(2400);
  BOOST_TEST(sent_to("b") + sent_to("c") > 2);
}

BOOST_AUTO_TEST_CASE(a_gap_is_asked_for) {
  One replica("b");
  replica.Assign(1, "a", {"a", "b"}, false);
  replica.Take("a", EntryOf(1, 3, "third", {1, 2}));
  BOOST_REQUIRE(replica.Last<AppendReply>("a").has_value());
  BOOST_TEST(!replica.Last<AppendReply>("a")->matched);
  BOOST_TEST(replica.Last<AppendReply>("a")->resend_from == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_primary_brings_its_tail_to_all_before_it_serves) {
  One primary("b");
  primary.Assign(1, "a", {"a", "b", "c"}, false);
  primary.Take("a", EntryOf(1, 1, "tail", {}));
  primary.Sync();
  primary.Assign(2, "b", {"b", "c"}, true);
  BOOST_TEST(!primary.replica.Serving());
  BOOST_REQUIRE(primary.Last<Append>("c").has_value());
  BOOST_TEST(primary.Last<Append>("c")->entries.size() == 1U);
  primary.Take("c", AppendReply{2, true, 1, 0, 0});
  BOOST_TEST(primary.replica.Serving());
  BOOST_TEST(primary.out.committed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(too_much_unacknowledged_is_refused) {
  One primary("a");
  primary.Assign(1, "a", {"a", "b"}, true);
  std::size_t taken = 0;
  while (primary.Propose("key", std::string(1U << 20, 'v')).has_value()) ++taken;
  BOOST_TEST(taken == 16U);
  const auto refused = primary.Propose("key", "v");
  BOOST_TEST((refused.error().code == ErrorCode::kExhausted));
  BOOST_TEST((primary.Propose(std::string(600, 'k'), "v").error().code == ErrorCode::kInvalid));
}

// Plays messages between the two until there are none; returns the bytes of values moved in ranges.
std::size_t Exchange(One& primary, One& learner) {
  std::size_t moved = 0;
  while (!primary.out.messages.empty() || !learner.out.messages.empty()) {
    const auto from_primary = std::move(primary.out.messages);
    primary.out.messages.clear();
    for (const auto& [to, message] : from_primary) {
      if (const auto* reply = std::get_if<CatchUpReply>(&message)) {
        for (const RangeContents& contents : reply->contents) {
          std::size_t bytes = 0;
          for (const auto& item : contents.items) bytes += item.second.size();
          BOOST_TEST(bytes <= (1U << 20));
          moved += bytes;
        }
      }
      learner.Take("a", message);
    }
    learner.Sync();
    const auto from_learner = std::move(learner.out.messages);
    learner.out.messages.clear();
    for (const auto& [to, message] : from_learner) primary.Take("b", message);
  }
  return moved;
}

void Fill(One& one, int keys, const std::string& value) {
  storage::Batch batch;
  for (int key = 0; key < keys; ++key) batch.Put("p/mkey" + std::to_string(key), value);
  one.storage.Apply(batch);
}

BOOST_AUTO_TEST_CASE(a_catch_up_moves_only_ranges_that_differ) {
  const std::string value(1000, 'v');
  One primary("a");
  Fill(primary, 5000, value);
  primary.Assign(1, "a", {"a", "c"}, true);
  for (const int lost : {0, 1, 5000}) {
    One learner("b", false);
    Fill(learner, 5000 - lost, value);
    learner.Assign(1, "a", {"a", "c"}, false);
    Step step = learner.NewStep();
    learner.replica.CatchUp(step, learner.out);
    const std::size_t moved = Exchange(primary, learner);
    BOOST_TEST(learner.replica.complete());
    BOOST_TEST(primary.replica.Joined("b"));
    BOOST_TEST(learner.out.reset);
    if (lost == 0) BOOST_TEST(moved == 0U);
    if (lost == 1) BOOST_TEST(moved <= 64U << 10);
    if (lost == 5000) BOOST_TEST(moved == 5000U * value.size());
    std::size_t keys = 0;
    learner.replica.ForEach(learner.storage, [&](std::string_view, std::string_view stored) {
      keys += stored == value ? 1 : 0;
      return true;
    });
    BOOST_TEST(keys == 5000U);
  }
}

BOOST_AUTO_TEST_CASE(one_about_to_be_named_is_not_sent_back_to_the_start) {
  One primary("a");
  primary.Assign(1, "a", {"a", "c"}, true);
  One learner("b", false);
  learner.Assign(1, "a", {"a", "c"}, false);
  Step step = learner.NewStep();
  learner.replica.CatchUp(step, learner.out);
  Exchange(primary, learner);
  BOOST_REQUIRE(primary.replica.Joined("b"));
  primary.replica.Require({"b"});
  CatchUpRequest again;
  again.epoch = 1;
  again.session = 99;
  again.start = true;
  primary.out.messages.clear();
  primary.Take("b", again);
  BOOST_TEST(primary.out.messages.empty());
  BOOST_TEST(primary.replica.Joined("b"));
}

// It may have told of entries that its present process, which begins anew, has taken away.
BOOST_AUTO_TEST_CASE(an_earlier_process_of_a_learner_vouches_for_nothing) {
  One primary("a");
  primary.Assign(1, "a", {"a", "c"}, true);
  CatchUpRequest start;
  start.epoch = 1;
  start.session = 7;
  start.start = true;
  primary.Take("b", start);
  BOOST_REQUIRE(primary.Propose("key", "value").has_value());
  primary.Sync();
  primary.Take("b", AppendReply{1, true, 1, 0, 0});  // Of the earlier process, late.
  primary.Take("b", AppendReply{1, true, 0, 0, 7});
  BOOST_REQUIRE(primary.replica.Joined("b"));
  primary.replica.Require({"b"});
  primary.Take("c", AppendReply{1, true, 1, 0, 0});
  BOOST_TEST(primary.out.committed.empty());
  primary.Take("b", AppendReply{1, true, 1, 0, 7});
  BOOST_TEST(primary.out.committed.size() == 1U);
}

// What is acknowledged behind it must be on the disk.
BOOST_AUTO_TEST_CASE(a_message_whose_entries_do_not_follow_each_other_leaves_nothing_behind) {
  One replica("b");
  replica.Assign(1, "a", {"a", "b"}, false);
  Append malformed = EntryOf(1, 1, "first", {});
  malformed.entries.push_back({{1, 3}, {{"key", "third"}}});
  replica.Take("a", malformed);
  BOOST_TEST(replica.replica.last().sequence == 0U);
  Append good = EntryOf(1, 1, "first", {});
  good.entries.push_back({{1, 2}, {{"key", "second"}}});
  replica.Take("a", good);
  replica.Sync();
  BOOST_REQUIRE(replica.Last<AppendReply>("a").has_value());
  BOOST_TEST(replica.Last<AppendReply>("a")->match == 2U);
  const Replica restarted({.disk = "b", .prefix = "p/"}, replica.storage);
  BOOST_TEST(restarted.complete());
  BOOST_TEST(restarted.last().sequence == 2U);
}

// The primary tells it nothing more: it must ask again, though its map was whole once.
BOOST_AUTO_TEST_CASE(a_learner_that_lost_entries_has_not_caught_up) {
  One primary("a");
  primary.Assign(1, "a", {"a", "c"}, true);
  One learner("b", false);
  learner.Assign(1, "a", {"a", "c"}, false);
  const auto catch_up = [&] {
    Step step = learner.NewStep();
    learner.replica.CatchUp(step, learner.out);
    Exchange(primary, learner);
  };
  catch_up();
  BOOST_REQUIRE(learner.replica.caught_up());
  for (int lost = 0; lost < 2; ++lost) {
    BOOST_REQUIRE(primary.Propose("key", "value").has_value());
    primary.Sync();
    primary.Take("c", AppendReply{1, true, static_cast<std::uint64_t>(lost) + 1, 0, 0});
    primary.out.messages.clear();
  }
  primary.now += 1000;
  Step step = primary.NewStep();
  primary.replica.OnTimer(step, primary.out);
  Exchange(primary, learner);
  BOOST_TEST(!learner.replica.caught_up());
  BOOST_TEST(!primary.replica.Joined("b"));
  learner.now += 2000;
  catch_up();
  BOOST_TEST(learner.replica.caught_up());
  BOOST_TEST(primary.replica.Joined("b"));
  BOOST_TEST(learner.replica.Get(learner.storage, "key").value() == "value");
}

// While the wait lasts commits go at the learner's pace; a learner that is gone holds up nothing.
BOOST_AUTO_TEST_CASE(commits_wait_for_a_learner_for_a_time_only) {
  One primary("a");
  primary.Assign(1, "a", {"a", "c"}, true);
  CatchUpRequest start;
  start.epoch = 1;
  start.session = 7;
  start.start = true;
  primary.Take("b", start);
  const auto change = [&](std::uint64_t sequence) {
    BOOST_REQUIRE(primary.Propose("key", "value").has_value());
    primary.Sync();
    primary.Take("c", AppendReply{1, true, sequence, 0, 0});
  };
  change(1);
  BOOST_TEST(primary.replica.committed().sequence == 1U);
  primary.Take("b", AppendReply{1, true, 0, 0, 7});  // Whole, but for the newest entry.
  BOOST_TEST(!primary.replica.Joined("b"));
  change(2);
  BOOST_TEST(primary.replica.committed().sequence == 1U);
  primary.now += 400;
  Step step = primary.NewStep();
  primary.replica.OnTimer(step, primary.out);
  BOOST_TEST(primary.replica.committed().sequence == 2U);
  primary.Take("b", AppendReply{1, true, 1, 0, 7});  // Too soon for another wait.
  change(3);
  BOOST_TEST(primary.replica.committed().sequence == 3U);
  primary.now += 1000;
  primary.Take("b", AppendReply{1, true, 1, 0, 7});
  change(4);
  BOOST_TEST(primary.replica.committed().sequence == 3U);
  primary.Take("b", AppendReply{1, true, 3, 0, 7});
  BOOST_TEST(primary.replica.Joined("b"));
}

}  // namespace
}  // namespace shelflink::coordination
