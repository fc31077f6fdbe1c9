// A whole tier on narrow links whose configuration grows by thousands of routes and is then changed
// a little, with batch jobs open, and which then loses all power: each within its bound.
#define BOOST_TEST_MODULE large_documents
#include "measure/large_documents.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace shelflink::measure {
namespace {

constexpr std::size_t kRoutes = 4000;    // 0.9 MB as text.
constexpr std::size_t kWhole = 160'000;  // Bytes as they travel, and more.
// Half of `configApplyMs` where that is 3 s; processor time is of no account here.
constexpr milliseconds kInForce{1500};
constexpr milliseconds kSmallInForce{100};
constexpr milliseconds kControlServes{1000};
constexpr milliseconds kReady{2000};
constexpr milliseconds kReadable{4000};

void CheckWithin(const std::optional<net::Span>& span, milliseconds bound) {
  BOOST_TEST_REQUIRE(span.has_value());
  BOOST_TEST((*span <= bound), (*span / milliseconds(1)) << " ms, and not " << bound.count());
}

void CheckFleet(std::size_t members) {
  const LargeDocumentFigures figures = PlayLargeDocument(LargeFleet(members, 1), kRoutes);
  BOOST_TEST_CONTEXT(members << " members") {
    CheckWithin(figures.large_in_force, kInForce);
    BOOST_TEST(figures.large_bytes < members * kWhole);
    CheckWithin(figures.small_in_force, kSmallInForce);
    // A chunk of the document to each replica, a few bytes to everybody, and what goes anyway.
    BOOST_TEST(figures.small_bytes < 300'000 + members * 1000);
    CheckWithin(figures.core_serves, kControlServes);
    CheckWithin(figures.most_proxies_ready, kReady);
    CheckWithin(figures.everywhere_again, kReady);
    CheckWithin(figures.jobs_readable, kReadable);
    BOOST_TEST(figures.jobs_accepted > 0U);
    BOOST_TEST(figures.jobs_missing == 0U);
    // To some processes of each zone; these tell the others.
    BOOST_TEST(figures.core_bytes_of_return < 30 * kWhole);
  }
}

BOOST_AUTO_TEST_CASE(sixty_members) { CheckFleet(60); }

BOOST_AUTO_TEST_CASE(three_hundred_members) { CheckFleet(300); }

// Taken or not, answered or not: the order that is sent again after it is acknowledged, and never
// refused.
BOOST_AUTO_TEST_CASE(a_large_order_is_sent_again_after_a_loss_of_all_power) {
  for (const int after : {1, 20, 40, 60, 80, 120, 300}) {
    const milliseconds before_loss(after);
    BOOST_TEST_CONTEXT(before_loss.count() << " ms after the order") {
      MeasuredTier tier(LargeFleet(30, 1));
      const std::uint64_t version = tier.changer().acknowledged() + 1;
      tier.changer().SetMoreRoutes(kRoutes);
      tier.changer().Once();
      tier.Run(before_loss);
      LoseAllPower(tier);
      const auto is_acknowledged = [&] {
        tier.changer().Once();
        return tier.changer().acknowledged() >= version;
      };
      BOOST_TEST(tier.RunUntil(is_acknowledged, seconds(10)));
      BOOST_TEST(tier.changer().refused() == 0U);
      BOOST_TEST(tier.RunUntil([&] { return tier.AllKnow(version); }, seconds(3)));
    }
  }
}

}  // namespace
}  // namespace shelflink::measure
