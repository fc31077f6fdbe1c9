// Maintenance in turn: the words of orders, what the owner plans, and every interleaving of two
// owners, two members, late calls and restarts over the model of the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/model.h"
#include "draws.h"
#include "maintenance/duty.h"
#include "maintenance/order.h"
#include "maintenance/turn.h"
#include "storm/explore.h"

namespace maintenance {
namespace {

using coordination::Entry;
using coordination::Model;
using coordination::Operation;
using ownership::Fence;

const Keys kKeys{"/f/"};

TEST(Order, ComesBackAsItWasAndNamesWhatIsWrong) {
  Order order;
  order.id = "o7";
  order.what = What::kRestart;
  order.members = {"b", "a"};
  order.at_once = 3;
  order.back_within = 2'500'000;
  order.state = State::kStopped;
  order.why = "a has not come back";
  EXPECT_EQ(TextOf(ParseOrder(TextOf(order))), TextOf(order));
  const std::vector<std::string> all = {"a", "b"};
  EXPECT_EQ(ParseWish(R"({"what":"drain"})", all).members, all);
  const std::map<std::string, std::string> bad = {
      {"[]", "expected a JSON object"},
      {R"({})", "what: "},
      {R"({"what":"stop"})", "what: expected drain or restart"},
      {R"({"what":"drain","members":[]})", "members: expected one to 5000 names"},
      {R"({"what":"drain","members":["a","a"]})", "members: expected each name once"},
      {R"({"what":"drain","members":["c"]})", "members: c is no member at this moment"},
      {R"({"what":"drain","at_once":0})", "at_once: expected a whole number, 1 at least"},
      {R"({"what":"drain","back_within_s":0.5})", "back_within_s: expected seconds"},
      {R"({"what":"drain","k":1})", "k: expected what, members, at_once or back_within_s"}};
  for (const auto& [text, why] : bad) {
    try {
      ParseWish(text, all);
      ADD_FAILURE() << text;
    } catch (const BadOrder& e) {
      EXPECT_EQ(std::string(e.what()).substr(0, why.size()), why) << text;
    }
  }
  EXPECT_THROW(ParseWish(R"({"what":"drain"})", {}), BadOrder);
  EXPECT_THROW(ParseCall(R"({"order":"o","order_revision":1,"fence":0,"slot":0})"), BadOrder);
  EXPECT_THROW(ParsePart("what"), BadOrder);
}

// ---- The owner's plan ----

Turn::Seen SeenOf(std::vector<std::string> members, std::uint32_t at_once) {
  Turn::Seen seen;
  seen.order.id = "o1";
  seen.order.members = members;
  seen.order.at_once = at_once;
  seen.order.back_within = 10'000'000;
  seen.present = {members.begin(), members.end()};
  return seen;
}

std::string CallsOf(const Turn::Say& say) {
  std::string calls;
  for (const auto& c : say.calls) calls += c.member + std::to_string(c.slot) + ' ';
  return calls;
}

TEST(Turn, CallsSoManyAtOnceAndTheNextWhenOneIsBack) {
  Turn turn;
  Turn::Seen seen = SeenOf({"a", "b", "c"}, 2);
  EXPECT_EQ(CallsOf(turn.Plan(0, seen)), "a0 b1 ");
  EXPECT_EQ(CallsOf(turn.Plan(100'000, seen)), "");
  EXPECT_EQ(CallsOf(turn.Plan(Turn::kAgain, seen)), "a0 b1 ");  // Neither was taken up.
  seen.parts["a"] = {"s", 0, 1, false};
  seen.parts["b"] = {"s", 1, 1, false};
  EXPECT_EQ(CallsOf(turn.Plan(3'000'000, seen)), "");
  seen.parts["b"].back = true;
  EXPECT_EQ(CallsOf(turn.Plan(4'000'000, seen)), "c1 ");
  seen.parts["a"].back = true;
  seen.parts["c"] = {"s", 1, 1, true};
  const auto say = turn.Plan(5'000'000, seen);
  ASSERT_TRUE(say.end);
  EXPECT_EQ(*say.end, State::kDone);
}

TEST(Turn, ANewOwnerGoesOnFromWhatStandsInTheStore) {
  Turn::Seen seen = SeenOf({"a", "b", "c"}, 1);
  seen.parts["a"] = {"s", 0, 1, true};
  seen.parts["b"] = {"s", 0, 1, false};
  Turn turn;
  EXPECT_EQ(CallsOf(turn.Plan(0, seen)), "");
  seen.parts["b"].back = true;
  EXPECT_EQ(CallsOf(turn.Plan(1, seen)), "c0 ");
}

TEST(Turn, StopsWhenOneDoesNotComeBackDoesNotTakePartOrIsNotThere) {
  for (const std::string how : {"out", "deaf", "gone"}) {
    Turn turn;
    Turn::Seen seen = SeenOf({"a", "b"}, 1);
    seen.parts["b"] = {"s", 0, 1, true};
    if (how == "out") seen.parts["a"] = {"s", 0, 1, false};
    if (how == "gone") seen.present.erase("a");
    EXPECT_FALSE(turn.Plan(0, seen).end) << how;
    EXPECT_FALSE(turn.Plan(9'999'999, seen).end) << how;
    const auto say = turn.Plan(10'000'000, seen);
    ASSERT_TRUE(say.end) << how;
    EXPECT_EQ(*say.end, State::kStopped);
    EXPECT_EQ(say.why.substr(0, 2), "a ");
  }
}

TEST(Turn, PausedNobodyIsCalledAndNobodyOnHisWayIsLate) {
  Turn turn;
  Turn::Seen seen = SeenOf({"a"}, 1);
  seen.order.state = State::kPaused;
  EXPECT_EQ(CallsOf(turn.Plan(0, seen)), "");
  EXPECT_FALSE(turn.Plan(60'000'000, seen).end);
  seen.order.state = State::kRunning;
  EXPECT_EQ(CallsOf(turn.Plan(61'000'000, seen)), "a0 ");
  seen.order.state = State::kOff;
  EXPECT_EQ(CallsOf(turn.Plan(62'000'000, seen)), "");
}

// ---- The member's guard ----

TEST(Duty, RefusesAFenceBelowOneOfItsOwnOrAnEarlierLife) {
  Duty duty("s2", 9);
  const auto call = [](Fence fence) { return Call{"o1", 5, fence, 0}; };
  EXPECT_EQ(duty.OnCall(call(8)), Duty::Verdict::kLate);
  EXPECT_EQ(duty.OnCall(call(9)), Duty::Verdict::kTakeUp);
  EXPECT_EQ(duty.OnCall(call(9)), Duty::Verdict::kBusy);
  duty.OnTaken(call(9), false);
  // That somebody calls with a higher one is not yet the store's word.
  EXPECT_EQ(duty.OnCall(call(12)), Duty::Verdict::kTakeUp);
  duty.OnTaken(call(12), false);
  EXPECT_EQ(duty.seen(), 9);
  duty.OnOwner(12);
  EXPECT_EQ(duty.OnCall(call(11)), Duty::Verdict::kLate);
  EXPECT_EQ(duty.seen(), 12);
}

// ---- All interleavings ----

enum class Fault { kNone, kNoFence, kNoSlot, kForgetful };

// Two owners, the first of which never learns that it is one no more; two members, one at a time;
// calls that are late by as long as may be, or come twice.
struct World {
  explicit World(Fault f) : fault(f) {
    Order order;
    order.id = "o1";
    order.members = {"a", "b"};
    store.Apply(ChangeOrder(kKeys, order, 0));
    Win(0);
    for (auto& m : members) m.duty = Duty(StartOf(m));
  }

  struct Member {
    Duty duty{""};
    int starts = 1;
    bool drained = false;
    std::map<std::string, int> outs;  // By order.
  };
  struct Owner {
    Fence fence = 0;
    bool looked = false;
    Turn turn;
    Turn::Seen seen;  // As it looked last.
    coordination::Revision order_revision = 0;
  };
  struct Under {
    int to;
    Call call;
    int copies;
  };

  static std::string StartOf(const Member& m) { return "s" + std::to_string(m.starts); }
  static std::string NameOf(int m) { return m == 0 ? "a" : "b"; }

  const Entry* Find(const std::string& key) const {
    found = store.Get({key});
    return found.empty() ? nullptr : &found.front();
  }
  std::optional<Part> PartOf(int m) const {
    const Entry* e = Find(kKeys.PartOf("o1", NameOf(m)));
    return e == nullptr ? std::nullopt : std::optional(ParsePart(e->value));
  }

  void Win(int who) {
    Txn txn;
    txn.then = {{Operation::What::kDelete, {kKeys.Work()}}};
    store.Apply(txn);
    txn.then = {{Operation::What::kPut, {kKeys.Work()}, "owner"}};
    owners[who].fence = store.Apply(txn).revision;
    ++wins;
  }

  // What can happen now, as (what, who).
  std::vector<std::pair<char, int>> Open() const {
    std::vector<std::pair<char, int>> open;
    for (int o = 0; o < 2; ++o) {
      if (owners[o].fence == 0) continue;
      if (looks[o] < 2) open.emplace_back('l', o);
      // The first member's record has run out, though it lives.
      if (looks[o] < 2 && !missed) open.emplace_back('g', o);
      if (owners[o].looked) open.emplace_back('p', o);
    }
    if (wins < 2) open.emplace_back('w', 1);
    for (std::size_t u = 0; u < under.size(); ++u) open.emplace_back('d', static_cast<int>(u));
    for (int m = 0; m < 2; ++m) {
      if (SeesNews(m)) open.emplace_back('s', m);
      if (members[m].drained) open.emplace_back('e', m);
      if (restarts < 1 && members[m].drained) open.emplace_back('r', m);
    }
    return open;
  }
  bool SeesNews(int m) const {
    const auto part = PartOf(m);
    if (!part || part->back) return members[m].duty.out();
    return !members[m].drained;
  }

  std::vector<std::string> Moves() const {
    std::vector<std::string> moves;
    for (const auto& [what, who] : Open()) moves.push_back(what + std::to_string(who));
    return moves;
  }
  void Make(std::size_t move) {
    const auto [what, who] = Open()[move];
    if (what == 'l') Look(who);
    if (what == 'g') Miss(who);
    if (what == 'p') PlanOf(who);
    if (what == 'w') Win(who);
    if (what == 'd') Deliver(static_cast<std::size_t>(who));
    if (what == 's') See(who);
    if (what == 'e') End(who);
    if (what == 'r') Restart(who);
  }

  void Look(int o) {
    ++looks[o];
    Owner& owner = owners[o];
    owner.looked = true;
    const Entry* e = Find(kKeys.TheOrder());
    owner.seen.order = ParseOrder(e->value);
    owner.order_revision = e->modified;
    owner.seen.present = {"a", "b"};
    owner.seen.parts.clear();
    for (int m = 0; m < 2; ++m) {
      if (const auto part = PartOf(m)) owner.seen.parts.emplace(NameOf(m), *part);
    }
  }
  void Miss(int o) {
    missed = true;
    Look(o);
    owners[o].seen.present.erase("a");
  }
  void PlanOf(int o) {
    Owner& owner = owners[o];
    owner.looked = false;
    const auto say = owner.turn.Plan(0, owner.seen);
    for (const auto& c : say.calls) {
      under.push_back({c.member == "a" ? 0 : 1,
                       {"o1", owner.order_revision, owner.fence, c.slot},
                       made++ == 0 ? 2 : 1});
    }
    if (!say.end) return;
    Order order = owner.seen.order;
    order.state = *say.end;
    const bool done =
        store.Apply(EndOrder(kKeys, order, owner.order_revision, owner.fence)).succeeded;
    if (done && owner.fence != Find(kKeys.Work())->created) broken = "ended by a late owner";
  }
  void Deliver(std::size_t u) {
    const Under now = under[u];
    if (--under[u].copies == 0) under.erase(under.begin() + static_cast<std::ptrdiff_t>(u));
    Member& m = members[now.to];
    if (m.duty.OnCall(now.call) != Duty::Verdict::kTakeUp) return;
    Txn txn = TakePart(kKeys, NameOf(now.to), StartOf(m), now.call);
    if (fault == Fault::kNoFence) txn.compares.erase(txn.compares.begin());
    if (fault == Fault::kNoSlot) txn.compares.pop_back();
    const bool taken = store.Apply(txn).succeeded;
    if (taken && now.call.fence != Find(kKeys.Work())->created) broken = "a late call was accepted";
    // Its answer may be lost: then it has to show all the same.
    m.duty.OnTaken(now.call, false);
  }
  void See(int who) {
    Member& m = members[who];
    Take(who, m.duty.OnPart("o1", PartOf(who)));
  }
  void Take(int who, Duty::Step step) {
    Member& m = members[who];
    if (step == Duty::Step::kGoOut) {
      m.drained = true;
      if (++m.outs["o1"] > 1) broken = NameOf(who) + " is out twice";
      Count();
    }
    if (step == Duty::Step::kServe) m.drained = false;
    if (step == Duty::Step::kBringBack) {
      m.drained = false;
      const Entry* e = Find(kKeys.PartOf("o1", NameOf(who)));
      store.Apply(BringBack(kKeys, NameOf(who), "o1", ParsePart(e->value), e->modified));
    }
  }
  void End(int who) { Take(who, members[who].duty.OnDrained()); }
  // Killed while it was out; whoever keeps it running starts it again.
  void Restart(int who) {
    ++restarts;
    Member& m = members[who];
    ++m.starts;
    m.duty = Duty(StartOf(m));
    m.drained = false;
    if (fault == Fault::kForgetful) {
      Txn txn;
      txn.then = {{Operation::What::kDelete, {kKeys.PartOf("o1", NameOf(who))}},
                  {Operation::What::kDelete, {kKeys.Slot("o1", 0)}}};
      store.Apply(txn);
    }
  }
  void Count() {
    if (members[0].drained && members[1].drained) broken = "two are out at once";
  }

  std::string Broken() const { return broken; }
  std::string Key() const {
    std::string key = store.Words() + broken;
    for (int o = 0; o < 2; ++o) {
      const Owner& w = owners[o];
      key += " o" + std::to_string(w.fence) + '/' + std::to_string(looks[o]) +
             (w.looked ? "l" : "-") + std::to_string(w.seen.parts.size());
      for (const auto& [name, p] : w.seen.parts) key += name + (p.back ? "b" : "o");
      key += std::to_string(w.seen.present.size()) + (missed ? "!" : "") + (made == 0 ? "0" : "");
      key += (w.seen.order.open() ? "+" : ".") + w.turn.Words();
    }
    std::vector<std::string> calls;
    for (const Under& u : under) {
      calls.push_back(std::to_string(u.to) + TextOf(u.call) + std::to_string(u.copies));
    }
    std::sort(calls.begin(), calls.end());
    for (const std::string& c : calls) key += c;
    for (const Member& m : members) {
      key += " m" + std::to_string(m.starts) + (m.drained ? "d" : "-") + m.duty.Words();
    }
    return key;
  }

  Fault fault;
  Model store;
  mutable std::vector<Entry> found;
  std::array<Owner, 2> owners;
  std::array<int, 2> looks{};
  std::array<Member, 2> members;
  std::vector<Under> under;
  int wins = 0;
  int made = 0;  // Calls; the first comes twice.
  bool missed = false;
  int restarts = 0;
  std::string broken;
};

TEST(MaintenanceFleet, NoInterleavingPutsTwoOutOneOutTwiceOrObeysALateOwner) {
  const auto explored = storm::Explore(World(Fault::kNone), 2'000'000);
  std::string path;
  for (const auto& move : explored.path) path += move + ' ';
  EXPECT_EQ(explored.broken, "") << path;
  EXPECT_TRUE(explored.whole);
  EXPECT_GT(explored.states, 5'000U);
  RecordProperty("states", static_cast<int>(explored.states));
}

TEST(MaintenanceFleet, MutantsAreFound) {
  const std::map<Fault, std::string> mutants = {{Fault::kNoFence, "a late call was accepted"},
                                                {Fault::kNoSlot, "two are out at once"},
                                                {Fault::kForgetful, "a is out twice"}};
  for (const auto& [fault, found] : mutants) {
    const auto explored = storm::Explore(World(fault), 2'000'000);
    EXPECT_NE(explored.broken, "") << "mutant " << static_cast<int>(fault);
    if (fault != Fault::kForgetful) {
      EXPECT_EQ(explored.broken, found);
    }
  }
}

// Whatever a seed draws: once nothing more goes wrong, all have had their part and the order is
// done.
TEST(MaintenanceFleet, EveryDrawnHistoryEndsWithAllThatWasOrderedDone) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    World w(Fault::kNone);
    gaugecart::Draws draws(seed);
    for (int step = 0; step < 60; ++step) {
      const auto open = w.Open();
      if (open.empty()) break;
      const auto pick = static_cast<std::size_t>(draws.Unit() * static_cast<double>(open.size()));
      if (open[pick].first != 'l') w.Make(pick);
      ASSERT_EQ(w.broken, "") << "seed " << seed;
    }
    if (w.owners[1].fence == 0) w.Win(1);
    w.under.clear();
    for (int round = 0; round < 8; ++round) {
      w.owners[1].turn = Turn();  // As after any pause: calls are made again.
      w.Look(1);
      w.PlanOf(1);
      while (!w.under.empty()) w.Deliver(0);
      for (int m = 0; m < 2; ++m) {
        w.See(m);
        if (w.members[m].drained) w.End(m);
        w.See(m);
      }
    }
    EXPECT_EQ(ParseOrder(w.Find(kKeys.TheOrder())->value).state, State::kDone) << "seed " << seed;
    for (const auto& m : w.members) EXPECT_EQ(m.outs.at("o1"), 1) << "seed " << seed;
    ASSERT_EQ(w.broken, "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace maintenance
