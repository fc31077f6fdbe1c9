// Bodies made small and back: whole, cut short, with more behind, changed, and beyond the bound.
#define BOOST_TEST_MODULE deflate
#include "tier/foundation/deflate.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace shelflink {
namespace {

constexpr std::size_t kBound = 1U << 20;

std::string RandomBytes(std::size_t size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string bytes;
  while (bytes.size() < size) bytes += static_cast<char>(random());
  return bytes;
}

BOOST_AUTO_TEST_CASE(bodies_of_every_kind_come_back) {
  for (const std::string& body :
       {std::string(), std::string("a"), std::string(kBound, 'x'), RandomBytes(100'000, 1)}) {
    const auto back = Inflate(Deflate(body), kBound);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back.value() == body));
  }
  BOOST_TEST(Deflate(std::string(kBound, 'x')).size() < kBound / 100);
}

BOOST_AUTO_TEST_CASE(nothing_beyond_the_bound_is_made) {
  const std::string small = Deflate(std::string(kBound + 1, 'x'));
  const auto back = Inflate(small, kBound);
  BOOST_REQUIRE(!back.has_value());
  BOOST_TEST((back.error().code == ErrorCode::kTooLarge));
  BOOST_TEST(Inflate(small, kBound + 1).has_value());
}

BOOST_AUTO_TEST_CASE(what_is_not_whole_is_refused) {
  const std::string whole = Deflate(RandomBytes(500, 2) + std::string(500, 'y'));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto back = Inflate(std::string_view(whole).substr(0, size), kBound);
    BOOST_REQUIRE(!back.has_value());
    BOOST_TEST((back.error().code == ErrorCode::kInvalid));
  }
  BOOST_TEST(!Inflate(whole + "z", kBound).has_value());
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string changed = whole;
    changed[at] = static_cast<char>(changed[at] ^ 0x10);
    const auto back = Inflate(changed, kBound);
    BOOST_TEST((!back || back.value() == Inflate(whole, kBound).value()));
  }
}

}  // namespace
}  // namespace shelflink
