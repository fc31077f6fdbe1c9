// When which store is offered how much room. Pure: the present time comes with each call.
//
// Room goes to the stores that have told that items wait there: half of it evenly, so that none of
// them starves, and half in proportion to how many wait. A store that has told of none gets none
// and costs none, however many stores there are. What an offer grants is taken at once or not at
// all (see Offer), so no room lies unused at a store. Stores whose leases are due for renewal soon
// after one another share a round: fewer wake-ups.
#ifndef SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_
#define SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "net/address.h"
#include "net/loop.h"

namespace shelflink::batch {

class OfferSchedule {
 public:
  struct Grant {
    net::Address store;
    std::uint32_t items = 0;  // New ones that it may hand out in answer to this offer.
  };

  // `seed`: differs between proxies, so that those with the same room do not all deal it to the
  // same store at one moment.
  explicit OfferSchedule(std::uint64_t seed) : seed_(seed) {}

  // Whom to offer to from now on; the first offer to a newcomer is due then.
  void SetStores(const std::set<net::Address>& stores, net::Time first_due);
  std::vector<net::Address> stores() const;

  // The offers of a round that begins now, with so much room for new items in all.
  std::vector<Grant> Round(net::Time now, std::uint32_t room);
  // An offer with so many items is under way; the next one is due then.
  void OnSent(const Grant& grant, net::Time next_due);
  // Whatever came of it; the next one may go.
  void OnAnswered(const net::Address& store);
  // The store has taken the offer that was sent then: so many items follow, and so many still wait.
  void OnTaken(const net::Address& store, net::Time sent, std::uint32_t assigned,
               std::uint32_t waiting);
  // When the newest offer that the store has answered was sent.
  std::optional<net::Time> LastOfferTaken(const net::Address& store) const;
  // So many items wait at the store, as it tells.
  void OnWaiting(const net::Address& store, std::uint32_t items);
  // An item has come from the store; the next offer is due by then.
  void OnAssigned(const net::Address& store, net::Time by);
  // The next offer to that store is due by then.
  void Want(const net::Address& store, net::Time by);

  // When the next round begins; none: an answer or other stores must come first.
  std::optional<net::Time> NextRound() const;

 private:
  struct Store {
    net::Time due = net::Time::min();  // The next offer, whatever waits there.
    bool offering = false;             // An offer is under way.
    std::uint32_t granted = 0;         // Items that it may still bring.
    std::uint32_t waiting = 0;
    double share = 0.0;  // Items that it is due by its part of the room that was dealt so far.
    double first_share = 0.0;  // Drawn from 0 up to 1.
    std::optional<net::Time> offer_taken;

    bool hungry() const { return waiting > 0 && !offering; }
  };
  using Offers = std::map<net::Address, std::uint32_t>;  // Items granted to each store.

  // Deals the room to the hungry stores.
  void Deal(Offers& offers, std::uint32_t room);
  std::map<net::Address, Store*> AddShares(std::uint32_t room);

  std::uint64_t seed_;
  std::map<net::Address, Store> stores_;
  std::optional<net::Time> last_round_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_OFFER_SCHEDULE_H_
