// Complete proxies with core processes, a platform, endpoints and clients on the virtual network,
// for tests of proxies while the core's list of endpoints is late.
#ifndef SHELFLINK_TESTS_TIER_PROXY_STALE_LIST_SCENE_H_
#define SHELFLINK_TESTS_TIER_PROXY_STALE_LIST_SCENE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/rig.h"
#include "proxy/proxy_fixture.h"
#include "tier/foundation/invariants.h"
#include "tier/proxy/program.h"

namespace stale_list {

using proxy_test::Client;
using proxy_test::Endpoint;
using proxy_test::Message;
using proxy_test::milliseconds;
using proxy_test::Request;
using shelflink::cluster::Rig;
using shelflink::cluster::RigSettings;
using std::chrono::seconds;

constexpr milliseconds kDrain{3000};
constexpr milliseconds kRequestInterval{50};
constexpr std::uint32_t kFirstProxyHost = 0x0a020001;
constexpr std::uint32_t kFirstEndpointHost = 0x0a640001;

// A proxy on its own host.
struct Proxy {
  Proxy(Rig& rig, std::uint32_t index, double rate_per_s)
      : host(kFirstProxyHost + index),
        process(rig.net, host, "edge-" + std::to_string(index), 4100),
        program(std::make_unique<shelflink::proxy::Program>(
            process, SettingsOf(index, rate_per_s), [this, &rig] {
              return std::make_unique<shelflink::cluster::FakePlatform>(rig.platform, process);
            })) {}

  shelflink::ProcessSettings SettingsOf(std::uint32_t index, double rate_per_s) const {
    shelflink::ProcessSettings settings = RigSettings(3);
    settings.cloud.rate_per_s = rate_per_s;
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
  void SetPaused(bool is_paused) {
    paused = is_paused;
    process.SetPaused(is_paused);
  }
  net::Address front() const { return net::Address::V4(host, 8689); }

  std::uint32_t host;
  net::VirtualProcess process;
  std::unique_ptr<shelflink::proxy::Program> program;
  bool paused = false;
};

// An endpoint that records the arrival time of each request.
struct Server {
  Server(Rig& rig, std::uint32_t index)
      : endpoint(rig.net, kFirstEndpointHost + index, "i-" + std::to_string(index),
                 [this](Endpoint::Connection& line, const Message& request) {
                   arrivals.push_back(endpoint.process.Now());
                   line.Write(Endpoint::Response(request, "the bytes"));
                 }) {}
  std::size_t ArrivalsAfter(net::Time time) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [&](net::Time arrival) { return arrival > time; }));
  }

  std::vector<net::Time> arrivals;
  Endpoint endpoint;
};

// Returns the invariant violations since the last call. Scene fails the test on any that are left.
inline std::vector<std::string> TakeViolations() {
  static std::vector<std::string> recorded;
  static const bool is_handler_set = [] {
    shelflink::ProcessInvariants().SetHandler(
        [](shelflink::Invariant invariant, const std::string& detail) {
          recorded.push_back(std::string(shelflink::NameOf(invariant)) + ": " + detail);
        });
    return true;
  }();
  static_cast<void>(is_handler_set);
  return std::exchange(recorded, {});
}

class Scene {
 public:
  explicit Scene(std::uint32_t proxy_count = 4, std::uint64_t seed = 1, double rate_per_s = 40)
      : Scene(NotStarted(), proxy_count, seed, rate_per_s) {
    rig.Start();
    rig.Run(seconds(3));
    BOOST_REQUIRE(rig.Put(5, 0));
    rig.Run(seconds(1));
  }
  virtual ~Scene() {
    for (const std::string& violation : TakeViolations()) BOOST_ERROR(violation);
    rig.net.Clear();
  }

  // Sends requests to each running proxy at an even rate for the time `span`.
  void Traffic(net::Span span) {
    const net::Time end = rig.net.Now() + span;
    while (rig.net.Now() < end) {
      for (const auto& proxy : proxies) {
        if (!proxy->program || proxy->paused) continue;
        requests_.push_back(std::make_unique<Client>(clients_, proxy->front()));
        requests_.back()->Send(Request("/a/x", "id" + std::to_string(++request_count_)));
      }
      BetweenRequests();
      rig.Run(kRequestInterval);
    }
  }
  // The share of the requests since the last call that were answered with status 200.
  double TakeServedShare() {
    rig.Run(seconds(2));
    std::size_t served = 0;
    for (const auto& client : requests_) served += client->NextResponse().Status() == 200 ? 1 : 0;
    const double share = requests_.empty() ? 0 : double(served) / double(requests_.size());
    requests_.clear();
    return share;
  }
  // Marks the first endpoint as draining in the platform's list; returns the time.
  net::Time DrainFirstEndpoint() {
    rig.platform.list[0].draining = true;
    return rig.net.Now();
  }
  // Drains the first endpoint under traffic: requests to it must end within `drainMs`, and nearly
  // all requests must be served.
  void CheckDrainTakesEffect() {
    BOOST_TEST(servers[0]->arrivals.size() > 0U);
    const net::Time drain_shown_at = DrainFirstEndpoint();
    Traffic(kDrain);
    TakeServedShare();
    Traffic(seconds(4));
    BOOST_TEST(servers[0]->ArrivalsAfter(drain_shown_at + kDrain) == 0U);
    BOOST_TEST(TakeServedShare() > 0.99);
    const net::Span last_arrival = servers[0]->arrivals.back() - drain_shown_at;
    BOOST_TEST_MESSAGE("the last request came "
                       << std::chrono::duration_cast<milliseconds>(last_arrival).count()
                       << " ms after the drain was shown");
  }
  // Adds endpoints of another service, so that the list has more pages.
  void AddOtherEndpoints(std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      const auto host = 0x0a700001 + static_cast<std::uint32_t>(number);
      rig.platform.list.push_back({"other-" + std::to_string(number), "small",
                                   net::Address::V4(host, 8080), "zone-1", 8, false,
                                   milliseconds(0)});
    }
    rig.platform.page_size = 50;
  }

  // Runs for the time `span` and counts the calls for the platform's list.
  std::uint64_t CountListCalls(net::Span span) {
    const std::uint64_t before = rig.platform.list_calls;
    rig.Run(span);
    return rig.platform.list_calls - before;
  }

  Rig rig;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Proxy>> proxies;

 protected:
  // Does not start the core processes; the derived class does.
  struct NotStarted {};
  Scene(NotStarted, std::uint32_t proxy_count, std::uint64_t seed, double rate_per_s)
      : rig(3, 0, 0, seed), clients_(rig.net, 0x0a090001, "clients", 60000) {
    for (std::uint32_t index = 0; index < 3; ++index) {
      servers.push_back(std::make_unique<Server>(rig, index));
      rig.platform.list.push_back({servers[index]->endpoint.id, "big",
                                   servers[index]->endpoint.address, "zone-0", 8, false,
                                   milliseconds(0)});
    }
    for (std::uint32_t index = 0; index < proxy_count; ++index) {
      proxies.push_back(std::make_unique<Proxy>(rig, index, rate_per_s));
    }
    TakeViolations();
  }
  // Called by Traffic after each round of requests.
  virtual void BetweenRequests() {}

 private:
  net::VirtualProcess clients_;
  std::vector<std::unique_ptr<Client>> requests_;
  int request_count_ = 0;
};

}  // namespace stale_list

#endif  // SHELFLINK_TESTS_TIER_PROXY_STALE_LIST_SCENE_H_
