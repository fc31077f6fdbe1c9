// Agents that hear a former primary, after the present one is out of reach: whatever it answers,
// pushes or has others pass on, they step back in nothing and take no lease from it.
#define BOOST_TEST_MODULE cluster_old_primary
#include <boost/test/unit_test.hpp>

#include "cluster/rig.h"
#include "tier/cluster/view_codec.h"

namespace shelflink::cluster {
namespace {

constexpr milliseconds kProxyLease{3000};

// A core process that says what the test wants it to say.
class ScriptedCore {
 public:
  ScriptedCore(net::VirtualNet& net, std::uint32_t host, std::uint64_t epoch)
      : process_(net, host, "core", 256),
        hub_(process_,
             {"core", "core", "zone-0",
              net::Address::V4(host, static_cast<std::uint16_t>(kFirstPort + 1)), epoch},
             {}),
        epoch_(epoch) {
    hub_.HandleCall(kRenewKind,
                    [this](const transport::PeerIdentity&, std::string_view,
                           const transport::Hub::Reply& reply) { reply(Encode(Answer(true))); });
    hub_.HandleCall(kDetourKind,
                    [this](const transport::PeerIdentity&, std::string_view,
                           const transport::Hub::Reply& reply) { reply(Encode(Answer(false))); });
    hub_.HandleCall(kFetchKind, [this](const transport::PeerIdentity&, std::string_view body,
                                       const transport::Hub::Reply& reply) {
      if (holds) {
        held_.emplace_back([reply, answer = Fetched(body)] { reply(answer); });
      } else {
        reply(Fetched(body));
      }
    });
  }
  ~ScriptedCore() { process_.Kill(); }
  ScriptedCore(const ScriptedCore&) = delete;
  ScriptedCore& operator=(const ScriptedCore&) = delete;

  void SetPart(Part part, Version version, std::string body) {
    versions_[part] = version;
    parts_[part] = {part, version, std::move(body)};
  }
  // Answers to fetches, made when these came.
  void ReleaseHeld() {
    holds = false;
    for (const auto& answer : std::exchange(held_, {})) answer();
  }
  void Announce(const net::Address& to, Part part) {
    hub_.Send(to, kPushKind,
              Encode(Push{part, versions_[part], ConfigurationHistory::Announcement()}));
  }
  void PushAll(const net::Address& to) {
    for (const auto& [part, push] : parts_) hub_.Send(to, kPushKind, Encode(push));
  }
  std::uint32_t host() const { return process_.host(); }
  std::uint64_t answered = 0;  // Renewals and detours.
  std::int64_t true_micros = 0;
  std::uint32_t interval_ms = 300;
  bool holds = false;  // Fetches are answered later.
  int busy = 0;        // So many fetches of the configuration are put off.
  bool leads = true;   // As far as it knows itself.

 private:
  RenewalAnswer Answer(bool lease) {
    ++answered;
    RenewalAnswer answer;
    answer.accepted = leads;
    answer.primary = hub_.self().address;
    answer.epoch = epoch_;
    answer.incarnation = epoch_;
    answer.versions = versions_;
    answer.true_micros = true_micros;
    answer.lease_ms = lease ? static_cast<std::uint32_t>(kProxyLease.count()) : 0;
    answer.interval_ms = interval_ms;
    return answer;
  }
  Result<std::string> Fetched(std::string_view body) {
    const auto fetch = DecodeFetch(body);
    if (!fetch) return fetch.error();
    if (fetch.value().part == Part::kConfiguration && busy > 0) {
      --busy;
      return MakeError(ErrorCode::kExhausted, "too much waits");
    }
    const auto found = parts_.find(fetch.value().part);
    if (found == parts_.end()) return MakeError(ErrorCode::kNotFound, "none");
    return Encode(found->second);  // Also one that is older than what was asked for.
  }

  net::VirtualProcess process_;
  transport::Hub hub_;
  std::uint64_t epoch_;
  PartVersions versions_;
  std::map<Part, Push> parts_;
  std::vector<std::function<void()>> held_;
};

std::vector<EndpointEntry> OneEndpoint(const std::string& id) {
  return {{id, "big", net::Address::V4(0x0a640001, 80), "zone-0", 8, false, milliseconds(0)}};
}

// Two proxies; `present` leads epoch 5 with version 9, `former` led epoch 4 with version 7.
struct Scene {
  Scene() {
    present.SetPart(Part::kConfiguration, {0, 9}, WholeBody(RigConfiguration(9)));
    present.SetPart(Part::kEndpoints, {5, 3}, EncodeEndpoints(OneEndpoint("new")));
    present.SetPart(Part::kMembers, {5, 2}, EncodeMembers(Members()));
    former.SetPart(Part::kConfiguration, {0, 7}, WholeBody(RigConfiguration(7)));
    former.SetPart(Part::kEndpoints, {4, 90}, EncodeEndpoints(OneEndpoint("old")));
    former.SetPart(Part::kMembers, {4, 90}, EncodeMembers({}));
  }
  std::vector<Member> Members() {
    std::vector<Member> all;
    for (const auto& proxy : rig.proxies) {
      all.push_back({proxy->settings().node, "proxy", "zone-0", proxy->address(), true});
    }
    return all;
  }
  void StartWithThePresent(RigAgent& proxy) {
    rig.net.SetCutOff(former.host(), true);
    proxy.Start();
    BOOST_REQUIRE(rig.RunUntil([&] { return HasTheNewest(proxy); }, seconds(3)));
    rig.net.SetCutOff(former.host(), false);
  }
  static bool HasTheNewest(RigAgent& proxy) {
    const View& view = proxy.agent().view();
    return proxy.configuration_version() == 9 && view.endpoints && view.members &&
           view.endpoints->entries[0].id == "new" && view.members->version.epoch == 5;
  }

  Rig rig{2, 2};
  ScriptedCore present{rig.net, rig.cores[0]->host(), 5};
  ScriptedCore former{rig.net, rig.cores[1]->host(), 4};
};

BOOST_FIXTURE_TEST_CASE(a_former_primary_gives_no_lease_and_nothing_older, Scene) {
  RigAgent& proxy = *rig.proxies[0];
  StartWithThePresent(proxy);
  rig.net.SetCutOff(present.host(), true);
  for (int round = 0; round < 20; ++round) {
    rig.Run(milliseconds(500));
    former.PushAll(proxy.address());
  }
  BOOST_TEST(former.answered > 0U);  // It was asked, and accepted.
  BOOST_TEST(HasTheNewest(proxy));
  BOOST_TEST(!proxy.stepped_back);
  BOOST_TEST(!proxy.agent().in_touch());
  rig.net.SetCutOff(present.host(), false);
  BOOST_TEST(rig.RunUntil([&] { return proxy.agent().in_touch(); }, seconds(2)));
  BOOST_TEST(HasTheNewest(proxy));
}

// The other proxy has started beside the former primary and follows it in good faith.
BOOST_FIXTURE_TEST_CASE(a_detour_to_a_former_primary_changes_nothing, Scene) {
  RigAgent& proxy = *rig.proxies[0];
  RigAgent& other = *rig.proxies[1];
  present.true_micros = 1'700'000'000'000'000;
  StartWithThePresent(proxy);
  rig.net.SetCutOff(present.host(), true);
  other.Start();
  BOOST_REQUIRE(rig.RunUntil([&] { return other.configuration_version() == 7; }, seconds(3)));
  rig.net.SetCut(proxy.host(), former.host(), true);
  rig.Run(seconds(4));
  BOOST_TEST(!proxy.agent().in_touch());
  const std::uint64_t before = former.answered;
  const std::int64_t true_before = proxy.agent().TrueMicros();
  rig.Run(seconds(5));
  BOOST_TEST(former.answered > before + 5);  // Detours among them.
  BOOST_TEST(HasTheNewest(proxy));
  BOOST_TEST(!proxy.stepped_back);
  BOOST_TEST(!proxy.agent().in_touch());
  BOOST_TEST(proxy.agent().TrueMicros() - true_before == 5'000'000);
  rig.net.SetCutOff(present.host(), false);
  former.leads = false;
  BOOST_TEST(rig.RunUntil([&] { return proxy.agent().in_touch(); }, seconds(2)));
  BOOST_TEST(rig.RunUntil([&] { return HasTheNewest(other); }, seconds(2)));
  BOOST_TEST(!other.stepped_back);
}

// Pushes that a cut has held up arrive at its end, after newer ones came another way.
BOOST_FIXTURE_TEST_CASE(late_pushes_of_a_former_primary_are_dropped, Scene) {
  RigAgent& proxy = *rig.proxies[0];
  rig.net.SetCutOff(present.host(), true);
  proxy.Start();
  BOOST_REQUIRE(rig.RunUntil([&] { return proxy.configuration_version() == 7; }, seconds(3)));
  rig.net.SetCut(proxy.host(), former.host(), true);
  former.PushAll(proxy.address());
  rig.net.SetCutOff(present.host(), false);
  BOOST_REQUIRE(rig.RunUntil([&] { return HasTheNewest(proxy); }, seconds(8)));
  rig.net.SetCut(proxy.host(), former.host(), false);
  rig.Run(seconds(5));
  BOOST_TEST(HasTheNewest(proxy));
  BOOST_TEST(!proxy.stepped_back);
}

// Before the next renewal, which would ask it too.
BOOST_FIXTURE_TEST_CASE(a_busy_core_is_asked_again_soon, Scene) {
  RigAgent& proxy = *rig.proxies[0];
  rig.net.SetCutOff(former.host(), true);
  present.interval_ms = 5000;
  present.busy = 3;
  proxy.Start();
  BOOST_TEST(rig.RunUntil([&] { return proxy.configuration_version() == 9; }, seconds(2)));
  BOOST_TEST(present.busy == 0);
}

// The same: a newer configuration is announced while an older one is on its way.
BOOST_FIXTURE_TEST_CASE(what_is_told_of_during_a_fetch_is_fetched_after_it, Scene) {
  RigAgent& proxy = *rig.proxies[0];
  rig.net.SetCutOff(former.host(), true);
  present.interval_ms = 5000;
  present.holds = true;
  proxy.Start();
  BOOST_REQUIRE(rig.RunUntil([&] { return present.answered > 0; }, seconds(3)));
  rig.Run(milliseconds(100));
  BOOST_REQUIRE(proxy.configuration_version() == 0U);
  present.SetPart(Part::kConfiguration, {0, 10}, WholeBody(RigConfiguration(10)));
  present.Announce(proxy.address(), Part::kConfiguration);
  rig.Run(milliseconds(50));
  present.ReleaseHeld();
  BOOST_TEST(rig.RunUntil([&] { return proxy.configuration_version() == 10; }, milliseconds(300)));
}

}  // namespace
}  // namespace shelflink::cluster
