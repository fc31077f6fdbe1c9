// The list from peers: messages that are not in form are left out; whatever becomes of messages, a
// list is taken whole, by its version and within its age; and a fleet that knows spreads what it
// knows to those that do not.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/virtual.h"
#include "peers/answerer.h"
#include "peers/channel.h"
#include "peers/inquiry.h"
#include "peers/message.h"
#include "storm/explore.h"

namespace peers {
namespace {

constexpr Micros kSecond = 1'000'000;

// Of a few parts, and unlike that of any other version.
std::string TextOf(std::int64_t version, std::size_t size = 2500) {
  std::string text = "list " + std::to_string(version) + ' ';
  while (text.size() < size) text += static_cast<char>('a' + (version + text.size() / 7) % 26);
  return text;
}

Answerer AnswererOf(std::int64_t version, Micros held_at, std::size_t size = 2500) {
  Answerer answerer;
  answerer.SetList(version, held_at, [=] { return TextOf(version, size); });
  return answerer;
}

Message AskOf(const Question& q) {
  Message ask;
  ask.nonce = q.nonce;
  ask.version = q.version;
  ask.part = q.part;
  return ask;
}

TEST(PeerMessage, ComesBackAsItWasAndNothingElseIsRead) {
  Message m;
  m.kind = Kind::kPart;
  m.fleet = 0x1234567890abcdef;
  m.nonce = 7;
  m.version = 81;
  m.age = 1'500'001;
  m.parts = 3;
  m.part = 2;
  m.checksum = 99;
  m.bytes = "tail";
  const std::string bytes = Encode(m);
  const auto read = Decode(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->fleet, m.fleet);
  EXPECT_EQ(read->version, 81);
  EXPECT_EQ(read->age, 1'501'000);  // Never younger than it was.
  EXPECT_EQ(read->part, 2);
  EXPECT_EQ(read->bytes, "tail");
  for (std::size_t size = 0; size < bytes.size() - 3; ++size) {
    EXPECT_FALSE(Decode(bytes.substr(0, size))) << size;
  }
  m.part = 3;
  EXPECT_FALSE(Decode(Encode(m)));  // Past the end.
  m.part = 1;
  EXPECT_FALSE(Decode(Encode(m)));  // Not the last, and not full.
  m.kind = Kind::kAsk;
  EXPECT_FALSE(Decode(Encode(m)));  // A question brings nothing.
  std::string wild = bytes;
  wild[4] = 9;
  EXPECT_FALSE(Decode(wild));
  wild = bytes;
  wild[0] = 'X';
  EXPECT_FALSE(Decode(wild));
}

TEST(PeerMessage, PartsAddUpToTheText) {
  for (const std::size_t size : {1U, 1199U, 1200U, 1201U, 2400U, 5000U}) {
    const std::string text(size, 'x');
    std::string whole;
    for (std::uint16_t part = 0; part < PartsOf(text); ++part) whole += PartOf(text, part);
    EXPECT_EQ(whole, text);
  }
}

TEST(Answering, OnlyWhatItHasAndSoOftenAndNoOftener) {
  Answerer answerer = AnswererOf(5, 0);
  EXPECT_EQ(answerer.Answer(kSecond, AskOf({0, 1, 4, 0}))->kind, Kind::kNone);
  EXPECT_EQ(answerer.Answer(kSecond, AskOf({0, 1, 5, 3}))->kind, Kind::kNone);
  const auto part = answerer.Answer(kSecond, AskOf({0, 1, 0, 2}));
  ASSERT_EQ(part->kind, Kind::kPart);
  EXPECT_EQ(part->version, 5);
  EXPECT_EQ(part->age, kSecond);
  EXPECT_EQ(Answerer().Answer(0, AskOf({0, 1, 0, 0}))->kind, Kind::kNone);
  int answers = 0;
  for (int i = 0; i < 20'000; ++i) {
    answers += answerer.Answer(kSecond, AskOf({0, 1, 0, 0})) ? 1 : 0;
  }
  EXPECT_EQ(answers, kMostAnswers / 10 - 3);
  for (int i = 0; i < 100; ++i) {
    answers += answerer.Answer(kSecond + i * 10'000, AskOf({0, 1, 0, 0})) ? 1 : 0;
  }
  EXPECT_EQ(answers, kMostAnswers / 10 - 3 + 99);
}

// ---- All that can happen to a few messages ----

// One that knows version 4 and two that offer 5 and 7; some messages are lost or come twice, one
// peer moves on while it is asked, time passes.
struct SmallWorld {
  struct Flying {
    bool reply;
    std::size_t peer;
    Question question;
    Message message;
  };

  explicit SmallWorld(std::optional<std::int64_t> knows) : known(knows), inquiry(TermsOf()) {
    inquiry.Begin(now, knows);
    if (knows) inquiry.OnDiscoveryFailed(now);
    Gather();
  }
  static Terms TermsOf() { return {2, 11, 20 * kSecond, 10 * kSecond}; }

  std::vector<std::string> Moves() const {
    std::vector<std::string> moves;
    if (over) return moves;
    for (std::size_t i = 0; i < flying.size(); ++i) moves.push_back("deliver " + Name(i));
    if (losses > 0) {
      for (std::size_t i = 0; i < flying.size(); ++i) moves.push_back("lose " + Name(i));
    }
    if (repeats > 0) {
      for (std::size_t i = 0; i < flying.size(); ++i) moves.push_back("repeat " + Name(i));
    }
    if (inquiry.next() != Inquiry::kNever && rounds > 0) moves.push_back("timer");
    if (!moved) moves.push_back("the second moves on");
    return moves;
  }

  void Make(std::size_t move) {
    const std::string name = Moves()[move];
    if (name == "timer") {
      now = std::max(now, inquiry.next());
      --rounds;
      inquiry.OnTimer(now);
    } else if (name == "the second moves on") {
      moved = true;
      peers[1] = AnswererOf(8, now, kSize);
    } else {
      const std::size_t n = flying.size();
      const std::size_t which = move % n;
      if (move < n) return Deliver(which);
      if (name.front() == 'l') {
        --losses;
        flying.erase(flying.begin() + static_cast<std::ptrdiff_t>(which));
        return;
      }
      --repeats;
      const Flying again = flying[which];
      flying.push_back(again);
      return;
    }
    Gather();
  }

  void Deliver(std::size_t which) {
    const Flying f = flying[which];
    flying.erase(flying.begin() + static_cast<std::ptrdiff_t>(which));
    if (f.reply) {
      inquiry.OnReply(now, f.peer, f.message);
      return Gather();
    }
    if (const auto reply = peers[f.peer].Answer(now, AskOf(f.question))) {
      flying.push_back({true, f.peer, f.question, *reply});
    }
  }

  void Gather() {
    for (const Question& q : inquiry.TakeQuestions()) flying.push_back({false, q.peer, q, {}});
    if (const auto heard = inquiry.TakeHeard()) {
      if (known && heard->version <= *known) broken = "an older list over a newer";
      if (heard->text != TextOf(heard->version, kSize)) broken = "a list of several versions";
      const Micros truly = heard->version == 5 ? 0 : heard->version == 7 ? 5 * kSecond : now;
      if (heard->held_at > truly) broken = "a list called younger than it is";
      if (now - heard->held_at > TermsOf().list_age) broken = "a list beyond its age";
      known = heard->version;
      over = true;
    }
  }

  std::string Broken() const { return broken; }
  std::string Name(std::size_t i) const {
    const Flying& f = flying[i];
    return (f.reply ? "reply " : "ask ") + std::to_string(f.peer) + '/' +
           std::to_string(f.question.part) + '#' + std::to_string(f.question.nonce % 1000);
  }
  // What is to come follows from all moves made that are not alike: time, what flies, what is left.
  std::string Key() const {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < flying.size(); ++i) {
      names.push_back(Name(i) + 'v' + std::to_string(flying[i].message.version));
    }
    std::sort(names.begin(), names.end());
    std::string key = std::to_string(now) + '|' + std::to_string(inquiry.next()) + '|' +
                      std::to_string(losses) + std::to_string(repeats) + std::to_string(rounds) +
                      std::to_string(moved) + std::to_string(over) + '|' + Seen();
    for (const auto& name : names) key += ' ' + name;
    return key;
  }
  std::string Seen() const { return known ? std::to_string(*known) : "none"; }

  static constexpr std::size_t kSize = 1500;  // Two parts.
  Micros now = 10 * kSecond;
  std::optional<std::int64_t> known;
  Inquiry inquiry;
  std::vector<Answerer> peers{AnswererOf(5, 0, kSize), AnswererOf(7, 5 * kSecond, kSize)};
  std::vector<Flying> flying;
  int losses = 1;
  int repeats = 1;
  int rounds = 2;  // Times that its timer may fire.
  bool moved = false;
  bool over = false;
  std::string broken;
};

TEST(Asking, WhateverBecomesOfMessagesAListIsTakenWholeAndByItsVersion) {
  for (const auto knows : {std::optional<std::int64_t>(), std::optional<std::int64_t>(6)}) {
    const storm::Explored e = storm::Explore(SmallWorld(knows), 60'000);
    EXPECT_EQ(e.broken, "") << ::testing::PrintToString(e.path);
    EXPECT_GT(e.states, 1'000U);
    EXPECT_TRUE(e.whole) << e.states;
  }
}

// The explorer finds a fault that is there: peers that lie about versions.
TEST(Asking, TheExplorerTellsWhatLedToABrokenPromise) {
  SmallWorld world{std::optional<std::int64_t>()};
  world.peers[1].SetList(7, 30 * kSecond,
                         [] { return TextOf(7, 1500); });  // Held in times to come.
  const storm::Explored e = storm::Explore(world, 60'000);
  EXPECT_EQ(e.broken, "a list called younger than it is");
  ASSERT_FALSE(e.path.empty());
}

TEST(Asking, StopsOnceDiscoveryAnswersAndBeginsWhenItFails) {
  Inquiry inquiry({4, 3, 300 * kSecond, 10 * kSecond});
  inquiry.Begin(0, std::nullopt);
  EXPECT_EQ(inquiry.TakeQuestions().size(), kAskedAtOnce);
  inquiry.OnDiscoveryAnswered(9);
  EXPECT_EQ(inquiry.next(), Inquiry::kNever);
  inquiry.OnDiscoveryFailed(kSecond);
  ASSERT_LE(inquiry.next(), kSecond + kLongestPause);
  inquiry.OnTimer(inquiry.next());
  const auto asked = inquiry.TakeQuestions();
  ASSERT_EQ(asked.size(), kAskedAtOnce);
  // What is no newer than its own list is not got.
  Answerer same = AnswererOf(9, 0);
  for (const Question& q : asked) {
    EXPECT_TRUE(inquiry.OnReply(2 * kSecond, q.peer, *same.Answer(2 * kSecond, AskOf(q))));
    EXPECT_FALSE(inquiry.OnReply(2 * kSecond, q.peer, *same.Answer(2 * kSecond, AskOf(q))));
  }
  EXPECT_TRUE(inquiry.TakeQuestions().empty());
  EXPECT_FALSE(inquiry.TakeHeard());
  // Not again before its span, and drawn around that.
  EXPECT_GE(inquiry.next(), 7 * kSecond);
  EXPECT_LE(inquiry.next(), 17 * kSecond);
}

TEST(Asking, AListBeyondItsAgeIsNotTakenNorOneThatAgesOnTheWay) {
  for (const bool on_the_way : {false, true}) {
    Inquiry inquiry({1, 3, 20 * kSecond, 10 * kSecond});
    Answerer peer = AnswererOf(9, 0);
    const Micros start = on_the_way ? 20 * kSecond - 100 : 21 * kSecond;
    inquiry.Begin(start, std::nullopt);
    Micros now = start;
    for (int i = 0; i < 10; ++i) {
      for (const Question& q : inquiry.TakeQuestions()) {
        now += 100;
        inquiry.OnReply(now, 0, *peer.Answer(now, AskOf(q)));
      }
    }
    EXPECT_FALSE(inquiry.TakeHeard());
  }
}

// ---- Fleets on the virtual network ----

struct FleetOfPeers {
  struct Member {
    std::unique_ptr<net::VirtualProcess> process;
    std::unique_ptr<Channel> channel;
    std::optional<std::int64_t> version;
    Micros since = -1;  // When it first knew.
  };

  FleetOfPeers(std::uint64_t seed, std::size_t count) : net(seed), members(count) {
    for (std::size_t i = 0; i < count; ++i) Start(i, seed);
  }
  ~FleetOfPeers() {
    for (Member& m : members) m.channel.reset();
    net.Clear();
  }
  FleetOfPeers(const FleetOfPeers&) = delete;
  FleetOfPeers& operator=(const FleetOfPeers&) = delete;

  static net::Address AddressOf(std::size_t i) {
    return net::Address::V4(0x0a000001 + static_cast<std::uint32_t>(i), 4100);
  }

  void Start(std::size_t i, std::uint64_t seed) {
    Member& m = members[i];
    m.process = std::make_unique<net::VirtualProcess>(
        net, 0x0a000001 + static_cast<std::uint32_t>(i), "p" + std::to_string(i), 64);
    Channel::Setup setup;
    setup.listen = AddressOf(i);
    for (std::size_t j = 0; j < members.size(); ++j) {
      if (j != i) setup.others.push_back(AddressOf(j));
    }
    setup.fleet = 1;
    setup.terms = {0, seed * 100 + i, 20 * kSecond, 10 * kSecond};
    m.channel = std::make_unique<Channel>(
        *m.process, setup, [this, i](const Heard& heard) { return OnHeard(i, heard); });
  }

  bool OnHeard(std::size_t i, const Heard& heard) {
    Member& m = members[i];
    if (m.version && heard.version <= *m.version) broken.insert("an older list over a newer");
    if (heard.text != TextOf(heard.version, kSize)) broken.insert("another text");
    if (heard.held_at > held.at(static_cast<std::size_t>(heard.version))) {
      broken.insert("called younger than it is");
    }
    if (Now() - heard.held_at > 20 * kSecond) broken.insert("beyond its age");
    Know(i, heard.version, heard.held_at);
    return true;
  }

  void Know(std::size_t i, std::int64_t version, Micros held_at) {
    Member& m = members[i];
    if (!m.version) m.since = Now();
    m.version = version;
    m.channel->answerer().SetList(version, held_at, [=] { return TextOf(version, kSize); });
  }

  // Discovery tells it.
  void Tell(std::size_t i, std::int64_t version) {
    held.resize(std::max(held.size(), static_cast<std::size_t>(version) + 1));
    held[static_cast<std::size_t>(version)] = Now();
    members[i].channel->OnDiscoveryAnswered(version);
    Know(i, version, Now());
  }

  Micros Now() const { return members.front().process->LastingMicros(); }

  static constexpr std::size_t kSize = 9000;
  net::VirtualNet net;
  std::vector<Member> members;
  std::vector<Micros> held;  // By version, when discovery last told it.
  std::set<std::string> broken;
};

TEST(PeersFleet, SevenInTenLearnFromTheRestWithinASecondThoughManyMessagesAreLost) {
  std::vector<Micros> last;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    FleetOfPeers fleet(seed, 20);
    net::Weather weather;
    weather.lose = 0.1;
    weather.repeat = 0.1;
    weather.late = 0.1;
    fleet.net.SetWeather(weather);
    for (std::size_t i = 0; i < 6; ++i) fleet.Tell(i, i < 3 ? 5 : 6);
    for (std::size_t i = 6; i < 20; ++i) fleet.members[i].channel->Begin(std::nullopt);
    fleet.net.RunUntil(net::Time(std::chrono::seconds(4)));
    EXPECT_TRUE(fleet.broken.empty()) << *fleet.broken.begin() << ", seed " << seed;
    Micros slowest = 0;
    for (const auto& m : fleet.members) {
      ASSERT_TRUE(m.version) << seed;
      slowest = std::max(slowest, m.since);
    }
    last.push_back(slowest);
  }
  std::sort(last.begin(), last.end());
  EXPECT_LT(last[last.size() / 2], 700'000);
  EXPECT_LT(last[last.size() * 9 / 10], 1'200'000);
}

// Members are killed and started, cut off and told anew at drawn times.
TEST(PeersFleet, ThroughDeathsCutsAndNewListsNobodyTakesWhatItMustNot) {
  std::uint64_t heard = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    FleetOfPeers fleet(seed, 6);
    shelflab::Random random(seed, 0x9ee5);
    net::Weather weather;
    weather.lose = 0.2;
    weather.repeat = 0.2;
    weather.late = 0.3;
    fleet.net.SetWeather(weather);
    std::int64_t version = 1;
    fleet.Tell(0, version);
    for (std::size_t i = 1; i < 6; ++i) fleet.members[i].channel->Begin(std::nullopt);
    for (int step = 1; step <= 40; ++step) {
      fleet.net.RunUntil(net::Time(std::chrono::milliseconds(700 * step)));
      const auto i = static_cast<std::size_t>(random.Between(0, 6));
      auto& member = fleet.members[i];
      const double what = random.Between(0, 1);
      if (what < 0.25) {
        heard += member.channel->counts().taken;
        member.channel.reset();
        member.process->Kill();
        member.version.reset();
        member.process.reset();
        fleet.Start(i, seed * 50 + static_cast<std::uint64_t>(step));
        member.channel->Begin(std::nullopt);
      } else if (what < 0.5) {
        fleet.Tell(i, random.Chance(0.5) ? ++version : version);
        member.channel->OnDiscoveryFailed();
      } else if (what < 0.7) {
        fleet.net.SetCutOff(member.process->host(), true);
      } else {
        fleet.net.SetCutOff(member.process->host(), false);
        member.channel->OnDiscoveryFailed();
      }
    }
    ASSERT_TRUE(fleet.broken.empty()) << *fleet.broken.begin() << ", seed " << seed;
    for (const auto& m : fleet.members) heard += m.channel->counts().taken;
  }
  EXPECT_GT(heard, 500U);
}

TEST(PeersFleet, WhatIsNotAPeersIsCountedAndDropped) {
  FleetOfPeers fleet(1, 2);
  fleet.Tell(0, 3);
  net::VirtualProcess other(fleet.net, 0x0a000063, "other", 64);
  const auto stranger = other.Bind(net::Address::V4(0x0a000063, 4100),
                                   [](auto&, auto) { ADD_FAILURE() << "a stranger was answered"; });
  Message ask;
  ask.fleet = 1;
  stranger->Send(FleetOfPeers::AddressOf(0), Encode(ask));
  auto& one = fleet.members[1];
  one.channel.reset();  // Its address is free.
  int replies = 0;
  const auto peer = one.process->Bind(FleetOfPeers::AddressOf(1),
                                      [&](const net::Address&, std::string_view) { ++replies; });
  peer->Send(FleetOfPeers::AddressOf(0), "wild");
  ask.fleet = 2;
  peer->Send(FleetOfPeers::AddressOf(0), Encode(ask));
  ask.fleet = 1;
  peer->Send(FleetOfPeers::AddressOf(0), Encode(ask));
  ask.kind = Kind::kNone;
  peer->Send(FleetOfPeers::AddressOf(0), Encode(ask));
  fleet.net.RunUntil(net::Time(std::chrono::seconds(1)));
  const Counts& counts = fleet.members[0].channel->counts();
  EXPECT_EQ(counts.strange, 1U);
  EXPECT_EQ(counts.malformed, 1U);
  EXPECT_EQ(counts.foreign, 1U);
  EXPECT_EQ(counts.answered, 1U);
  EXPECT_EQ(counts.unasked, 1U);
  EXPECT_EQ(replies, 1);
}

}  // namespace
}  // namespace peers
