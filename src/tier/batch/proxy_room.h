// Which proxies a store tells that items wait, and how many items one offer gets. Pure.
//
// A proxy that was told goes on offering what room it has until an answer says that nothing waits
// any more. So each proxy is told once for each time that work comes to an idle store, those that
// had the most room first, and only about as many as there are items.
#ifndef SHELFLINK_TIER_BATCH_PROXY_ROOM_H_
#define SHELFLINK_TIER_BATCH_PROXY_ROOM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "net/address.h"

namespace shelflink::batch {

class ProxyRoom {
 public:
  // The proxy has offered to take so many new items, of `room` that it has for all stores, and was
  // answered that `waiting` items still wait here.
  void OnOffer(const net::Address& proxy, std::uint32_t room, std::uint32_t waiting);
  // Its connection broke: it is told again when it has offered again.
  void Close(const net::Address& proxy) { proxies_.erase(proxy); }

  // Of `waiting` items, the most that one offer gets: they are spread over the proxies with room.
  std::uint32_t MostOfOneOffer(std::size_t waiting) const;
  // The proxies to tell now that so many items wait; they count as told.
  std::vector<net::Address> Tell(std::size_t waiting);

 private:
  struct Entry {
    std::uint32_t room = 0;  // At its last offer.
    bool told = false;       // It knows that items wait.
  };
  std::map<net::Address, Entry> proxies_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PROXY_ROOM_H_
