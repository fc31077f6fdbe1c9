// Each request of the mutation tests in two parts, cut at every byte, with time between: whatever
// may be held of a body, it comes to the same as the request in one part. Nothing is dispatched
// before it can be, and the next request is served.
#define BOOST_TEST_MODULE proxy_cut_mutations
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "proxy/cut_listener.h"

using proxy_test::Listener;
using proxy_test::Mutations;
using proxy_test::Outcome;
using proxy_test::Shown;

namespace {

std::vector<std::size_t> AllCuts(const std::string& text) {
  std::vector<std::size_t> cuts;
  for (std::size_t cut = 0; cut <= text.size(); ++cut) cuts.push_back(cut);
  return cuts;
}

constexpr std::uint64_t kBounds[] = {0, 1, UINT64_MAX};

// All cuts come to the same as no cut. `next` follows the text, whole.
void CheckCuts(Listener& listener, const std::string& text, const std::string& next) {
  BOOST_TEST_CONTEXT(Shown(text)) {
    const std::vector<Outcome> outcomes = listener.Play(text + next, AllCuts(text));
    const Outcome& uncut = outcomes.back();
    const auto other = std::find_if(outcomes.begin(), outcomes.end(),
                                    [&](const Outcome& outcome) { return !(outcome == uncut); });
    if (other != outcomes.end()) {
      BOOST_TEST_CONTEXT("cut at " << other - outcomes.begin()) { BOOST_TEST(*other == uncut); }
    }
    BOOST_TEST(listener.Ready());
  }
}

// Each mutation is followed by a proper request on the same connection.
void CheckMutations(std::uint64_t most_body, const std::string& text) {
  const std::string next = "GET /get/b HTTP/1.1\r\nHost: a.example\r\n\r\n";
  Listener listener(most_body);
  CheckCuts(listener, text + next, "");
  for (const std::string& mutation : Mutations(text)) CheckCuts(listener, mutation, next);
  BOOST_TEST(listener.clients() == 0U);
  BOOST_TEST(listener.body_bytes() == 0U);
}

}  // namespace

BOOST_DATA_TEST_CASE(requests_with_a_length, boost::unit_test::data::make(kBounds)) {
  CheckMutations(sample, proxy_test::kRequestWithLength);
}

BOOST_DATA_TEST_CASE(requests_in_chunks, boost::unit_test::data::make(kBounds)) {
  CheckMutations(sample, proxy_test::kRequestInChunks);
}

BOOST_DATA_TEST_CASE(readiness_checks, boost::unit_test::data::make(kBounds)) {
  CheckMutations(sample, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
}
