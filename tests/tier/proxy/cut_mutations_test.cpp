// Sends each request of the mutation tests in two parts, split at every byte, with a pause between
// them. For each limit on buffered bodies the result must equal that of the request in one part, no
// request may be dispatched early, and the next request must be served.
#define BOOST_TEST_MODULE proxy_cut_mutations
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "proxy/cut_listener.h"

using proxy_test::Mutations;
using proxy_test::Outcome;
using proxy_test::Printable;
using proxy_test::TestServer;

namespace {

std::vector<std::size_t> AllCuts(const std::string& text) {
  std::vector<std::size_t> cuts;
  for (std::size_t cut = 0; cut <= text.size(); ++cut) cuts.push_back(cut);
  return cuts;
}

constexpr std::uint64_t kBodyLimits[] = {0, 1, UINT64_MAX};

// Checks that each cut has the same result as no cut. `next` is sent unsplit after `text`.
void CheckCuts(TestServer& server, const std::string& text, const std::string& next) {
  BOOST_TEST_CONTEXT(Printable(text)) {
    const std::vector<Outcome> outcomes = server.SendSplitAt(text + next, AllCuts(text));
    const Outcome& uncut = outcomes.back();
    const auto different =
        std::find_if(outcomes.begin(), outcomes.end(),
                     [&](const Outcome& outcome) { return !(outcome == uncut); });
    if (different != outcomes.end()) {
      BOOST_TEST_CONTEXT("cut at " << different - outcomes.begin()) {
        BOOST_TEST(*different == uncut);
      }
    }
    BOOST_TEST(server.Ready());
  }
}

// Each mutation is followed by a valid request on the same connection.
void CheckMutations(std::uint64_t max_body, const std::string& text) {
  const std::string next = "GET /get/b HTTP/1.1\r\nHost: a.example\r\n\r\n";
  TestServer server(max_body);
  CheckCuts(server, text + next, "");
  for (const std::string& mutation : Mutations(text)) CheckCuts(server, mutation, next);
  BOOST_TEST(server.clients() == 0U);
  BOOST_TEST(server.body_bytes() == 0U);
}

}  // namespace

BOOST_DATA_TEST_CASE(requests_with_a_length, boost::unit_test::data::make(kBodyLimits)) {
  CheckMutations(sample, proxy_test::kRequestWithLength);
}

BOOST_DATA_TEST_CASE(requests_in_chunks, boost::unit_test::data::make(kBodyLimits)) {
  CheckMutations(sample, proxy_test::kRequestInChunks);
}

BOOST_DATA_TEST_CASE(readiness_checks, boost::unit_test::data::make(kBodyLimits)) {
  CheckMutations(sample, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
}
