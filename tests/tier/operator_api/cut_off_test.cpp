// A core process that is cut off, in every way and for every span, with an operator on each side:
// what it answers meanwhile, what the others do, what the proxies hold, and how soon all is right
// again after the cut.
#define BOOST_TEST_MODULE operator_cut_off
#include <boost/test/unit_test.hpp>

#include "operator_api/cuts.h"

namespace shelflink::operator_api {
namespace {

constexpr std::uint32_t kInside = kOperatorHosts;       // The operator beside the victim.
constexpr std::uint32_t kOutside = kOperatorHosts + 1;  // The one on the other side.
constexpr milliseconds kEvery{200};
// Leases and answers sent at the instant of the cut may still arrive within this.
constexpr milliseconds kUnderWay{10};
// Lease of a proxy, counted from its last renewal.
constexpr milliseconds kProxyLease{3000};
// Within this the others have a new primary: a lease, an election and one order waiting for it.
constexpr milliseconds kOthersAct{4000};

struct Scenario {
  CutFrom from;
  CutWay way;
  bool primary;  // The victim is the primary.
  milliseconds span;
};

// Two operators send changes throughout, one to the victim alone, one to all others.
class CutOffRun {
 public:
  CutOffRun(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), rig_(seed) {
    Acknowledge(seconds(5));
    victim_ = rig_.Primary();
    if (!scenario.primary) {
      victim_ = victim_ == rig_.cores[0].get() ? rig_.cores[1].get() : rig_.cores[0].get();
    }
  }

  void Play() {
    Cut cut(rig_, *victim_, scenario_.from, scenario_.way);
    const net::Time begun = rig_.Now();
    if (Isolates()) fenced_from_ = begun + kLease + kUnderWay;
    while (rig_.Now() < begun + scenario_.span) {
      AskOnBothSides();
      rig_.Run(kEvery);
    }
    fenced_from_ = net::Time::max();
    if (Isolates() && scenario_.span >= kOthersAct) {
      BOOST_TEST(outside_acknowledged_ > 0U);
      BOOST_TEST(inside_answered_ > 0U);
    }
    cut.Heal();
    RightAgain();
  }

 private:
  // Whether the victim can neither hear nor reach any other core process.
  bool Isolates() const {
    return scenario_.from == CutFrom::kEverybody || scenario_.from == CutFrom::kCores;
  }

  SentOrder& Next(const char* side) {
    const std::uint64_t newest = rig_.history.newest();
    return rig_.NewPut(newest, newest + 1, side + std::to_string(++notes_));
  }

  void AskOnBothSides() {
    const auto inside = [this](int status) {
      if (rig_.Now() < fenced_from_) return;
      ++inside_answered_;
      BOOST_TEST(status >= 500, "answered " << status << " though cut off");
    };
    rig_.Send(kInside, *victim_, Next("in"), inside);
    // Orders taken long ago and never taken: neither a confirmation nor a refusal.
    rig_.Send(kInside, *victim_, rig_.history.orders().front(), inside);
    rig_.Send(kInside, *victim_, rig_.NewPut(1000000, 1000001, "future"), inside);
    rig_.SendRead(kInside, *victim_, inside);
    for (auto& core : rig_.cores) {
      if (core.get() == victim_) continue;
      rig_.Send(kOutside, *core, Next("out"), [this](int status) {
        if (status == status::kOk) ++outside_acknowledged_;
      });
      rig_.SendRead(kOutside, *core, nullptr);
    }
  }

  void RightAgain() {
    const net::Time healed = rig_.Now();
    int status = 0;
    while (status != status::kOk && rig_.Now() < healed + seconds(5)) {
      rig_.SendRead(kInside, *victim_, [&](int told) { status = told; });
      rig_.RunUntil([&] { return status == status::kOk; }, milliseconds(100));
    }
    const auto took = std::chrono::duration_cast<milliseconds>(rig_.Now() - healed);
    BOOST_TEST(took.count() <= kLease.count());
    Acknowledge(kLease);
    const std::uint64_t newest = rig_.history.newest();
    BOOST_TEST(rig_.RunUntil([&] { return rig_.AllHave(newest); }, cluster::kConfigApply));
    BOOST_TEST(!rig_.AnySteppedBack());
    rig_.history.AtTheEnd();
    for (const std::string& finding : rig_.history.findings()) BOOST_ERROR(finding);
  }

  // Sends a new order, as an operator who reaches all processes, until it is acknowledged.
  void Acknowledge(net::Span within) {
    const net::Time end = rig_.Now() + within;
    bool acknowledged = false;
    while (!acknowledged && rig_.Now() < end) {
      const SentOrder& sent = Next("all");
      for (std::size_t tries = 0; !acknowledged && rig_.Now() < end; ++tries) {
        int status = 0;
        rig_.Send(kOutside, *rig_.cores[tries % kCoreCount], sent,
                  [&](int told) { status = told; });
        rig_.RunUntil([&] { return status != 0; }, milliseconds(200));
        acknowledged = status == status::kOk;
        if (status == status::kPreconditionFailed) break;  // An earlier order came first.
      }
    }
    BOOST_TEST(acknowledged);
  }

  Scenario scenario_;
  OperatorRig rig_;
  OperatorCore* victim_ = nullptr;
  std::size_t notes_ = 0;
  net::Time fenced_from_ = net::Time::max();  // From here the victim's lease has run out.
  std::size_t inside_answered_ = 0;           // Answers of the victim after that.
  std::size_t outside_acknowledged_ = 0;
};

void PlayAll(CutFrom from) {
  std::uint64_t seed = 0;
  for (const CutWay way : kAllCutWays) {
    for (const bool primary : {true, false}) {
      for (const milliseconds span :
           {milliseconds(500), milliseconds(3000), milliseconds(7000), milliseconds(20000)}) {
        BOOST_TEST_CONTEXT("cut from " << from << ", " << way << ", primary " << primary << ", "
                                       << span.count() << " ms") {
          CutOffRun({from, way, primary, span}, ++seed).Play();
        }
      }
    }
  }
}

// What a proxy in the zone of a primary that is cut off with it sees: it keeps what it has, its
// lease runs out and none comes from there, and it follows again after the cut.
BOOST_AUTO_TEST_CASE(a_proxy_beside_a_primary_that_is_cut_off) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      OperatorRig rig(seed);
      OperatorCore& victim = *rig.Primary();
      cluster::RigAgent& beside = *rig.proxies()[0];
      const auto acknowledge = [&](std::uint64_t base) {
        const SentOrder& sent = rig.NewPut(base, base + 1, "n");
        int status = 0;
        rig.RunUntil(
            [&] {
              OperatorCore* const primary = rig.Primary();
              if (status != status::kOk && primary != nullptr) {
                rig.Send(kOutside, *primary, sent, [&](int told) { status = told; });
                rig.Run(milliseconds(20));
              }
              return status == status::kOk;
            },
            seconds(5));
        BOOST_TEST(status == status::kOk);
      };
      acknowledge(0);
      BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(1); }, cluster::kConfigApply));
      const auto set_cut = [&](bool cut) {
        const auto cut_both = [&](std::uint32_t host) {
          rig.net().SetCut(victim.host(), host, cut);
          rig.net().SetCut(beside.host(), host, cut);
        };
        for (auto& core : rig.cores) {
          if (core.get() != &victim) cut_both(core->host());
        }
        for (auto& proxy : rig.proxies()) {
          if (proxy.get() != &beside) cut_both(proxy->host());
        }
      };
      set_cut(true);
      rig.Run(kLease + kProxyLease);
      BOOST_TEST(!victim.service().is_primary());
      BOOST_TEST(!beside.agent().in_touch());
      acknowledge(1);
      BOOST_TEST(rig.RunUntil(
          [&] {
            return std::all_of(rig.proxies().begin() + 1, rig.proxies().end(),
                               [](const auto& p) { return p->configuration_version() == 2; });
          },
          cluster::kConfigApply));
      rig.Run(seconds(3));
      BOOST_TEST(beside.configuration_version() == 1U);
      BOOST_TEST(!beside.agent().in_touch());
      set_cut(false);
      BOOST_TEST(rig.RunUntil([&] { return beside.configuration_version() == 2U; }, kLease));
      BOOST_TEST(beside.agent().in_touch());
      BOOST_TEST(!rig.AnySteppedBack());
    }
  }
}

BOOST_AUTO_TEST_CASE(from_everybody_but_its_operator) { PlayAll(CutFrom::kEverybody); }
BOOST_AUTO_TEST_CASE(from_all_core_processes) { PlayAll(CutFrom::kCores); }
BOOST_AUTO_TEST_CASE(from_the_replicas_only) { PlayAll(CutFrom::kReplicas); }
BOOST_AUTO_TEST_CASE(from_the_witnesses_only) { PlayAll(CutFrom::kWitnesses); }
BOOST_AUTO_TEST_CASE(from_the_proxies_only) { PlayAll(CutFrom::kProxies); }

}  // namespace
}  // namespace shelflink::operator_api
