// Orders that a process held up for any time while their caller turned to others: as the receiver,
// as the primary, on the way between the two. What its caller was told stays true.
#define BOOST_TEST_MODULE operator_late_order
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "operator_api/operator_rig.h"

namespace shelflink::operator_api {
namespace {

constexpr std::uint32_t kCaller = kOperatorHosts;
constexpr milliseconds kPatience{1000};  // Of callers, PROTOCOL.md.
constexpr milliseconds kSettled{5000};   // After the process has gone on.

// Who holds the order up.
enum class Holder : std::uint8_t {
  kReceiver,        // No primary; it stands still with the order in its sockets.
  kPrimary,         // The same of the primary.
  kForwarded,       // The primary stands still; the order comes from a process that sent it on.
  kBetween,         // The way from the receiver to the primary is cut.
  kAfterReceiving,  // The receiver stands still once it has sent the order on, and the way is cut.
};
constexpr Holder kAllHolders[] = {Holder::kReceiver, Holder::kPrimary, Holder::kForwarded,
                                  Holder::kBetween, Holder::kAfterReceiving};

std::ostream& operator<<(std::ostream& out, Holder holder) {
  constexpr const char* kNames[] = {"receiver", "primary", "forwarded to the primary",
                                    "between receiver and primary", "receiver after sending on"};
  return out << kNames[static_cast<std::size_t>(holder)];
}

class LateOrder {
 public:
  LateOrder(Holder holder, std::uint64_t seed) : holder_(holder), rig_(seed) {
    BOOST_REQUIRE(Call(rig_.NewPut(0, 1, "base")) == status::kOk);
    primary_ = rig_.Primary();
    receiver_ = primary_;
    if (holder != Holder::kPrimary) {
      receiver_ = primary_ == rig_.cores[0].get() ? rig_.cores[1].get() : rig_.cores[0].get();
    }
  }

  void Play(milliseconds span) {
    const SentOrder& first = rig_.NewPut(1, 2, "first");
    const SentOrder& second = rig_.NewPut(2, 3, "second");
    const net::Time begun = rig_.Now();
    HoldUp(second);
    rig_.Run(kPatience);
    BOOST_TEST(Call(second) == status::kPreconditionFailed);
    BOOST_TEST(Call(first) == status::kOk);
    rig_.Run(std::max(net::Span(0), begun + span - rig_.Now()));
    GoOn();
    rig_.Run(kSettled);
    BOOST_TEST(rig_.history.newest() == 2U);
    // It was refused, not forbidden: a new call is taken, and acknowledged when it is repeated.
    BOOST_TEST(Call(second) == status::kOk);
    BOOST_TEST(Call(second) == status::kOk);
    BOOST_TEST(rig_.history.newest() == 3U);
    BOOST_TEST(rig_.RunUntil([&] { return rig_.AllHave(3); }, cluster::kConfigApply));
    for (const std::string& finding : rig_.history.findings()) BOOST_ERROR(finding);
  }

 private:
  struct Attempt {
    int status = 0;
    bool waits = true;
  };

  // The first try, whose caller hears nothing and turns away.
  void HoldUp(const SentOrder& sent) {
    if (holder_ == Holder::kReceiver) receiver_->process().SetPaused(true);
    if (holder_ == Holder::kPrimary || holder_ == Holder::kForwarded) {
      primary_->process().SetPaused(true);
    }
    if (holder_ == Holder::kBetween || holder_ == Holder::kAfterReceiving) SetCut(true);
    rig_.Send(kCaller, *receiver_, sent, nullptr, [] { return false; });
    if (holder_ != Holder::kAfterReceiving) return;
    rig_.Run(milliseconds(10));
    receiver_->process().SetPaused(true);
  }
  void GoOn() {
    if (holder_ == Holder::kBetween || holder_ == Holder::kAfterReceiving) SetCut(false);
    receiver_->process().SetPaused(false);
    primary_->process().SetPaused(false);
  }
  void SetCut(bool cut) { rig_.net().SetCut(receiver_->host(), primary_->host(), cut); }

  // One call, sent again to the next process until its answer is clear.
  int Call(const SentOrder& sent) {
    const net::Time give_up = rig_.Now() + seconds(10);
    for (std::size_t next = 0; rig_.Now() < give_up; ++next) {
      const auto attempt = std::make_shared<Attempt>();
      rig_.Send(
          kCaller, *rig_.cores[next % kCoreCount], sent,
          [attempt](int status) { attempt->status = status; },
          [attempt] { return attempt->waits; });
      rig_.RunUntil([&] { return attempt->status != 0; }, kPatience);
      attempt->waits = false;
      if (attempt->status > 0 && attempt->status < 500) return attempt->status;
      rig_.Run(milliseconds(50));
    }
    return 0;
  }

  Holder holder_;
  OperatorRig rig_;
  OperatorCore* primary_ = nullptr;
  OperatorCore* receiver_ = nullptr;
};

// Guards against an order, refused because its base was yet to come, that comes into force when a
// process that stood still goes on.
BOOST_AUTO_TEST_CASE(a_refused_order_stays_out_whoever_held_up_a_copy_of_it) {
  std::uint64_t seed = 0;
  for (const Holder holder : kAllHolders) {
    for (const milliseconds span :
         {milliseconds(1300), milliseconds(3200), milliseconds(9000), milliseconds(40000)}) {
      BOOST_TEST_CONTEXT(holder << ", " << span.count() << " ms") {
        LateOrder(holder, ++seed).Play(span);
      }
    }
  }
}

}  // namespace
}  // namespace shelflink::operator_api
