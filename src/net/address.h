// The address of one end of a connection: an IP address and a port, as a plain value.
#ifndef SHELFLINK_NET_ADDRESS_H_
#define SHELFLINK_NET_ADDRESS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace net {

class Address {
 public:
  Address() = default;  // 0.0.0.0:0
  // `host` in host order: 127.0.0.1 is 0x7f000001.
  static Address V4(std::uint32_t host, std::uint16_t port);
  // "10.0.0.4:3000", "::1:3000" or "[::1]:3000"; no value for anything else, names included.
  static std::optional<Address> Parse(std::string_view text);
  // From the bytes of the network, 4 or 16 of them.
  static Address FromBytes(const std::array<std::uint8_t, 16>& bytes, bool v6, std::uint16_t port);

  std::uint32_t V4Host() const;  // As V4 takes it; of IPv4 only.
  std::string Host() const;      // "10.0.0.4"
  std::string Text() const;      // "10.0.0.4:3000", "[::1]:3000"
  std::uint16_t port() const { return port_; }
  bool v6() const { return v6_; }
  const std::array<std::uint8_t, 16>& bytes() const { return bytes_; }

  auto operator<=>(const Address&) const = default;  // NOLINT(modernize-use-nullptr): its error.

 private:
  std::array<std::uint8_t, 16> bytes_{};  // In network order; the first 4 for IPv4.
  bool v6_ = false;
  std::uint16_t port_ = 0;
};

}  // namespace net

#endif  // SHELFLINK_NET_ADDRESS_H_
