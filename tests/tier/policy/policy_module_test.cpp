// The decision module of the serving tier, event by event.
#define BOOST_TEST_MODULE tier_policy_module
#include <boost/test/unit_test.hpp>
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
  void Refuse(CallId call, Micros) override { refused.push_back(call); }
  void Fail(CallId call) override { failed.push_back(call); }
  void SetTimer(Micros at) override { timer = at; }

  std::vector<Sent> sent;
  std::vector<CallId> refused;
  std::vector<CallId> failed;
  Micros timer = kNever;
};

struct Fixture {
  Fixture() {
    Shape shape;
    shape.node = "edge-1";
    shape.levels = 2;
    module.OnShape(0, shape);
    ServiceInfo service;
    service.name = "model";
    service.endpoints = {{"a", "z", 8, false, 0}, {"b", "z", 8, false, 0}};
    module.OnService(0, service);
  }
  Call NewCall(CallId id) const {
    Call call;
    call.id = id;
    call.service = "model";
    call.due = 5000 * kMs;
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

BOOST_FIXTURE_TEST_CASE(runs_at_once_at_the_less_loaded_endpoint, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnCall(0, NewCall(2));
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint != actions.sent[1].endpoint);
}

BOOST_FIXTURE_TEST_CASE(what_has_not_run_is_tried_elsewhere_up_to_max_attempts, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnOutcome(1, 1, 0, Outcome::kNotRun, true);
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 2U);
  BOOST_TEST(actions.sent[0].endpoint != actions.sent[1].endpoint);
  module.OnOutcome(2, 1, 1, Outcome::kNotRun, true);
  BOOST_TEST(actions.sent.size() == 2U);
  BOOST_TEST(actions.refused.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(what_may_have_run_is_not_sent_again_and_fails, Fixture) {
  module.OnCall(0, NewCall(1));
  module.OnOutcome(1, 1, 0, Outcome::kReset, true);
  BOOST_TEST(actions.sent.size() == 1U);
  BOOST_TEST(actions.failed.size() == 1U);
  BOOST_TEST(actions.refused.empty());
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_gets_no_call, Fixture) {
  ServiceInfo service;
  service.name = "model";
  service.endpoints = {{"a", "z", 8, true, 0}, {"b", "z", 8, false, 0}};
  module.OnService(1, service);
  for (CallId id = 1; id <= 10; ++id) module.OnCall(2, NewCall(id));
  BOOST_REQUIRE_EQUAL(actions.sent.size(), 10U);
  for (const Sent& sent : actions.sent) BOOST_TEST(sent.endpoint == "b");
}

}  // namespace shelflink::policy
