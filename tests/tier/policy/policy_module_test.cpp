// Event-by-event tests of the decision module of the serving tier.
#define BOOST_TEST_MODULE tier_policy_module
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "tier/policy/module.h"

namespace shelflink::policy {
namespace {

constexpr Micros kMs = 1000;

struct Sent {
  CallId call;
  std::uint32_t attempt;
  std::string endpoint;
};

class Recorder : public Actions {
 public:
  void Send(CallId call, std::uint32_t attempt, const std::string& endpoint) override {
    sent.push_back({call, attempt, endpoint});
  }
  void Refuse(CallId call, Micros retry_after) override {
    refused.push_back(call);
    retry_after_times.insert(retry_after);
  }
  void Fail(CallId call) override { failed.push_back(call); }
  void SetTimer(Micros at) override { timer = at; }

  std::vector<Sent> sent;
  std::vector<CallId> refused;
  std::set<Micros> retry_after_times;
  std::vector<CallId> failed;
  Micros timer = kNever;
};

struct Fixture {
  Fixture() {
    ModuleConfig config;
    config.node = "edge-1";
    config.levels = 2;
    module.OnConfig(0, config);
    ServiceInfo service;
    service.name = "model";
    service.endpoints = {{"a", "z", 8, false, 0}, {"b", "z", 8, false, 0}};
    module.OnService(0, service);
  }
  Call NewCall(CallId id) const {
    Call call;
    call.id = id;
    call.service = "model";
    call.deadline = 5000 * kMs;
    call.timeout = 5000 * kMs;
    call.max_attempts = 2;
    call.prompt_tokens = 100;
    call.output_tokens = 10;
    return call;
  }
  Recorder actions;
  Module module{1, actions};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(is_sent_immediately_to_the_less_loaded_endpoint, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnCall(0, NewCall(2));
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint != actions.sent[1].endpoint);
}

BOOST_FIXTURE_TEST_CASE(a_call_that_did_not_run_is_retried_elsewhere_up_to_max_attempts, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnOutcome(1, 1, 0, Outcome::kNotRun, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint != actions.sent[1].endpoint);
  module.OnOutcome(2, 1, 1, Outcome::kNotRun, true);
  BOOST_TEST(actions.sent.size() == 2U);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_call_that_may_have_run_is_not_sent_again_and_fails, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnOutcome(1, 1, 0, Outcome::kReset, true);
  BOOST_TEST(actions.sent.size() == 1U);
  BOOST_TEST(actions.failed.size() == 1U);
  BOOST_TEST(actions.refused.empty());
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_gets_no_calls, Fixture) {
  ServiceInfo service;
  service.name = "model";
  service.endpoints = {{"a", "z", 8, true, 0}, {"b", "z", 8, false, 0}};
  module.OnService(1, service);
  for (CallId id = 1; id <= 10; ++id) module.OnCall(2, NewCall(id));
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 10U);
  for (const Sent& sent : actions.sent) BOOST_TEST(sent.endpoint == "b");
}

BOOST_FIXTURE_TEST_CASE(a_misdirected_endpoint_gets_no_calls, Fixture) {
  module.OnCall(0, NewCall(1));
  const std::string moved = actions.sent[0].endpoint;
  module.OnOutcome(1, 1, 0, Outcome::kMisdirected, true);
  for (CallId id = 2; id <= 10; ++id) module.OnCall(2, NewCall(id));
  for (std::size_t i = 1; i < actions.sent.size(); ++i) {
    BOOST_TEST(actions.sent[i].endpoint != moved);
  }
}

BOOST_FIXTURE_TEST_CASE(an_unsent_attempt_does_not_count_and_is_retried_for_any_call, Fixture) {
  Call call = NewCall(1);
  call.max_attempts = 1;
  module.OnCall(0, call);
  module.OnOutcome(1, 1, 0, Outcome::kNeverSent, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[1].attempt == 1U);
  module.OnOutcome(2, 1, 1, Outcome::kNotRun, true);
  BOOST_TEST(actions.sent.size() == 2U);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_truncated_stream_continues_at_another_endpoint_if_repeatable, Fixture) {
  Call call = NewCall(1);
  call.repeatable = true;
  module.OnCall(0, call);
  module.OnFirstEvent(1, 1, 0);
  module.OnOutcome(2, 1, 0, Outcome::kTruncated, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint != actions.sent[1].endpoint);
  module.OnOutcome(3, 1, 1, Outcome::kTruncated, true);
  BOOST_TEST(actions.failed.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(no_retry_shortly_before_the_deadline, Fixture) {
  Call call = NewCall(1);
  call.objective = 300 * kMs;
  module.OnCall(0, call);
  module.OnOutcome(call.deadline - 10 * kMs, 1, 0, Outcome::kNotRun, true);
  BOOST_TEST(actions.sent.size() == 1U);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(refused_calls_get_different_retry_after_times, Fixture) {
  module.OnServiceRemoved(0, "model");
  for (CallId id = 1; id <= 50; ++id) module.OnCall(1, NewCall(id));
  BOOST_REQUIRE_EQUAL(actions.refused.size(), 50U);
  BOOST_TEST(actions.retry_after_times.size() > 40U);
  BOOST_TEST(*actions.retry_after_times.begin() >= 100 * kMs);
  BOOST_TEST(*actions.retry_after_times.rbegin() <= 1250 * kMs);
}

BOOST_FIXTURE_TEST_CASE(pending_calls_are_limited, Fixture) {
  ModuleConfig config;
  config.node = "edge-1";
  config.levels = 2;
  config.max_calls = 5;
  module.OnConfig(0, config);
  for (CallId id = 1; id <= 8; ++id) module.OnCall(1, NewCall(id));
  BOOST_TEST(actions.sent.size() == 5U);
  BOOST_TEST(actions.refused.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_service_may_be_removed_while_its_calls_are_in_flight, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnCall(0, NewCall(2));
  module.OnServiceRemoved(1, "model");
  module.OnFirstEvent(2, 1, 0);
  module.OnOutcome(3, 1, 0, Outcome::kSuccess, false);
  module.OnOutcome(4, 2, 0, Outcome::kNotRun, true);
  BOOST_TEST(actions.refused.size() == 1U);
  module.OnCall(5, NewCall(3));
  BOOST_TEST(actions.refused.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_may_leave_the_list_while_its_call_is_in_flight, Fixture) {
  module.OnCall(0, NewCall(1));
  ServiceInfo service;
  service.name = "model";
  service.endpoints = {{"c", "z", 8, false, 0}};
  module.OnService(1, service);
  module.OnProgress(2, 1, 0, 5);
  module.OnLoad(2, actions.sent[0].endpoint, 3, 0, 8);
  module.OnOutcome(3, 1, 0, Outcome::kNotRun, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[1].endpoint == "c");
}

BOOST_FIXTURE_TEST_CASE(batch_has_room_while_slots_are_free_and_is_refused_immediately_otherwise,
                        Fixture) {
  const std::uint32_t room = module.Room(0, 1);
  BOOST_TEST(room >= 1U);
  BOOST_TEST(room <= 5U);  // A third of sixteen slots.
  for (CallId id = 1; id <= 12; ++id) module.OnCall(0, NewCall(id));
  BOOST_TEST(module.Room(0, 1) == 1U);  // Slots are short: one at a time.
  const std::size_t sent = actions.sent.size();
  for (CallId id = 100; id < 130; ++id) {
    Call call = NewCall(id);
    call.batch = true;
    call.level = 1;
    call.timeout = 0;
    call.deadline = kNever;
    module.OnCall(1, call);
  }
  BOOST_TEST(actions.refused.size() >= 26U);
  BOOST_TEST(actions.refused.size() + actions.sent.size() - sent == 30U);
}

BOOST_FIXTURE_TEST_CASE(late_or_rejected_batch_calls_do_not_lower_the_live_limit, Fixture) {
  Micros now = 0;
  for (CallId id = 1; id <= 200; ++id) {
    Call call = NewCall(id);
    call.batch = true;
    call.level = 1;
    call.timeout = 0;
    call.deadline = kNever;
    call.objective = 400 * kMs;
    module.OnCall(now, call);
    now += 1500 * kMs;
    if (id % 2 == 0) {
      module.OnFirstEvent(now, id, 0);
      module.OnOutcome(now, id, 0, Outcome::kSuccess, false);
    } else {
      module.OnOutcome(now, id, 0, Outcome::kNotRun, false);
    }
  }
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 200U);
  // The live levels still have three quarters of the initial limit.
  for (CallId id = 1001; id <= 1024; ++id) {
    Call call = NewCall(id);
    call.deadline = now + 5000 * kMs;
    module.OnCall(now, call);
  }
  BOOST_TEST(actions.sent.size() == 224U);
}

BOOST_FIXTURE_TEST_CASE(abandoned_calls_count_against_an_unresponsive_endpoint, Fixture) {
  module.OnCall(0, NewCall(1));
  const std::string unresponsive = actions.sent[0].endpoint;
  Micros now = 0;
  CallId id = 1;
  // Callers at the unresponsive endpoint leave after two seconds; the other endpoint answers after
  // 20 ms.
  std::size_t sent_to_unresponsive = 1;
  for (int i = 0; i < 40; ++i) {
    const std::size_t last = actions.sent.size() - 1;
    if (actions.sent[last].endpoint == unresponsive) {
      now += 2000 * kMs;
      module.OnAbandoned(now, id);
    } else {
      now += 20 * kMs;
      module.OnFirstEvent(now, id, 0);
      module.OnOutcome(now, id, 0, Outcome::kSuccess, false);
    }
    Call call = NewCall(++id);
    call.deadline = now + 5000 * kMs;
    module.OnCall(now, call);
    if (actions.sent.back().endpoint == unresponsive) ++sent_to_unresponsive;
  }
  BOOST_TEST(sent_to_unresponsive <= 12U);
}

BOOST_FIXTURE_TEST_CASE(duplicate_and_unknown_events_are_ignored, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnCall(0, NewCall(1));
  BOOST_TEST(actions.sent.size() == 1U);
  module.OnFirstEvent(1, 7, 0);
  module.OnFirstEvent(1, 1, 5);
  module.OnProgress(1, 7, 0, 3);
  module.OnOutcome(1, 7, 0, Outcome::kReset, true);
  module.OnAbandoned(1, 7);
  module.OnLoad(1, "nobody", 1, 1, 1);
  module.OnOutcome(2, 1, 0, Outcome::kSuccess, false);
  module.OnOutcome(3, 1, 0, Outcome::kReset, true);
  BOOST_TEST(actions.sent.size() == 1U);
  BOOST_TEST(actions.failed.empty());
  BOOST_TEST(actions.refused.empty());
  BOOST_TEST(module.Room(3, 9) == 0U);
}

}  // namespace shelflink::policy
