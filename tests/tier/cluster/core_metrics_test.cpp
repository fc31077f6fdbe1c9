// Every figure of a core process, byte for byte; and what is left out where it is not known.
#define BOOST_TEST_MODULE core_metrics
#include "tier/cluster/core_metrics.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
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
        "shelflink_operator_answers_total"}) {
    BOOST_TEST(text.find(absent) == std::string::npos);
  }
}

}  // namespace
}  // namespace shelflink::cluster
