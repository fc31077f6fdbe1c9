// Compares gaugecart's decisions for thousands of random event sequences with digests recorded
// before the module was split by concern (src/choice.cpp of commit 930302b). A change that is meant
// to change decisions replaces them, and says so.
#include "policy/replay.h"

#include <gtest/gtest.h>

namespace gaugecart::testing {
namespace {

constexpr std::uint64_t kSeedsInBlock = 250;
constexpr int kEvents = 500;
constexpr std::array<std::uint64_t, 8> kExpected = {
    0xf654cabe63042c89ULL, 0xa7ccaf2e4f42120cULL, 0x647ed2086ce60d35ULL, 0xd5f123cfb1894d78ULL,
    0xa57aea723cd88603ULL, 0x9157c4d4d3939e8dULL, 0x612701abea4adbb1ULL, 0x5708943c33f0fa04ULL,
};

TEST(Replay, ActionsMatchTheRecordedDigests) {
  for (std::uint64_t block = 0; block < kExpected.size(); ++block) {
    Digest digest;
    for (std::uint64_t i = 0; i < kSeedsInBlock; ++i) {
      digest.Add(Replay(block * kSeedsInBlock + i).Run(kEvents));
    }
    EXPECT_EQ(digest.value(), kExpected[block]) << "seeds from " << block * kSeedsInBlock;
  }
}

}  // namespace
}  // namespace gaugecart::testing
