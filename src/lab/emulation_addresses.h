// Addresses of an emulated fleet on the loopback network, no other lab's at the same time.
#ifndef SHELFLAB_LAB_EMULATION_ADDRESSES_H_
#define SHELFLAB_LAB_EMULATION_ADDRESSES_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace shelflab {

constexpr std::uint16_t kSidecarPort = 7000;
constexpr std::uint16_t kConsolePort = 7001;
constexpr std::uint16_t kStorePort = 7002;
constexpr std::uint32_t kStoreTier = 7;  // A row of addresses that no tier has.

// A network of its own for the sidecars of this process: 127.A.tier.number, so that a restarted one
// finds its address free. Throws std::runtime_error where all such networks are taken.
boost::asio::ip::tcp::endpoint SidecarAddress(std::uint32_t tier, std::uint32_t number);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_EMULATION_ADDRESSES_H_
