#include "tier/batch/offer_schedule.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "mix.h"
#include "tier/batch/partition.h"

namespace shelflink::batch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoundWindow{400};
constexpr milliseconds kShortestInterval{50};  // Between two rounds.
constexpr double kEvenPart = 0.5;              // Of the room, dealt to hungry stores alike.

}  // namespace

void OfferSchedule::SetStores(const std::set<net::Address>& stores, net::Time first_due) {
  std::erase_if(stores_, [&](const auto& entry) { return !stores.contains(entry.first); });
  for (const net::Address& store : stores) {
    if (stores_.contains(store)) continue;
    Store& added = stores_[store];
    added.due = first_due;
    added.first_share = gaugecart::Unit(gaugecart::Mix(seed_ ^ StableHash(store.Text())));
  }
}

std::vector<net::Address> OfferSchedule::stores() const {
  std::vector<net::Address> all;
  all.reserve(stores_.size());
  for (const auto& [address, store] : stores_) all.push_back(address);
  return all;
}

std::vector<OfferSchedule::Grant> OfferSchedule::Round(net::Time now, std::uint32_t room) {
  last_round_ = now;
  const bool any_due = std::any_of(stores_.begin(), stores_.end(), [&](const auto& entry) {
    return entry.second.due <= now && !entry.second.offering;
  });
  Offers offers;
  for (const auto& [address, store] : stores_) {
    room -= std::min(room, store.granted);
    if (any_due && store.due < now + kRoundWindow && !store.offering) offers[address] = 0;
  }
  Deal(offers, room);
  std::vector<Grant> grants;
  grants.reserve(offers.size());
  for (const auto& [address, items] : offers) grants.push_back({address, items});
  return grants;
}

void OfferSchedule::Deal(Offers& offers, std::uint32_t room) {
  std::map<net::Address, Store*> hungry = AddShares(room);
  while (room > 0 && !hungry.empty()) {
    const auto next = std::max_element(
        hungry.begin(), hungry.end(),
        [](const auto& one, const auto& other) { return one.second->share < other.second->share; });
    std::uint32_t& items = offers[next->first];
    ++items;
    --room;
    next->second->share -= 1.0;
    if (items == next->second->waiting) hungry.erase(next);
  }
}

std::map<net::Address, OfferSchedule::Store*> OfferSchedule::AddShares(std::uint32_t room) {
  std::map<net::Address, Store*> hungry;
  double all_waiting = 0.0;
  for (auto& [address, store] : stores_) {
    if (store.waiting == 0) store.share = store.first_share;
    if (!store.hungry()) continue;
    hungry[address] = &store;
    all_waiting += store.waiting;
  }
  for (const auto& [address, store] : hungry) {
    const double even = 1.0 / static_cast<double>(hungry.size());
    const double by_waiting = store->waiting / all_waiting;
    const double part = kEvenPart * even + (1.0 - kEvenPart) * by_waiting;
    // Room beyond what waits is dealt to others, and is not owed later.
    store->share = std::min<double>(store->share + part * room, store->waiting);
  }
  return hungry;
}

void OfferSchedule::OnSent(const Grant& grant, net::Time next_due) {
  const auto found = stores_.find(grant.store);
  if (found == stores_.end()) return;
  found->second.due = next_due;
  found->second.offering = true;
  found->second.granted = grant.items;
}

void OfferSchedule::OnAnswered(const net::Address& store) {
  const auto found = stores_.find(store);
  if (found == stores_.end()) return;
  found->second.offering = false;
  found->second.granted = 0;
}

void OfferSchedule::OnTaken(const net::Address& store, net::Time sent, std::uint32_t assigned,
                            std::uint32_t waiting) {
  const auto found = stores_.find(store);
  if (found == stores_.end()) return;
  found->second.offer_taken = sent;
  found->second.granted = assigned;
  found->second.waiting = waiting;
}

void OfferSchedule::OnAssigned(const net::Address& store, net::Time by) {
  const auto found = stores_.find(store);
  if (found == stores_.end()) return;
  if (found->second.granted > 0) --found->second.granted;
  Want(store, by);
}

std::optional<net::Time> OfferSchedule::LastOfferTaken(const net::Address& store) const {
  const auto found = stores_.find(store);
  return found == stores_.end() ? std::nullopt : found->second.offer_taken;
}

void OfferSchedule::OnWaiting(const net::Address& store, std::uint32_t items) {
  const auto found = stores_.find(store);
  if (found != stores_.end()) found->second.waiting = items;
}

void OfferSchedule::Want(const net::Address& store, net::Time by) {
  const auto found = stores_.find(store);
  if (found != stores_.end()) found->second.due = std::min(found->second.due, by);
}

std::optional<net::Time> OfferSchedule::NextRound() const {
  std::optional<net::Time> next;
  for (const auto& [address, store] : stores_) {
    if (store.offering) continue;
    const net::Time at = store.hungry() ? net::Time::min() : store.due;
    if (!next || at < *next) next = at;
  }
  if (!next || !last_round_) return next;
  return std::max(*next, *last_round_ + kShortestInterval);
}

}  // namespace shelflink::batch
