// The proxy process with core processes, a platform, an endpoint and clients on the virtual
// network.
#define BOOST_TEST_MODULE proxy_program
#include "tier/proxy/program.h"

#include <boost/test/unit_test.hpp>

#include "cluster/rig.h"
#include "proxy/proxy_fixture.h"

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::Request;
using proxy_test::RespondWith;
using shelflink::cluster::Rig;
using shelflink::cluster::RigSettings;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kHost = 0x0a020099;
constexpr std::uint32_t kEndpointHost = 0x0a640001;

shelflink::ProcessSettings SettingsOfProxy() {
  shelflink::ProcessSettings settings = RigSettings(3);
  settings.node = "edge-1";
  settings.role = "proxy";
  settings.zone = "zone-0";
  settings.ip = "10.2.0.153";
  settings.limits.max_fds = 4100;
  settings.limits.memory_mb = 260;
  settings.listen_front = net::Address::V4(kHost, 8689);
  settings.listen_ready = net::Address::V4(kHost, 8687);
  return settings;
}

struct Tier {
  Tier()
      : rig(3, 0),
        endpoint(rig.net, kEndpointHost, "i-0", RespondWith("the bytes")),
        client_process(rig.net, 0x0a090001, "clients", 1000),
        process(rig.net, kHost, "edge-1", 4100),
        program(std::make_unique<shelflink::proxy::Program>(process, SettingsOfProxy())) {
    List(false);
  }
  ~Tier() { rig.net.Clear(); }

  void List(bool draining) {
    rig.platform.list = {{"i-0", "big", endpoint.address, "zone-0", 8, draining, milliseconds(0)}};
  }
  void Begin() {
    rig.Start();
    rig.Run(seconds(2));
    BOOST_REQUIRE(rig.Put(5, 0));
    rig.Run(seconds(2));
  }
  Message Ask(std::uint16_t port, const std::string& text) {
    Client client(client_process, net::Address::V4(kHost, port));
    client.Send(text);
    rig.Run(milliseconds(300));
    Message answer = client.NextResponse();
    client.Disconnect();
    return answer;
  }
  Message GetReady() { return Ask(8687, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); }
  int Ready() { return GetReady().Status(); }
  std::string ReadyBody() { return GetReady().body; }
  Message Get() { return Ask(8689, Request("/a/x", "id" + std::to_string(++request_count))); }

  Rig rig;
  Endpoint endpoint;
  net::VirtualProcess client_process;
  net::VirtualProcess process;
  std::unique_ptr<shelflink::proxy::Program> program;
  int request_count = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(is_ready_once_it_can_serve) {
  Tier tier;
  tier.rig.Run(seconds(1));
  BOOST_TEST(tier.Ready() == 503);  // No core yet.
  BOOST_TEST(tier.ReadyBody() ==
             "not ready\nno configuration yet\nno lease from the core yet\n"
             "no list of endpoints yet\n");
  BOOST_TEST(tier.Get().Status() == 503);
  tier.rig.Start();
  tier.rig.Run(seconds(3));
  BOOST_TEST(tier.Ready() == 503);  // No configuration yet.
  BOOST_TEST(tier.ReadyBody() == "not ready\nno configuration yet\n");
  BOOST_REQUIRE(tier.rig.Put(5, 0));
  tier.rig.Run(seconds(1));
  BOOST_TEST(tier.Ready() == 200);
  BOOST_TEST(tier.ReadyBody() == "ready\n");
  const Message answer = tier.Get();
  BOOST_TEST(answer.Status() == 200);
  BOOST_TEST(answer.body == "the bytes");
}

// The ready listener has no budget for bodies, but it must still wait for a head that arrives in
// parts.
BOOST_AUTO_TEST_CASE(a_readiness_check_in_two_parts_is_answered) {
  Tier tier;
  tier.Begin();
  const std::string check = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  for (std::size_t cut = 1; cut < check.size(); ++cut) {
    Client client(tier.client_process, net::Address::V4(kHost, 8687));
    client.Send(check.substr(0, cut));
    tier.rig.Run(milliseconds(500));
    client.Send(check.substr(cut));
    tier.rig.Run(milliseconds(100));
    BOOST_TEST(client.NextResponse().Status() == 200);
    client.Disconnect();
  }
}

namespace {

constexpr std::uint16_t kReadyPort = 8687;

std::string MetricsRequest(const std::string& method) {
  return method + " /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
}

bool HasLine(const Message& answer, const std::string& line) {
  return answer.body.find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_ready_listener_serves_metrics) {
  Tier tier;
  tier.rig.Run(seconds(1));
  const Message early = tier.Ask(kReadyPort, MetricsRequest("GET"));  // No core yet.
  BOOST_TEST(early.Status() == 200);
  BOOST_TEST(HasLine(early, "shelflink_ready 0"));
  BOOST_TEST(HasLine(early, "shelflink_core_in_touch 0"));
  BOOST_TEST(early.body.find("shelflink_endpoint_list_entries") == std::string::npos);
  tier.Begin();
  const Message answer = tier.Ask(kReadyPort, MetricsRequest("GET"));
  BOOST_TEST(answer.Status() == 200);
  BOOST_TEST(answer.Value("Content-Type") == "text/plain; version=0.0.4; charset=utf-8");
  BOOST_TEST(HasLine(answer, "shelflink_process_info{node=\"edge-1\",role=\"proxy\"} 1"));
  BOOST_TEST(HasLine(answer, "shelflink_ready 1"));
  BOOST_TEST(HasLine(answer, "shelflink_core_in_touch 1"));
  BOOST_TEST(HasLine(answer, "shelflink_endpoint_list_entries 1"));
  BOOST_TEST(HasLine(answer, "shelflink_endpoint_list_draining_entries 0"));
  BOOST_TEST(HasLine(answer, "shelflink_configuration_version 5"));
  BOOST_TEST(HasLine(answer, "shelflink_drain_bound_seconds 3"));
  tier.List(true);
  tier.rig.Run(seconds(2));
  const Message draining = tier.Ask(kReadyPort, MetricsRequest("GET"));
  BOOST_TEST(HasLine(draining, "shelflink_endpoint_list_draining_entries 1"));
}

BOOST_AUTO_TEST_CASE(metrics_are_read_only) {
  Tier tier;
  tier.Begin();
  Client client(tier.client_process, net::Address::V4(kHost, kReadyPort));
  client.Send(MetricsRequest("HEAD") + "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  tier.rig.Run(milliseconds(300));
  const std::size_t head_end = client.received.find("\r\n\r\n");
  BOOST_REQUIRE(head_end != std::string::npos);
  BOOST_TEST(client.received.starts_with("HTTP/1.1 200"));
  BOOST_TEST(client.received.substr(head_end + 4).starts_with("HTTP/1.1 200"));  // Of /ready.
  BOOST_TEST(client.received.find("shelflink_") == std::string::npos);
  client.Disconnect();
  const Message refused = tier.Ask(kReadyPort, MetricsRequest("DELETE"));
  BOOST_TEST(refused.Status() == 405);
  BOOST_TEST(refused.Value("Allow") == "GET, HEAD");
  BOOST_TEST(tier.Ask(kReadyPort, "GET /other HTTP/1.1\r\nHost: x\r\n\r\n").Status() == 404);
}

BOOST_AUTO_TEST_CASE(a_request_for_metrics_in_two_parts_is_answered) {
  Tier tier;
  tier.Begin();
  const std::string request = MetricsRequest("GET");
  for (std::size_t cut = 1; cut < request.size(); ++cut) {
    Client client(tier.client_process, net::Address::V4(kHost, kReadyPort));
    client.Send(request.substr(0, cut));
    tier.rig.Run(milliseconds(500));
    BOOST_TEST(tier.Ready() == 200);
    client.Send(request.substr(cut));
    tier.rig.Run(milliseconds(100));
    BOOST_TEST(HasLine(client.NextResponse(), "shelflink_ready 1"));
    client.Disconnect();
  }
}

// More connections than the listener may have, each left open after its response.
BOOST_AUTO_TEST_CASE(readiness_is_reported_while_many_clients_read_metrics) {
  Tier tier;
  tier.Begin();
  std::vector<std::unique_ptr<Client>> readers;
  for (int i = 0; i < 100; ++i) {
    readers.push_back(
        std::make_unique<Client>(tier.client_process, net::Address::V4(kHost, kReadyPort)));
    readers.back()->Send(MetricsRequest("GET"));
    if (i % 10 == 9) BOOST_TEST(tier.Ready() == 200);
  }
  BOOST_TEST(tier.Ready() == 200);
  for (const auto& reader : readers) reader->Disconnect();
}

BOOST_AUTO_TEST_CASE(a_drain_on_the_platforms_list_takes_effect) {
  Tier tier;
  tier.Begin();
  BOOST_TEST(tier.Get().Status() == 200);
  tier.List(true);
  tier.rig.Run(seconds(2));
  const std::size_t before = tier.endpoint.requests.size();
  BOOST_TEST(tier.Get().Status() == 503);
  BOOST_TEST(tier.endpoint.requests.size() == before);
}

BOOST_AUTO_TEST_CASE(without_a_core_it_serves_on_and_says_not_ready_after_a_while) {
  Tier tier;
  tier.Begin();
  for (auto& core : tier.rig.cores) core->Stop();
  tier.rig.Run(seconds(1));
  BOOST_TEST(tier.Ready() == 200);
  tier.rig.Run(seconds(12));
  BOOST_TEST(tier.Ready() == 503);
  BOOST_TEST(tier.ReadyBody().starts_with("not ready\nout of touch with the core for "));
  BOOST_TEST(tier.Get().Status() == 200);
  for (auto& core : tier.rig.cores) core->Start();
  tier.rig.Elect(0);
  tier.rig.Run(seconds(4));
  BOOST_TEST(tier.Ready() == 200);
}

BOOST_AUTO_TEST_CASE(reports_that_the_disks_of_the_core_refuse_writes) {
  Tier tier;
  tier.Begin();
  for (auto& core : tier.rig.cores) core->service().SetDiskCheck([] { return true; });
  tier.rig.map.Elect(nullptr);
  tier.rig.Run(seconds(15));
  BOOST_TEST(tier.Ready() == 503);
  BOOST_TEST(tier.ReadyBody().find("\ncore processes whose disks refuse writes: 3\n") !=
             std::string::npos);
  for (auto& core : tier.rig.cores) core->service().SetDiskCheck([] { return false; });
  tier.rig.Elect(0);
  tier.rig.Run(seconds(4));
  BOOST_TEST(tier.ReadyBody() == "ready\n");
}

BOOST_AUTO_TEST_CASE(shuts_down_in_order) {
  Tier tier;
  tier.Begin();
  tier.endpoint.behaviour = [&](Endpoint::Connection& line, const Message& request) {
    const Message kept = request;
    tier.endpoint.RunAfter(milliseconds(700),
                           [&line, kept] { line.Write(Endpoint::Response(kept, "late")); });
  };
  Client held(tier.client_process, net::Address::V4(kHost, 8689));
  held.Send(Request("/a/x", "held"));
  tier.rig.Run(milliseconds(100));
  bool done = false;
  tier.program->Leave([&] { done = true; });
  BOOST_TEST(tier.Ready() == 503);
  tier.rig.Run(milliseconds(500));
  const Message answer = held.NextResponse();
  BOOST_TEST(answer.body == "late");
  BOOST_TEST(answer.Value("Connection") == "close");
  BOOST_TEST(!done);  // The platform may still open connections to this proxy.
  tier.rig.Run(seconds(5));
  BOOST_TEST(done);
}

BOOST_AUTO_TEST_CASE(shuts_down_without_a_core) {
  Tier tier;
  tier.rig.Run(seconds(1));
  bool done = false;
  tier.program->Leave([&] { done = true; });
  tier.rig.Run(seconds(8));
  BOOST_TEST(done);
}

BOOST_AUTO_TEST_CASE(use_is_reported_by_tenant) {
  Tier tier;
  tier.Begin();
  const std::string keyed =
      R"({"configVersion":7,"routes":[{"name":"one","hostname":"a.example","pathPrefix":"/a/",)"
      R"("routeKind":"idempotent","timeoutMs":1000,"service":"big","public":false}],)"
      R"("services":[{"name":"big"}],"tenants":[{"name":"ten","apiKeys":["key-1"]}]})";
  bool taken = false;
  tier.rig.Primary().service().ChangeConfiguration(
      {shelflink::configuration::ChangeMethod::kPut, 5, keyed}, [&](const auto& result) {
        taken = shelflink::operator_api::AcceptedAtOnce(result).has_value();
      });
  tier.rig.Run(seconds(1));
  BOOST_REQUIRE(taken);
  BOOST_TEST(tier.Get().Status() == 401);
  constexpr std::uint64_t kRequests = 7;
  for (std::uint64_t number = 0; number < kRequests; ++number) {
    const std::string id = "use" + std::to_string(number);
    const Message answer = tier.Ask(8689, Request("/a/x", id, "Shelflink-Credential: key-1\r\n"));
    BOOST_TEST(answer.Status() == 200);
  }
  tier.rig.Run(seconds(30));
  std::uint64_t reported = 0;
  for (const auto& call : tier.rig.platform.usage) {
    for (const auto& [tenant, count] : call.counts) {
      BOOST_TEST(tenant == "ten");
      reported += count;
    }
  }
  BOOST_TEST(reported == kRequests);
}
