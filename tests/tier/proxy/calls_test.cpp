// EndpointCalls as the batch part uses it: events are reported, the lease is checked before each
// send, and the end is reported once.
#define BOOST_TEST_MODULE proxy_calls
#include <boost/test/unit_test.hpp>

#include "proxy/proxy_fixture.h"

namespace proxy = shelflink::proxy;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::ProxyFixture;
using Connection = Endpoint::Connection;

namespace {

class User : public proxy::CallUser {
 public:
  bool MaySend() override {
    ++send_checks;
    return has_lease;
  }
  void OnHead(int response_status, const proxy::HeaderList&,
              std::optional<std::uint64_t>) override {
    status = response_status;
    if (on_head) on_head();
  }
  bool OnBody(std::string_view bytes) override {
    body += bytes;
    return true;
  }
  void OnEvent(const proxy::Event& event) override {
    BOOST_TEST(status == 200);  // The head is reported first.
    events.push_back(event.data);
    if (on_event) on_event();
  }
  void OnEnd(const proxy::CallSummary& summary) override { ends.push_back(summary); }

  bool has_lease = true;
  int send_checks = 0;
  int status = 0;
  std::string body;
  std::vector<std::string> events;
  std::vector<proxy::CallSummary> ends;
  std::function<void()> on_head;
  std::function<void()> on_event;
};

proxy::CallRequest Item(ProxyFixture& fixture,
                        std::optional<std::uint64_t> last_event_id = std::nullopt) {
  proxy::CallRequest request;
  request.request_id = "e5b2";
  request.target = "/jobs/3/91c4";
  request.headers = {{"Host", "a.example"},
                     {"Shelflink-Model", "m"},
                     {"Shelflink-Tenant", "forged"},
                     {"Transfer-Encoding", "chunked"}};
  request.body = "raw";
  request.configuration = fixture.view.configuration;
  request.route = fixture.view.configuration->RouteNamed("lots");
  request.tenant = "ten";
  request.batch = true;
  request.resumable = true;
  request.last_event_id = last_event_id;
  return request;
}

}  // namespace

// After a power loss many proxies start without a list of members. None of them may assume that it
// is the only one that sends batch calls to the endpoints.
BOOST_AUTO_TEST_CASE(without_a_list_of_members_no_batch_item_is_started) {
  ProxyFixture fixture;
  fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 3);
  });
  fixture.view.members = nullptr;
  fixture.calls.OnView(fixture.view);
  BOOST_TEST(fixture.calls.BatchCapacity() == 0U);
  auto others = std::make_shared<shelflink::cluster::Members>();
  others->all.push_back({"another", "proxy", "zone", {}, true});
  fixture.view.members = others;
  fixture.calls.OnView(fixture.view);
  BOOST_TEST(fixture.calls.BatchCapacity() == 0U);
  auto own = std::make_shared<shelflink::cluster::Members>();
  own->all.push_back({"proxy", "proxy", "zone", {}, true});
  fixture.view.members = own;
  fixture.calls.OnView(fixture.view);
  BOOST_TEST(fixture.calls.BatchCapacity() > 0U);
}

BOOST_AUTO_TEST_CASE(an_item_is_sent_as_a_request_of_its_tenant) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 3);
  });
  User user;
  BOOST_TEST(fixture.calls.BatchCapacity() > 0U);
  fixture.calls.Start(Item(fixture), user);
  fixture.Run(milliseconds(200));
  BOOST_TEST(user.status == 200);
  BOOST_TEST(user.events == (std::vector<std::string>{"token 1", "token 2", "token 3"}),
             boost::test_tools::per_element());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kComplete));
  const Message& request = endpoint.requests.front();
  BOOST_TEST(request.start_line == "POST /jobs/3/91c4 HTTP/1.1");
  BOOST_TEST(request.body == "raw");
  BOOST_TEST(request.Value("Shelflink-Tenant") == "ten");
  BOOST_TEST(request.Count("Shelflink-Tenant") == 1U);
  BOOST_TEST(request.Count("Transfer-Encoding") == 0U);
  BOOST_TEST(request.Value("Shelflink-Request-Id") == "e5b2");
  BOOST_TEST(request.Value("Priority") == "9");
}

BOOST_AUTO_TEST_CASE(an_item_resumes_after_its_last_event) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 6);
  });
  User user;
  fixture.calls.Start(Item(fixture, 4), user);
  fixture.Run(milliseconds(200));
  BOOST_TEST(endpoint.requests.front().Value("Last-Event-Id") == "4");
  BOOST_TEST(user.events == (std::vector<std::string>{"token 5", "token 6"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(without_a_lease_nothing_is_sent) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
  User user;
  user.has_lease = false;
  fixture.calls.Start(Item(fixture), user);
  fixture.Run(milliseconds(200));
  BOOST_TEST(endpoint.requests.empty());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kRefused));
  BOOST_TEST(!user.ends[0].may_have_run);
}

BOOST_AUTO_TEST_CASE(a_lease_that_expires_while_connecting_prevents_the_send) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
  net::Weather slow_network;
  slow_network.latency_low = slow_network.latency_high = milliseconds(40);
  fixture.network.SetWeather(endpoint.process.host(), fixture.process.host(), slow_network);
  User user;
  fixture.calls.Start(Item(fixture), user);
  fixture.Run(milliseconds(40));
  user.has_lease = false;
  fixture.Run(milliseconds(400));
  BOOST_TEST(endpoint.requests.empty());
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kRefused));
}

BOOST_AUTO_TEST_CASE(a_cut_stream_is_not_resumed_without_a_lease) {
  ProxyFixture fixture;
  User user;
  const auto behaviour = [&](Connection& connection, const Message& request) {
    fixture.endpoints[0]->Stream(connection, request, 2, milliseconds(10), [&](Connection& cut) {
      user.has_lease = false;
      cut.Reset();
    });
  };
  fixture.Add(behaviour);
  fixture.Add(behaviour);
  fixture.calls.Start(Item(fixture), user);
  fixture.Run(milliseconds(500));
  BOOST_TEST(fixture.RequestCount() == 1U);
  BOOST_REQUIRE(user.ends.size() == 1U);
  BOOST_TEST((user.ends[0].end == proxy::CallEnd::kBroken));
  BOOST_TEST(user.ends[0].may_have_run);
}

BOOST_AUTO_TEST_CASE(error_responses_to_items_are_reported_unchanged) {
  for (const int status : {500, 422}) {
    ProxyFixture fixture;
    fixture.Add([status](Connection& connection, const Message& request) {
      connection.Write(Endpoint::Response(request, "why", status));
    });
    User user;
    fixture.calls.Start(Item(fixture), user);
    fixture.Run(milliseconds(200));
    BOOST_TEST(user.status == status);
    BOOST_REQUIRE(user.ends.size() == 1U);
    BOOST_TEST((user.ends[0].end == proxy::CallEnd::kComplete));
    BOOST_TEST(user.ends[0].status == status);
    BOOST_TEST(fixture.RequestCount() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_call_may_be_cancelled_in_its_callbacks) {
  for (const bool in_on_head : {true, false}) {
    ProxyFixture fixture;
    Endpoint& endpoint = fixture.Add([&](Connection& connection, const Message& request) {
      fixture.endpoints[0]->Stream(connection, request, 10);
    });
    User user;
    shelflink::policy::CallId call = 0;
    const auto cancel = [&] { fixture.calls.Cancel(call); };
    (in_on_head ? user.on_head : user.on_event) = cancel;
    call = fixture.calls.Start(Item(fixture), user);
    fixture.Run(milliseconds(500));
    BOOST_TEST(user.ends.empty());
    BOOST_TEST(user.events.size() == (in_on_head ? 0U : 1U));
    BOOST_TEST(fixture.calls.active_calls() == 0U);
    BOOST_TEST(endpoint.disconnects == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_refusal_is_not_reported_before_start_has_returned) {
  ProxyFixture fixture;
  User user;
  fixture.calls.Start(Item(fixture), user);  // There is no endpoint.
  BOOST_TEST(user.ends.empty());
  fixture.Run(milliseconds(5000));
  BOOST_TEST(user.ends.size() <= 1U);
}

BOOST_AUTO_TEST_CASE(an_invalid_target_is_not_sent) {
  ProxyFixture fixture;
  Endpoint& endpoint = fixture.Add(proxy_test::RespondWith("x"));
  for (const std::string target : {"", "no", "/a b", "/a\r\nX: y"}) {
    User user;
    auto item = Item(fixture);
    item.target = target;
    fixture.calls.Start(std::move(item), user);
    fixture.Run(milliseconds(50));
    BOOST_REQUIRE(user.ends.size() == 1U);
    BOOST_TEST((user.ends[0].end == proxy::CallEnd::kFailed));
  }
  BOOST_TEST(endpoint.requests.empty());
}

BOOST_AUTO_TEST_CASE(load_is_reported_by_service) {
  ProxyFixture fixture;
  fixture.Add([](Connection&, const Message&) {});
  User user;
  auto item = Item(fixture);
  item.headers.emplace_back("Shelflink-Token-Count", "540,400");
  const auto call = fixture.calls.Start(std::move(item), user);
  fixture.Run(milliseconds(50));
  BOOST_TEST(fixture.calls.Loads().at("svc").running == 940U);
  fixture.calls.Cancel(call);
  BOOST_TEST(fixture.calls.Loads().empty());
}
