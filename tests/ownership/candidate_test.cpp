// One owner at a time: all that can happen to two and three candidates, a store whose clock runs
// faster than theirs and whoever receives their effects; and thousands of drawn histories of more
// of them.
#include "ownership/candidate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <utility>

#include "coordination/model.h"
#include "mix.h"
#include "storm/explore.h"

namespace ownership {
namespace {

using coordination::Compare;
using coordination::Model;
using coordination::Operation;
constexpr Micros kSecond = 1'000'000;

// What the store does with a request.
Reply Carry(Model& model, Micros now, const std::string& name, const Request& r, Micros ttl) {
  model.Advance(now);
  Reply reply{r.id, 0, {}};
  const auto read = [&] {
    for (const auto& e : model.Get({"work"})) reply.holding = Holding{e.value, e.lease, e.created};
  };
  switch (r.ask) {
    case Ask::kGrant:
      reply.lease = model.Grant(now, ttl);
      break;
    case Ask::kKeepAlive:
      reply.lease = model.KeepAlive(now, r.lease) ? r.lease : 0;
      break;
    case Ask::kClaim:
      try {
        model.Apply({{{"work", Compare::Of::kCreated, Compare::Is::kEqual, 0}},
                     {{Operation::What::kPut, {"work"}, name, r.lease}}});
      } catch (const coordination::Refused&) {
        // Its lease is gone: nothing was done.
      }
      read();
      break;
    case Ask::kRead:
      read();
      break;
    case Ask::kRelease:
      model.Apply({{{"work", Compare::Of::kCreated, Compare::Is::kEqual, r.fence}},
                   {{Operation::What::kDelete, {"work"}}}});
      model.Revoke(r.lease);
      break;
  }
  return reply;
}

struct Faults {
  Micros margin = kSecond / 2;
  bool guarded = true;    // The receiver looks at fences.
  bool steps = false;     // The owner goes by a clock that is put back once.
  std::size_t count = 2;  // Candidates.
};

// Candidates; messages are carried, answered, or lost; time goes on; one stands still for a
// while; effects are under way for as long as may be.
struct World {
  struct Flying {
    enum class What { kRequest, kReply, kEffect } what;
    std::size_t who;
    Request request{};
    Reply reply{};
    Fence fence = 0;
  };
  struct Party {
    Candidate candidate;
    bool still = false;
    int effects = 1;
  };

  explicit World(const Faults& f) : faults(f) {
    for (std::size_t p = 0; p < f.count; ++p) {
      Terms terms;
      terms.name = std::string(1, static_cast<char>('a' + p));
      terms.ttl = TtlOf(p);
      terms.margin = f.margin;
      terms.spread = 0;
      terms.answer_within = 2 * kSecond;
      parties.push_back({Candidate(terms)});
    }
    watched.resize(f.count);
    // One owns the work when the others have come and seen that.
    for (Party& p : parties) {
      p.candidate.Start(now);
      Gather();
      while (!flying.empty()) {
        Message("deliver " + Name(0));
        Gather();
      }
    }
    EXPECT_TRUE(parties[0].candidate.Owns(now));
    // Its renewal does not get through: what is looked at is the end of its time.
    now = kSecond;
    parties[0].candidate.OnTimer(now);
    parties[0].candidate.TakeRequests();
  }
  // The store's clock runs a tenth faster than all others.
  Micros StoreNow() const { return now + now / 10; }
  // By the clock that the candidate goes by.
  Micros NowOf(std::size_t party) const { return party == 0 ? now - put_back : now; }
  bool Owns(std::size_t party) const { return parties[party].candidate.Owns(NowOf(party)); }

  // The others' leases outlast what is looked at: they act on what their watches tell.
  static Micros TtlOf(std::size_t party) { return (party == 0 ? 3 : 90) * kSecond; }

  std::vector<std::string> Moves() const {
    std::vector<std::string> moves;
    for (std::size_t i = 0; i < flying.size(); ++i) {
      const bool reply = flying[i].what == Flying::What::kReply;
      if ((reply && parties[flying[i].who].still) || !First(i)) continue;
      moves.push_back("deliver " + Name(i));
      if (reply && losses > 0) moves.push_back("lose " + Name(i));
    }
    for (std::size_t p = 0; p < parties.size(); ++p) {
      const std::string who(1, static_cast<char>('a' + p));
      if (!parties[p].still && parties[p].effects > 0 && Owns(p)) {
        moves.push_back("act " + who);
      }
      if (parties[p].still) moves.push_back("wake " + who);
      if (!parties[p].still && stops > 0 && Owns(p)) moves.push_back("stop " + who);
      if (p > 0 && watched[p] != model.revision()) moves.push_back("watch of " + who);
    }
    if (faults.steps && put_back == 0) moves.push_back("step");
    if (ticks > 0) moves.push_back("time");
    return moves;
  }

  void Make(std::size_t move) {
    const std::string name = Moves()[move];
    const std::size_t who = static_cast<std::size_t>(name.back() - 'a');
    if (name == "time") {
      Time();
    } else if (name == "step") {
      put_back = 2 * kSecond;
    } else if (name.substr(0, 5) == "watch") {
      watched[who] = model.revision();
      parties[who].candidate.OnChanged(now);
    } else if (name.substr(0, 3) == "act") {
      --parties[who].effects;
      flying.push_back({Flying::What::kEffect, who, {}, {}, parties[who].candidate.fence()});
    } else if (name.substr(0, 4) == "stop") {
      --stops;
      parties[who].still = true;
    } else if (name.substr(0, 4) == "wake") {
      parties[who].still = false;
      parties[who].candidate.OnTimer(NowOf(who));
    } else {
      Message(name);
    }
    Gather();
  }

  void Message(const std::string& name) {
    const std::string of = name.substr(name.find(' ') + 1);
    std::size_t i = 0;
    while (Name(i) != of) ++i;
    const Flying f = flying[i];
    flying.erase(flying.begin() + static_cast<std::ptrdiff_t>(i));
    if (name.front() == 'l') {
      --losses;
    } else if (f.what == Flying::What::kRequest) {
      const Reply reply = Carry(model, StoreNow(), std::string(1, static_cast<char>('a' + f.who)),
                                f.request, TtlOf(f.who));
      flying.push_back({Flying::What::kReply, f.who, f.request, reply});
    } else if (f.what == Flying::What::kReply) {
      parties[f.who].candidate.OnReply(NowOf(f.who), f.reply);
    } else if (guard.Accept(f.fence)) {
      Effect(f.fence);
    } else if (!faults.guarded) {
      Effect(f.fence);
    }
  }

  void Effect(Fence fence) {
    if (fence < last_effect) broken = "an effect of an earlier owner after one of a later";
    last_effect = std::max(last_effect, fence);
  }

  void Time() {
    --ticks;
    // The store's next, by the others' clocks, rounded up.
    Micros next = model.next() < kSecond * 1'000'000 ? (model.next() * 10 + 10) / 11 : model.next();
    for (std::size_t p = 0; p < parties.size(); ++p) {
      if (parties[p].still || parties[p].candidate.next() == Candidate::kNever) continue;
      next = std::min(next, parties[p].candidate.next() + (now - NowOf(p)));
    }
    now = std::max(now, next);
    model.Advance(StoreNow());
    for (std::size_t p = 0; p < parties.size(); ++p) {
      if (!parties[p].still) parties[p].candidate.OnTimer(NowOf(p));
    }
  }

  void Gather() {
    for (std::size_t p = 0; p < parties.size(); ++p) {
      for (const Request& r : parties[p].candidate.TakeRequests()) {
        flying.push_back({Flying::What::kRequest, p, r});
      }
    }
    std::size_t owners = 0;
    for (std::size_t p = 0; p < parties.size(); ++p) owners += Owns(p) ? 1 : 0;
    if (owners > 1) broken = "two owners at one instant";
  }

  // What one has sent is carried in its order, and so is what comes to it; effects go as they like.
  bool First(std::size_t i) const {
    if (flying[i].what == Flying::What::kEffect) return true;
    return std::none_of(
        flying.begin(), flying.begin() + static_cast<std::ptrdiff_t>(i),
        [&](const Flying& f) { return f.who == flying[i].who && f.what == flying[i].what; });
  }

  // Where nothing more goes wrong somebody owns again, within some lease times; also where no watch
  // tells anything any more.
  std::string Broken() const {
    if (!broken.empty() || !Moves().empty()) return broken;
    World healed = *this;
    for (int step = 0; step < 200; ++step) {
      for (std::size_t p = 0; p < parties.size(); ++p) {
        if (healed.Owns(p)) return {};
        healed.parties[p].still = false;
      }
      healed.Gather();
      if (healed.flying.empty()) {
        healed.Time();
      } else {
        healed.Message("deliver " + healed.Name(0));
      }
      healed.Gather();
    }
    return "nobody owns again";
  }
  std::string Name(std::size_t i) const {
    const Flying& f = flying[i];
    const std::string who(1, static_cast<char>('a' + f.who));
    if (f.what == Flying::What::kEffect) return "effect of " + who;
    return (f.what == Flying::What::kRequest ? "request " : "reply ") +
           std::to_string(f.request.id) + " of " + who;
  }
  std::string Key() const {
    std::array<std::string, 3> names;  // Each one's, in its order.
    for (std::size_t i = 0; i < flying.size(); ++i) {
      const Flying& f = flying[i];
      std::string name =
          Name(i) + '/' + std::to_string(f.reply.lease) + '/' + std::to_string(f.fence);
      if (f.reply.holding) name += f.reply.holding->name + std::to_string(f.reply.holding->fence);
      names.at(f.who) += ' ' + name;
    }
    std::string key = std::to_string(now) + model.Words() + std::to_string(losses) +
                      std::to_string(stops) + std::to_string(ticks) + std::to_string(put_back) +
                      std::to_string(guard.seen()) + '/' + std::to_string(last_effect);
    // Those after the first are alike but for their names, and so are states in which they have
    // changed places. (Leases are numbered as they are given: where those differ, nothing is
    // folded.)
    std::vector<std::string> each;
    for (std::size_t p = 0; p < parties.size(); ++p) {
      const Party& party = parties[p];
      each.push_back('|' + party.candidate.Words() + (party.still ? " still " : " ") +
                     std::to_string(party.effects) + std::to_string(watched[p]) + names.at(p));
    }
    key += each.front();
    const auto others = [&](bool swapped) {
      std::string text = key;
      for (std::size_t p = 1; p < each.size(); ++p) text += each[swapped ? each.size() - p : p];
      if (!swapped) return text;
      for (char& c : text) c = c == 'b' ? 'c' : c == 'c' ? 'b' : c;
      return text;
    };
    return each.size() < 3 ? others(false) : std::min(others(false), others(true));
  }

  Faults faults;
  Micros now = 0;
  Model model;
  std::vector<Party> parties;
  std::vector<Flying> flying;
  FenceGuard guard;
  Fence last_effect = 0;
  int losses = 1;
  int stops = 1;
  int ticks = 2;  // To the end by its own clock, to that of the lease.
  std::vector<coordination::Revision> watched;  // By party.
  Micros put_back = 0;                          // The first one's clock, where it is put back.
  std::string broken;
};

constexpr std::size_t kMost = 150'000;

World Small(const Faults& faults, int losses, int stops) {
  World world(faults);
  world.losses = losses;
  world.stops = stops;
  return world;
}

TEST(Ownership, InAllThatCanHappenThereAreNeverTwoOwnersNorALateEffect) {
  for (const auto& [losses, stops] :
       {std::pair(1, 0), std::pair(0, 1), std::pair(1, 1), std::pair(2, 1)}) {
    const storm::Explored e = storm::Explore(Small({}, losses, stops), kMost);
    EXPECT_EQ(e.broken, "") << ::testing::PrintToString(e.path);
    EXPECT_GT(e.states, 1'000U);
    RecordProperty("states_" + std::to_string(losses) + std::to_string(stops),
                   static_cast<int>(e.states));
    EXPECT_TRUE(e.whole) << losses << ' ' << stops << ' ' << e.states;
  }
}

TEST(Ownership, NeitherIsThereWithThreeCandidates) {
  Faults faults;
  faults.count = 3;
  const storm::Explored e = storm::Explore(Small(faults, 0, 0), kMost);
  EXPECT_EQ(e.broken, "") << ::testing::PrintToString(e.path);
  EXPECT_TRUE(e.whole) << e.states;
  RecordProperty("states", static_cast<int>(e.states));
}

TEST(Ownership, WithoutAMarginAStoreWhoseClockRunsFasterMakesTwoOwners) {
  Faults faults;
  faults.margin = 0;
  EXPECT_EQ(storm::Explore(Small(faults, 0, 0), kMost).broken, "two owners at one instant");
}

TEST(Ownership, AClockThatIsPutBackMakesTwoOwners) {
  Faults faults;
  faults.steps = true;
  EXPECT_EQ(storm::Explore(Small(faults, 0, 0), kMost).broken, "two owners at one instant");
}

TEST(Ownership, AReceiverThatDoesNotLookTakesALateEffect) {
  Faults faults;
  faults.guarded = false;
  EXPECT_EQ(storm::Explore(Small(faults, 0, 0), kMost).broken,
            "an effect of an earlier owner after one of a later");
}

// ---- One thing at a time ----

// A candidate and a store that answers at once.
struct Direct {
  explicit Direct(Model& m, const std::string& n, std::uint64_t seed = 1)
      : model(m), name(n), candidate(TermsOf(n, seed)) {}
  static Terms TermsOf(const std::string& n, std::uint64_t seed) {
    Terms terms;
    terms.name = n;
    terms.seed = seed;
    return terms;
  }
  // `drop`: the answer to such a request is lost, its effect is not.
  void Run(Micros now, std::optional<Ask> drop = {}) {
    for (bool more = true; more;) {
      more = false;
      for (const Request& r : candidate.TakeRequests()) {
        const Reply reply = Carry(model, now, name, r, 5 * kSecond);
        if (drop == r.ask) continue;
        candidate.OnReply(now, reply);
        more = true;
      }
    }
  }
  // Until then, timer by timer.
  void Until(Micros now, std::optional<Ask> drop = {}) {
    while (candidate.next() <= now) {
      candidate.OnTimer(candidate.next());
      Run(now, drop);
    }
    candidate.OnTimer(now);
    Run(now, drop);
  }

  Model& model;
  std::string name;
  Candidate candidate;
};

TEST(Candidate, AClaimWhoseAnswerIsLostIsReadBackAndCounts) {
  Model model;
  Direct a(model, "a");
  a.candidate.Start(0);
  a.Run(0);
  a.Until(600'000, Ask::kClaim);
  EXPECT_FALSE(a.candidate.Owns(600'000));  // Nobody has told it.
  ASSERT_EQ(model.Get({"work"}).size(), 1U);
  a.Until(2 * kSecond);
  EXPECT_TRUE(a.candidate.Owns(2 * kSecond));
  EXPECT_EQ(a.candidate.fence(), model.Get({"work"}).at(0).created);
}

TEST(Candidate, KeepsTheWorkWhileItsLeaseIsRenewedAndActsOnlyAsLongAsThatHolds) {
  Model model;
  Direct a(model, "a");
  a.candidate.Start(0);
  a.Run(0);
  for (Micros now = kSecond / 4; now <= 60 * kSecond; now += kSecond / 4) a.Until(now);
  EXPECT_TRUE(a.candidate.Owns(60 * kSecond));
  EXPECT_TRUE(a.candidate.Owns(60 * kSecond, 2 * kSecond));
  EXPECT_FALSE(a.candidate.Owns(60 * kSecond, 5 * kSecond));  // An act that long is to be cut.
  // The store is gone: it stops by its own clock, before the lease runs out there.
  const Micros until = model.next();
  Micros now = 60 * kSecond;
  while (a.candidate.Owns(now)) {
    now += kSecond / 10;
    a.candidate.OnTimer(now);
    a.candidate.TakeRequests();
  }
  EXPECT_LE(now, until - Terms().margin + kSecond / 10);
}

TEST(Candidate, LeavingHandsOverAtOnceAndALaterFenceIsHigher) {
  Model model;
  Direct a(model, "a", 1);
  Direct b(model, "b", 2);
  a.candidate.Start(0);
  a.Run(0);
  a.Until(kSecond);
  ASSERT_TRUE(a.candidate.Owns(kSecond));
  b.candidate.Start(kSecond);
  b.Run(kSecond);
  b.Until(2 * kSecond);
  EXPECT_FALSE(b.candidate.Owns(2 * kSecond));
  a.candidate.Leave(2 * kSecond);
  EXPECT_FALSE(a.candidate.Owns(2 * kSecond));
  a.Run(2 * kSecond);
  b.candidate.OnChanged(2 * kSecond);
  b.Run(2 * kSecond);
  b.Until(2 * kSecond + 500'000);  // The drawn time.
  EXPECT_TRUE(b.candidate.Owns(2 * kSecond + 500'000));
  EXPECT_GT(b.candidate.fence(), a.candidate.fence());
  a.Until(30 * kSecond);
  EXPECT_FALSE(a.candidate.Owns(30 * kSecond));  // It has left.
}

TEST(Candidate, OneThatKeepsLosingTheWorkYieldsItLongerEachTime) {
  Model model;
  Direct a(model, "a");
  a.candidate.Start(0);
  a.Run(0);
  Micros now = 0;
  std::vector<Micros> waits;
  for (int i = 0; i < 3; ++i) {
    while (!a.candidate.Owns(now)) a.Until(now += kSecond / 10);
    now += 30 * kSecond;  // It stood still beyond its lease.
    const Micros woke = now;
    a.Until(now);
    while (!a.candidate.Owns(now)) a.Until(now += kSecond / 10);
    waits.push_back(now - woke);
  }
  EXPECT_GE(waits[0], 5 * kSecond);
  EXPECT_GE(waits[1], 10 * kSecond);
  EXPECT_GE(waits[2], 20 * kSecond);
}

// Else whoever keeps its timer would run in a circle.
TEST(Candidate, IsNeverDueAgainWhileItWaits) {
  Model model;
  Direct a(model, "a");
  a.candidate.Start(0);
  a.Run(0);
  a.Until(kSecond);
  for (Micros now = kSecond; now < 20 * kSecond;) {
    a.candidate.OnTimer(now);
    a.candidate.TakeRequests();  // The store does not answer.
    ASSERT_GT(a.candidate.next(), now);
    now = a.candidate.next();
  }
}

// ---- Drawn histories ----

// Five candidates over a lossy way to the store; they are stopped, and some leave and are replaced.
TEST(Ownership, InThousandsOfDrawnHistoriesThereIsOneOwnerAndThereIsOneMostOfTheTime) {
  std::uint64_t owned = 0;
  std::uint64_t looked = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::uint64_t state = gaugecart::Mix(seed);
    const auto draw = [&state] { return gaugecart::Unit(gaugecart::Mix(state += 0x9e37)); };
    struct Late {
      Micros at;
      std::size_t who;
      Request request;
      std::optional<Reply> reply;
    };
    Model model;
    std::vector<Late> late;
    std::vector<Candidate> all;
    std::vector<Micros> still_until(5, 0);
    for (std::size_t i = 0; i < 5; ++i) {
      Terms terms;
      terms.name = "c" + std::to_string(i);
      terms.seed = seed * 10 + i;
      all.emplace_back(terms).Start(0);
    }
    FenceGuard guard;
    for (Micros now = 0; now <= 40 * kSecond; now += 50'000) {
      std::size_t owners = 0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        if (now < still_until[i]) continue;
        if (draw() < 0.002) still_until[i] = now + static_cast<Micros>(draw() * 12e6);
        all[i].OnTimer(now);
        for (const Request& r : all[i].TakeRequests()) {
          if (draw() < 0.1) continue;  // Lost on its way there.
          late.push_back({now + static_cast<Micros>(draw() * 400e3), i, r, {}});
        }
      }
      for (std::size_t k = 0; k < late.size();) {
        if (late[k].at > now) {
          ++k;
          continue;
        }
        const Late l = late[k];
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(k));
        if (l.reply) {
          if (now >= still_until[l.who]) all[l.who].OnReply(now, *l.reply);
        } else if (const Reply reply =
                       Carry(model, now, "c" + std::to_string(l.who), l.request, 5 * kSecond);
                   draw() >= 0.1) {
          late.push_back({now + static_cast<Micros>(draw() * 400e3), l.who, l.request, reply});
        }
      }
      for (const Candidate& c : all) {
        if (!c.Owns(now)) continue;
        ++owners;
        ASSERT_TRUE(guard.Accept(c.fence())) << "seed " << seed;
      }
      ASSERT_LE(owners, 1U) << "seed " << seed << " at " << now;
      owned += now > 10 * kSecond ? owners : 0;
      looked += now > 10 * kSecond ? 1 : 0;
    }
  }
  EXPECT_GT(owned * 10, looked * 7);
}

}  // namespace
}  // namespace ownership
