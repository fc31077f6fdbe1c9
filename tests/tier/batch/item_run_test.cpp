#define BOOST_TEST_MODULE item_run
#include "tier/batch/item_run.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "batch/scripted_calls.h"
#include "net/virtual.h"

namespace shelflink::batch {
namespace {

using proxy::CallEnd;
using std::chrono::milliseconds;

std::shared_ptr<configuration::Configuration> OneBatchRoute() {
  auto configuration = std::make_shared<configuration::Configuration>();
  configuration::Route route;
  route.name = "r-jobs";
  route.hostname = "lots.example";
  route.path_prefix = "/jobs/";
  route.kind = configuration::RouteKind::kBatch;
  route.split = {{"captions", 1.0}};
  route.max_attempts = 2;
  configuration->routes = {route};
  configuration->Index();
  return configuration;
}

Assign OneItem() {
  Assign assign;
  assign.item.job.partition = 3;
  assign.item.job.tenant = "studio";
  assign.item.job.host = "lots.example";
  assign.item.job.job = "job-1";
  assign.item.item = "item-1";
  assign.lease = {7, 1};
  assign.route = "r-jobs";
  assign.path = "/jobs/1/a";
  assign.headers = {{"Shelflink-Model", "m"}};
  assign.body = "prompt";
  return assign;
}

struct Fixture {
  Fixture() : net(1), process(net, 1, "proxy", 100) {}

  ItemRun& Make(Assign assign = OneItem()) {
    run = std::make_unique<ItemRun>(process, calls, std::move(assign),
                                    [this](ItemRun&, const RunEnd& e) {
                                      BOOST_REQUIRE(!end.has_value());
                                      end = e;
                                    });
    return *run;
  }
  // Leased for a second, started and sent.
  policy::CallId MakeSent(Assign assign = OneItem()) {
    Make(std::move(assign)).Extend(process.Now() + milliseconds(1000));
    run->Start(configuration);
    const policy::CallId call = calls.CallOf("item-1");
    BOOST_REQUIRE(call != 0);
    BOOST_TEST(calls.Send(call));
    return call;
  }
  RunOutcome Outcome() const {
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((run->state() == ItemRun::State::kReporting));
    BOOST_TEST((run->Report().outcome == end->outcome));
    return end->outcome;
  }
  void Pass(milliseconds span) { net.RunUntil(net.Now() + span); }

  net::VirtualNet net;
  net::VirtualProcess process;
  ScriptedCalls calls;
  std::shared_ptr<configuration::Configuration> configuration = OneBatchRoute();
  std::unique_ptr<ItemRun> run;
  std::optional<RunEnd> end;
};

BOOST_FIXTURE_TEST_CASE(sends_the_item_as_a_call_of_its_tenant, Fixture) {
  MakeSent();
  const proxy::CallRequest& request = calls.started.at(0);
  BOOST_TEST(request.request_id == "item-1");
  BOOST_TEST(request.method == "POST");
  BOOST_TEST(request.target == "/jobs/1/a");
  BOOST_TEST(request.body == "prompt");
  BOOST_TEST(request.tenant == "studio");
  BOOST_TEST(request.batch);
  BOOST_TEST(request.resumable);
  BOOST_TEST(!request.last_event_id.has_value());
  BOOST_TEST(!request.deadline.has_value());
  BOOST_TEST(request.route == &configuration->routes[0]);
  BOOST_REQUIRE_EQUAL(request.headers.size(), 2U);
  BOOST_TEST(request.headers[0].first == "Host");
  BOOST_TEST(request.headers[0].second == "lots.example");
  BOOST_TEST(request.headers[1].first == "Shelflink-Model");
}

BOOST_FIXTURE_TEST_CASE(a_whole_answer_completes, Fixture) {
  calls.Answer(MakeSent(), 1, 3);
  BOOST_TEST((Outcome() == RunOutcome::kComplete));
  const Finished report = run->Report();
  BOOST_TEST(report.output.text == "e1\ne2\ne3");
  BOOST_TEST((report.lease == LeaseId{7, 1}));
  BOOST_TEST(report.item.item == "item-1");
}

// Of an answer that ends with its connection nothing else tells that the endpoint broke off.
BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_inside_an_event_is_not_whole, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  calls.Body(call, "id: 1\ndata: e1\n\n");
  calls.Body(call, "id: 2\nda");
  calls.Complete(call);
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST(run->Report().output.text == "e1");
}

BOOST_FIXTURE_TEST_CASE(the_words_of_a_refusal_are_no_event, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 503);
  calls.Body(call, "busy\n");
  calls.Complete(call, 503);
  BOOST_TEST((Outcome() == RunOutcome::kReturned));
  BOOST_TEST(end->refused);
}

BOOST_FIXTURE_TEST_CASE(a_comment_behind_the_last_event_leaves_it_whole, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  calls.Body(call, "id: 1\r\ndata: e1\r\n\r\n: goodbye\r\n");
  calls.Complete(call);
  BOOST_TEST((Outcome() == RunOutcome::kComplete));
}

BOOST_FIXTURE_TEST_CASE(continues_behind_what_earlier_runs_brought, Fixture) {
  Assign assign = OneItem();
  assign.output = {"e1\ne2", 2, 2};
  const policy::CallId call = MakeSent(std::move(assign));
  BOOST_TEST((calls.started.at(0).last_event_id == std::optional<std::uint64_t>(2)));
  calls.Answer(call, 3, 4);
  BOOST_TEST((Outcome() == RunOutcome::kComplete));
  BOOST_TEST(run->Report().output.text == "e1\ne2\ne3\ne4");
}

BOOST_FIXTURE_TEST_CASE(nothing_left_behind_the_last_event_completes, Fixture) {
  Assign assign = OneItem();
  assign.output = {"e1\ne2", 2, 2};
  const policy::CallId call = MakeSent(std::move(assign));
  calls.Head(call, 200);
  calls.Complete(call);
  BOOST_TEST((Outcome() == RunOutcome::kComplete));
  BOOST_TEST(run->Report().output.text == "e1\ne2");
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_ignores_the_last_event_id_is_not_joined, Fixture) {
  Assign assign = OneItem();
  assign.output = {"e1\ne2", 2, 2};
  const policy::CallId call = MakeSent(std::move(assign));
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST(calls.open.empty());
  BOOST_TEST(run->Report().output.text == "e1\ne2");
}

BOOST_FIXTURE_TEST_CASE(a_gap_ends_the_run_with_what_came_before, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  calls.Event(call, 3, "e3");
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST((calls.cancelled == std::vector<policy::CallId>{call}));
  BOOST_TEST(run->Report().output.text == "e1");
  BOOST_TEST((run->Report().output.last_event_id == std::optional<std::uint64_t>(1)));
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_events_or_stamp_completes_nothing, Fixture) {
  policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Complete(call);
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));

  end.reset();
  call = MakeSent();
  calls.Head(call, 200, false);
  calls.Event(call, 1, "not the endpoint's");
  calls.Complete(call);
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST(run->Report().output.events == 0U);
}

struct Ending {
  const char* what;
  int head;  // 0: none.
  bool event;
  proxy::CallSummary summary;
  RunOutcome outcome;
  bool refused;
};

BOOST_FIXTURE_TEST_CASE(ends_of_calls_become_outcomes, Fixture) {
  const std::vector<Ending> endings = {
      {"500", 500, false, {CallEnd::kComplete, 500, {}, true}, RunOutcome::kError, false},
      {"422", 422, false, {CallEnd::kComplete, 422, {}, true}, RunOutcome::kImpossible, false},
      {"503", 503, false, {CallEnd::kComplete, 503, {}, false}, RunOutcome::kReturned, true},
      {"429", 429, false, {CallEnd::kComplete, 429, {}, false}, RunOutcome::kReturned, true},
      {"421", 421, false, {CallEnd::kComplete, 421, {}, false}, RunOutcome::kReturned, true},
      {"504", 504, false, {CallEnd::kComplete, 504, {}, true}, RunOutcome::kInterrupted, false},
      {"404", 404, false, {CallEnd::kComplete, 404, {}, true}, RunOutcome::kInterrupted, false},
      {"204", 204, false, {CallEnd::kComplete, 204, {}, true}, RunOutcome::kInterrupted, false},
      {"refused", 0, false, {CallEnd::kRefused, 0, 0.5, false}, RunOutcome::kReturned, true},
      {"reset", 0, false, {CallEnd::kFailed, 0, {}, true}, RunOutcome::kInterrupted, false},
      {"never sent", 0, false, {CallEnd::kFailed, 0, {}, false}, RunOutcome::kReturned, false},
      {"cut", 200, true, {CallEnd::kBroken, 200, {}, true}, RunOutcome::kInterrupted, false},
      {"cut, 500 next", 200, true, {CallEnd::kBroken, 500, {}, true}, RunOutcome::kError, false},
      {"cut, refused next",
       200,
       true,
       {CallEnd::kRefused, 0, {}, true},
       RunOutcome::kInterrupted,
       true},
  };
  for (const Ending& ending : endings) {
    BOOST_TEST_CONTEXT(ending.what) {
      end.reset();
      const policy::CallId call = MakeSent();
      if (ending.head != 0) calls.Head(call, ending.head);
      if (ending.event) calls.Event(call, 1, "e1");
      calls.End(call, ending.summary);
      BOOST_TEST((Outcome() == ending.outcome));
      BOOST_TEST(end->refused == ending.refused);
      BOOST_TEST((end->retry_after_s == ending.summary.retry_after_s));
      BOOST_TEST(run->Report().output.events == (ending.event ? 1U : 0U));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(events_of_a_failure_are_no_output, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 500);
  calls.Event(call, 1, "sorry");
  calls.Complete(call, 500);
  BOOST_TEST((Outcome() == RunOutcome::kError));
  BOOST_TEST(run->Report().output.events == 0U);
}

BOOST_FIXTURE_TEST_CASE(goes_to_no_endpoint_outside_of_its_lease, Fixture) {
  Make().Extend(process.Now() + milliseconds(1000));
  run->Start(configuration);
  Pass(milliseconds(1000));
  BOOST_TEST(!calls.Send(calls.CallOf("item-1")));
  BOOST_TEST((Outcome() == RunOutcome::kReturned));
}

BOOST_FIXTURE_TEST_CASE(a_process_that_stood_still_sends_nothing_afterwards, Fixture) {
  Make().Extend(process.Now() + milliseconds(1000));
  run->Start(configuration);
  process.SetPaused(true);
  Pass(milliseconds(10'000));
  process.SetPaused(false);
  BOOST_TEST(!calls.Send(calls.CallOf("item-1")));  // Before any timer has run.
}

BOOST_FIXTURE_TEST_CASE(a_run_under_way_outlives_its_lease_but_is_not_resumed, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  Pass(milliseconds(1500));
  calls.Event(call, 2, "e2");
  BOOST_TEST(!end.has_value());
  BOOST_TEST(!calls.Send(call));
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST(run->Report().output.text == "e1\ne2");
}

BOOST_FIXTURE_TEST_CASE(a_lease_is_never_shortened, Fixture) {
  Make().Extend(process.Now() + milliseconds(1000));
  run->Extend(process.Now() + milliseconds(500));
  Pass(milliseconds(900));
  BOOST_TEST(run->lease_valid());
  Pass(milliseconds(100));
  BOOST_TEST(!run->lease_valid());
}

BOOST_FIXTURE_TEST_CASE(without_its_route_it_is_handed_back_unsent, Fixture) {
  for (const bool known_as_other_kind : {false, true}) {
    end.reset();
    auto other = OneBatchRoute();
    if (known_as_other_kind) {
      other->routes[0].kind = configuration::RouteKind::kStreaming;
    } else {
      other->routes.clear();
    }
    other->Index();
    Make().Extend(process.Now() + milliseconds(1000));
    run->Start(other);
    BOOST_TEST((Outcome() == RunOutcome::kReturned));
    BOOST_TEST(end->refused);
    BOOST_TEST(calls.started.empty());
  }
  end.reset();
  Make().Extend(process.Now() + milliseconds(1000));
  run->Start(nullptr);
  BOOST_TEST((Outcome() == RunOutcome::kReturned));
}

BOOST_FIXTURE_TEST_CASE(a_route_that_leads_elsewhere_takes_back_what_has_not_begun, Fixture) {
  MakeSent();
  auto moved = OneBatchRoute();
  moved->routes[0].split = {{"others", 1.0}};
  moved->Index();
  run->OnConfiguration(*moved);
  BOOST_TEST((Outcome() == RunOutcome::kReturned));
  BOOST_TEST(calls.open.empty());
}

BOOST_FIXTURE_TEST_CASE(a_run_that_has_begun_is_not_resumed_on_the_old_route, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  auto gone = OneBatchRoute();
  gone->routes.clear();
  gone->Index();
  run->OnConfiguration(*gone);
  BOOST_TEST(!end.has_value());
  BOOST_TEST(!calls.Send(call));
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
}

BOOST_FIXTURE_TEST_CASE(other_changes_of_the_configuration_leave_it_alone, Fixture) {
  const policy::CallId call = MakeSent();
  auto changed = OneBatchRoute();
  changed->routes[0].slo = milliseconds(77);
  changed->routes[0].max_attempts = 5;
  changed->Index();
  run->OnConfiguration(*changed);
  BOOST_TEST(!end.has_value());
  BOOST_TEST(calls.Send(call));
}

BOOST_FIXTURE_TEST_CASE(hands_back_with_its_progress, Fixture) {
  const policy::CallId call = MakeSent();
  calls.Head(call, 200);
  calls.Event(call, 1, "e1");
  run->HandBack();
  BOOST_TEST((Outcome() == RunOutcome::kInterrupted));
  BOOST_TEST(calls.open.empty());
  run->HandBack();  // Of no effect.
  BOOST_TEST(run->Report().output.text == "e1");
}

BOOST_FIXTURE_TEST_CASE(its_end_cancels_the_call, Fixture) {
  const policy::CallId call = MakeSent();
  run.reset();
  BOOST_TEST((calls.cancelled == std::vector<policy::CallId>{call}));
  BOOST_TEST(!end.has_value());
}

}  // namespace
}  // namespace shelflink::batch
