#include "lab/emulation_addresses.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace shelflab {

using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t kClaimPort = 7003;

// The A of 127.A for this process, no other lab's at the same time: whoever listens at its last
// address has it, until the process ends.
std::uint32_t ClaimNetwork() {
  constexpr std::uint32_t kFirst = 64;
  constexpr std::uint32_t kCount = 128;
  const auto wish = static_cast<std::uint32_t>(::getpid());
  for (std::uint32_t i = 0; i < kCount; ++i) {
    const std::uint32_t a = kFirst + (wish + i) % kCount;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(kClaimPort);
    at.sin_addr.s_addr = htonl((127U << 24) | (a << 16) | 0xfffe);
    const int claim = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (claim < 0) break;
    if (::bind(claim, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::listen(claim, 1) == 0) {
      return a;
    }
    ::close(claim);
  }
  throw std::runtime_error("expected a free network among 127.64 to 127.191");
}

}  // namespace

tcp::endpoint SidecarAddress(std::uint32_t tier, std::uint32_t number) {
  static const std::uint32_t mine = ClaimNetwork();
  const std::uint32_t host =
      (127U << 24) | (mine << 16) | ((tier * 32 + number / 250 + 1) << 8) | (number % 250 + 1);
  return {boost::asio::ip::address_v4(host), kSidecarPort};
}

}  // namespace shelflab
