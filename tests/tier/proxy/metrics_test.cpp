// The metrics of a proxy, byte for byte, and which of them are omitted while they are unknown; also
// the body of the response to GET /ready.
#define BOOST_TEST_MODULE proxy_metrics
#include "tier/proxy/metrics.h"

#include <boost/test/unit_test.hpp>

#include "tier/proxy/ready_text.h"

namespace shelflink::proxy {
namespace {

using std::chrono::milliseconds;

std::string ProxyMetricsText(const ProxyFigures& figures) {
  const std::string text = MetricsOf(figures, Invariants());
  return text.substr(text.find("# HELP shelflink_ready"));
}

BOOST_AUTO_TEST_CASE(all_figures) {
  ProxyFigures figures;
  figures.ready = true;
  figures.in_touch = true;
  figures.lease_remaining = milliseconds(2500);
  figures.endpoints = cluster::EndpointSummary{{3, 7}, 60, 2};
  figures.endpoints_unchanged = milliseconds(30125);
  figures.endpoints_age = milliseconds(750);
  figures.drain_bound = milliseconds(3000);
  figures.configuration_version = 41;
  figures.placement_version = 9;
  figures.calls = 17;
  figures.endpoint_connections = 1234;
  figures.batch = {2, 6.5, 5};
  figures.batch_room = 1;
  figures.batch_runs = {
      7, 100, 90, 60, 5, 4, 3, 2, 1, 70, milliseconds(3500), 65, milliseconds(650)};
  BOOST_TEST(
      ProxyMetricsText(figures) ==
      "# HELP shelflink_ready Whether GET /ready answers 200.\n"
      "# TYPE shelflink_ready gauge\n"
      "shelflink_ready 1\n"
      "# HELP shelflink_core_in_touch Whether the lease from the core's primary is valid.\n"
      "# TYPE shelflink_core_in_touch gauge\n"
      "shelflink_core_in_touch 1\n"
      "# HELP shelflink_lease_remaining_seconds Time until the lease ends; 0 without one.\n"
      "# TYPE shelflink_lease_remaining_seconds gauge\n"
      "shelflink_lease_remaining_seconds 2.5\n"
      "# HELP shelflink_endpoint_list_epoch Epoch of the primary that published the list of "
      "endpoints.\n"
      "# TYPE shelflink_endpoint_list_epoch gauge\n"
      "shelflink_endpoint_list_epoch 3\n"
      "# HELP shelflink_endpoint_list_sequence Number of the list of endpoints within its epoch.\n"
      "# TYPE shelflink_endpoint_list_sequence gauge\n"
      "shelflink_endpoint_list_sequence 7\n"
      "# HELP shelflink_endpoint_list_entries Endpoints in the list.\n"
      "# TYPE shelflink_endpoint_list_entries gauge\n"
      "shelflink_endpoint_list_entries 60\n"
      "# HELP shelflink_endpoint_list_draining_entries Endpoints in the list that drain.\n"
      "# TYPE shelflink_endpoint_list_draining_entries gauge\n"
      "shelflink_endpoint_list_draining_entries 2\n"
      "# HELP shelflink_endpoint_list_unchanged_seconds Time since this process took the list of "
      "endpoints.\n"
      "# TYPE shelflink_endpoint_list_unchanged_seconds gauge\n"
      "shelflink_endpoint_list_unchanged_seconds 30.125\n"
      "# HELP shelflink_endpoint_list_age_seconds Time since the platform's list was read that "
      "the list of endpoints stands for.\n"
      "# TYPE shelflink_endpoint_list_age_seconds gauge\n"
      "shelflink_endpoint_list_age_seconds 0.75\n"
      "# HELP shelflink_drain_bound_seconds bounds.drainMs: no list of endpoints may be older.\n"
      "# TYPE shelflink_drain_bound_seconds gauge\n"
      "shelflink_drain_bound_seconds 3\n"
      "# HELP shelflink_configuration_version Version of the configuration in force here.\n"
      "# TYPE shelflink_configuration_version gauge\n"
      "shelflink_configuration_version 41\n"
      "# HELP shelflink_placement_version Version of the placement of batch partitions here.\n"
      "# TYPE shelflink_placement_version gauge\n"
      "shelflink_placement_version 9\n"
      "# HELP shelflink_endpoint_calls Requests that wait for an endpoint or are at one.\n"
      "# TYPE shelflink_endpoint_calls gauge\n"
      "shelflink_endpoint_calls 17\n"
      "# HELP shelflink_endpoint_connections_total Connections to endpoints that were opened.\n"
      "# TYPE shelflink_endpoint_connections_total counter\n"
      "shelflink_endpoint_connections_total 1234\n"
      "# HELP shelflink_batch_endpoints Endpoints that this proxy alone sends batch items to.\n"
      "# TYPE shelflink_batch_endpoints gauge\n"
      "shelflink_batch_endpoints 2\n"
      "# HELP shelflink_batch_limit_items Batch items that it keeps there at most, as learned.\n"
      "# TYPE shelflink_batch_limit_items gauge\n"
      "shelflink_batch_limit_items 6.5\n"
      "# HELP shelflink_batch_endpoint_items Batch items that are there now.\n"
      "# TYPE shelflink_batch_endpoint_items gauge\n"
      "shelflink_batch_endpoint_items 5\n"
      "# HELP shelflink_batch_room_items More batch items that could be started now.\n"
      "# TYPE shelflink_batch_room_items gauge\n"
      "shelflink_batch_room_items 1\n"
      "# HELP shelflink_batch_held_items Batch items that the proxy holds, with reports under "
      "way.\n"
      "# TYPE shelflink_batch_held_items gauge\n"
      "shelflink_batch_held_items 7\n"
      "# HELP shelflink_batch_items_offered_total Batch items that stores were offered to hand "
      "out.\n"
      "# TYPE shelflink_batch_items_offered_total counter\n"
      "shelflink_batch_items_offered_total 100\n"
      "# HELP shelflink_batch_items_taken_total Batch items that stores have handed out.\n"
      "# TYPE shelflink_batch_items_taken_total counter\n"
      "shelflink_batch_items_taken_total 90\n"
      "# HELP shelflink_batch_runs_ended_total Runs of batch items that have ended, by outcome.\n"
      "# TYPE shelflink_batch_runs_ended_total counter\n"
      "shelflink_batch_runs_ended_total{outcome=\"completed\"} 60\n"
      "shelflink_batch_runs_ended_total{outcome=\"failed\"} 5\n"
      "shelflink_batch_runs_ended_total{outcome=\"impossible\"} 4\n"
      "shelflink_batch_runs_ended_total{outcome=\"interrupted\"} 3\n"
      "shelflink_batch_runs_ended_total{outcome=\"returned\"} 2\n"
      "shelflink_batch_runs_ended_total{outcome=\"revoked\"} 1\n"
      "# HELP shelflink_batch_runs_begun_total Ended runs of batch items that had an event.\n"
      "# TYPE shelflink_batch_runs_begun_total counter\n"
      "shelflink_batch_runs_begun_total 70\n"
      "# HELP shelflink_batch_first_event_wait_seconds_total Time from when these were handed out "
      "until their first events.\n"
      "# TYPE shelflink_batch_first_event_wait_seconds_total counter\n"
      "shelflink_batch_first_event_wait_seconds_total 3.5\n"
      "# HELP shelflink_batch_reports_taken_total Reports of ended runs that stores have taken.\n"
      "# TYPE shelflink_batch_reports_taken_total counter\n"
      "shelflink_batch_reports_taken_total 65\n"
      "# HELP shelflink_batch_report_wait_seconds_total Time from the ends of these runs until "
      "then.\n"
      "# TYPE shelflink_batch_report_wait_seconds_total counter\n"
      "shelflink_batch_report_wait_seconds_total 0.65\n");
}

BOOST_AUTO_TEST_CASE(what_is_not_known_is_left_out) {
  const std::string text = ProxyMetricsText(ProxyFigures());
  BOOST_TEST(text.find("\nshelflink_core_in_touch 0\n") != std::string::npos);
  BOOST_TEST(text.find("\nshelflink_lease_remaining_seconds 0\n") != std::string::npos);
  for (const char* absent : {"shelflink_endpoint_list_", "shelflink_configuration_version",
                             "shelflink_placement_version"}) {
    BOOST_TEST(text.find(absent) == std::string::npos);
  }
}

// --- The body of the response to GET /ready -----------------------------------------------------

const net::Time kNow(std::chrono::seconds(100));

Readiness ReadyState() {
  Readiness good;
  good.has_configuration = true;
  good.has_endpoints = true;
  good.had_lease = true;
  good.lease_until = kNow + milliseconds(10);
  good.contact_slack = milliseconds(3000);
  return good;
}

ListCondition FreshList() {
  ListCondition list;
  list.age = milliseconds(1200);
  list.max_age = milliseconds(3000);
  return list;
}

BOOST_AUTO_TEST_CASE(readiness_without_a_fault_has_no_reasons) {
  BOOST_TEST(ReadyText(ReadyState(), FreshList(), 0, kNow) == "ready\n");
}

BOOST_AUTO_TEST_CASE(a_process_that_has_just_started_says_what_it_lacks) {
  BOOST_TEST(ReadyText({}, {}, 0, kNow) ==
             "not ready\nno configuration yet\nno lease from the core yet\n"
             "no list of endpoints yet\n");
}

BOOST_AUTO_TEST_CASE(out_of_touch_is_reported_before_it_makes_the_proxy_not_ready) {
  BOOST_TEST(ReadyText(ReadyState(), FreshList(), 0, kNow + milliseconds(1510)) ==
             "ready\nout of touch with the core for 1.5 s\n");
  BOOST_TEST(ReadyText(ReadyState(), FreshList(), 0, kNow + milliseconds(3010)) ==
             "not ready\nout of touch with the core for 3.0 s\n");
}

BOOST_AUTO_TEST_CASE(full_disks_of_the_core_are_reported) {
  BOOST_TEST(ReadyText(ReadyState(), FreshList(), 2, kNow + milliseconds(3010)) ==
             "not ready\nout of touch with the core for 3.0 s\n"
             "core processes whose disks refuse writes: 2\n");
}

BOOST_AUTO_TEST_CASE(a_process_that_shuts_down_says_so) {
  Readiness stopping = ReadyState();
  stopping.shutting_down = true;
  BOOST_TEST(ReadyText(stopping, FreshList(), 0, kNow) == "not ready\ntold to end\n");
}

BOOST_AUTO_TEST_CASE(a_list_that_is_too_old_is_reported_with_the_reason) {
  ListCondition list = FreshList();
  list.age = milliseconds(3000);
  BOOST_TEST(ReadyText(ReadyState(), list, 0, kNow) == "ready\n");
  list.age = milliseconds(4250);
  list.state = ListState::kStale;
  BOOST_TEST(ReadyText(ReadyState(), list, 0, kNow) ==
             "ready\nthe list of endpoints is 4.2 s old, 3.0 s are allowed; neither the core nor "
             "another proxy has a newer one\n");
  list.state = ListState::kPlatformUnavailable;
  BOOST_TEST(ReadyText(ReadyState(), list, 0, kNow) ==
             "ready\nthe list of endpoints is 4.2 s old, 3.0 s are allowed; the platform does not "
             "answer in time\n");
  list.state = ListState::kResumed;
  BOOST_TEST(ReadyText(ReadyState(), list, 0, kNow) ==
             "ready\nthe list of endpoints is 4.2 s old, 3.0 s are allowed; the process has just "
             "begun, or stood still\n");
  list.age.reset();
  BOOST_TEST(ReadyText(ReadyState(), list, 0, kNow) ==
             "ready\nthe list of endpoints is of unknown age\n");
  list.state = ListState::kUnverified;
  Readiness unverified = ReadyState();
  unverified.has_endpoints = false;
  BOOST_TEST(ReadyText(unverified, list, 0, kNow) ==
             "not ready\nthe list of endpoints is of unknown age; it is the first one, and nothing "
             "newer has been read yet\n");
}

}  // namespace
}  // namespace shelflink::proxy
