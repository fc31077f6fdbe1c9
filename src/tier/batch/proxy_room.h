// How many more items each proxy takes from this store, over all partitions. Pure.
#ifndef SHELFLINK_TIER_BATCH_PROXY_ROOM_H_
#define SHELFLINK_TIER_BATCH_PROXY_ROOM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "net/address.h"
#include "net/loop.h"

namespace shelflink::batch {

class ProxyRoom {
 public:
  using Leases = std::map<net::Address, std::size_t>;  // Those that each proxy holds.
  // An offer counts so long: several times the pause between two.
  static constexpr std::chrono::milliseconds kOfferHolds{1500};

  // The proxy wants to hold so many leases in all.
  void OnOffer(net::Time now, const net::Address& proxy, std::uint32_t capacity);
  // It takes nothing until its next offer: it gave an item back, or its connection broke.
  void Close(const net::Address& proxy);
  // The proxy with the most room; none: nobody has any.
  std::optional<net::Address> Most(net::Time now, const Leases& held);

 private:
  struct Entry {
    net::Time at{};
    std::uint32_t capacity = 0;
  };
  std::map<net::Address, Entry> proxies_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PROXY_ROOM_H_
