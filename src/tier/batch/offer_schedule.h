// When which store is offered how much room. Pure: the present time comes with each call.
//
// Stores whose offers are due soon after one another share a round: fewer wake-ups, and room that
// is short is dealt among all of them in turn.
#ifndef SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_
#define SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "net/address.h"
#include "net/loop.h"
#include "tier/batch/offer_credit.h"

namespace shelflink::batch {

class OfferSchedule {
 public:
  struct Grant {
    net::Address store;
    std::uint32_t items = 0;  // New ones that it may hand out until the next offer.
  };

  // Whom to offer to from now on; the first offer to a newcomer is due then.
  void SetStores(const std::set<net::Address>& stores, net::Time first_due);
  std::vector<net::Address> stores() const;

  // The offers of a round that begins now, with so much room for new items in all.
  std::vector<Grant> Round(net::Time now, std::uint32_t room);
  // An offer is under way; the next one is due then.
  void OnSent(const net::Address& store, net::Time next_due);
  // Whatever came of it; the next one may go.
  void OnAnswered(const net::Address& store);
  // The store has answered the offer that was sent then.
  void OnOfferTaken(const net::Address& store, net::Time sent);
  // When the newest offer that the store has answered was sent.
  std::optional<net::Time> LastOfferTaken(const net::Address& store) const;
  // The store has handed out an item. `soon`: when its next offer is due at the latest.
  void OnAssigned(const net::Address& store, net::Time now, net::Time soon);
  // The next offer to that store is due by then.
  void Want(const net::Address& store, net::Time by);
  // Endpoints are short of room: stores must not go on filling what they were granted before.
  void TakeBackGrants();

  // When the next round begins; none: an answer or other stores must come first.
  std::optional<net::Time> NextRound() const;

 private:
  struct Store {
    OfferCredit credit;
    net::Time due = net::Time::min();  // The next offer.
    bool offering = false;             // An offer is under way.
    std::optional<net::Time> offer_taken;
  };

  std::map<net::Address, Store> stores_;
  std::optional<net::Time> last_round_;
  std::size_t rounds_ = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_
