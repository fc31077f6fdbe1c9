// Seeded runs of a whole core with two operators, and further ones that race for a base, while core
// processes are cut off, paused, killed, or lose power or their disks. order_history.h judges every
// answer of every core process. One seed is one run.
//
//   tier_operator_storm_test [-- FIRST COUNT]
#define BOOST_TEST_MODULE operator_storm
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "operator_api/cuts.h"
#include "operator_api/operators.h"

namespace shelflink::operator_api {
namespace {

constexpr std::uint64_t kSeedsInCi = 24;
constexpr int kTroubles = 14;
constexpr milliseconds kTick{10};
constexpr milliseconds kRedundantAgain{6000};  // Time to restore redundancy after a lost disk.

class Storm {
 public:
  explicit Storm(std::uint64_t seed) : rig_(seed), random_(seed * 7919) {
    for (std::size_t index = 0; index < 2; ++index) {
      operators_.push_back(std::make_unique<Operator>(rig_, index, seed * 31 + index));
    }
  }

  void Play() {
    For(seconds(2));
    for (int trouble = 0; trouble < kTroubles; ++trouble) {
      if (random_.Chance(0.3)) Race();
      Trouble();
      For(milliseconds(random_.Below(2000)));
    }
    for (auto& each : operators_) each->Stop();
    For(seconds(10));
    AtTheEnd();
  }
  const OrderHistory& history() const { return rig_.history; }

 private:
  void For(net::Span span) {
    const net::Time until = rig_.Now() + span;
    while (rig_.Now() < until) {
      rig_.Run(kTick);
      for (auto& each : operators_) each->Tick();
    }
  }

  // Sends two orders on one base at the same instant to two processes; half have the same version.
  void Race() {
    const std::uint64_t base = rig_.history.newest();
    const std::uint64_t version = base + 1 + random_.Below(2);
    SentOrder& put = rig_.NewPut(base, version, "race-a");
    SentOrder& other = random_.Chance(0.5) || base == 0 ? rig_.NewPut(base, base + 1, "race-b")
                                                        : rig_.NewPatch(base, base + 1, "race-b");
    const std::size_t first = random_.Below(rig_.cores.size());
    const std::size_t second = (first + 1 + random_.Below(rig_.cores.size() - 1)) % kCoreCount;
    rig_.Send(kOperatorHosts + 7, *rig_.cores[first], put, nullptr);
    rig_.Send(kOperatorHosts + 8, *rig_.cores[second], other, nullptr);
  }

  OperatorCore& Victim() {
    OperatorCore* const primary = rig_.Primary();
    if (primary != nullptr && random_.Chance(0.6)) return *primary;
    return *rig_.cores[random_.Below(rig_.cores.size())];
  }
  milliseconds SomeSpan() {
    return milliseconds(500 + random_.Below(random_.Chance(0.15) ? 29500 : 3500));
  }

  void Trouble() {
    OperatorCore& victim = Victim();
    switch (random_.Below(8)) {
      case 0:
        victim.kept_batches = random_.Below(4);
        victim.Stop();
        For(SomeSpan());
        victim.Start();
        break;
      case 1:
        victim.process().SetPaused(true);
        For(SomeSpan());
        victim.process().SetPaused(false);
        break;
      case 2:
        LosePowerEverywhere();
        break;
      case 3:
        LoseDisk(victim);
        break;
      default:
        CutOff(victim);
        break;
    }
  }
  void LosePowerEverywhere() {
    for (auto& core : rig_.cores) {
      core->kept_batches = random_.Below(4);
      core->Stop();
    }
    For(milliseconds(100 + random_.Below(900)));
    for (auto& core : rig_.cores) core->Start();
  }
  void LoseDisk(OperatorCore& victim) {
    For(kRedundantAgain);  // The fault tolerance holds for one loss at a time.
    victim.Wipe();
    For(milliseconds(300 + random_.Below(3000)));
    victim.Start();
    For(kRedundantAgain);
  }
  void CutOff(OperatorCore& victim) {
    Cut cut(rig_, victim, kAllCutsFrom[random_.Below(std::size(kAllCutsFrom))],
            kAllCutWays[random_.Below(std::size(kAllCutWays))]);
    For(SomeSpan());
    cut.Heal();
  }

  void AtTheEnd() {
    for (auto& each : operators_) BOOST_TEST(each->idle());
    const std::uint64_t newest = rig_.history.newest();
    BOOST_TEST(rig_.RunUntil([&] { return rig_.AllHave(newest); }, cluster::kConfigApply));
    BOOST_TEST(!rig_.AnySteppedBack());
    std::size_t read = 0;
    for (auto& core : rig_.cores) {
      rig_.SendRead(kOperatorHosts, *core, [&](int status) { read += status == status::kOk; });
    }
    rig_.Run(seconds(1));
    BOOST_TEST(read == rig_.cores.size());
    rig_.history.AtTheEnd();
    for (const std::string& finding : rig_.history.findings()) BOOST_ERROR(finding);
  }

  OperatorRig rig_;
  shelflab::Random random_;
  std::vector<std::unique_ptr<Operator>> operators_;
};

std::uint64_t Argument(int index, std::uint64_t otherwise) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > index ? std::strtoull(suite.argv[index], nullptr, 10) : otherwise;
}

BOOST_AUTO_TEST_CASE(every_answer_is_one_that_the_table_allows) {
  const std::uint64_t first = Argument(1, 1);
  const std::uint64_t count = Argument(2, kSeedsInCi);
  std::map<int, std::size_t> answers;
  std::size_t commits = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Storm storm(seed);
      storm.Play();
      commits += storm.history().commits().size();
      for (const int status :
           {status::kOk, status::kTemporaryRedirect, status::kBadRequest,
            status::kPreconditionFailed, status::kServiceUnavailable, status::kGatewayTimeout}) {
        answers[status] += storm.history().answers(status);
      }
    }
  }
  std::cout << count << " seeds, " << commits << " configurations in force; answers:";
  for (const auto& [status, times] : answers) std::cout << " " << status << " x " << times;
  std::cout << "\n";
  for (const auto& [status, times] : answers) BOOST_TEST(times > 0U, "no answer of " << status);
}

}  // namespace
}  // namespace shelflink::operator_api
