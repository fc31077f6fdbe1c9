#include "tier/batch/proxy_room.h"

#include <algorithm>
#include <utility>

namespace shelflink::batch {

void ProxyRoom::OnOffer(const net::Address& proxy, std::uint32_t room, std::uint32_t waiting) {
  proxies_[proxy] = {room, waiting > 0};
}

std::uint32_t ProxyRoom::MostOfOneOffer(std::size_t waiting) const {
  const auto with_room = static_cast<std::size_t>(std::count_if(
      proxies_.begin(), proxies_.end(), [](const auto& entry) { return entry.second.room > 0; }));
  const std::size_t sharing = std::max<std::size_t>(1, with_room);
  return static_cast<std::uint32_t>((waiting + sharing - 1) / sharing);
}

std::vector<net::Address> ProxyRoom::Tell(std::size_t waiting) {
  std::vector<std::pair<std::uint32_t, net::Address>> untold;
  for (const auto& [address, entry] : proxies_) {
    if (!entry.told) untold.emplace_back(entry.room, address);
  }
  std::sort(untold.begin(), untold.end(), [](const auto& one, const auto& other) {
    return one.first != other.first ? one.first > other.first : one.second < other.second;
  });
  untold.resize(std::min(untold.size(), waiting));
  std::vector<net::Address> told;
  told.reserve(untold.size());
  for (const auto& [room, address] : untold) {
    proxies_.at(address).told = true;
    told.push_back(address);
  }
  return told;
}

}  // namespace shelflink::batch
