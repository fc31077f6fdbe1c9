#include "tier/batch/offer_schedule.h"

#include <algorithm>

namespace shelflink::batch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoundWindow{400};
constexpr milliseconds kShortestInterval{50};  // Between two rounds.

}  // namespace

void OfferSchedule::SetStores(const std::set<net::Address>& stores, net::Time first_due) {
  std::erase_if(stores_, [&](const auto& entry) { return !stores.contains(entry.first); });
  for (const net::Address& store : stores) {
    if (!stores_.contains(store)) stores_[store].due = first_due;
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
  std::vector<Grant> grants;
  for (const auto& [address, store] : stores_) {
    if (store.due < now + kRoundWindow && !store.offering) {
      grants.push_back({address, 0});
    } else {
      room -= std::min(room, store.credit.left());
    }
  }
  if (grants.empty()) return grants;
  // Whoever came first in this round comes last in the next, when room is short.
  const auto shift = static_cast<std::ptrdiff_t>(rounds_++ % grants.size());
  std::rotate(grants.begin(), grants.begin() + shift, grants.end());
  for (Grant& grant : grants) {
    grant.items = stores_.at(grant.store).credit.Grant(room);
    room -= grant.items;
  }
  return grants;
}

void OfferSchedule::OnSent(const net::Address& store, net::Time next_due) {
  const auto found = stores_.find(store);
  if (found == stores_.end()) return;
  found->second.due = next_due;
  found->second.offering = true;
}

void OfferSchedule::OnAnswered(const net::Address& store) {
  const auto found = stores_.find(store);
  if (found != stores_.end()) found->second.offering = false;
}

void OfferSchedule::OnOfferTaken(const net::Address& store, net::Time sent) {
  const auto found = stores_.find(store);
  if (found != stores_.end()) found->second.offer_taken = sent;
}

std::optional<net::Time> OfferSchedule::LastOfferTaken(const net::Address& store) const {
  const auto found = stores_.find(store);
  return found == stores_.end() ? std::nullopt : found->second.offer_taken;
}

void OfferSchedule::OnAssigned(const net::Address& store, net::Time now, net::Time soon) {
  const auto found = stores_.find(store);
  if (found == stores_.end()) return;
  OfferCredit& credit = found->second.credit;
  credit.OnAssigned();
  Want(store, credit.used_up() ? now : soon);
}

void OfferSchedule::Want(const net::Address& store, net::Time by) {
  const auto found = stores_.find(store);
  if (found != stores_.end()) found->second.due = std::min(found->second.due, by);
}

void OfferSchedule::TakeBackGrants() {
  for (auto& [address, store] : stores_) {
    if (store.credit.left() != 0) store.due = net::Time::min();
  }
}

std::optional<net::Time> OfferSchedule::NextRound() const {
  std::optional<net::Time> next;
  for (const auto& [address, store] : stores_) {
    if (!store.offering && (!next || store.due < *next)) next = store.due;
  }
  if (!next || !last_round_) return next;
  return std::max(*next, *last_round_ + kShortestInterval);
}

}  // namespace shelflink::batch
