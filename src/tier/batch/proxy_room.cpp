#include "tier/batch/proxy_room.h"

namespace shelflink::batch {

void ProxyRoom::OnOffer(net::Time now, const net::Address& proxy, std::uint32_t capacity) {
  proxies_[proxy] = {now, capacity};
}

void ProxyRoom::Close(const net::Address& proxy) { proxies_.erase(proxy); }

std::optional<net::Address> ProxyRoom::Most(net::Time now, const Leases& leases) {
  std::optional<net::Address> best;
  std::size_t best_room = 0;
  for (auto entry = proxies_.begin(); entry != proxies_.end();) {
    const auto& [address, offer] = *entry;
    if (now - offer.at > kOfferHolds) {
      entry = proxies_.erase(entry);
      continue;
    }
    const auto found = leases.find(address);
    const std::size_t held = found == leases.end() ? 0 : found->second;
    if (offer.capacity > held && offer.capacity - held > best_room) {
      best_room = offer.capacity - held;
      best = address;
    }
    ++entry;
  }
  return best;
}

}  // namespace shelflink::batch
