// Every figure of a core process, byte for byte; what is left out where it is not known; and its
// status, as a command reads it.
#define BOOST_TEST_MODULE core_metrics
#include "tier/cluster/core_metrics.h"

#include <boost/test/unit_test.hpp>

#include "tier/cluster/core_status.h"
#include "tier/cluster/status_report.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
}

LossHistory SomeHistory() {
  LossHistory history;
  history.begun = 4;
  history.ended = 2;
  history.handed_on = 1;
  history.median = milliseconds(1500);
  history.worst = milliseconds(2250);
  history.bytes_copied = 70000;
  history.by_size = {{0, 1, milliseconds(1500), milliseconds(1500)},
                     {std::nullopt, 1, milliseconds(2250), milliseconds(2250)}};
  return history;
}

RedundancyFigures SomeRedundancy() {
  RedundancyFigures redundancy;
  redundancy.leads = true;
  redundancy.stores_heard = true;
  redundancy.stores = {{"storage-1", "zone-1", "10.3.0.1:7362", true, false, 1000, 250000000},
                       {"storage-2", "zone-2", "10.3.0.2:7362", false, true}};
  redundancy.partitions = {64, 2, 63};
  redundancy.open = {{{CopyKind::kBatch, 7}, 1, 2, milliseconds(1250), true, 300, 500}};
  redundancy.batch = SomeHistory();
  redundancy.led = milliseconds(90000);
  return redundancy;
}

StoreFigures SomeStore() {
  StoreFigures figures;
  figures.uptime = milliseconds(61500);
  figures.disk_refuses = true;
  figures.bytes_used = 4096;
  figures.bytes_limit = 607125504;
  figures.primaries = 21;
  figures.backups = 20;
  figures.incomplete = 3;
  figures.left = 1;
  figures.jobs = 12;
  figures.items_waiting = 300;
  figures.items_leased = 40;
  figures.items_overdue = 30;
  figures.jobs_accepted = 50;
  figures.jobs_over_quota = 3;
  figures.jobs_without_room = 2;
  figures.jobs_refused_busy = 1;
  figures.leases = 900;
  figures.lease_wait = milliseconds(2700500);
  figures.violations = 2;
  figures.endpoints_age = milliseconds(740);
  return figures;
}

CoreFigures SomeFigures() {
  CoreFigures figures;
  figures.process = {"edge-1", "core", milliseconds(1500)};
  figures.group.is_primary = true;
  figures.group.knows_primary = true;
  figures.group.epoch = 3;
  figures.group.replicas = {"edge-1", "edge-2"};
  figures.group.witnesses = {"edge-1", "edge-2", "edge-3"};
  figures.group.contents_entries = 12;
  figures.group.disk = {4096, 33554432, true};
  figures.cluster.leases = {{"proxy", 33}, {"store", 2}};
  figures.cluster.stores = {{"storage-1", true, SomeStore()}, {"storage-2", false, std::nullopt}};
  figures.cluster.published_list = EndpointSummary{{3, 7}, 60, 2};
  figures.cluster.list_age = milliseconds(250);
  figures.cluster.lists_published = 7;
  figures.cluster.lists_not_published = 1;
  figures.cluster.redundancy = SomeRedundancy();
  using platform::CallKind;
  figures.platform_calls[{CallKind::kList, std::nullopt}] = 80;
  figures.platform_calls[{CallKind::kList, ErrorCode::kExhausted}] = 3;
  figures.operator_answers = {{200, 5}, {503, 22}};
  return figures;
}

// From the first figure behind those that every process has.
std::string OwnText(const CoreFigures& figures) {
  const std::string text = MetricsOf(figures, Invariants());
  return text.substr(text.find("# HELP shelflink_core_is_primary"));
}

BOOST_AUTO_TEST_CASE(all_figures) {
  BOOST_TEST(
      OwnText(SomeFigures()) ==
      "# HELP shelflink_core_is_primary Whether this process is the primary and its lease is "
      "valid.\n"
      "# TYPE shelflink_core_is_primary gauge\n"
      "shelflink_core_is_primary 1\n"
      "# HELP shelflink_core_knows_primary Whether this process knows who the primary is.\n"
      "# TYPE shelflink_core_knows_primary gauge\n"
      "shelflink_core_knows_primary 1\n"
      "# HELP shelflink_core_epoch Number of the newest record known here.\n"
      "# TYPE shelflink_core_epoch gauge\n"
      "shelflink_core_epoch 3\n"
      "# HELP shelflink_core_replicas Replicas that the record names.\n"
      "# TYPE shelflink_core_replicas gauge\n"
      "shelflink_core_replicas 2\n"
      "# HELP shelflink_core_witnesses Witnesses that the record names.\n"
      "# TYPE shelflink_core_witnesses gauge\n"
      "shelflink_core_witnesses 3\n"
      "# HELP shelflink_core_record_member Always 1; a node that the record names, and as what.\n"
      "# TYPE shelflink_core_record_member gauge\n"
      "shelflink_core_record_member{node=\"edge-1\",part=\"replica\"} 1\n"
      "shelflink_core_record_member{node=\"edge-2\",part=\"replica\"} 1\n"
      "shelflink_core_record_member{node=\"edge-1\",part=\"witness\"} 1\n"
      "shelflink_core_record_member{node=\"edge-2\",part=\"witness\"} 1\n"
      "shelflink_core_record_member{node=\"edge-3\",part=\"witness\"} 1\n"
      "# HELP shelflink_core_contents_entries Keys of the control state that are committed as "
      "known here.\n"
      "# TYPE shelflink_core_contents_entries gauge\n"
      "shelflink_core_contents_entries 12\n"
      "# HELP shelflink_disk_used_bytes What the control state takes of the disk.\n"
      "# TYPE shelflink_disk_used_bytes gauge\n"
      "shelflink_disk_used_bytes 4096\n"
      "# HELP shelflink_disk_limit_bytes What the control state may take of the disk.\n"
      "# TYPE shelflink_disk_limit_bytes gauge\n"
      "shelflink_disk_limit_bytes 33554432\n"
      "# HELP shelflink_disk_refuses_writes Whether the disk refuses writes: it vouches for "
      "nothing.\n"
      "# TYPE shelflink_disk_refuses_writes gauge\n"
      "shelflink_disk_refuses_writes 1\n"
      "# HELP shelflink_core_leases Valid leases of members, by role; of the primary only.\n"
      "# TYPE shelflink_core_leases gauge\n"
      "shelflink_core_leases{role=\"proxy\"} 33\n"
      "shelflink_core_leases{role=\"store\"} 2\n"
      "# HELP shelflink_store_in_touch Whether the store holds a lease; of the primary only.\n"
      "# TYPE shelflink_store_in_touch gauge\n"
      "shelflink_store_in_touch{node=\"storage-1\"} 1\n"
      "shelflink_store_in_touch{node=\"storage-2\"} 0\n"
      "# HELP shelflink_store_uptime_seconds Time since the store's process began.\n"
      "# TYPE shelflink_store_uptime_seconds gauge\n"
      "shelflink_store_uptime_seconds{node=\"storage-1\"} 61.5\n"
      "# HELP shelflink_store_disk_refuses_writes Whether the store's disk refuses writes.\n"
      "# TYPE shelflink_store_disk_refuses_writes gauge\n"
      "shelflink_store_disk_refuses_writes{node=\"storage-1\"} 1\n"
      "# HELP shelflink_store_disk_used_bytes What batch jobs take of the store's disk.\n"
      "# TYPE shelflink_store_disk_used_bytes gauge\n"
      "shelflink_store_disk_used_bytes{node=\"storage-1\"} 4096\n"
      "# HELP shelflink_store_disk_limit_bytes What batch jobs may take of the store's disk.\n"
      "# TYPE shelflink_store_disk_limit_bytes gauge\n"
      "shelflink_store_disk_limit_bytes{node=\"storage-1\"} 607125504\n"
      "# HELP shelflink_store_partitions Copies of partitions on the store's disk, by part.\n"
      "# TYPE shelflink_store_partitions gauge\n"
      "shelflink_store_partitions{node=\"storage-1\",part=\"primary\"} 21\n"
      "shelflink_store_partitions{node=\"storage-1\",part=\"backup\"} 20\n"
      "shelflink_store_partitions{node=\"storage-1\",part=\"incomplete\"} 3\n"
      "shelflink_store_partitions{node=\"storage-1\",part=\"left\"} 1\n"
      "# HELP shelflink_store_jobs Batch jobs of the partitions that the store decides for.\n"
      "# TYPE shelflink_store_jobs gauge\n"
      "shelflink_store_jobs{node=\"storage-1\"} 12\n"
      "# HELP shelflink_store_items Items of these jobs that wait, or run somewhere.\n"
      "# TYPE shelflink_store_items gauge\n"
      "shelflink_store_items{node=\"storage-1\",state=\"waiting\"} 300\n"
      "shelflink_store_items{node=\"storage-1\",state=\"leased\"} 40\n"
      "# HELP shelflink_store_items_overdue Items that wait although their jobs were due.\n"
      "# TYPE shelflink_store_items_overdue gauge\n"
      "shelflink_store_items_overdue{node=\"storage-1\"} 30\n"
      "# HELP shelflink_store_jobs_accepted_total Batch jobs that the store has accepted.\n"
      "# TYPE shelflink_store_jobs_accepted_total counter\n"
      "shelflink_store_jobs_accepted_total{node=\"storage-1\"} 50\n"
      "# HELP shelflink_store_jobs_refused_total Batch jobs that the store has refused, by "
      "reason.\n"
      "# TYPE shelflink_store_jobs_refused_total counter\n"
      "shelflink_store_jobs_refused_total{node=\"storage-1\",reason=\"quota\"} 3\n"
      "shelflink_store_jobs_refused_total{node=\"storage-1\",reason=\"disk\"} 2\n"
      "shelflink_store_jobs_refused_total{node=\"storage-1\",reason=\"busy\"} 1\n"
      "# HELP shelflink_store_leases_total Items that the store has handed out to proxies.\n"
      "# TYPE shelflink_store_leases_total counter\n"
      "shelflink_store_leases_total{node=\"storage-1\"} 900\n"
      "# HELP shelflink_store_lease_wait_seconds_total Time that these waited since their jobs "
      "were sent.\n"
      "# TYPE shelflink_store_lease_wait_seconds_total counter\n"
      "shelflink_store_lease_wait_seconds_total{node=\"storage-1\"} 2700.5\n"
      "# HELP shelflink_store_invariant_violations_total Violations of what must hold in the "
      "store's process.\n"
      "# TYPE shelflink_store_invariant_violations_total counter\n"
      "shelflink_store_invariant_violations_total{node=\"storage-1\"} 2\n"
      "# HELP shelflink_store_endpoint_list_age_seconds Time since the reading that the store's "
      "list stands for.\n"
      "# TYPE shelflink_store_endpoint_list_age_seconds gauge\n"
      "shelflink_store_endpoint_list_age_seconds{node=\"storage-1\"} 0.74\n"
      "# HELP shelflink_endpoint_list_epoch Epoch of the list of endpoints published last from "
      "here.\n"
      "# TYPE shelflink_endpoint_list_epoch gauge\n"
      "shelflink_endpoint_list_epoch 3\n"
      "# HELP shelflink_endpoint_list_sequence Number of that list within its epoch.\n"
      "# TYPE shelflink_endpoint_list_sequence gauge\n"
      "shelflink_endpoint_list_sequence 7\n"
      "# HELP shelflink_endpoint_list_entries Endpoints in that list.\n"
      "# TYPE shelflink_endpoint_list_entries gauge\n"
      "shelflink_endpoint_list_entries 60\n"
      "# HELP shelflink_endpoint_list_draining_entries Endpoints in that list that drain.\n"
      "# TYPE shelflink_endpoint_list_draining_entries gauge\n"
      "shelflink_endpoint_list_draining_entries 2\n"
      "# HELP shelflink_endpoint_list_age_seconds Time since the platform's list was last read "
      "whole from here.\n"
      "# TYPE shelflink_endpoint_list_age_seconds gauge\n"
      "shelflink_endpoint_list_age_seconds 0.25\n"
      "# HELP shelflink_endpoint_lists_published_total Lists of endpoints published.\n"
      "# TYPE shelflink_endpoint_lists_published_total counter\n"
      "shelflink_endpoint_lists_published_total 7\n"
      "# HELP shelflink_endpoint_lists_not_published_total Lists of endpoints read and not "
      "published.\n"
      "# TYPE shelflink_endpoint_lists_not_published_total counter\n"
      "shelflink_endpoint_lists_not_published_total 1\n"
      "# HELP shelflink_redundancy_lacking What has too few whole copies now; of the primary "
      "only.\n"
      "# TYPE shelflink_redundancy_lacking gauge\n"
      "shelflink_redundancy_lacking{kind=\"control\"} 0\n"
      "shelflink_redundancy_lacking{kind=\"batch\"} 1\n"
      "# HELP shelflink_redundancy_lacking_seconds For how long the one that lacks copies longest "
      "does.\n"
      "# TYPE shelflink_redundancy_lacking_seconds gauge\n"
      "shelflink_redundancy_lacking_seconds{kind=\"control\"} 0\n"
      "shelflink_redundancy_lacking_seconds{kind=\"batch\"} 1.25\n"
      "# HELP shelflink_redundancy_left_bytes Still to be copied, at most, as far as it is "
      "known.\n"
      "# TYPE shelflink_redundancy_left_bytes gauge\n"
      "shelflink_redundancy_left_bytes{kind=\"control\"} 0\n"
      "shelflink_redundancy_left_bytes{kind=\"batch\"} 500\n"
      "# HELP shelflink_redundancy_losses_total Times that something came to have too few whole "
      "copies.\n"
      "# TYPE shelflink_redundancy_losses_total counter\n"
      "shelflink_redundancy_losses_total{kind=\"control\"} 0\n"
      "shelflink_redundancy_losses_total{kind=\"batch\"} 4\n"
      "# HELP shelflink_redundancy_losses_ended_total Of those, the times that it had enough "
      "again.\n"
      "# TYPE shelflink_redundancy_losses_ended_total counter\n"
      "shelflink_redundancy_losses_ended_total{kind=\"control\"} 0\n"
      "shelflink_redundancy_losses_ended_total{kind=\"batch\"} 2\n"
      "# HELP shelflink_redundancy_copied_bytes_total Copied while something had too few "
      "copies.\n"
      "# TYPE shelflink_redundancy_copied_bytes_total counter\n"
      "shelflink_redundancy_copied_bytes_total{kind=\"control\"} 0\n"
      "shelflink_redundancy_copied_bytes_total{kind=\"batch\"} 70000\n"
      "# HELP shelflink_redundancy_median_seconds Median time with too few copies, of the newest "
      "that ended.\n"
      "# TYPE shelflink_redundancy_median_seconds gauge\n"
      "shelflink_redundancy_median_seconds{kind=\"batch\"} 1.5\n"
      "# HELP shelflink_redundancy_worst_seconds Longest time with too few copies of all that "
      "ended.\n"
      "# TYPE shelflink_redundancy_worst_seconds gauge\n"
      "shelflink_redundancy_worst_seconds{kind=\"batch\"} 2.25\n"
      "# HELP shelflink_platform_calls_total Calls to the platform that have ended, by outcome.\n"
      "# TYPE shelflink_platform_calls_total counter\n"
      "shelflink_platform_calls_total{call=\"list\",outcome=\"ok\"} 80\n"
      "shelflink_platform_calls_total{call=\"list\",outcome=\"exhausted\"} 3\n"
      "# HELP shelflink_operator_answers_total Answers to the operator's orders, by status code.\n"
      "# TYPE shelflink_operator_answers_total counter\n"
      "shelflink_operator_answers_total{status=\"200\"} 5\n"
      "shelflink_operator_answers_total{status=\"503\"} 22\n");
}

BOOST_AUTO_TEST_CASE(what_is_not_known_is_left_out) {
  CoreFigures figures;
  figures.process = {"edge-9", "core", milliseconds(0)};
  const std::string text = MetricsOf(figures, Invariants());
  BOOST_TEST(Has(text, "shelflink_process_info{node=\"edge-9\",role=\"core\"} 1"));
  BOOST_TEST(Has(text, "shelflink_core_is_primary 0"));
  BOOST_TEST(Has(text, "shelflink_core_knows_primary 0"));
  BOOST_TEST(Has(text, "shelflink_endpoint_lists_published_total 0"));
  for (const char* absent :
       {"shelflink_disk_", "shelflink_store_", "shelflink_core_leases", "shelflink_core_record_",
        "shelflink_endpoint_list_", "shelflink_platform_calls_total",
        "shelflink_operator_answers_total", "shelflink_redundancy_lacking",
        "shelflink_redundancy_median_seconds"}) {
    BOOST_TEST(text.find(absent) == std::string::npos);
  }
}

// --- Status ---

using coordination::DiskState;

CoreFigures SomeStatus() {
  CoreFigures figures = SomeFigures();
  GroupFigures& group = figures.group;
  group.primary = "edge-1";
  group.primary_control = net::Address::Parse("10.1.0.14:8683");
  group.wanted_replicas = 2;
  const net::Address address = net::Address::V4(0x0a010001, 7361);
  group.members = {
      {{"edge-1", "zone-1", "d1", address}, true, true, DiskState::kTakesWrites, {}},
      {{"edge-2", "zone-2", "d2", address}, false, true, DiskState::kRefusesWrites, {}}};
  return figures;
}

StatusReport Read(const CoreFigures& figures) {
  const auto report = ReadStatusReport(StatusOf(figures));
  BOOST_REQUIRE_MESSAGE(report.has_value(),
                        TextOf(report.has_value() ? Findings() : report.error()));
  return report.value();
}

BOOST_AUTO_TEST_CASE(the_status_of_a_primary_that_lacks_a_copy) {
  const StatusReport report = Read(SomeStatus());
  BOOST_TEST((RedundancyOf(report) == Redundancy::kLacking));
  BOOST_TEST(
      TextOf(report) ==
      "control state: primary edge-1, epoch 3, 2 copies wanted\n"
      "  edge-1 (zone-1): replica, witness; disk takes writes\n"
      "  edge-2 (zone-2): witness; disk refuses\n"
      "stores: 2, 1 live\n"
      "  storage-1 (zone-1): live; 1.0 kB used, 250.0 MB free\n"
      "  storage-2 (zone-2): no lease, being emptied\n"
      "partitions: 64, 2 copies wanted of each, 63 whole\n"
      "redundancy: LACKING\n"
      "  partition 7: 1 of 2 copies for at least 1.250 s, 300 B copied, 500 B left at most\n"
      "since edge-1 leads (90.000 s altogether):\n"
      "  control state: 0 losses of redundancy, 0 ended\n"
      "  batch partitions: 4 losses of redundancy, 2 ended, 1 went on under another primary; "
      "without it median 1.500 s, worst 2.250 s; 70.0 kB copied\n"
      "    up to 0 B copied: 1, median 1.500 s, worst 1.500 s\n"
      "    more copied: 1, median 2.250 s, worst 2.250 s\n");
}

BOOST_AUTO_TEST_CASE(whole_is_said_by_a_primary_that_knows_its_stores_only) {
  CoreFigures figures = SomeStatus();
  figures.cluster.redundancy.open.clear();
  BOOST_TEST((RedundancyOf(Read(figures)) == Redundancy::kWhole));
  figures.cluster.redundancy.stores_heard = false;
  BOOST_TEST((RedundancyOf(Read(figures)) == Redundancy::kUnknown));
  BOOST_TEST(TextOf(Read(figures)).find("has not heard of all stores yet") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(who_does_not_lead_tells_whom_to_ask) {
  CoreFigures figures = SomeStatus();
  figures.cluster.redundancy = {};
  const StatusReport report = Read(figures);
  BOOST_TEST(!report.leads);
  BOOST_TEST((RedundancyOf(report) == Redundancy::kUnknown));
  BOOST_TEST(report.primary == "edge-1");
  BOOST_TEST(report.primary_control->Text() == "10.1.0.14:8683");
  BOOST_TEST(report.members[1].disk == "unknown");
}

BOOST_AUTO_TEST_CASE(a_status_that_cannot_be_read_is_refused_with_the_place) {
  const auto finding = [](const std::string& json) {
    const auto report = ReadStatusReport(json);
    return report ? std::string() : TextOf(report.error());
  };
  const std::string whole = StatusOf(SomeStatus());
  BOOST_TEST(finding(whole) == "");
  BOOST_TEST(finding("") != "");
  BOOST_TEST(finding("[]").find("document") != std::string::npos);
  BOOST_TEST(finding("{}").find("leads") != std::string::npos);
  const auto with = [&](const std::string& text, const std::string& other) {
    std::string changed = whole;
    changed.replace(changed.find(text), text.size(), other);
    return finding(changed);
  };
  BOOST_TEST(with(R"("epoch":3)", R"("epoch":-3)").find("epoch") != std::string::npos);
  BOOST_TEST(with(R"("partition":7)", R"("partition":"x")").find("lacking[0].partition") !=
             std::string::npos);
  BOOST_TEST(with(R"("losses":4)", R"("losses":1e300)").find("history.batch.losses") !=
             std::string::npos);
  BOOST_TEST(with(R"("stores":[)", R"("stores":3,"other":[)").find("stores") != std::string::npos);
  // Cut short anywhere it is none.
  for (std::size_t length = 0; length < whole.size(); ++length) {
    BOOST_TEST(finding(whole.substr(0, length)) != "");
  }
}

BOOST_AUTO_TEST_CASE(what_a_terminal_would_obey_is_not_printed) {
  CoreFigures figures = SomeStatus();
  figures.group.members[0].member.node = "edge\x1b[2J";
  BOOST_TEST(TextOf(Read(figures)).find('\x1b') == std::string::npos);
}

}  // namespace
}  // namespace shelflink::cluster
