// Batch calls next to live calls: which sidecar sends them to which endpoint, and how many.
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
  std::vector<BatchOwners::Sidecar> sidecars;
  for (std::size_t i = 0; i < count; ++i) sidecars.push_back({NodeName(i), ZoneName(i)});
  return sidecars;
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

BOOST_AUTO_TEST_CASE(endpoints_of_a_zone_without_sidecars_have_owners_in_other_zones) {
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

BOOST_AUTO_TEST_CASE(endpoints_are_spread_and_other_owners_stay_when_a_sidecar_leaves) {
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

BOOST_AUTO_TEST_CASE(list_order_does_not_matter) {
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
  limit.SetSlots(8);  // Unchanged: no reset.
  BOOST_TEST(limit.value() == 1.0);
  limit.SetSlots(1);
  BOOST_TEST(limit.value() == 1.0);
}

BOOST_AUTO_TEST_CASE(rises_only_when_reached) {
  BatchLimit limit;
  limit.SetSlots(8);
  for (int i = 0; i < 100; ++i) limit.NoteImmediateStart(1);
  BOOST_TEST(limit.value() == 4.0);
  for (int i = 0; i < 100; ++i) limit.NoteImmediateStart(8);
  BOOST_TEST(limit.value() > 7.0);
  BOOST_TEST(limit.value() < 8.0);  // Some slots always remain for live calls.
}

BOOST_AUTO_TEST_CASE(settles_where_one_call_in_six_waits) {
  // The fraction of calls that wait is proportional to the limit: at a limit of 4 one in six waits.
  BatchLimit limit;
  limit.SetSlots(16);
  double pending_waits = 0.0;
  double sum = 0.0;
  for (int i = 0; i < 4000; ++i) {
    pending_waits += std::max(0.0, limit.value() / 24.0);
    if (pending_waits >= 1.0) {
      limit.NoteWait();
      pending_waits -= 1.0;
    } else {
      limit.NoteImmediateStart(16);
    }
    if (i >= 2000) sum += limit.value();
  }
  BOOST_TEST(sum / 2000 > 3.5);
  BOOST_TEST(sum / 2000 < 4.5);
}

BOOST_AUTO_TEST_CASE(late_live_calls_and_rejections_lower_it) {
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

BOOST_AUTO_TEST_CASE(a_wait_is_measured_from_the_minimum) {
  BatchStartDelay start;
  BOOST_TEST(start.Note(40e3, 10e3) == 0.0);
  BOOST_TEST(start.Note(140e3, 10e3) > 95e3);
  BOOST_TEST(start.Note(40e3, 60e3) == 0.0);  // Prefill was faster than predicted.
}

BOOST_AUTO_TEST_CASE(waits_are_still_detected_when_all_calls_wait) {
  BatchStartDelay start;
  start.Note(30e3, 0.0);
  double waited = 0.0;
  for (int i = 0; i < 60; ++i) waited = start.Note(200e3, 0.0);
  BOOST_TEST(waited > 100e3);
}

BOOST_AUTO_TEST_CASE(a_lasting_delay_becomes_the_minimum_eventually) {
  BatchStartDelay start;
  start.Note(30e3, 0.0);
  double waited = 0.0;
  for (int i = 0; i < 400; ++i) waited = start.Note(200e3, 0.0);
  BOOST_TEST(waited == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(room)

struct RecordingActions : Actions {
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
    SetEndpoints({"own", "other"}, {"own"});
  }

  void SetEndpoints(const std::vector<std::string>& ids, const std::vector<std::string>& owned) {
    ServiceInfo service;
    service.name = "model";
    for (const std::string& id : ids) {
      EndpointInfo info;
      info.id = id;
      info.zone = "here";
      info.slots = 8;
      info.owned_for_batch = std::find(owned.begin(), owned.end(), id) != owned.end();
      service.endpoints.push_back(info);
    }
    module.OnService(0, service);
  }

  void SubmitCall(CallId id, Micros now, bool batch) {
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

  RecordingActions actions;
  Module module;
};

BOOST_FIXTURE_TEST_CASE(batch_goes_only_to_owned_endpoints_with_any_number_of_sidecars, Sidecar) {
  Micros now = 0;
  CallId id = 1;
  while (module.Room(now, 1) > 0) {
    SubmitCall(id, now, true);
    module.OnFirstEvent(now + 20 * kMs, id, 0);
    now += 20 * kMs;
    ++id;
  }
  // Half of the slots at first, raised a little by calls that start immediately.
  BOOST_TEST(actions.sent.size() >= 4U);
  BOOST_TEST(actions.sent.size() <= 6U);
  for (const auto& sent : actions.sent) BOOST_TEST(sent.endpoint == "own");
  SubmitCall(id, now, true);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(without_owned_endpoints_there_is_no_room, Sidecar) {
  SetEndpoints({"own", "other"}, {});
  BOOST_TEST(module.Room(0, 1) == 0U);
  SubmitCall(1, 0, true);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_no_longer_owned_gets_no_batch_calls, Sidecar) {
  SubmitCall(1, 0, true);
  SetEndpoints({"own", "other"}, {"other"});
  BOOST_TEST(module.Room(0, 1) >= 1U);
  SubmitCall(2, 0, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint == "own");
  BOOST_TEST(actions.sent[1].endpoint == "other");
  module.OnOutcome(10 * kMs, 1, 0, Outcome::kSuccess, false);
}

BOOST_FIXTURE_TEST_CASE(batch_prefills_per_endpoint_are_limited, Sidecar) {
  BOOST_TEST(module.Room(0, 1) == 2U);
  SubmitCall(1, 0, true);
  BOOST_TEST(module.Room(0, 1) == 1U);
  SubmitCall(2, 0, true);
  BOOST_TEST(module.Room(0, 1) == 0U);
  module.OnFirstEvent(20 * kMs, 1, 0);
  BOOST_TEST(module.Room(20 * kMs, 1) == 1U);
}

BOOST_FIXTURE_TEST_CASE(reported_calls_of_other_sidecars_reduce_room, Sidecar) {
  module.OnLoad(0, "own", 8, 0, 8);
  BOOST_TEST(module.Room(0, 1) == 1U);  // One at a time, so that batch progresses.
  SubmitCall(1, 0, true);
  BOOST_TEST(module.Room(0, 1) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_rejected_batch_call_is_retried_at_another_owned_endpoint, Sidecar) {
  SetEndpoints({"own", "other"}, {"own", "other"});
  SubmitCall(1, 0, true);
  const std::string first = actions.sent.at(0).endpoint;
  module.OnOutcome(5 * kMs, 1, 0, Outcome::kNotRun, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[1].endpoint != first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shelflink::policy
