// The runner against stand-in stores and endpoints on the virtual network: leases, failover,
// freezes, lost reports, drain.
#define BOOST_TEST_MODULE runner
#include "tier/batch/runner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/leasing_store.h"
#include "batch/scripted_calls.h"

namespace shelflink::batch {
namespace {

using std::chrono::seconds;

constexpr milliseconds kSoon{20};    // Messages have come and gone.
constexpr milliseconds kRound{450};  // An offer has been answered.

struct Fixture {
  Fixture() : net(3), proxy(net, 0, "proxy"), first(net, 1), second(net, 2) {
    auto filled = std::make_shared<configuration::Configuration>();
    configuration::Route route;
    route.name = "r-jobs";
    route.hostname = "lots.example";
    route.path_prefix = "/jobs/";
    route.kind = configuration::RouteKind::kBatch;
    route.split = {{"captions", 1.0}};
    filled->routes = {route};
    filled->Index();
    view.configuration = filled;
    view.placement = PlacementOf({first.address()}, 1);
    runner = std::make_unique<Runner>(
        proxy.process, *proxy.hub, calls, [this]() -> const cluster::View& { return view; },
        Bounds());
    Pass(kSoon);
  }
  ~Fixture() { net.Clear(); }

  void Place(const std::vector<net::Address>& primaries, std::uint64_t epoch) {
    view.placement = PlacementOf(primaries, epoch);
    runner->OnPlacement();
  }
  void Pass(net::Span span) { net.RunUntil(net.Now() + span); }

  static Assign Item(const std::string& id, std::uint64_t lease) {
    Assign assign;
    assign.item.job.tenant = "studio";
    assign.item.job.host = "lots.example";
    assign.item.job.job = "job-1";
    assign.item.item = id;
    assign.lease = {1, lease};
    assign.route = "r-jobs";
    assign.path = "/jobs/1";
    assign.body = "prompt";
    return assign;
  }
  // Given and started.
  policy::CallId Started(const Assign& assign) {
    first.Give(proxy.address(), assign);
    Pass(kSoon);
    const policy::CallId call = calls.CallOf(assign.item.item);
    BOOST_REQUIRE(call != 0);
    return call;
  }
  // Started, sent, and with these events.
  policy::CallId Streaming(const Assign& assign, std::uint64_t events) {
    const policy::CallId call = Started(assign);
    BOOST_REQUIRE(calls.Send(call));
    calls.Head(call, 200);
    for (std::uint64_t id = 1; id <= events; ++id) calls.Event(call, id, "e" + std::to_string(id));
    return call;
  }

  net::VirtualNet net;
  Node proxy;
  LeasingStore first;
  LeasingStore second;
  ScriptedCalls calls;
  cluster::View view;
  std::unique_ptr<Runner> runner;
};

BOOST_FIXTURE_TEST_CASE(runs_an_item_and_reports_it, Fixture) {
  calls.Answer(Started(Item("i-1", 1)), 1, 3);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(first.finished.size(), 1U);
  const Finished& report = first.finished[0];
  BOOST_TEST((report.outcome == RunOutcome::kComplete));
  BOOST_TEST(report.item.item == "i-1");
  BOOST_TEST(report.item.job.job == "job-1");
  BOOST_TEST((report.lease == LeaseId{1, 1}));
  BOOST_TEST(report.output.text == "e1\ne2\ne3");
  BOOST_TEST(runner->runs() == 0U);
  BOOST_TEST(runner->counters().completed == 1U);
}

// From the assignment to the first event, and from the end to the store's answer.
BOOST_FIXTURE_TEST_CASE(counts_how_long_runs_wait_for_events_and_stores, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  BOOST_REQUIRE(calls.Send(call));
  calls.Head(call, 200);
  Pass(milliseconds(300));
  calls.Event(call, 1, "e1");
  Pass(milliseconds(2000));
  BOOST_TEST(runner->counters().begun == 0U);
  calls.Event(call, 2, "e2");
  calls.Complete(call);
  BOOST_TEST(runner->counters().begun == 1U);
  BOOST_TEST((runner->counters().first_event_wait >= milliseconds(300)));
  BOOST_TEST((runner->counters().first_event_wait < milliseconds(400)));
  BOOST_TEST(runner->counters().reported == 0U);
  Pass(kSoon);
  BOOST_TEST(runner->counters().reported == 1U);
  BOOST_TEST((runner->counters().report_wait > net::Span()));
  BOOST_TEST((runner->counters().report_wait <= kSoon));
}

// What never had an event, or was reported to nobody, counts in neither.
BOOST_FIXTURE_TEST_CASE(counts_no_wait_of_runs_without_event_or_report, Fixture) {
  first.silent = true;
  const policy::CallId call = Started(Item("i-1", 1));
  calls.End(call, {proxy::CallEnd::kRefused, 0, std::nullopt, false});
  Pass(kRunReportTimeout + seconds(1));
  BOOST_TEST(runner->counters().begun == 0U);
  BOOST_TEST((runner->counters().first_event_wait == net::Span()));
  BOOST_TEST(runner->counters().reported == 0U);
  BOOST_TEST((runner->counters().report_wait == net::Span()));
}

BOOST_FIXTURE_TEST_CASE(offers_room_only_where_work_waits, Fixture) {
  BOOST_TEST(first.Last<Offer>(kOffer).items == 0U);
  BOOST_TEST(first.Last<Offer>(kOffer).room == 100U);
  first.waiting = 7;
  Pass(seconds(1));
  BOOST_TEST(first.Last<Offer>(kOffer).items == 7U);
}

BOOST_FIXTURE_TEST_CASE(a_store_that_tells_of_work_is_offered_room_at_once, Fixture) {
  Pass(milliseconds(100));
  first.hub->Send(proxy.address(), kWorkWaits, Encode(WorkWaits{3}));
  Pass(kSoon);
  BOOST_TEST(first.Last<Offer>(kOffer).items == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_store_whose_work_goes_on_waiting_is_offered_room_in_each_round, Fixture) {
  first.waiting = 500;
  Pass(seconds(1));
  const std::size_t before = first.Count(kOffer);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    first.Give(proxy.address(), Item("i-" + std::to_string(i), i));
  }
  Pass(milliseconds(480));
  BOOST_TEST(first.Count(kOffer) - before >= 8U);
  BOOST_TEST(first.Count(kOffer) - before <= 10U);
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_TEST(offer.held.size() == 4U);
  BOOST_TEST(offer.items == 100U);
}

BOOST_FIXTURE_TEST_CASE(an_idle_runner_is_cheap, Fixture) {
  const std::size_t before = first.Count(kOffer);
  Pass(seconds(10));
  BOOST_TEST(first.Count(kOffer) - before <= 13U);
  BOOST_TEST(first.Count(kOffer) - before >= 11U);
}

BOOST_FIXTURE_TEST_CASE(in_a_large_fleet_each_idle_runner_offers_seldom, Fixture) {
  auto members = std::make_shared<cluster::Members>();
  members->all.resize(1000);
  for (cluster::Member& member : members->all) member.role = "proxy";
  members->all.resize(1030);  // Others don't count.
  view.members = members;
  Pass(seconds(1));
  const std::size_t before = first.Count(kOffer);
  Pass(seconds(100));
  BOOST_TEST(first.Count(kOffer) - before <= 5U);
  BOOST_TEST(first.Count(kOffer) - before >= 4U);
  const policy::CallId call = Started(Item("i-1", 1));
  Pass(seconds(10));
  BOOST_TEST(calls.Send(call));  // What is leased is renewed as ever.
}

BOOST_FIXTURE_TEST_CASE(a_new_primary_in_a_large_fleet_is_not_met_by_all_at_once, Fixture) {
  auto members = std::make_shared<cluster::Members>();
  members->all.resize(1000);
  for (cluster::Member& member : members->all) member.role = "proxy";
  view.members = members;
  Place({second.address()}, 2);
  Pass(kSoon);
  BOOST_TEST(second.Count(kOffer) == 0U);
  Pass(seconds(20));
  BOOST_TEST(second.Count(kOffer) >= 1U);
}

BOOST_FIXTURE_TEST_CASE(another_placement_with_the_same_stores_costs_no_offer, Fixture) {
  const std::size_t before = first.Count(kOffer);
  for (std::uint64_t epoch = 2; epoch < 10; ++epoch) Place({first.address()}, epoch);
  Pass(kSoon);
  BOOST_TEST(first.Count(kOffer) == before);
}

BOOST_FIXTURE_TEST_CASE(without_room_nothing_new_is_asked_for, Fixture) {
  calls.room = 0;
  first.waiting = 9;
  Started(Item("i-1", 1));
  const std::size_t before = first.Count(kOffer);
  Pass(seconds(2));
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_TEST(offer.items == 0U);
  BOOST_TEST(offer.room == 0U);
  BOOST_TEST(offer.held.size() == 1U);
  BOOST_TEST(first.Count(kOffer) - before <= 6U);  // Renewals alone.
}

BOOST_FIXTURE_TEST_CASE(what_awaits_its_lease_takes_room, Fixture) {
  calls.room = 4;
  first.waiting = 9;
  Pass(seconds(3));
  first.silent = true;
  Pass(seconds(3));
  for (std::uint64_t i = 1; i <= 3; ++i)
    first.Give(proxy.address(), Item("i-" + std::to_string(i), i));
  Pass(milliseconds(2200));
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_TEST(offer.held.size() == 3U);
  BOOST_TEST(offer.items == 1U);
}

BOOST_FIXTURE_TEST_CASE(all_stores_together_are_granted_no_more_than_the_room, Fixture) {
  calls.room = 3;
  first.waiting = 9;
  second.waiting = 9;
  Place({first.address(), second.address()}, 2);
  std::uint32_t most = 0;
  std::uint32_t least = 99;
  for (int round = 0; round < 20; ++round) {
    first.questions.clear();
    second.questions.clear();
    Pass(milliseconds(50));
    const std::uint32_t one = first.Count(kOffer) == 0 ? 0 : first.Last<Offer>(kOffer).items;
    const std::uint32_t other = second.Count(kOffer) == 0 ? 0 : second.Last<Offer>(kOffer).items;
    BOOST_TEST(one + other <= 3U);
    most = std::max(most, one + other);
    least = std::min({least, one, other});
  }
  BOOST_TEST(most == 3U);
  BOOST_TEST(least <= 1U);
}

BOOST_FIXTURE_TEST_CASE(short_room_goes_round, Fixture) {
  calls.room = 1;
  first.waiting = 9;
  second.waiting = 9;
  Place({first.address(), second.address()}, 2);
  Pass(seconds(1));  // Both have told of work.
  first.questions.clear();
  second.questions.clear();
  Pass(seconds(2));
  const auto granted = [](const LeasingStore& store) {
    return std::count_if(store.questions.begin(), store.questions.end(), [](const auto& question) {
      return question.kind == kOffer && Decode<Offer>(question.body).value().items > 0;
    });
  };
  BOOST_TEST(granted(first) + granted(second) >= 36);
  BOOST_TEST(granted(first) >= 15);
  BOOST_TEST(granted(second) >= 15);
}

BOOST_FIXTURE_TEST_CASE(large_bodies_bound_what_is_asked_for, Fixture) {
  first.waiting = 50;
  Assign large = Item("i-1", 1);
  large.body.assign(std::size_t{8} << 20U, 'x');
  first.Give(proxy.address(), large);
  Pass(seconds(1));
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_TEST(offer.items >= 1U);
  BOOST_TEST(offer.items <= 3U);
}

BOOST_FIXTURE_TEST_CASE(progress_goes_with_the_offers_and_only_once, Fixture) {
  const policy::CallId call = Streaming(Item("i-1", 1), 2);
  Pass(kRound);
  BOOST_TEST((first.progress[LeaseId{1, 1}] == "e1\ne2"));
  calls.Event(call, 3, "e3");
  Pass(kRound);
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_REQUIRE(offer.held.at(0).more.has_value());
  BOOST_TEST(offer.held[0].more->offset == 5U);
  BOOST_TEST(offer.held[0].more->text == "\ne3");
  BOOST_TEST((first.progress[LeaseId{1, 1}] == "e1\ne2\ne3"));
  Pass(kRound);
  BOOST_TEST(!first.Last<Offer>(kOffer).held.at(0).more.has_value());
}

BOOST_FIXTURE_TEST_CASE(offers_keep_a_lease_alive, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  Pass(seconds(7));
  BOOST_TEST(calls.Send(call));
}

BOOST_FIXTURE_TEST_CASE(a_lease_that_no_store_renews_runs_out, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  first.silent = true;
  Pass(LeaseSpan(Bounds()) + milliseconds(10));
  BOOST_TEST(!calls.Send(call));
}

BOOST_FIXTURE_TEST_CASE(a_lease_counts_from_when_the_offer_was_sent, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  const auto answer = first.answer;
  net::Time offered{};
  first.answer = [&](MessageKind kind, std::string_view) -> std::optional<Result<std::string>> {
    if (kind == kOffer && first.unanswered.empty()) offered = net.Now();
    return std::nullopt;
  };
  while (first.unanswered.empty()) Pass(milliseconds(1));
  Pass(milliseconds(900));
  first.unanswered[0](*answer(kOffer, first.questions.back().body));  // Held up on its way.
  net.RunUntil(offered + LeaseSpan(Bounds()) - milliseconds(10));
  BOOST_TEST(calls.open.at(call).user->MaySend());
  net.RunUntil(offered + LeaseSpan(Bounds()));
  BOOST_TEST(!calls.open.at(call).user->MaySend());
}

BOOST_FIXTURE_TEST_CASE(an_assignment_is_vouched_for_from_when_the_offer_was_sent, Fixture) {
  const auto answer = first.answer;
  net::Time offered{};
  first.answer = [&](MessageKind, std::string_view) -> std::optional<Result<std::string>> {
    if (first.unanswered.empty()) offered = net.Now();
    return std::nullopt;
  };
  while (first.unanswered.empty()) Pass(milliseconds(1));
  Pass(milliseconds(900));
  first.unanswered[0](*answer(kOffer, first.questions.back().body));  // Held up on its way.
  Pass(kSoon);
  const policy::CallId call = Started(Item("i-1", 1));
  net.RunUntil(offered + LeaseSpan(Bounds()) - milliseconds(10));
  BOOST_TEST(calls.open.at(call).user->MaySend());
  net.RunUntil(offered + LeaseSpan(Bounds()));
  BOOST_TEST(!calls.open.at(call).user->MaySend());
}

BOOST_FIXTURE_TEST_CASE(an_unanswered_offer_extends_nothing, Fixture) {
  first.silent = true;
  Pass(LeaseSpan(Bounds()) + milliseconds(10));
  first.Give(proxy.address(), Item("i-1", 1));
  Pass(kSoon);
  BOOST_TEST(calls.started.empty());  // No answered offer vouches for it.
  first.silent = false;
  Pass(milliseconds(1100));
  BOOST_TEST(calls.started.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_frozen_proxy_wakes_without_its_leases, Fixture) {
  const policy::CallId queued = Started(Item("i-1", 1));
  const policy::CallId streaming = Streaming(Item("i-2", 2), 1);
  proxy.process.SetPaused(true);
  first.known.clear();  // Both have been given to others meanwhile.
  first.adopts = false;
  Pass(seconds(10));
  proxy.process.SetPaused(false);
  BOOST_TEST(!calls.Send(queued));  // At the first moment, whatever timers and messages say later.
  BOOST_TEST(!calls.open.at(streaming).user->MaySend());
  Pass(milliseconds(1600));
  BOOST_TEST(calls.open.empty());
  BOOST_TEST(runner->runs() == 0U);
  BOOST_TEST(runner->counters().revoked == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_frozen_proxy_asks_before_it_starts_what_lay_waiting, Fixture) {
  proxy.process.SetPaused(true);
  first.Give(proxy.address(), Item("i-1", 1));
  Pass(seconds(10));
  first.known.clear();
  first.adopts = false;
  proxy.process.SetPaused(false);
  Pass(seconds(3));
  BOOST_TEST(calls.started.empty());
  BOOST_TEST(runner->runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_revoked_item_is_cancelled_at_once, Fixture) {
  const Assign item = Item("i-1", 1);
  const policy::CallId call = Streaming(item, 1);
  first.TakeBack(proxy.address(), item);
  Pass(milliseconds(5));
  BOOST_TEST((calls.cancelled == std::vector<policy::CallId>{call}));
  BOOST_TEST(runner->runs() == 0U);
  BOOST_TEST(first.finished.empty());
}

BOOST_FIXTURE_TEST_CASE(the_same_assignment_twice_runs_once, Fixture) {
  first.Give(proxy.address(), Item("i-1", 1));
  first.Give(proxy.address(), Item("i-1", 1));
  Pass(kSoon);
  BOOST_TEST(calls.started.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_new_lease_of_an_item_ends_the_older_run, Fixture) {
  const policy::CallId older = Streaming(Item("i-1", 1), 2);
  Assign again = Item("i-1", 2);
  again.output = {"e1", 1, 1};
  const policy::CallId newer = Started(again);
  BOOST_TEST((calls.cancelled == std::vector<policy::CallId>{older}));
  BOOST_TEST(newer != older);
  BOOST_TEST((calls.started.back().last_event_id == std::optional<std::uint64_t>(1)));
  calls.Answer(newer, 2, 3);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(first.finished.size(), 1U);
  BOOST_TEST(first.finished[0].output.text == "e1\ne2\ne3");
}

BOOST_FIXTURE_TEST_CASE(items_of_other_jobs_may_share_an_id, Fixture) {
  Started(Item("i-1", 1));
  Assign other = Item("i-1", 2);
  other.item.job.job = "job-2";
  first.Give(proxy.address(), other);
  Pass(kSoon);
  BOOST_TEST(calls.open.size() == 2U);
  BOOST_TEST(calls.cancelled.empty());
}

BOOST_FIXTURE_TEST_CASE(a_new_primary_adopts_runs_under_way, Fixture) {
  const policy::CallId call = Streaming(Item("i-1", 1), 2);
  Pass(kRound);
  first.primary = false;
  Place({second.address()}, 2);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(second.adoptions.size(), 1U);
  BOOST_TEST(second.adoptions[0].output.text == "e1\ne2");
  BOOST_TEST(second.adoptions[0].item.item == "i-1");
  BOOST_TEST((second.adoptions[0].output.last_event_id == std::optional<std::uint64_t>(2)));
  calls.Event(call, 3, "e3");
  Pass(seconds(5));
  BOOST_TEST((second.progress[LeaseId{1, 1}] == "e1\ne2\ne3"));
  BOOST_TEST(calls.Send(call));  // The lease is the new primary's by now.
  calls.Complete(call);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(second.finished.size(), 1U);
  BOOST_TEST(second.finished[0].output.text == "e1\ne2\ne3");
  BOOST_TEST(first.finished.empty());
  BOOST_TEST(second.adoptions.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_new_primary_that_knows_the_lease_is_given_all_of_the_text, Fixture) {
  Streaming(Item("i-1", 1), 2);
  Pass(kRound);
  second.known.insert(LeaseId{1, 1});
  Place({second.address()}, 2);
  Pass(kSoon);
  BOOST_TEST((second.progress[LeaseId{1, 1}] == "e1\ne2"));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_primary_adopts_too, Fixture) {
  Streaming(Item("i-1", 1), 2);
  first.known.clear();
  Pass(kRound);
  BOOST_TEST(first.adoptions.size() == 1U);
  BOOST_TEST(runner->counters().adopted == 1U);
  Pass(seconds(3));
  BOOST_TEST(first.adoptions.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(one_adoption_at_a_time, Fixture) {
  Streaming(Item("i-1", 1), 2);
  first.known.clear();
  const auto answer = first.answer;
  first.answer = [&](MessageKind kind, std::string_view body) {
    return kind == kAdopt ? std::optional<Result<std::string>>() : answer(kind, body);
  };
  Pass(milliseconds(1000));
  BOOST_TEST(first.Count(kAdopt) == 1U);
  Pass(milliseconds(2000));  // It got no answer: another one.
  BOOST_TEST(first.Count(kAdopt) > 1U);
}

BOOST_FIXTURE_TEST_CASE(what_nobody_adopts_is_cancelled, Fixture) {
  Streaming(Item("i-1", 1), 2);
  second.adopts = false;
  Place({second.address()}, 2);
  Pass(kSoon);
  BOOST_TEST(calls.open.empty());
  BOOST_TEST(runner->runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_run_outlives_a_failover_that_takes_longer_than_its_lease, Fixture) {
  const policy::CallId call = Streaming(Item("i-1", 1), 1);
  first.process.SetPaused(true);
  Pass(seconds(4));
  calls.Event(call, 2, "e2");
  Place({second.address()}, 2);
  Pass(kSoon);
  calls.Complete(call);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(second.finished.size(), 1U);
  BOOST_TEST(second.finished[0].output.text == "e1\ne2");
}

BOOST_FIXTURE_TEST_CASE(a_report_is_repeated_until_a_store_has_taken_it, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  first.refuse_reports = ErrorCode::kUnknown;
  calls.Answer(call, 1, 2);
  Pass(seconds(2));
  BOOST_TEST(runner->runs() == 1U);
  BOOST_TEST(first.finished.empty());
  BOOST_TEST(first.Count(kFinished) > 2U);
  const auto offer = first.Last<Offer>(kOffer);
  BOOST_TEST(offer.held.size() == 1U);  // Renewed, so that nobody else runs it meanwhile.
  first.refuse_reports.reset();
  Pass(seconds(1));
  BOOST_REQUIRE_EQUAL(first.finished.size(), 1U);
  BOOST_TEST(first.finished[0].output.text == "e1\ne2");
  BOOST_TEST(runner->runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_report_follows_the_partition, Fixture) {
  const policy::CallId call = Started(Item("i-1", 1));
  first.process.SetPaused(true);
  calls.Answer(call, 1, 2);
  Pass(seconds(2));
  Place({second.address()}, 2);
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(second.finished.size(), 1U);
  BOOST_TEST(second.finished[0].output.text == "e1\ne2");
}

BOOST_FIXTURE_TEST_CASE(a_report_that_the_store_refuses_for_good_is_dropped, Fixture) {
  first.refuse_reports = ErrorCode::kNotFound;
  calls.Answer(Started(Item("i-1", 1)), 1, 2);
  Pass(kSoon);
  BOOST_TEST(runner->runs() == 0U);
  BOOST_TEST(runner->counters().reports_lost == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_report_that_no_store_takes_is_given_up_in_the_end, Fixture) {
  first.refuse_reports = ErrorCode::kUnavailable;
  calls.Answer(Started(Item("i-1", 1)), 1, 2);
  Pass(kRunReportTimeout + seconds(1));
  BOOST_TEST(runner->runs() == 0U);
  BOOST_TEST(runner->counters().reports_lost == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_revoked_run_that_is_over_is_still_reported, Fixture) {
  const Assign item = Item("i-1", 1);
  const policy::CallId call = Started(item);
  first.refuse_reports = ErrorCode::kUnavailable;
  calls.Answer(call, 1, 2);
  Pass(kSoon);
  first.TakeBack(proxy.address(), item);
  Pass(kSoon);
  first.refuse_reports.reset();
  Pass(seconds(1));
  BOOST_TEST(first.finished.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(failures_of_endpoints_are_reported_as_such, Fixture) {
  policy::CallId call = Started(Item("i-1", 1));
  calls.Head(call, 500);
  calls.Complete(call, 500);
  call = Started(Item("i-2", 2));
  calls.Head(call, 422);
  calls.Complete(call, 422);
  call = Streaming(Item("i-3", 3), 1);
  calls.End(call, {proxy::CallEnd::kBroken, 200, std::nullopt, true});
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(first.finished.size(), 3U);
  BOOST_TEST((first.finished[0].outcome == RunOutcome::kError));
  BOOST_TEST((first.finished[1].outcome == RunOutcome::kImpossible));
  BOOST_TEST((first.finished[2].outcome == RunOutcome::kInterrupted));
  BOOST_TEST(first.finished[2].output.text == "e1");
}

BOOST_FIXTURE_TEST_CASE(after_a_refusal_nothing_new_is_asked_for_a_while, Fixture) {
  first.waiting = 9;
  const policy::CallId call = Started(Item("i-1", 1));
  calls.End(call, {proxy::CallEnd::kRefused, 0, 1.0, false});
  Pass(milliseconds(80));
  BOOST_TEST((first.finished.at(0).outcome == RunOutcome::kReturned));
  first.questions.clear();
  Pass(milliseconds(700));
  for (const auto& question : first.questions) {
    if (question.kind == kOffer) BOOST_TEST(Decode<Offer>(question.body).value().items == 0U);
  }
  Pass(milliseconds(280));  // A second after the refusal, and a round.
  BOOST_TEST(first.Last<Offer>(kOffer).items > 0U);
}

BOOST_FIXTURE_TEST_CASE(an_item_of_a_route_that_is_gone_goes_back_unsent, Fixture) {
  view.configuration = std::make_shared<configuration::Configuration>();
  runner->OnConfiguration();
  first.Give(proxy.address(), Item("i-1", 1));
  Pass(kSoon);
  BOOST_TEST(calls.started.empty());
  BOOST_TEST((first.finished.at(0).outcome == RunOutcome::kReturned));
}

BOOST_FIXTURE_TEST_CASE(a_route_taken_away_takes_back_what_waits, Fixture) {
  const policy::CallId streaming = Streaming(Item("i-1", 1), 1);
  Started(Item("i-2", 2));
  view.configuration = std::make_shared<configuration::Configuration>();
  runner->OnConfiguration();
  Pass(kSoon);
  BOOST_REQUIRE_EQUAL(first.finished.size(), 1U);
  BOOST_TEST(first.finished[0].item.item == "i-2");
  BOOST_TEST(!calls.Send(streaming));
}

BOOST_FIXTURE_TEST_CASE(a_drain_hands_everything_back_and_ends, Fixture) {
  Streaming(Item("i-1", 1), 2);
  Started(Item("i-2", 2));
  bool drained = false;
  runner->Drain([&] { drained = true; });
  BOOST_TEST(!drained);
  Pass(kSoon);
  BOOST_TEST(drained);
  BOOST_TEST(calls.open.empty());
  BOOST_REQUIRE_EQUAL(first.finished.size(), 2U);
  BOOST_TEST((first.finished[0].outcome == RunOutcome::kInterrupted));
  BOOST_TEST(first.finished[0].output.text == "e1\ne2");
  BOOST_TEST((first.finished[1].outcome == RunOutcome::kReturned));
  BOOST_TEST(first.Last<Offer>(kOffer).items == 0U);
  first.Give(proxy.address(), Item("i-3", 3));
  Pass(kSoon);
  BOOST_TEST(calls.started.size() == 2U);
  BOOST_TEST((first.finished.at(2).outcome == RunOutcome::kReturned));
  first.hub->Send(proxy.address(), kWorkWaits, Encode(WorkWaits{5}));
  Pass(seconds(3));
  BOOST_TEST(first.Last<Offer>(kOffer).items == 0U);
  BOOST_TEST(first.Last<Offer>(kOffer).room == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_last_offer_comes_before_what_is_handed_back, Fixture) {
  Started(Item("i-1", 1));
  first.questions.clear();
  runner->Drain([] {});
  Pass(kSoon);
  BOOST_REQUIRE(first.questions.size() >= 2U);
  BOOST_TEST((first.questions[0].kind == kOffer));
  BOOST_TEST(Decode<Offer>(first.questions[0].body).value().items == 0U);
  BOOST_TEST((first.questions[1].kind == kFinished));
}

BOOST_FIXTURE_TEST_CASE(a_drain_waits_for_silent_stores_only_so_long, Fixture) {
  Streaming(Item("i-1", 1), 2);
  first.process.SetPaused(true);
  int drained = 0;
  runner->Drain([&] { ++drained; });
  Pass(kDrainTimeout - milliseconds(10));
  BOOST_TEST(drained == 0);
  Pass(kSoon);
  BOOST_TEST(drained == 1);
  first.process.SetPaused(false);
  Pass(seconds(10));
  BOOST_TEST(drained == 1);
  BOOST_TEST(first.finished.size() >= 1U);
}

BOOST_FIXTURE_TEST_CASE(an_idle_runner_drains_at_once, Fixture) {
  bool drained = false;
  runner->Drain([&] { drained = true; });
  Pass(milliseconds(1));
  BOOST_TEST(drained);
}

BOOST_FIXTURE_TEST_CASE(items_beyond_the_limit_go_back, Fixture) {
  for (std::uint64_t i = 0; i < kMostRuns + 3; ++i) {
    first.Give(proxy.address(), Item("i-" + std::to_string(i), i + 1));
  }
  Pass(milliseconds(100));
  BOOST_TEST(calls.started.size() == kMostRuns);
  BOOST_TEST(first.finished.size() == 3U);
  first.waiting = 9;
  Pass(seconds(1));
  BOOST_TEST(first.Last<Offer>(kOffer).held.size() == kMostRuns);
  BOOST_TEST(first.Last<Offer>(kOffer).items == 0U);
}

BOOST_FIXTURE_TEST_CASE(garbled_messages_change_nothing, Fixture) {
  first.hub->Send(proxy.address(), kAssign, "garbled");
  first.hub->Send(proxy.address(), kRevoke, "");
  first.hub->Send(proxy.address(), kWorkWaits, "garbled");
  Pass(kSoon);
  BOOST_TEST(runner->runs() == 0U);
  Started(Item("i-1", 1));
  first.answer = [](MessageKind, std::string_view) { return Result<std::string>("garbled"); };
  Pass(LeaseSpan(Bounds()));
  BOOST_TEST(!calls.Send(calls.CallOf("i-1")));
}

}  // namespace
}  // namespace shelflink::batch
