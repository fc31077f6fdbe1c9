// The rule DRAIN while control stands still: whole proxies beside core processes, a platform,
// endpoints and clients on the virtual network. Whatever stops the way from the platform's list
// over the core to a proxy, no request reaches an endpoint later than `drainMs` after the list
// showed it as draining, and requests are served by the other endpoints meanwhile.
#define BOOST_TEST_MODULE proxy_stale_list
#include <boost/test/unit_test.hpp>
#include <vector>

#include "cluster/rig.h"
#include "proxy/stand_in.h"
#include "tier/proxy/program.h"

using shelflink::cluster::EndpointEntry;
using shelflink::cluster::Rig;
using shelflink::cluster::RigSettings;
using stand_in::Client;
using stand_in::Endpoint;
using stand_in::Message;
using stand_in::milliseconds;
using stand_in::Request;
using std::chrono::seconds;

namespace {

constexpr milliseconds kDrain{3000};
constexpr milliseconds kBetweenRequests{50};
constexpr std::uint32_t kFirstProxyHost = 0x0a020001;
constexpr std::uint32_t kFirstEndpointHost = 0x0a640001;

// One proxy program on a machine of its own.
struct Proxy {
  Proxy(Rig& rig, std::uint32_t index)
      : host(kFirstProxyHost + index),
        process(rig.net, host, "edge-" + std::to_string(index), 4100),
        program(std::make_unique<shelflink::proxy::Program>(process, SettingsOf(index))) {}

  shelflink::ProcessSettings SettingsOf(std::uint32_t index) const {
    shelflink::ProcessSettings settings = RigSettings(3);
    settings.node = "edge-" + std::to_string(index);
    settings.role = "proxy";
    settings.zone = "zone-" + std::to_string(index % 2);
    settings.ip = "10.2.0." + std::to_string(index + 1);
    settings.limits.max_fds = 4100;
    settings.limits.memory_mb = 260;
    settings.listen_front = net::Address::V4(host, 8689);
    settings.listen_ready = net::Address::V4(host, 8687);
    return settings;
  }
  net::Address front() const { return net::Address::V4(host, 8689); }

  std::uint32_t host;
  net::VirtualProcess process;
  std::unique_ptr<shelflink::proxy::Program> program;
};

// An endpoint that notes when each request reaches it.
struct Server {
  Server(Rig& rig, std::uint32_t index)
      : endpoint(rig.net, kFirstEndpointHost + index, "i-" + std::to_string(index),
                 [this](Endpoint::Line& line, const Message& request) {
                   arrivals.push_back(endpoint.process.Now());
                   line.Write(Endpoint::Whole(request, "the bytes"));
                 }) {}
  std::size_t ArrivalsAfter(net::Time time) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [&](net::Time arrival) { return arrival > time; }));
  }

  std::vector<net::Time> arrivals;
  Endpoint endpoint;
};

class Scene {
 public:
  explicit Scene(std::uint32_t proxy_count = 4, std::uint64_t seed = 1)
      : rig(3, 0, 0, seed), clients_(rig.net, 0x0a090001, "clients", 60000) {
    for (std::uint32_t index = 0; index < 3; ++index) {
      servers.push_back(std::make_unique<Server>(rig, index));
      rig.platform.list.push_back({servers[index]->endpoint.id, "big",
                                   servers[index]->endpoint.address, "zone-0", 8, false,
                                   milliseconds(0)});
    }
    for (std::uint32_t index = 0; index < proxy_count; ++index) {
      proxies.push_back(std::make_unique<Proxy>(rig, index));
    }
    rig.Start();
    rig.Run(seconds(3));
    BOOST_REQUIRE(rig.Put(5, 0));
    rig.Run(seconds(1));
  }
  ~Scene() { rig.net.Clear(); }

  // Requests at each proxy, evenly spread, until the span is over.
  void Traffic(net::Span span) {
    const net::Time end = rig.net.Now() + span;
    while (rig.net.Now() < end) {
      for (const auto& proxy : proxies) {
        asked_.push_back(std::make_unique<Client>(clients_, proxy->front()));
        asked_.back()->Send(Request("/a/x", "id" + std::to_string(++asked_count_)));
      }
      rig.Run(kBetweenRequests);
    }
  }
  // The share of the requests since the last call that were served.
  double TakeServed() {
    rig.Run(seconds(2));
    std::size_t served = 0;
    for (const auto& client : asked_) served += client->Answer().Status() == 200 ? 1 : 0;
    const double share = asked_.empty() ? 0 : double(served) / double(asked_.size());
    asked_.clear();
    return share;
  }
  // The platform's list shows the first endpoint as draining from now on.
  net::Time DrainFirst() {
    rig.platform.list[0].draining = true;
    return rig.net.Now();
  }
  // Traffic over the drain of the first endpoint, which must end in time and harm nobody.
  void CheckDrainBinds() {
    BOOST_TEST(servers[0]->arrivals.size() > 0U);
    const net::Time shown = DrainFirst();
    Traffic(kDrain);
    TakeServed();
    Traffic(seconds(4));
    BOOST_TEST(servers[0]->ArrivalsAfter(shown + kDrain) == 0U);
    BOOST_TEST(TakeServed() > 0.99);
  }

  Rig rig;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Proxy>> proxies;

 private:
  net::VirtualProcess clients_;
  std::vector<std::unique_ptr<Client>> asked_;
  int asked_count_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_drain_binds_while_control_works) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_without_any_core_process) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Scene scene(4, seed);
      scene.Traffic(seconds(1));
      for (auto& core : scene.rig.cores) core->Stop();
      scene.Traffic(seconds(1));
      scene.CheckDrainBinds();
    }
  }
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_no_core_process_is_primary) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.map.Elect(nullptr);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_the_primary_does_not_reach_the_platform) {
  Scene scene;
  scene.Traffic(seconds(1));
  scene.rig.platform.cut_off = {&scene.rig.cores[0]->process()};
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

BOOST_AUTO_TEST_CASE(a_drain_binds_while_the_core_stands_still) {
  Scene scene;
  scene.Traffic(seconds(1));
  for (auto& core : scene.rig.cores) core->process().SetPaused(true);
  scene.Traffic(seconds(1));
  scene.CheckDrainBinds();
}

// The list that shows the drain is read while the primary's lease has lapsed; the lease is back
// before the primary is told of another role.
BOOST_AUTO_TEST_CASE(a_list_that_was_read_while_the_lease_had_lapsed_is_published) {
  Rig rig(3, 1);
  rig.platform.list = {{"i-0", "big", net::Address::V4(kFirstEndpointHost, 8080), "zone-0", 8,
                        false, milliseconds(0)}};
  rig.Start();
  rig.Run(seconds(3));
  BOOST_REQUIRE(rig.proxies[0]->agent().view().endpoints);
  rig.platform.list[0].draining = true;
  const auto primary = std::exchange(rig.map.primary, nullptr);
  rig.Run(milliseconds(800));  // One walk at least.
  rig.map.primary = primary;
  rig.Run(kDrain - milliseconds(800));
  BOOST_TEST(rig.proxies[0]->agent().view().endpoints->entries[0].draining);
}

// Lists come by more than one way: what shows an endpoint as ready may have been read earlier.
BOOST_AUTO_TEST_CASE(what_was_seen_draining_stays_draining) {
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  endpoint.draining = true;
  world.Tell();
  endpoint.draining = false;
  world.Tell();
  auto client = world.Ask(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}

// Also where a list between had it no more.
BOOST_AUTO_TEST_CASE(what_was_seen_draining_stays_draining_beyond_its_end) {
  stand_in::World world;
  Endpoint& endpoint = world.Add(stand_in::Answers("x"));
  endpoint.draining = true;
  world.Tell();
  endpoint.crashed = true;  // Not listed; its process goes on.
  world.Tell();
  endpoint.crashed = false;
  endpoint.draining = false;
  world.Tell();
  auto client = world.Ask(Request("/get/a", "01"));
  world.Run(milliseconds(500));
  BOOST_TEST(endpoint.requests.empty());
}
