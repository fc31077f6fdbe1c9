// The platform's list read whole, then one mutation of it at a time.
#define BOOST_TEST_MODULE instance_page
#include "tier/platform/instance_page.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace shelflink::platform {
namespace {

const std::string kPage =
    R"({"instances":[{"service":"s1","address":"10.128.0.9:8080","zone":"z1","configVersion":"v1",)"
    R"("slots":32,"state":"ready","coldLeftMs":0,"models":[{"name":"m"}],"id":"i-1"},)"
    R"({"service":"s2","address":"10.128.0.10:8081","zone":"z2","slots":8,"state":"draining",)"
    R"("coldLeftMs":1500.5,"id":"i-2"}],"nextToken":"p-50"})";

std::string With(const std::string& what, const std::string& by) {
  std::string text = kPage;
  const std::size_t at = text.find(what);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "no " << what);
  return text.replace(at, what.size(), by);
}

BOOST_AUTO_TEST_CASE(reads_a_page_whole) {
  const auto page = ParseInstancePage(kPage);
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page.value().next_token == "p-50");
  BOOST_REQUIRE(page.value().entries.size() == 2U);
  const cluster::EndpointEntry& first = page.value().entries[0];
  BOOST_TEST(first.id == "i-1");
  BOOST_TEST(first.service == "s1");
  BOOST_TEST(first.address.Text() == "10.128.0.9:8080");
  BOOST_TEST(first.zone == "z1");
  BOOST_TEST(first.slots == 32);
  BOOST_TEST(!first.draining);
  BOOST_TEST(page.value().entries[1].draining);
  BOOST_TEST((page.value().entries[1].cold_left == std::chrono::milliseconds(1501)));
}

BOOST_AUTO_TEST_CASE(the_last_page_has_no_token) {
  for (const char* by : {"\"nextToken\":null", "\"nextToken\":\"\"", "\"other\":1"}) {
    const auto page = ParseInstancePage(With("\"nextToken\":\"p-50\"", by));
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().next_token.empty());
  }
  BOOST_TEST(ParseInstancePage(R"({"instances":[]})").value().entries.empty());
}

BOOST_AUTO_TEST_CASE(one_malformed_entry_fails_the_page) {
  struct Mutation {
    std::string what;
    std::string by;
    std::string place;
  };
  const std::vector<Mutation> mutations = {
      {"\"id\":\"i-1\"", "\"id\":7", "instances[0].id"},
      {",\"id\":\"i-1\"", "", "instances[0].id"},
      {"\"id\":\"i-1\"", "\"id\":\"\"", "instances[0].id"},
      {"\"id\":\"i-1\"", "\"id\":\"" + std::string(4097, 'i') + "\"", "instances[0].id"},
      {"\"service\":\"s2\",", "", "instances[1].service"},
      {"10.128.0.9:8080", "10.128.0.9", "instances[0].address"},
      {"10.128.0.9:8080", "host:8080", "instances[0].address"},
      {"10.128.0.9:8080", "10.128.0.9:80800", "instances[0].address"},
      {"10.128.0.9:8080", "", "instances[0].address"},
      {"\"zone\":\"z1\"", "\"zone\":{}", "instances[0].zone"},
      {"\"slots\":32", "\"slots\":0", "instances[0].slots"},
      {"\"slots\":32", "\"slots\":\"32\"", "instances[0].slots"},
      {"\"state\":\"ready\"", "\"state\":\"gone\"", "instances[0].state"},
      {"\"state\":\"ready\",", "", "instances[0].state"},
      {"\"coldLeftMs\":0", "\"coldLeftMs\":-1", "instances[0].coldLeftMs"},
      {"\"nextToken\":\"p-50\"", "\"nextToken\":50", "nextToken"},
      {"\"instances\":", "\"others\":", "instances"},
      {"\"zone\":\"z1\"", "\"zone\":\"z1\",\"zone\":\"z2\"", "instances[0].zone"},
  };
  for (const Mutation& mutation : mutations) {
    BOOST_TEST_CONTEXT(mutation.what << " -> " << mutation.by) {
      const auto page = ParseInstancePage(With(mutation.what, mutation.by));
      BOOST_REQUIRE(!page.has_value());
      BOOST_REQUIRE(page.error().size() == 1U);
      BOOST_TEST(page.error()[0].place == mutation.place);
    }
  }
}

BOOST_AUTO_TEST_CASE(never_takes_a_page_that_is_cut_short) {
  for (std::size_t length = 0; length < kPage.size(); ++length) {
    BOOST_TEST(!ParseInstancePage(std::string_view(kPage).substr(0, length)).has_value());
  }
  BOOST_TEST(!ParseInstancePage("[]").has_value());
  BOOST_TEST(!ParseInstancePage(kPage + "x").has_value());
}

}  // namespace
}  // namespace shelflink::platform
