// Members that were away while changes were made and come back with an old disk, are ended again in
// the middle of their catch-up, and then lose the others: seeded runs over real hubs.
//
//   tier_return_test [-- FIRST COUNT]
#define BOOST_TEST_MODULE coordination_return
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "coordination/cluster.h"
#include "emulator/random.h"

namespace shelflink::coordination {
namespace {

constexpr std::size_t kDocuments = 24;
constexpr std::size_t kDocumentBytes = 30'000;  // Of one; together more than a few messages.
constexpr std::size_t kChanges = 40;
constexpr milliseconds kAcknowledgeWithin{6000};

class Return {
 public:
  explicit Return(std::uint64_t seed) : seed_(seed), random_(seed), cluster_(3 + seed % 2, seed) {
    net::Weather weather;
    weather.latency_high = milliseconds(1 + static_cast<int>(random_.Below(8)));
    cluster_.net.SetWeather(weather);
  }

  void Play() {
    cluster_.StartAll();
    for (std::size_t i = 0; i < kDocuments; ++i) Change(i);
    cluster_.Run(seconds(2));
    victim_ = &Victim();
    const std::size_t missed = std::vector<std::size_t>{kChanges, kChanges / 2, 2}[seed_ % 3];
    ChangeAny(kChanges - missed);
    victim_->Stop(random_.Below(4));
    ChangeAny(missed);
    victim_->Start(false);
    for (int twice = 0; twice < 2; ++twice) {
      MeanwhileFor(milliseconds(random_.Below(600)));
      victim_->Stop(random_.Below(6));
      victim_->Start(false);
    }
    MeanwhileFor(milliseconds(random_.Below(600)));
    switch (random_.Below(3)) {
      case 0:
        LoseTheOthersForATime();
        break;
      case 1:
        LoseADiskOnceItIsNamed();
        break;
      default:
        LoseThePrimary();
        break;
    }
    cluster_.Run(seconds(6));
    CheckAll();
  }
  net::Span longest() const { return longest_; }

 private:
  Machine& Victim() {
    if (random_.Below(2) == 0) return cluster_.ThePrimary();
    return cluster_.Other(cluster_.ThePrimary());
  }
  std::string NewValue() {
    const std::string head = std::to_string(++values_) + " ";
    return head + std::string(kDocumentBytes / 2 + random_.Below(kDocumentBytes),
                              static_cast<char>('a' + random_.Below(26)));
  }
  void Change(std::size_t document) {
    const std::string key = "document/" + std::to_string(document);
    const std::string value = NewValue();
    const net::Time before = cluster_.net.Now();
    BOOST_REQUIRE_MESSAGE(cluster_.Put(key, value, kAcknowledgeWithin),
                          "seed " << seed_ << ": not acknowledged");
    longest_ = std::max(longest_, cluster_.net.Now() - before);
    taken_[key] = value;
    NeverLeadsBehind();
  }
  void ChangeAny(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) Change(random_.Below(kDocuments));
  }
  void MeanwhileFor(net::Span span) {
    const net::Time until = cluster_.net.Now() + span;
    while (cluster_.net.Now() < until) {
      ChangeAny(1);
      cluster_.Run(milliseconds(random_.Below(20)));
    }
  }
  // Whoever leads has every acknowledged change.
  void NeverLeadsBehind() {
    for (auto& machine : cluster_.machines) {
      if (!machine->up() || !machine->group().is_primary()) continue;
      for (const auto& [key, value] : taken_) {
        const auto found = machine->group().contents().find(key);
        BOOST_REQUIRE_MESSAGE(found != machine->group().contents().end() && found->second == value,
                              "seed " << seed_ << ": leads with old state");
      }
    }
  }

  void LoseTheOthersForATime() {
    for (auto& machine : cluster_.machines) {
      if (machine.get() != victim_) machine->Stop(random_.Below(4));
    }
    for (int i = 0; i < 300; ++i) {
      cluster_.Run(milliseconds(10));
      BOOST_REQUIRE_MESSAGE(!victim_->group().is_primary(), "seed " << seed_ << ": leads alone");
    }
    for (auto& machine : cluster_.machines) {
      if (machine.get() != victim_) machine->Start(false);
    }
    ChangeAny(3);
  }
  void LoseADiskOnceItIsNamed() {
    const auto is_named = [&] {
      Machine* const primary = cluster_.Primary();
      if (primary == nullptr) return false;
      const auto& replicas = primary->group().member().record().replicas;
      return std::any_of(replicas.begin(), replicas.end(),
                         [&](const CoreMember& one) { return one.address == victim_->address(); });
    };
    // In a core of four the others may suffice.
    const bool named = cluster_.RunUntil(is_named, seconds(8));
    BOOST_REQUIRE_MESSAGE(named || cluster_.machines.size() > 3,
                          "seed " << seed_ << ": is not named again");
    cluster_.Run(seconds(2));
    cluster_.Other(*victim_, random_.Below(cluster_.machines.size() - 1)).Wipe();
    ChangeAny(3);
  }
  void LoseThePrimary() {
    BOOST_REQUIRE(cluster_.RunUntil([&] { return cluster_.Primary() != nullptr; }, seconds(5)));
    Machine& primary = cluster_.ThePrimary();
    primary.Stop(random_.Below(4));
    ChangeAny(3);
    primary.Start(false);
  }

  void CheckAll() {
    for (auto& machine : cluster_.machines) {
      if (!machine->up()) machine->Start(false);
    }
    cluster_.Run(seconds(8));
    BOOST_REQUIRE_MESSAGE(cluster_.Primary() != nullptr, "seed " << seed_ << ": no primary");
    Machine& primary = cluster_.ThePrimary();
    for (auto& machine : cluster_.machines) {
      const auto& replicas = primary.group().member().record().replicas;
      const bool named = std::any_of(replicas.begin(), replicas.end(), [&](const CoreMember& one) {
        return one.address == machine->address();
      });
      if (!named) continue;
      const Contents& contents = machine->group().contents();
      const bool same = std::equal(contents.begin(), contents.end(), taken_.begin(), taken_.end());
      BOOST_TEST(same, "seed " << seed_ << ": a replica has another map");
    }
  }

  std::uint64_t seed_;
  shelflab::Random random_;
  Cluster cluster_;
  Machine* victim_ = nullptr;
  std::map<std::string, std::string> taken_;
  std::size_t values_ = 0;
  net::Span longest_{};
};

std::uint64_t Argument(int index, std::uint64_t otherwise) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > index ? std::strtoull(suite.argv[index], nullptr, 10) : otherwise;
}

BOOST_AUTO_TEST_CASE(old_state_never_leads_and_every_member_comes_back) {
  const std::uint64_t first = Argument(1, 1);
  const std::uint64_t count = Argument(2, 36);
  net::Span longest{};
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Return play(seed);
    play.Play();
    longest = std::max(longest, play.longest());
  }
  std::cout << count << " seeds, the longest acknowledgement after " << longest / milliseconds(1)
            << " ms\n";
}

}  // namespace
}  // namespace shelflink::coordination
