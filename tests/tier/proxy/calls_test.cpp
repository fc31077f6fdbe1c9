// Calls as the batch part uses them: events told, leases asked for, ends told once.
#define BOOST_TEST_MODULE proxy_calls
#include <boost/test/unit_test.hpp>

#include "proxy/stand_in.h"

namespace proxy = shelflink::proxy;
using stand_in::Endpoint;
using stand_in::Message;
using stand_in::milliseconds;
using stand_in::World;
using Line = Endpoint::Line;

namespace {

class User : public proxy::CallUser {
 public:
  bool MaySend() override {
    ++asked;
    return lease;
  }
  void OnHead(int told, const proxy::HeaderList&, std::optional<std::uint64_t>) override {
    status = told;
    if (on_head) on_head();
  }
  bool OnBody(std::string_view bytes) override {
    body += bytes;
    return true;
  }
  void OnEvent(const proxy::Event& event) override {
    BOOST_TEST(status == 200);  // The head comes first.
    events.push_back(event.data);
    if (on_event) on_event();
  }
  void OnEnd(const proxy::CallSummary& summary) override { ends.push_back(summary); }

  bool lease = true;
  int asked = 0;
  int status = 0;
  std::string body;
  std::vector<std::string> events;
  std::vector<proxy::CallSummary> ends;
  std::function<void()> on_head;
  std::function<void()> on_event;
};

proxy::CallRequest Item(World& world, std::optional<std::uint64_t> last = std::nullopt) {
  proxy::CallRequest request;
  request.request_id = "e5b2";
  request.target = "/jobs/3/91c4";
  request.headers = {{"Host", "a.example"},
                     {"Shelflink-Model", "m"},
                     {"Shelflink-Tenant", "forged"},
                     {"Transfer-Encoding", "chunked"}};
  request.body = "raw";
  request.configuration = world.view.configuration;
  request.route = world.view.configuration->RouteNamed("lots");
  request.tenant = "ten";
  request.batch = true;
  request.resumable = true;
  request.last_event_id = last;
  return request;
}

}  // namespace

// After a loss of power many proxies begin without a list of members. None of them may take itself
// for the only one that sends batch calls to the endpoints.
BOOST_AUTO_TEST_CASE(without_a_list_of_members_no_batch_item_is_taken) {
  World world;
  world.Add(
      [&](Line& line, const Message& request) { world.endpoints[0]->Stream(line, request, 3); });
  world.view.members = nullptr;
  world.calls.OnView(world.view);
  BOOST_TEST(world.calls.BatchRoom() == 0U);
  auto others = std::make_shared<shelflink::cluster::Members>();
  others->all.push_back({"another", "proxy", "zone", {}, true});
  world.view.members = others;
  world.calls.OnView(world.view);
  BOOST_TEST(world.calls.BatchRoom() == 0U);
  auto own = std::make_shared<shelflink::cluster::Members>();
  own->all.push_back({"proxy", "proxy", "zone", {}, true});
  world.view.members = own;
  world.calls.OnView(world.view);
  BOOST_TEST(world.calls.BatchRoom() > 0U);
}

BOOST_AUTO_TEST_CASE(an_item_runs_as_a_request_of_its_tenant) {
  World world;
  Endpoint& endpoint = world.Add(
      [&](Line& line, const Message& request) { world.endpoints[0]->Stream(line, request, 3); });
  User user;
  BOOST_TEST(world.calls.BatchRoom() > 0U);
  world.calls.Start(Item(world), user);
  world.Run(milliseconds(200));
  BOOST_TEST(user.status == 200);
  BOOST_TEST(user.events == (std::vector<std::string>{"token 1", "token 2", "token 3"}),
             boost::test_tools::per_element());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kComplete));
  const Message& seen = endpoint.requests.front();
  BOOST_TEST(seen.first == "POST /jobs/3/91c4 HTTP/1.1");
  BOOST_TEST(seen.body == "raw");
  BOOST_TEST(seen.Value("Shelflink-Tenant") == "ten");
  BOOST_TEST(seen.Count("Shelflink-Tenant") == 1U);
  BOOST_TEST(seen.Count("Transfer-Encoding") == 0U);
  BOOST_TEST(seen.Value("Shelflink-Request-Id") == "e5b2");
  BOOST_TEST(seen.Value("Priority") == "9");
}

BOOST_AUTO_TEST_CASE(an_item_continues_behind_its_last_event) {
  World world;
  Endpoint& endpoint = world.Add(
      [&](Line& line, const Message& request) { world.endpoints[0]->Stream(line, request, 6); });
  User user;
  world.calls.Start(Item(world, 4), user);
  world.Run(milliseconds(200));
  BOOST_TEST(endpoint.requests.front().Value("Last-Event-Id") == "4");
  BOOST_TEST(user.events == (std::vector<std::string>{"token 5", "token 6"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(without_a_lease_nothing_is_sent) {
  World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  User user;
  user.lease = false;
  world.calls.Start(Item(world), user);
  world.Run(milliseconds(200));
  BOOST_TEST(endpoint.requests.empty());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kRefused));
  BOOST_TEST(!user.ends[0].may_have_run);
}

BOOST_AUTO_TEST_CASE(a_lease_that_ends_while_the_connection_comes_up_counts) {
  World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  net::Weather slow;
  slow.latency_low = slow.latency_high = milliseconds(40);
  world.network.SetWeather(endpoint.process.host(), world.process.host(), slow);
  User user;
  world.calls.Start(Item(world), user);
  world.Run(milliseconds(40));
  user.lease = false;
  world.Run(milliseconds(400));
  BOOST_TEST(endpoint.requests.empty());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kRefused));
}

BOOST_AUTO_TEST_CASE(a_cut_stream_is_not_resumed_without_a_lease) {
  World world;
  User user;
  const auto behaviour = [&](Line& line, const Message& request) {
    world.endpoints[0]->Stream(line, request, 2, milliseconds(10), [&](Line& cut) {
      user.lease = false;
      cut.Reset();
    });
  };
  world.Add(behaviour);
  world.Add(behaviour);
  world.calls.Start(Item(world), user);
  world.Run(milliseconds(500));
  BOOST_TEST(world.Served() == 1U);
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kBroken));
  BOOST_TEST(user.ends[0].may_have_run);
}

BOOST_AUTO_TEST_CASE(failures_of_items_are_told_as_they_are) {
  for (const int status : {500, 422}) {
    World world;
    world.Add([status](Line& line, const Message& request) {
      line.Write(Endpoint::Whole(request, "why", status));
    });
    User user;
    world.calls.Start(Item(world), user);
    world.Run(milliseconds(200));
    BOOST_TEST(user.status == status);
    BOOST_REQUIRE(user.ends.size() == 1U);
    BOOST_TEST((user.ends[0].end == proxy::CallEnd::kComplete));
    BOOST_TEST(user.ends[0].status == status);
    BOOST_TEST(world.Served() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_call_may_be_cancelled_from_inside_what_it_tells) {
  for (const bool at_head : {true, false}) {
    World world;
    Endpoint& endpoint = world.Add(
        [&](Line& line, const Message& request) { world.endpoints[0]->Stream(line, request, 10); });
    User user;
    shelflink::policy::CallId call = 0;
    const auto cancel = [&] { world.calls.Cancel(call); };
    (at_head ? user.on_head : user.on_event) = cancel;
    call = world.calls.Start(Item(world), user);
    world.Run(milliseconds(500));
    BOOST_TEST(user.ends.empty());
    BOOST_TEST(user.events.size() == (at_head ? 0U : 1U));
    BOOST_TEST(world.calls.held() == 0U);
    BOOST_TEST(endpoint.left == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_is_not_told_before_start_has_returned) {
  World world;
  User user;
  world.calls.Start(Item(world), user);  // No endpoint at all.
  BOOST_TEST(user.ends.empty());
  world.Run(milliseconds(5000));
  BOOST_TEST(user.ends.size() <= 1U);
}

BOOST_AUTO_TEST_CASE(a_target_that_is_none_is_not_sent) {
  World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  for (const std::string target : {"", "no", "/a b", "/a\r\nX: y"}) {
    User user;
    auto item = Item(world);
    item.target = target;
    world.calls.Start(std::move(item), user);
    world.Run(milliseconds(50));
    BOOST_REQUIRE(user.ends.size() == 1U);
    BOOST_TEST((user.ends[0].end == proxy::CallEnd::kFailed));
  }
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(load_is_told_by_service) {
  World world;
  world.Add([](Line&, const Message&) {});
  User user;
  auto item = Item(world);
  item.headers.emplace_back("Shelflink-Token-Count", "540,400");
  const auto call = world.calls.Start(std::move(item), user);
  world.Run(milliseconds(50));
  BOOST_TEST(world.calls.Loads().at("svc").running == 940U);
  world.calls.Cancel(call);
  BOOST_TEST(world.calls.Loads().empty());
}
