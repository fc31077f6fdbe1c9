// Agents and the core service on the virtual network: joining, following, repair, failover.
#define BOOST_TEST_MODULE cluster_agent
#include "tier/cluster/agent.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <string_view>

#include "cluster/rig.h"

namespace shelflink::cluster {
namespace {

constexpr milliseconds kConfigApply{2000};

bool AllInTouch(Rig& rig) {
  return std::all_of(rig.proxies.begin(), rig.proxies.end(),
                     [](const auto& proxy) { return !proxy->up() || proxy->agent().in_touch(); });
}

BOOST_AUTO_TEST_CASE(agents_join_and_take_the_configuration) {
  Rig rig(3, 11);
  rig.Start();
  BOOST_TEST(rig.RunUntil([&] { return AllInTouch(rig); }, seconds(2)));
  BOOST_REQUIRE(rig.Put(5, 0));
  BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(5); }, milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(an_agent_started_before_any_core_joins_later) {
  Rig rig(3, 2);
  for (auto& proxy : rig.proxies) proxy->Start();
  rig.Run(seconds(3));
  for (auto& core : rig.cores) core->Start();
  rig.Run(milliseconds(500));
  rig.Elect(2);
  BOOST_TEST(rig.RunUntil([&] { return AllInTouch(rig); }, seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_has_everything_again_soon) {
  Rig rig;
  rig.platform.list = {
      {"i-1", "big", net::Address::V4(0x0a640001, 80), "zone-0", 8, false, milliseconds(0)}};
  rig.Start();
  rig.Run(seconds(2));
  BOOST_REQUIRE(rig.Put(5, 0));
  rig.proxies[1]->Stop();
  rig.Run(milliseconds(300));
  rig.proxies[1]->Start();
  BOOST_TEST(rig.RunUntil(
      [&] {
        const View& view = rig.proxies[1]->agent().view();
        return view.configuration && view.endpoints && view.endpoints->entries.size() == 1 &&
               view.members;
      },
      milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(every_agent_follows_over_a_failover_and_never_back) {
  Rig rig(3, 11);
  rig.Start();
  rig.Run(seconds(2));
  std::uint64_t version = 0;
  for (std::size_t round = 0; round < 4; ++round) {
    BOOST_REQUIRE(rig.Put(version + 3, version));
    version += 3;
    // The acknowledgement is out; the primary dies before anything else of it is.
    RigCore& primary = rig.Primary();
    primary.Stop();
    rig.Run(seconds(1));
    rig.Elect(&primary == rig.cores[0].get() ? 1 : 0);
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(version); }, kConfigApply));
    primary.Start();
    rig.Run(seconds(1));
  }
  for (const auto& proxy : rig.proxies) BOOST_TEST(!proxy->stepped_back);
}

BOOST_AUTO_TEST_CASE(a_configuration_in_force_without_acknowledgement_reaches_all) {
  Rig rig(3, 5);
  rig.Start();
  rig.Run(seconds(2));
  BOOST_REQUIRE(rig.Put(5, 0));
  rig.map.lose_next_done = true;
  BOOST_TEST(!rig.Put(6, 5));
  rig.cores[0]->Stop();
  rig.cores[0]->Start();
  rig.Elect(1);
  // Repeated at another primary it is acknowledged again.
  BOOST_TEST(rig.Put(6, 5).has_value());
  BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(6); }, kConfigApply));
}

BOOST_AUTO_TEST_CASE(contact_is_lost_with_the_lease_and_comes_back) {
  Rig rig;
  rig.Start();
  rig.Run(seconds(2));
  RigAgent& cut = *rig.proxies[0];
  rig.net.SetCutOff(cut.host(), true);
  rig.Run(milliseconds(1500));
  BOOST_TEST(cut.agent().in_touch());  // The lease still runs.
  rig.Run(milliseconds(2000));
  BOOST_TEST(!cut.agent().in_touch());
  BOOST_TEST((cut.contacts == std::vector<bool>{true, false}));
  BOOST_REQUIRE(rig.Put(9, 0));
  rig.net.SetCutOff(cut.host(), false);
  BOOST_TEST(rig.RunUntil([&] { return cut.configuration_version() == 9; }, kConfigApply));
  BOOST_TEST(cut.agent().in_touch());
}

BOOST_AUTO_TEST_CASE(a_frozen_agent_wakes_out_of_touch) {
  Rig rig;
  rig.Start();
  rig.Run(seconds(2));
  rig.proxies[0]->process().SetPaused(true);
  rig.Run(seconds(5));
  BOOST_TEST(!rig.proxies[0]->agent().in_touch());
  rig.proxies[0]->process().SetPaused(false);
  BOOST_TEST(rig.RunUntil([&] { return rig.proxies[0]->agent().in_touch(); }, seconds(1)));
}

// Found by reading: a store whose lease was renewed before it heard of a new placement answered for
// partitions that had moved.
BOOST_AUTO_TEST_CASE(a_lease_decides_nothing_by_a_placement_that_was_replaced) {
  Rig rig(3, 1, 4);
  rig.Start();
  rig.Run(seconds(3));
  Agent& agent = rig.stores[1]->agent();
  const auto known = [&] { return agent.view().placement->version.count; };
  const std::uint64_t before = known();
  BOOST_TEST((agent.placement_lease_until() == agent.lease_until()));
  // A placement is committed, and its primary dies before it tells anybody.
  rig.Primary().service().Retire({"store-0"}, [&](const auto& result) {
    BOOST_REQUIRE(operator_api::AcceptedAtOnce(result).has_value());
    rig.map.lose_next_done = true;
  });
  BOOST_REQUIRE(rig.RunUntil([&] { return !rig.map.unheard.empty(); }, seconds(1)));
  rig.cores[0]->Stop();
  rig.Elect(1);
  const net::Time counted = agent.placement_lease_until();
  bool renewed = false;
  const auto heard = [&] {
    if (known() != before) return true;
    renewed = renewed || agent.lease_until() > counted;
    BOOST_TEST((agent.placement_lease_until() == counted));
    return false;
  };
  BOOST_TEST(rig.RunUntil(heard, seconds(3)));
  BOOST_TEST(renewed);  // Else nothing was tried.
  BOOST_TEST((agent.placement_lease_until() > counted));
}

BOOST_AUTO_TEST_CASE(a_silent_primary_is_left_for_its_successor) {
  Rig rig(3, 5);
  rig.Start();
  rig.Run(seconds(2));
  rig.net.SetCutOff(rig.cores[0]->host(), true);
  rig.Run(milliseconds(1200));
  rig.Elect(1);
  BOOST_TEST(rig.RunUntil(
      [&] {
        return std::all_of(rig.proxies.begin(), rig.proxies.end(), [&](const auto& proxy) {
          return proxy->agent().primary() == rig.cores[1]->address();
        });
      },
      milliseconds(1700)));
  for (const auto& proxy : rig.proxies) BOOST_TEST(proxy->contacts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_parent_is_replaced) {
  Rig rig(3, 9);  // Three in each zone: one leader, two children.
  rig.Start();
  rig.Run(seconds(2));
  BOOST_REQUIRE(rig.Put(5, 0));
  rig.Run(seconds(1));
  // Each machine in turn is frozen, the leader of its zone among them.
  std::uint64_t version = 5;
  for (auto& frozen : rig.proxies) {
    frozen->process().SetPaused(true);
    BOOST_REQUIRE(rig.Put(version + 1, version));
    ++version;
    const auto others_have = [&] {
      return std::all_of(rig.proxies.begin(), rig.proxies.end(), [&](const auto& proxy) {
        return proxy == frozen || proxy->configuration_version() == version;
      });
    };
    BOOST_TEST(rig.RunUntil(others_have, kConfigApply));
    // By now nobody depends on it any more, though its lease still runs.
    rig.Run(milliseconds(1200));
    BOOST_REQUIRE(rig.Put(version + 1, version));
    ++version;
    BOOST_TEST(rig.RunUntil(others_have, milliseconds(100)));
    frozen->process().SetPaused(false);
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(version); }, kConfigApply));
  }
}

BOOST_AUTO_TEST_CASE(lost_pushes_are_repaired_by_renewals) {
  Rig rig(3, 6);
  rig.Start();
  rig.Run(seconds(2));
  std::uint64_t version = 0;
  for (int round = 0; round < 5; ++round) {
    // Every connection breaks at the moment of the push.
    for (const auto& proxy : rig.proxies) {
      for (const auto& core : rig.cores) rig.net.ResetBetween(core->host(), proxy->host());
      for (const auto& other : rig.proxies) {
        if (other != proxy) rig.net.ResetBetween(other->host(), proxy->host());
      }
    }
    BOOST_REQUIRE(rig.Put(version + 2, version));
    version += 2;
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(version); }, kConfigApply));
  }
}

BOOST_AUTO_TEST_CASE(a_hundred_agents_follow_in_time) {
  Rig rig(3, 100);
  rig.Start();
  BOOST_TEST(rig.RunUntil([&] { return AllInTouch(rig); }, seconds(3)));
  rig.Run(seconds(2));
  for (std::uint64_t version = 1; version <= 5; ++version) {
    BOOST_REQUIRE(rig.Put(version, version - 1));
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(version); }, milliseconds(200)));
  }
  for (const auto& proxy : rig.proxies) BOOST_TEST(!proxy->stepped_back);
}

// What a sidecar at rest and a change cost, at the size that large deployments have.
BOOST_AUTO_TEST_CASE(a_thousand_agents_follow_in_time_and_cheaply) {
  Rig rig(3, 1000);
  rig.Start();
  BOOST_TEST(rig.RunUntil([&] { return AllInTouch(rig); }, seconds(5)));
  rig.Run(seconds(10));
  const auto bytes = [&] {
    std::uint64_t sum = 0;
    for (const auto& proxy : rig.proxies) sum += proxy->hub().counters().bytes_out;
    return sum + rig.cores[0]->hub().counters().bytes_out;
  };
  const std::uint64_t before = bytes();
  rig.Run(seconds(10));
  const double at_rest = static_cast<double>(bytes() - before) / 1000 / 10;
  BOOST_TEST_MESSAGE("bytes a second and sidecar at rest: " << at_rest);
  BOOST_TEST(at_rest < 1000);
  net::Span slowest{};
  const std::uint64_t primary_before = rig.cores[0]->hub().counters().bytes_out;
  for (std::uint64_t version = 1; version <= 5; ++version) {
    BOOST_REQUIRE(rig.Put(version, version - 1));
    const net::Time acknowledged = rig.net.Now();
    BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(version); }, milliseconds(200)));
    slowest = std::max<net::Span>(slowest, rig.net.Now() - acknowledged);
  }
  BOOST_TEST_MESSAGE(
      "ms from the acknowledgement until the last of 1000 follows: " << slowest / milliseconds(1));
  BOOST_TEST_MESSAGE("bytes of the primary for five changes of "
                     << RigConfiguration(1).size()
                     << " bytes: " << rig.cores[0]->hub().counters().bytes_out - primary_before);
}

BOOST_AUTO_TEST_CASE(an_agent_whose_seeds_are_gone_finds_the_core_by_its_members) {
  Rig rig(4, 3);
  rig.Start();
  rig.Run(seconds(3));
  // The seeds are the first three; the fourth is the primary when those are cut off.
  rig.Elect(3);
  rig.Run(seconds(2));
  for (std::size_t core = 0; core < 3; ++core) {
    rig.net.SetCutOff(rig.cores[core]->host(), true);
  }
  rig.proxies[1]->agent().SetSeeds({});
  rig.Run(seconds(5));
  for (const auto& proxy : rig.proxies) BOOST_TEST(proxy->agent().in_touch());
}

BOOST_AUTO_TEST_CASE(members_name_the_ready_sidecars_and_the_cores) {
  Rig rig(3, 4);
  rig.Start();
  for (auto& proxy : rig.proxies) proxy->agent().SetReady(true);
  rig.Run(seconds(3));
  const auto count = [&](const std::string& role) {
    const auto& all = rig.proxies[0]->agent().view().members->all;
    return std::count_if(all.begin(), all.end(),
                         [&](const Member& member) { return member.role == role && member.ready; });
  };
  BOOST_TEST(count("proxy") == 4);
  BOOST_TEST(count("core") == 3);
  bool left = false;
  rig.proxies[3]->agent().Leave([&] { left = true; });
  BOOST_TEST(rig.RunUntil([&] { return count("proxy") == 3; }, seconds(1)));
  BOOST_TEST(left);
}

BOOST_AUTO_TEST_CASE(endpoints_flow_and_stand_while_the_platform_is_down) {
  Rig rig;
  EndpointEntry endpoint{"i-1", "big",          net::Address::V4(0x0a640001, 80), "zone-0", 8,
                         false, milliseconds(0)};
  rig.platform.list = {endpoint};
  rig.Start();
  rig.Run(seconds(2));
  rig.platform.list[0].draining = true;
  BOOST_TEST(rig.RunUntil(
      [&] {
        return std::all_of(rig.proxies.begin(), rig.proxies.end(), [](const auto& proxy) {
          return proxy->agent().view().endpoints->entries[0].draining;
        });
      },
      milliseconds(2000)));
  // A new primary that cannot reach the platform, and a sidecar that knows nothing.
  rig.platform.up = false;
  rig.Elect(1);
  rig.Run(seconds(1));
  rig.proxies[2]->Stop();
  rig.proxies[2]->Start();
  BOOST_TEST(rig.RunUntil(
      [&] {
        const auto& endpoints = rig.proxies[2]->agent().view().endpoints;
        return endpoints && endpoints->entries.size() == 1;
      },
      seconds(2)));
}

BOOST_AUTO_TEST_CASE(an_unchanged_list_is_not_pushed) {
  Rig rig;
  rig.platform.list = {
      {"i-1", "big", net::Address::V4(0x0a640001, 80), "zone-0", 8, false, milliseconds(900)}};
  rig.Start();
  rig.Run(seconds(3));
  const Version before = rig.proxies[0]->agent().view().endpoints->version;
  const std::uint64_t calls = rig.platform.list_calls;
  rig.platform.list[0].cold_left = milliseconds(100);
  rig.Run(seconds(3));
  BOOST_TEST(rig.platform.list_calls > calls);
  BOOST_TEST((rig.proxies[0]->agent().view().endpoints->version == before));
}

// ---- Narrow links ----

constexpr std::size_t kLargeDocument = 1U << 20;

// A window of 64 KB in twice that.
net::Weather NarrowBy(milliseconds latency) {
  net::Weather weather;
  weather.latency_low = weather.latency_high = latency;
  return weather;
}

// Some kLargeDocument bytes as it travels: routes whose prefixes no compression makes small, all
// of them others in each version.
std::string LargeConfiguration(std::uint64_t version) {
  constexpr std::size_t kRoutes = 256;
  constexpr std::size_t kPrefix = 5600;
  constexpr std::string_view kLetters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  std::mt19937_64 random(version);
  std::string routes;
  for (std::size_t route = 0; route < kRoutes; ++route) {
    std::string prefix;
    while (prefix.size() < kPrefix) prefix += kLetters[random() % kLetters.size()];
    routes += R"({"name":"r)" + std::to_string(route) +
              R"(","hostname":"b.example","pathPrefix":"/)" + prefix +
              R"(/","routeKind":"idempotent","timeoutMs":1000,"service":"big"},)";
  }
  std::string document = RigConfiguration(version);
  const std::string list = R"("routes":[)";
  document.insert(document.find(list) + list.size(), routes);
  return document;
}

// Not waited for: one after the other.
void PutLarge(Rig& rig, std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t version = first; version <= last; ++version) {
    rig.Primary().service().ChangeConfiguration(
        {configuration::ChangeMethod::kPut, version - 1, LargeConfiguration(version)},
        [](const auto& told) { BOOST_TEST(operator_api::AcceptedAtOnce(told).has_value()); });
  }
}

bool KnowsDrain(RigAgent& proxy) {
  const auto& endpoints = proxy.agent().view().endpoints;
  return endpoints && endpoints->entries[0].draining;
}

// One endpoint, and a first configuration in force everywhere.
struct NarrowScene {
  NarrowScene() : rig(1, 1) {
    rig.platform.list = {
        {"i-1", "big", net::Address::V4(0x0a640001, 80), "zone-0", 8, false, milliseconds(0)}};
    rig.Start();
    rig.Run(seconds(2));
    BOOST_REQUIRE(rig.Put(1, 0));
    BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(1); }, seconds(1)));
  }
  RigAgent& parent() { return *rig.proxies[0]; }
  // In the zone of the first proxy, which passes pushes on to it.
  RigAgent& AddChild() {
    for (int zone = 1; zone < 3; ++zone) rig.AddProxy();
    RigAgent& child = rig.AddProxy();
    child.Start();
    rig.Run(seconds(2));
    return child;
  }
  void Drain() { rig.platform.list[0].draining = true; }

  Rig rig;
};

// Also one that has begun to leave.
BOOST_AUTO_TEST_CASE(a_list_overtakes_the_documents_that_wait_at_the_core) {
  NarrowScene scene;
  scene.rig.net.SetWeather(NarrowBy(milliseconds(50)));  // A document takes 1.6 s.
  PutLarge(scene.rig, 2, 2);
  scene.rig.Run(milliseconds(400));
  scene.Drain();
  BOOST_REQUIRE(scene.rig.RunUntil([&] { return KnowsDrain(scene.parent()); }, seconds(10)));
  BOOST_TEST(scene.parent().configuration_version() == 1U);
  BOOST_TEST(scene.rig.RunUntil([&] { return scene.rig.AllHave(2); }, seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_list_overtakes_the_documents_that_wait_at_a_relay) {
  NarrowScene scene;
  RigAgent& child = scene.AddChild();
  const std::uint32_t core = scene.rig.cores[0]->host();
  scene.rig.net.SetWeather(scene.parent().host(), child.host(), NarrowBy(milliseconds(50)));
  scene.rig.net.SetCut(core, child.host(), true);  // It would ask there for what is late.
  PutLarge(scene.rig, 2, 2);
  scene.rig.Run(milliseconds(400));
  scene.Drain();
  BOOST_REQUIRE(scene.rig.RunUntil([&] { return KnowsDrain(child); }, seconds(10)));
  BOOST_TEST(scene.parent().configuration_version() == 2U);
  BOOST_TEST(child.configuration_version() == 1U);
}

std::uint64_t SentBy(RigMachine& machine) { return machine.hub().counters().bytes_out; }

BOOST_AUTO_TEST_CASE(a_document_that_is_coming_is_not_asked_for) {
  NarrowScene scene;
  RigAgent& child = scene.AddChild();
  scene.rig.net.SetWeather(scene.parent().host(), child.host(), NarrowBy(milliseconds(50)));
  const std::uint64_t by_core = SentBy(*scene.rig.cores[0]);
  const std::uint64_t by_parent = SentBy(scene.parent());
  PutLarge(scene.rig, 2, 2);  // Takes 1.6 s, over three renewals.
  BOOST_REQUIRE(scene.rig.RunUntil([&] { return scene.rig.AllHave(2); }, seconds(4)));
  BOOST_TEST(SentBy(*scene.rig.cores[0]) - by_core < kLargeDocument * 3 / 2);
  BOOST_TEST(SentBy(scene.parent()) - by_parent < kLargeDocument * 3 / 2);
}

BOOST_AUTO_TEST_CASE(nobody_asks_the_core_for_what_the_parent_is_about_to_have) {
  NarrowScene scene;
  constexpr std::size_t kChildren = 6;
  std::vector<RigAgent*> children;
  while (children.size() < kChildren) children.push_back(&scene.AddChild());
  const std::uint32_t core = scene.rig.cores[0]->host();
  // Its document takes 0.4 s, as long as the way between two renewals.
  scene.rig.net.SetWeather(core, scene.parent().host(), NarrowBy(milliseconds(12)));
  const std::uint64_t by_core = SentBy(*scene.rig.cores[0]);
  PutLarge(scene.rig, 2, 2);
  BOOST_REQUIRE(scene.rig.RunUntil([&] { return scene.rig.AllHave(2); }, seconds(2)));
  BOOST_TEST(SentBy(*scene.rig.cores[0]) - by_core < kLargeDocument * 3 / 2);
}

BOOST_AUTO_TEST_CASE(documents_that_were_replaced_hold_nothing_up) {
  NarrowScene scene;
  scene.rig.net.SetWeather(NarrowBy(milliseconds(20)));  // A document takes 0.65 s.
  PutLarge(scene.rig, 2, 11);
  BOOST_TEST(scene.rig.RunUntil([&] { return scene.rig.AllHave(11); }, seconds(2)));
}

// ---- What a change costs ----

std::string ManyRoutes(std::uint64_t version, std::size_t count) {
  std::string routes;
  for (std::size_t route = 0; route < count; ++route) {
    const std::string number = std::to_string(route * 7919 + 1);
    routes += R"({"name":"r)" + number + R"(","hostname":"h)" + number +
              R"(.example","pathPrefix":"/p)" + number +
              R"(/","routeKind":"idempotent","timeoutMs":1000,"service":"big"},)";
  }
  std::string document = RigConfiguration(version);
  const std::string list = R"("routes":[)";
  document.insert(document.find(list) + list.size(), routes);
  return document;
}

Result<void> PutDocument(Rig& rig, std::uint64_t base, std::string document) {
  std::optional<Result<void>> result;
  rig.Primary().service().ChangeConfiguration(
      {configuration::ChangeMethod::kPut, base, std::move(document)},
      [&](const auto& told) { result = operator_api::AcceptedAtOnce(told); });
  rig.RunUntil([&] { return result.has_value(); }, seconds(1));
  return result.value_or(MakeError(ErrorCode::kUnknown, "no answer"));
}

constexpr std::size_t kManyRoutes = 4000;

// The core sends each change to one process of each zone, each of these to those below it.
BOOST_AUTO_TEST_CASE(a_small_change_of_a_large_configuration_costs_its_own_bytes_at_every_hop) {
  Rig rig(1, 30);
  rig.Start();
  rig.Run(seconds(3));
  BOOST_REQUIRE(PutDocument(rig, 0, ManyRoutes(1, kManyRoutes)));
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(1); }, kConfigApply));
  rig.Run(seconds(3));
  const auto sent_by_proxies = [&] {
    std::uint64_t sent = 0;
    for (const auto& proxy : rig.proxies) sent += SentBy(*proxy);
    return sent;
  };
  const std::uint64_t by_core = SentBy(*rig.cores[0]);
  const std::uint64_t by_proxies = sent_by_proxies();
  BOOST_REQUIRE(PutDocument(rig, 1, ManyRoutes(2, kManyRoutes + 1)));
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(2); }, milliseconds(200)));
  BOOST_TEST(SentBy(*rig.cores[0]) - by_core < 16U << 10);
  BOOST_TEST(sent_by_proxies() - by_proxies < 32U << 10);
}

BOOST_AUTO_TEST_CASE(a_configuration_that_processes_could_not_hold_is_refused) {
  Rig rig(1, 2);
  rig.Start();
  rig.Run(seconds(2));
  BOOST_REQUIRE(rig.Put(1, 0));
  const std::size_t bound = (rig.cores[0]->settings().limits.memory_mb << 20U) / 32;
  std::string document = RigConfiguration(2);
  document.insert(1, R"("note":")" + std::string(bound, 'n') + R"(",)");
  const Result<void> refused = PutDocument(rig, 1, document);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == ErrorCode::kTooLarge));
  BOOST_TEST(refused.error().text.find(std::to_string(document.size())) != std::string::npos);
  BOOST_TEST(refused.error().text.find(std::to_string(bound)) != std::string::npos);
  BOOST_TEST(rig.Put(2, 1).has_value());
  BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(2); }, kConfigApply));
}

// Who missed changes asks for what is between, not for the whole.
BOOST_AUTO_TEST_CASE(who_was_away_for_some_changes_asks_for_these) {
  Rig rig(1, 2);
  rig.Start();
  rig.Run(seconds(2));
  BOOST_REQUIRE(PutDocument(rig, 0, ManyRoutes(1, kManyRoutes)));
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(1); }, kConfigApply));
  RigAgent& away = *rig.proxies[1];
  rig.net.SetCutOff(away.host(), true);
  for (std::uint64_t version = 2; version <= 5; ++version) {
    BOOST_REQUIRE(PutDocument(rig, version - 1, ManyRoutes(version, kManyRoutes + version)));
  }
  rig.Run(seconds(4));
  const std::uint64_t by_core = SentBy(*rig.cores[0]);
  rig.net.SetCutOff(away.host(), false);
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.AllHave(5); }, seconds(2)));
  BOOST_TEST(SentBy(*rig.cores[0]) - by_core < 16U << 10);
}

// All of them start at once, as after a loss of power, and each needs the whole.
BOOST_AUTO_TEST_CASE(all_that_return_at_once_take_a_large_configuration_from_each_other) {
  constexpr std::size_t kProxies = 90;
  Rig rig(1, kProxies);
  rig.cores[0]->Start();
  rig.Elect(0);
  BOOST_REQUIRE(PutDocument(rig, 0, ManyRoutes(1, kManyRoutes)));
  const std::size_t whole = WholeBody(ManyRoutes(1, kManyRoutes)).size();
  const std::uint64_t by_core = SentBy(*rig.cores[0]);
  for (auto& proxy : rig.proxies) proxy->Start();
  // Within the first renewals, not with the next ones.
  BOOST_TEST(rig.RunUntil([&] { return rig.AllHave(1); }, milliseconds(400)));
  BOOST_TEST(SentBy(*rig.cores[0]) - by_core < kProxies / 9 * whole);
}

}  // namespace
}  // namespace shelflink::cluster
