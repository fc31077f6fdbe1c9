// Headers that are longer than Beast's fields hold, which it throws at: whoever brings one, the
// process lives and serves the next. And times so long that their sums would not fit.
#define BOOST_TEST_MODULE proxy_long_fields
#include <boost/test/unit_test.hpp>
#include <string>

#include "proxy/stand_in.h"
#include "tier/proxy/headers.h"

namespace proxy = shelflink::proxy;
using stand_in::Endpoint;
using stand_in::Message;
using stand_in::milliseconds;
using stand_in::Request;
using stand_in::World;
using Line = Endpoint::Line;

namespace {

const std::string kLong(70'000, 'x');

stand_in::Configuration WithHeaderLimit(std::size_t bytes) {
  stand_in::Configuration configuration = stand_in::Sample();
  configuration.limits.max_header_bytes = bytes;
  return configuration;
}

void CheckServes(World& world) {
  const auto next = world.Ask(Request("/post/b", "0c0d"));
  world.Run(milliseconds(100));
  const Message answer = next->Answer();
  BOOST_TEST(answer.Status() == 200);
  BOOST_TEST(answer.body == "served");
}

class User : public proxy::CallUser {
 public:
  void OnHead(int told, const proxy::HeaderList&, std::optional<std::uint64_t>) override {
    status = told;
  }
  bool OnBody(std::string_view) override { return true; }
  void OnEnd(const proxy::CallSummary& summary) override { ends.push_back(summary); }

  int status = 0;
  std::vector<proxy::CallSummary> ends;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_clients_long_header_is_over_the_limit_however_high_that_is) {
  World world(1, WithHeaderLimit(1 << 20));
  Endpoint& endpoint = world.Add(stand_in::Answers("served"));
  for (const std::string& line : {"X-Long: " + kLong + "\r\n", kLong + ": x\r\n"}) {
    const auto client = world.Ask(Request("/post/a", "0a0b", line));
    world.Run(milliseconds(100));
    BOOST_TEST(client->Answer().Status() == 431);
    BOOST_TEST(client->over);
    CheckServes(world);
  }
  BOOST_TEST(endpoint.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_limit_beyond_32_bits_lets_all_heads_pass) {
  World world(1, WithHeaderLimit(std::size_t{1} << 32));
  world.Add(stand_in::Answers("served"));
  CheckServes(world);
}

// Such an item may have been stored before it was refused on submission.
BOOST_AUTO_TEST_CASE(an_items_long_header_is_left_out) {
  World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("served"));
  proxy::CallRequest item;
  item.request_id = "e5b2";
  item.method = "POST";
  item.target = "/jobs/3/91c4";
  item.headers = {{"Host", "a.example"}, {"X-Long", kLong}, {kLong, "x"}, {"X-Short", "y"}};
  item.configuration = world.view.configuration;
  item.route = world.view.configuration->RouteNamed("lots");
  item.batch = true;
  User user;
  world.calls.Start(std::move(item), user);
  world.Run(milliseconds(100));
  BOOST_TEST(user.status == 200);
  BOOST_REQUIRE(endpoint.requests.size() == 1U);
  BOOST_TEST(endpoint.requests[0].Value("X-Short") == "y");
  BOOST_TEST(endpoint.requests[0].Count("X-Long") == 0U);
}

BOOST_AUTO_TEST_CASE(what_may_be_sent_is_what_a_message_holds) {
  BOOST_TEST(proxy::MayBeSent("X-A", std::string(proxy::kLongestField, 'x')));
  BOOST_TEST(!proxy::MayBeSent("X-A", std::string(proxy::kLongestField + 1, 'x')));
  BOOST_TEST(!proxy::MayBeSent(std::string(proxy::kLongestField + 1, 'x'), "x"));
}
