// Headers that are longer than Beast's fields can hold. Beast throws on them; wherever such a
// header comes from, the process must survive and serve the next request. Also header limits beyond
// 32 bits.
#define BOOST_TEST_MODULE proxy_long_fields
#include <boost/test/unit_test.hpp>
#include <string>

#include "proxy/proxy_fixture.h"
#include "tier/proxy/headers.h"

namespace proxy = shelflink::proxy;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using proxy_test::Request;
using Connection = Endpoint::Connection;

namespace {

const std::string kOversized(70'000, 'x');

proxy_test::Configuration WithHeaderLimit(std::size_t bytes) {
  proxy_test::Configuration configuration = proxy_test::SampleConfiguration();
  configuration.limits.max_header_bytes = bytes;
  return configuration;
}

void CheckServes(ProxyFixture& fixture) {
  const auto next = fixture.SendRequest(Request("/post/b", "0c0d"));
  fixture.Run(milliseconds(100));
  const Message response = next->NextResponse();
  BOOST_TEST(response.Status() == 200);
  BOOST_TEST(response.body == "served");
}

class User : public proxy::CallUser {
 public:
  void OnHead(int response_status, const proxy::HeaderList&,
              std::optional<std::uint64_t>) override {
    status = response_status;
  }
  bool OnBody(std::string_view) override { return true; }
  void OnEnd(const proxy::CallSummary& summary) override { ends.push_back(summary); }

  int status = 0;
  std::vector<proxy::CallSummary> ends;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_clients_oversized_header_is_431_for_any_configured_limit) {
  ProxyFixture fixture(1, WithHeaderLimit(1 << 20));
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("served"));
  for (const std::string& header : {"X-Long: " + kOversized + "\r\n", kOversized + ": x\r\n"}) {
    const auto client = fixture.SendRequest(Request("/post/a", "0a0b", header));
    fixture.Run(milliseconds(100));
    BOOST_TEST(client->NextResponse().Status() == 431);
    BOOST_TEST(client->closed);
    CheckServes(fixture);
  }
  BOOST_TEST(endpoint.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_limit_beyond_32_bits_accepts_all_heads) {
  ProxyFixture fixture(1, WithHeaderLimit(std::size_t{1} << 32));
  fixture.Add(proxy_test::RespondWith("served"));
  CheckServes(fixture);
}

// Such an item may have been stored before oversized headers were rejected on submission.
BOOST_AUTO_TEST_CASE(an_items_oversized_header_is_omitted) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("served"));
  proxy::CallRequest item;
  item.request_id = "e5b2";
  item.method = "POST";
  item.target = "/jobs/3/91c4";
  item.headers = {
      {"Host", "a.example"}, {"X-Long", kOversized}, {kOversized, "x"}, {"X-Short", "y"}};
  item.configuration = fixture.view.configuration;
  item.route = fixture.view.configuration->RouteNamed("lots");
  item.batch = true;
  User user;
  fixture.calls.Start(std::move(item), user);
  fixture.Run(milliseconds(100));
  BOOST_TEST(user.status == 200);
  BOOST_REQUIRE(endpoint.requests.size() == 1U);
  BOOST_TEST(endpoint.requests[0].Value("X-Short") == "y");
  BOOST_TEST(endpoint.requests[0].Count("X-Long") == 0U);
}

BOOST_AUTO_TEST_CASE(the_limit_applies_to_names_and_values) {
  BOOST_TEST(proxy::IsAllowedItemHeader("X-A", std::string(proxy::kMaxFieldBytes, 'x')));
  BOOST_TEST(!proxy::IsAllowedItemHeader("X-A", std::string(proxy::kMaxFieldBytes + 1, 'x')));
  BOOST_TEST(!proxy::IsAllowedItemHeader(std::string(proxy::kMaxFieldBytes + 1, 'x'), "x"));
}
