// Room follows work: the schedule of the proxies and the telling of the stores together, without
// network or time beyond a counter of milliseconds.
#define BOOST_TEST_MODULE offer_schedule
#include "tier/batch/offer_schedule.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "tier/batch/proxy_room.h"

namespace shelflink::batch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRoom = 5;           // Of each proxy.
constexpr milliseconds kRun{1000};           // Of an item, on average.
constexpr milliseconds kIdleInterval{5000};  // Between offers that renew nothing.

net::Address AddressOf(std::size_t number) {
  return *net::Address::Parse("127.0.0.1:" + std::to_string(number));
}

net::Time At(milliseconds since_start) { return net::Time{} + since_start; }

// Proxies with the same room, stores, and items that run for a fixed time. Messages take no time.
class Fleet {
 public:
  Fleet(std::size_t proxies, std::size_t stores) : stores_(stores) {
    for (std::size_t i = 0; i < proxies; ++i) proxies_.emplace_back(i);
    std::set<net::Address> addresses;
    for (std::size_t i = 0; i < stores; ++i) addresses.insert(StoreAddress(i));
    for (std::size_t i = 0; i < proxies; ++i) {
      const milliseconds delay = kIdleInterval * static_cast<int>(i) / static_cast<int>(proxies);
      proxies_[i].schedule.SetStores(addresses, At(delay));
    }
  }

  void Submit(std::size_t store, std::uint32_t items) {
    stores_[store].waiting += items;
    if (stores_[store].waiting == items) stores_[store].waiting_since = now_;
  }
  std::uint32_t waiting(std::size_t store) const { return stores_[store].waiting; }
  // The longest that items waited at the store while not one was handed out.
  milliseconds longest_starving(std::size_t store) const { return stores_[store].longest_starving; }
  std::size_t running() const {
    std::size_t sum = 0;
    for (const Proxy& proxy : proxies_) sum += proxy.ends.size();
    return sum;
  }
  std::size_t most_of_a_proxy() const {
    std::size_t most = 0;
    for (const Proxy& proxy : proxies_) most = std::max(most, proxy.ends.size());
    return most;
  }
  std::uint64_t offers() const { return offers_; }

  void Pass(milliseconds span) {
    for (const milliseconds end = now_ + span; now_ < end; now_ += milliseconds{5}) Step();
  }

 private:
  struct Proxy {
    explicit Proxy(std::uint64_t seed) : schedule(seed) {}
    OfferSchedule schedule;
    std::vector<milliseconds> ends;  // Of what runs.
  };
  struct Store {
    ProxyRoom proxies;
    std::uint32_t waiting = 0;
    milliseconds waiting_since{0};  // Without an item handed out.
    milliseconds longest_starving{0};
  };

  static net::Address StoreAddress(std::size_t store) { return AddressOf(1 + store); }
  static net::Address ProxyAddress(std::size_t proxy) { return AddressOf(1000 + proxy); }

  // Around kRun, so that what began together does not end together.
  milliseconds NextRun() {
    constexpr int kSteps = 41;
    runs_ = (runs_ + 17) % kSteps;
    return kRun * (80 + runs_) / 100;
  }

  void Step() {
    for (Store& store : stores_) Tell(store);
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      Proxy& proxy = proxies_[i];
      std::erase_if(proxy.ends, [&](milliseconds end) { return end <= now_; });
      const auto next = proxy.schedule.NextRound();
      if (next && *next <= At(now_)) Offer(i);
    }
  }

  void Tell(Store& store) {
    if (store.waiting == 0) return;
    const std::size_t number = static_cast<std::size_t>(&store - stores_.data());
    for (const net::Address& told : store.proxies.Tell(store.waiting)) {
      for (std::size_t i = 0; i < proxies_.size(); ++i) {
        if (ProxyAddress(i) == told) {
          proxies_[i].schedule.OnWaiting(StoreAddress(number), store.waiting);
        }
      }
    }
  }

  void Offer(std::size_t number) {
    Proxy& proxy = proxies_[number];
    const auto room =
        static_cast<std::uint32_t>(kRoom - std::min<std::size_t>(kRoom, proxy.ends.size()));
    std::uint32_t granted = 0;
    for (const OfferSchedule::Grant& grant : proxy.schedule.Round(At(now_), room)) {
      ++offers_;
      granted += grant.items;
      for (std::size_t i = 0; i < stores_.size(); ++i) {
        if (StoreAddress(i) == grant.store) Answer(number, i, grant, room);
      }
    }
    BOOST_REQUIRE(granted <= room);
  }

  void Answer(std::size_t number, std::size_t store_number, const OfferSchedule::Grant& grant,
              std::uint32_t room) {
    Proxy& proxy = proxies_[number];
    Store& store = stores_[store_number];
    const std::uint32_t assigned =
        std::min({grant.items, store.waiting, store.proxies.MostOfOneOffer(store.waiting)});
    proxy.schedule.OnSent(grant, At(now_ + kIdleInterval));
    proxy.schedule.OnAnswered(grant.store);
    store.waiting -= assigned;
    store.proxies.OnOffer(ProxyAddress(number), room, store.waiting);
    proxy.schedule.OnTaken(grant.store, At(now_), assigned, store.waiting);
    for (std::uint32_t i = 0; i < assigned; ++i) {
      proxy.schedule.OnAssigned(grant.store, At(now_ + kIdleInterval));
      proxy.ends.push_back(now_ + NextRun());
    }
    if (assigned == 0) return;
    store.longest_starving = std::max(store.longest_starving, now_ - store.waiting_since);
    store.waiting_since = now_;
  }

  std::vector<Proxy> proxies_;
  std::vector<Store> stores_;
  milliseconds now_{0};
  int runs_ = 0;
  std::uint64_t offers_ = 0;
};

const std::vector<std::size_t> kStores{1, 12, 45, 200};

BOOST_DATA_TEST_CASE(one_store_with_work_gets_all_room_however_many_stores_there_are, kStores) {
  constexpr std::size_t kProxies = 70;
  Fleet fleet(kProxies, sample);
  fleet.Pass(2 * kIdleInterval);  // All know one another, and nothing waits.
  fleet.Submit(sample / 2, 5000);
  fleet.Pass(milliseconds{300});
  BOOST_TEST(fleet.running() >= kProxies * kRoom * 95 / 100);
  // And it stays so: what ends is followed by more within a round.
  for (int i = 0; i < 20; ++i) {
    fleet.Pass(milliseconds{137});
    BOOST_TEST(fleet.running() >= kProxies * kRoom * 90 / 100);
  }
}

BOOST_DATA_TEST_CASE(a_small_job_is_spread_over_the_proxies_at_once, kStores) {
  Fleet fleet(70, sample);
  fleet.Pass(2 * kIdleInterval);
  fleet.Submit(0, 60);
  fleet.Pass(milliseconds{150});
  BOOST_TEST(fleet.waiting(0) == 0U);
  BOOST_TEST(fleet.running() == 60U);
  BOOST_TEST(fleet.most_of_a_proxy() <= 2U);
}

BOOST_AUTO_TEST_CASE(no_store_with_work_starves_beside_others_with_more) {
  constexpr std::size_t kManyStores = 45;
  Fleet fleet(30, kManyStores);
  fleet.Pass(2 * kIdleInterval);
  fleet.Submit(0, 50'000);
  for (std::size_t i = 1; i < kManyStores; ++i) fleet.Submit(i, 40);
  fleet.Pass(seconds{30});
  // A proxy's own turns come back to a store after so long, if it deals half of its room evenly.
  // Thirty proxies together come a good three times as often even where their turns meet badly.
  constexpr milliseconds kOwnTurn = kRun * 2 * kManyStores / kRoom;
  for (std::size_t i = 1; i < kManyStores; ++i) {
    BOOST_TEST(fleet.waiting(i) == 0U);
    BOOST_TEST(fleet.longest_starving(i).count() <= kOwnTurn.count() / 3);
  }
}

BOOST_AUTO_TEST_CASE(two_stores_with_the_same_work_are_served_alike) {
  Fleet fleet(10, 12);
  fleet.Pass(2 * kIdleInterval);
  fleet.Submit(3, 1000);
  fleet.Submit(7, 1000);
  fleet.Pass(seconds{8});
  const double one = 1000.0 - fleet.waiting(3);
  const double other = 1000.0 - fleet.waiting(7);
  BOOST_TEST(one + other >= 0.9 * 10 * kRoom * 7);
  BOOST_TEST(std::max(one, other) <= 1.3 * std::min(one, other));
}

BOOST_AUTO_TEST_CASE(a_fleet_without_work_offers_seldom) {
  Fleet fleet(70, 12);
  fleet.Pass(2 * kIdleInterval);
  const std::uint64_t before = fleet.offers();
  fleet.Pass(10 * kIdleInterval);
  BOOST_TEST(fleet.offers() - before <= 70U * 12U * 11U);
}

BOOST_AUTO_TEST_CASE(a_store_that_tells_of_nothing_takes_no_room) {
  OfferSchedule schedule(1);
  schedule.SetStores({AddressOf(1), AddressOf(2), AddressOf(3)}, At(milliseconds{0}));
  for (const OfferSchedule::Grant& grant : schedule.Round(At(milliseconds{0}), 6)) {
    BOOST_TEST(grant.items == 0U);
  }
  schedule.OnWaiting(AddressOf(2), 100);
  for (const OfferSchedule::Grant& grant : schedule.Round(At(milliseconds{50}), 6)) {
    BOOST_TEST(grant.items == (grant.store == AddressOf(2) ? 6U : 0U));
  }
}

BOOST_AUTO_TEST_CASE(room_is_dealt_by_what_waits_and_never_beyond_it) {
  OfferSchedule schedule(1);
  schedule.SetStores({AddressOf(1), AddressOf(2)}, At(milliseconds{0}));
  schedule.OnWaiting(AddressOf(1), 30);
  schedule.OnWaiting(AddressOf(2), 10);
  // Half of the room evenly, half by what waits.
  for (const OfferSchedule::Grant& grant : schedule.Round(At(milliseconds{0}), 8)) {
    BOOST_TEST(grant.items == (grant.store == AddressOf(1) ? 5U : 3U));
  }
  for (const OfferSchedule::Grant& grant : schedule.Round(At(milliseconds{50}), 100)) {
    BOOST_TEST(grant.items == (grant.store == AddressOf(1) ? 30U : 10U));
  }
}

BOOST_AUTO_TEST_CASE(what_an_offer_under_way_may_bring_is_not_granted_twice) {
  OfferSchedule schedule(1);
  schedule.SetStores({AddressOf(1), AddressOf(2)}, At(milliseconds{0}));
  schedule.OnWaiting(AddressOf(1), 4);
  const auto first = schedule.Round(At(milliseconds{0}), 4);
  for (const OfferSchedule::Grant& grant : first) schedule.OnSent(grant, At(kIdleInterval));
  schedule.OnWaiting(AddressOf(2), 4);
  BOOST_TEST(schedule.Round(At(milliseconds{50}), 4).empty());
  // Three of the four follow the answer; the fourth is free for the other store.
  schedule.OnAnswered(AddressOf(2));
  schedule.OnAnswered(AddressOf(1));
  schedule.OnTaken(AddressOf(1), At(milliseconds{0}), 3, 0);
  const auto second = schedule.Round(At(milliseconds{100}), 4);
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  BOOST_TEST((second[0].store == AddressOf(2)));
  BOOST_TEST(second[0].items == 1U);
  // They have come, and are counted as runs from here on.
  for (int i = 0; i < 3; ++i) schedule.OnAssigned(AddressOf(1), At(kIdleInterval));
  BOOST_TEST(schedule.Round(At(milliseconds{150}), 1)[0].items == 1U);
}

BOOST_AUTO_TEST_CASE(rounds_keep_their_distance_also_while_work_waits) {
  OfferSchedule schedule(1);
  schedule.SetStores({AddressOf(1)}, At(milliseconds{0}));
  schedule.Round(At(milliseconds{0}), 0);
  schedule.OnWaiting(AddressOf(1), 4);
  BOOST_REQUIRE(schedule.NextRound().has_value());
  BOOST_TEST((*schedule.NextRound() == At(milliseconds{50})));
  // Without room the store is asked nothing.
  for (const OfferSchedule::Grant& grant : schedule.Round(At(milliseconds{50}), 0)) {
    schedule.OnSent(grant, At(kIdleInterval));
    schedule.OnAnswered(grant.store);
  }
  BOOST_TEST(schedule.Round(At(milliseconds{100}), 0).empty());
}

BOOST_AUTO_TEST_CASE(a_proxy_is_told_once_until_an_answer_tells_of_nothing) {
  ProxyRoom proxies;
  proxies.OnOffer(AddressOf(1), 1, 0);
  proxies.OnOffer(AddressOf(2), 3, 0);
  proxies.OnOffer(AddressOf(3), 2, 0);
  BOOST_TEST((proxies.Tell(2) == std::vector{AddressOf(2), AddressOf(3)}));
  BOOST_TEST((proxies.Tell(2) == std::vector{AddressOf(1)}));
  BOOST_TEST(proxies.Tell(2).empty());
  proxies.OnOffer(AddressOf(3), 2, 1);  // It knows that one still waits.
  BOOST_TEST(proxies.Tell(2).empty());
  proxies.OnOffer(AddressOf(3), 2, 0);
  BOOST_TEST((proxies.Tell(2) == std::vector{AddressOf(3)}));
  proxies.Close(AddressOf(2));
  BOOST_TEST(proxies.Tell(2).empty());
}

BOOST_AUTO_TEST_CASE(an_offer_gets_its_part_of_what_waits) {
  ProxyRoom proxies;
  BOOST_TEST(proxies.MostOfOneOffer(60) == 60U);
  for (std::size_t i = 1; i <= 8; ++i) proxies.OnOffer(AddressOf(i), i <= 4 ? 2 : 0, 60);
  BOOST_TEST(proxies.MostOfOneOffer(60) == 15U);
  BOOST_TEST(proxies.MostOfOneOffer(3) == 1U);
  BOOST_TEST(proxies.MostOfOneOffer(0) == 0U);
}

}  // namespace
}  // namespace shelflink::batch
