// Batch calls beside live ones: who sends them to which endpoint, and how many.
#define BOOST_TEST_MODULE tier_policy_batch_share
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "tier/policy/batch_limit.h"
#include "tier/policy/batch_owners.h"
#include "tier/policy/batch_start_delay.h"
#include "tier/policy/module.h"

namespace shelflink::policy {
namespace {

constexpr Micros kMs = 1000;

std::string NodeName(std::size_t i) { return "edge-" + std::to_string(i); }
std::string EndpointName(std::size_t i) { return "i-" + std::to_string(i); }
std::string ZoneName(std::size_t i) { return "zone-" + std::to_string(i % 5); }

std::vector<BatchOwners::Sidecar> Sidecars(std::size_t count) {
  std::vector<BatchOwners::Sidecar> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back({NodeName(i), ZoneName(i)});
  return all;
}

std::vector<std::size_t> OwnersOf(const BatchOwners& owners, std::size_t endpoint,
                                  std::size_t sidecars) {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < sidecars; ++i) {
    if (owners.Owns(NodeName(i), EndpointName(endpoint), ZoneName(endpoint))) found.push_back(i);
  }
  return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(owners)

BOOST_AUTO_TEST_CASE(each_endpoint_has_one_owner_in_its_zone) {
  BatchOwners owners;
  owners.SetSidecars(Sidecars(69));
  for (std::size_t i = 0; i < 200; ++i) {
    const std::vector<std::size_t> found = OwnersOf(owners, i, 69);
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_TEST(ZoneName(found[0]) == ZoneName(i));
  }
}

BOOST_AUTO_TEST_CASE(a_zone_without_sidecars_is_owned_from_others) {
  std::vector<BatchOwners::Sidecar> sidecars = Sidecars(69);
  std::erase_if(sidecars, [](const auto& sidecar) { return sidecar.zone == ZoneName(0); });
  BatchOwners owners;
  owners.SetSidecars(sidecars);
  for (std::size_t i = 0; i < 200; ++i) {
    BOOST_TEST(OwnersOf(owners, i, 69).size() == 1U);
  }
  owners.SetSidecars({});
  BOOST_TEST(OwnersOf(owners, 0, 69).empty());
}

BOOST_AUTO_TEST_CASE(endpoints_are_spread_and_few_move_when_a_sidecar_leaves) {
  constexpr std::size_t kEndpoints = 2000;
  constexpr std::size_t kSidecars = 50;
  BatchOwners owners;
  owners.SetSidecars(Sidecars(kSidecars));
  std::map<std::size_t, std::size_t> owned;
  std::vector<std::size_t> before;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    before.push_back(OwnersOf(owners, i, kSidecars).at(0));
    ++owned[before.back()];
  }
  for (const auto& [sidecar, count] : owned) BOOST_TEST(count <= 3 * kEndpoints / kSidecars);
  BOOST_TEST(owned.size() == kSidecars);
  std::vector<BatchOwners::Sidecar> fewer = Sidecars(kSidecars);
  fewer.erase(fewer.begin() + 7);
  BOOST_TEST(owners.SetSidecars(fewer));
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    if (before[i] != 7) BOOST_TEST(OwnersOf(owners, i, kSidecars).at(0) == before[i]);
  }
}

BOOST_AUTO_TEST_CASE(the_order_of_the_list_does_not_matter) {
  std::vector<BatchOwners::Sidecar> sidecars = Sidecars(20);
  BatchOwners owners;
  BOOST_TEST(owners.SetSidecars(sidecars));
  std::reverse(sidecars.begin(), sidecars.end());
  BOOST_TEST(!owners.SetSidecars(sidecars));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limit)

BOOST_AUTO_TEST_CASE(starts_at_half_of_the_slots_and_never_falls_below_one) {
  BatchLimit limit;
  limit.SetSlots(8);
  BOOST_TEST(limit.value() == 4.0);
  for (int i = 0; i < 100; ++i) limit.NoteWait();
  BOOST_TEST(limit.value() == 1.0);
  limit.NoteRejected();
  limit.NoteLateLiveCall();
  BOOST_TEST(limit.value() == 1.0);
  limit.SetSlots(8);  // The same list again.
  BOOST_TEST(limit.value() == 1.0);
  limit.SetSlots(1);
  BOOST_TEST(limit.value() == 1.0);
}

BOOST_AUTO_TEST_CASE(rises_only_where_it_binds) {
  BatchLimit limit;
  limit.SetSlots(8);
  for (int i = 0; i < 100; ++i) limit.NoteImmediateStart(1);
  BOOST_TEST(limit.value() == 4.0);
  for (int i = 0; i < 100; ++i) limit.NoteImmediateStart(8);
  BOOST_TEST(limit.value() > 7.0);
  BOOST_TEST(limit.value() < 8.0);  // A part is always left for live calls.
}

BOOST_AUTO_TEST_CASE(settles_where_one_call_in_six_waits) {
  // Calls wait in proportion to how many there are: at four seats one in six does.
  BatchLimit limit;
  limit.SetSlots(16);
  double owed = 0.0;
  double sum = 0.0;
  for (int i = 0; i < 4000; ++i) {
    owed += std::max(0.0, limit.value() / 24.0);
    if (owed >= 1.0) {
      limit.NoteWait();
      owed -= 1.0;
    } else {
      limit.NoteImmediateStart(16);
    }
    if (i >= 2000) sum += limit.value();
  }
  BOOST_TEST(sum / 2000 > 3.5);
  BOOST_TEST(sum / 2000 < 4.5);
}

BOOST_AUTO_TEST_CASE(late_live_calls_and_refusals_lower_it) {
  BatchLimit limit;
  limit.SetSlots(16);
  limit.NoteLateLiveCall();
  BOOST_TEST(limit.value() < 8.0);
  const double before = limit.value();
  limit.NoteRejected();
  BOOST_TEST(limit.value() < 0.8 * before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(start)

BOOST_AUTO_TEST_CASE(a_wait_is_told_against_the_least_start) {
  BatchStartDelay start;
  BOOST_TEST(start.Note(40e3, 10e3) == 0.0);
  BOOST_TEST(start.Note(140e3, 10e3) > 95e3);
  BOOST_TEST(start.Note(40e3, 60e3) == 0.0);  // It was read faster than was thought.
}

BOOST_AUTO_TEST_CASE(waits_stay_waits_while_all_wait) {
  BatchStartDelay start;
  start.Note(30e3, 0.0);
  double waited = 0.0;
  for (int i = 0; i < 60; ++i) waited = start.Note(200e3, 0.0);
  BOOST_TEST(waited > 100e3);
}

BOOST_AUTO_TEST_CASE(what_lasts_is_taken_for_usual_in_the_end) {
  BatchStartDelay start;
  start.Note(30e3, 0.0);
  double waited = 0.0;
  for (int i = 0; i < 400; ++i) waited = start.Note(200e3, 0.0);
  BOOST_TEST(waited == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(room)

struct Recorded : Actions {
  struct Sent {
    CallId call;
    std::uint32_t attempt;
    std::string endpoint;
  };
  void Send(CallId call, std::uint32_t attempt, const std::string& endpoint) override {
    sent.push_back({call, attempt, endpoint});
  }
  void Refuse(CallId call, Micros) override { refused.push_back(call); }
  void Fail(CallId) override {}
  void SetTimer(Micros) override {}

  std::vector<Sent> sent;
  std::vector<CallId> refused;
};

struct Sidecar {
  Sidecar() : module(1, actions) {
    ModuleConfig config;
    config.node = "edge-1";
    config.zone = "here";
    config.sidecars = 69;
    config.levels = 2;
    module.OnConfig(0, config);
    List({"own", "other"}, {"own"});
  }

  void List(const std::vector<std::string>& ids, const std::vector<std::string>& own) {
    ServiceInfo service;
    service.name = "model";
    for (const std::string& id : ids) {
      EndpointInfo info;
      info.id = id;
      info.zone = "here";
      info.slots = 8;
      info.owned_for_batch = std::find(own.begin(), own.end(), id) != own.end();
      service.endpoints.push_back(info);
    }
    module.OnService(0, service);
  }

  void Ask(CallId id, Micros now, bool batch) {
    Call call;
    call.id = id;
    call.service = "model";
    call.level = batch ? 1 : 0;
    call.batch = batch;
    call.objective = 300 * kMs;
    call.max_attempts = 3;
    if (!batch) {
      call.timeout = 5000 * kMs;
      call.deadline = now + 5000 * kMs;
    }
    module.OnCall(now, call);
  }

  Recorded actions;
  Module module;
};

BOOST_FIXTURE_TEST_CASE(batch_goes_to_own_endpoints_alone_however_many_sidecars_there_are,
                        Sidecar) {
  Micros now = 0;
  CallId id = 1;
  while (module.Room(now, 1) > 0) {
    Ask(id, now, true);
    module.OnFirstEvent(now + 20 * kMs, id, 0);
    now += 20 * kMs;
    ++id;
  }
  // Half of the slots at first, and what prompt first events add to that.
  BOOST_TEST(actions.sent.size() >= 4U);
  BOOST_TEST(actions.sent.size() <= 6U);
  for (const auto& sent : actions.sent) BOOST_TEST(sent.endpoint == "own");
  Ask(id, now, true);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(who_owns_nothing_has_no_room, Sidecar) {
  List({"own", "other"}, {});
  BOOST_TEST(module.Room(0, 1) == 0U);
  Ask(1, 0, true);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_is_owned_no_more_gets_nothing_more, Sidecar) {
  Ask(1, 0, true);
  List({"own", "other"}, {"other"});
  BOOST_TEST(module.Room(0, 1) >= 1U);
  Ask(2, 0, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint == "own");
  BOOST_TEST(actions.sent[1].endpoint == "other");
  module.OnOutcome(10 * kMs, 1, 0, Outcome::kSuccess, false);
}

BOOST_FIXTURE_TEST_CASE(prompts_are_handed_over_few_at_a_time, Sidecar) {
  BOOST_TEST(module.Room(0, 1) == 2U);
  Ask(1, 0, true);
  BOOST_TEST(module.Room(0, 1) == 1U);
  Ask(2, 0, true);
  BOOST_TEST(module.Room(0, 1) == 0U);
  module.OnFirstEvent(20 * kMs, 1, 0);
  BOOST_TEST(module.Room(20 * kMs, 1) == 1U);
}

BOOST_FIXTURE_TEST_CASE(what_the_endpoint_tells_of_others_takes_room, Sidecar) {
  module.OnLoad(0, "own", 8, 0, 8);
  BOOST_TEST(module.Room(0, 1) == 1U);  // One at a time: batch is not to stand still.
  Ask(1, 0, true);
  BOOST_TEST(module.Room(0, 1) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_batch_call_that_breaks_is_tried_at_another_own_endpoint, Sidecar) {
  List({"own", "other"}, {"own", "other"});
  Ask(1, 0, true);
  const std::string first = actions.sent.at(0).endpoint;
  module.OnOutcome(5 * kMs, 1, 0, Outcome::kNotRun, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[1].endpoint != first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shelflink::policy
