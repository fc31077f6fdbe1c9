#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace net {

Address Address::V4(std::uint32_t host, std::uint16_t port) {
  Address address;
  for (std::size_t i = 0; i < 4; ++i) {
    address.bytes_[i] = static_cast<std::uint8_t>(host >> (24 - 8 * i));
  }
  address.port_ = port;
  return address;
}

std::uint32_t Address::V4Host() const {
  std::uint32_t host = 0;
  for (std::size_t i = 0; i < 4; ++i) host = host << 8 | bytes_[i];
  return host;
}

Address Address::FromBytes(const std::array<std::uint8_t, 16>& bytes, bool v6, std::uint16_t port) {
  Address address;
  address.bytes_ = bytes;
  address.v6_ = v6;
  address.port_ = port;
  return address;
}

std::optional<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const char* end = text.data() + text.size();
  Address address;
  const auto r = std::from_chars(text.data() + colon + 1, end, address.port_);
  if (r.ec != std::errc() || r.ptr != end) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string word(host);
  if (inet_pton(AF_INET, word.c_str(), address.bytes_.data()) == 1) return address;
  address.v6_ = true;
  if (inet_pton(AF_INET6, word.c_str(), address.bytes_.data()) == 1) return address;
  return std::nullopt;
}

std::string Address::Host() const {
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(v6_ ? AF_INET6 : AF_INET, bytes_.data(), text.data(), text.size());
  return text.data();
}

std::string Address::Text() const {
  const std::string port = ':' + std::to_string(port_);
  return v6_ ? '[' + Host() + ']' + port : Host() + port;
}

}  // namespace net
