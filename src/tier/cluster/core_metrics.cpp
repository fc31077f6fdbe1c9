#include "tier/cluster/core_metrics.h"

#include <algorithm>

#include "tier/cluster/endpoint_list_metrics.h"

namespace shelflink::cluster {
namespace {

constexpr MetricFamily kIsPrimary{"shelflink_core_is_primary", MetricType::kGauge,
                                  "Whether this process is the primary and its lease is valid."};
constexpr MetricFamily kKnowsPrimary{"shelflink_core_knows_primary", MetricType::kGauge,
                                     "Whether this process knows who the primary is."};
constexpr MetricFamily kEpoch{"shelflink_core_epoch", MetricType::kGauge,
                              "Number of the newest record known here."};
constexpr MetricFamily kReplicas{"shelflink_core_replicas", MetricType::kGauge,
                                 "Replicas that the record names."};
constexpr MetricFamily kWitnesses{"shelflink_core_witnesses", MetricType::kGauge,
                                  "Witnesses that the record names."};
constexpr MetricFamily kRecordMember{"shelflink_core_record_member", MetricType::kGauge,
                                     "Always 1; a node that the record names, and as what."};
constexpr MetricFamily kContents{"shelflink_core_contents_entries", MetricType::kGauge,
                                 "Keys of the control state that are committed as known here."};
constexpr MetricFamily kDiskUsed{"shelflink_disk_used_bytes", MetricType::kGauge,
                                 "What the control state takes of the disk."};
constexpr MetricFamily kDiskLimit{"shelflink_disk_limit_bytes", MetricType::kGauge,
                                  "What the control state may take of the disk."};
constexpr MetricFamily kDiskRefuses{"shelflink_disk_refuses_writes", MetricType::kGauge,
                                    "Whether the disk refuses writes: it vouches for nothing."};
constexpr MetricFamily kLeases{"shelflink_core_leases", MetricType::kGauge,
                               "Valid leases of members, by role; of the primary only."};
constexpr EndpointListHelp kListHelp{
    .epoch = "Epoch of the list of endpoints published last from here.",
    .sequence = "Number of that list within its epoch.",
    .entries = "Endpoints in that list.",
    .draining = "Endpoints in that list that drain.",
    .age = "Time since the platform's list was last read whole from here.",
};
constexpr MetricFamily kListsPublished{"shelflink_endpoint_lists_published_total",
                                       MetricType::kCounter, "Lists of endpoints published."};
constexpr MetricFamily kListsNotPublished{"shelflink_endpoint_lists_not_published_total",
                                          MetricType::kCounter,
                                          "Lists of endpoints read and not published."};
constexpr MetricFamily kPlatformCalls{"shelflink_platform_calls_total", MetricType::kCounter,
                                      "Calls to the platform that have ended, by outcome."};
constexpr MetricFamily kAnswers{"shelflink_operator_answers_total", MetricType::kCounter,
                                "Answers to the operator's orders, by status code."};

constexpr MetricFamily kLacking{"shelflink_redundancy_lacking", MetricType::kGauge,
                                "What has too few whole copies now; of the primary only."};
constexpr MetricFamily kLackingFor{"shelflink_redundancy_lacking_seconds", MetricType::kGauge,
                                   "For how long the one that lacks copies longest does."};
constexpr MetricFamily kLackingBytes{"shelflink_redundancy_left_bytes", MetricType::kGauge,
                                     "Still to be copied, at most, as far as it is known."};
constexpr MetricFamily kLosses{"shelflink_redundancy_losses_total", MetricType::kCounter,
                               "Times that something came to have too few whole copies."};
constexpr MetricFamily kLossesEnded{"shelflink_redundancy_losses_ended_total", MetricType::kCounter,
                                    "Of those, the times that it had enough again."};
constexpr MetricFamily kLossMedian{"shelflink_redundancy_median_seconds", MetricType::kGauge,
                                   "Median time with too few copies, of the newest that ended."};
constexpr MetricFamily kLossWorst{"shelflink_redundancy_worst_seconds", MetricType::kGauge,
                                  "Longest time with too few copies of all that ended."};
constexpr MetricFamily kLossCopied{"shelflink_redundancy_copied_bytes_total", MetricType::kCounter,
                                   "Copied while something had too few copies."};

constexpr std::string_view NameOf(CopyKind kind) {
  return kind == CopyKind::kControl ? "control" : "batch";
}

void AddHistory(MetricsText& text, CopyKind kind, const LossHistory& history) {
  const MetricLabels labels{{"kind", NameOf(kind)}};
  text.Add(kLosses, history.begun, labels);
  text.Add(kLossesEnded, history.ended, labels);
  text.Add(kLossCopied, history.bytes_copied, labels);
  if (history.ended == 0) return;
  text.AddSeconds(kLossMedian, history.median, labels);
  text.AddSeconds(kLossWorst, history.worst, labels);
}

void AddOpenLosses(MetricsText& text, CopyKind kind, const std::vector<OpenLoss>& open) {
  const MetricLabels labels{{"kind", NameOf(kind)}};
  std::uint64_t count = 0;
  std::uint64_t bytes = 0;
  net::Span longest{};
  for (const OpenLoss& loss : open) {
    if (loss.subject.kind != kind) continue;
    ++count;
    bytes += loss.bytes_left.value_or(0);
    longest = std::max(longest, loss.lasts);
  }
  text.Add(kLacking, count, labels);
  text.AddSeconds(kLackingFor, longest, labels);
  text.Add(kLackingBytes, bytes, labels);
}

void AddRedundancy(MetricsText& text, const RedundancyFigures& figures) {
  if (figures.leads) {
    AddOpenLosses(text, CopyKind::kControl, figures.open);
    if (figures.stores_heard) AddOpenLosses(text, CopyKind::kBatch, figures.open);
  }
  AddHistory(text, CopyKind::kControl, figures.control);
  AddHistory(text, CopyKind::kBatch, figures.batch);
}

constexpr MetricFamily kStoreInTouch{"shelflink_store_in_touch", MetricType::kGauge,
                                     "Whether the store holds a lease; of the primary only."};
constexpr MetricFamily kStoreUptime{"shelflink_store_uptime_seconds", MetricType::kGauge,
                                    "Time since the store's process began."};
constexpr MetricFamily kStoreDiskUsed{"shelflink_store_disk_used_bytes", MetricType::kGauge,
                                      "What batch jobs take of the store's disk."};
constexpr MetricFamily kStoreDiskLimit{"shelflink_store_disk_limit_bytes", MetricType::kGauge,
                                       "What batch jobs may take of the store's disk."};
constexpr MetricFamily kStoreDiskRefuses{"shelflink_store_disk_refuses_writes", MetricType::kGauge,
                                         "Whether the store's disk refuses writes."};
constexpr MetricFamily kStorePartitions{"shelflink_store_partitions", MetricType::kGauge,
                                        "Copies of partitions on the store's disk, by part."};
constexpr MetricFamily kStoreJobs{"shelflink_store_jobs", MetricType::kGauge,
                                  "Batch jobs of the partitions that the store decides for."};
constexpr MetricFamily kStoreItems{"shelflink_store_items", MetricType::kGauge,
                                   "Items of these jobs that wait, or run somewhere."};
constexpr MetricFamily kStoreOverdue{"shelflink_store_items_overdue", MetricType::kGauge,
                                     "Items that wait although their jobs were due."};
constexpr MetricFamily kStoreAccepted{"shelflink_store_jobs_accepted_total", MetricType::kCounter,
                                      "Batch jobs that the store has accepted."};
constexpr MetricFamily kStoreRefused{"shelflink_store_jobs_refused_total", MetricType::kCounter,
                                     "Batch jobs that the store has refused, by reason."};
constexpr MetricFamily kStoreLeases{"shelflink_store_leases_total", MetricType::kCounter,
                                    "Items that the store has handed out to proxies."};
constexpr MetricFamily kStoreLeaseWait{"shelflink_store_lease_wait_seconds_total",
                                       MetricType::kCounter,
                                       "Time that these waited since their jobs were sent."};
constexpr MetricFamily kStoreViolations{"shelflink_store_invariant_violations_total",
                                        MetricType::kCounter,
                                        "Violations of what must hold in the store's process."};
constexpr MetricFamily kStoreListAge{"shelflink_store_endpoint_list_age_seconds",
                                     MetricType::kGauge,
                                     "Time since the reading that the store's list stands for."};

void AddPartitions(MetricsText& text, const std::string& node, const StoreFigures& figures) {
  const auto add = [&](std::string_view part, std::uint64_t count) {
    text.Add(kStorePartitions, count, {{"node", node}, {"part", part}});
  };
  add("primary", figures.primaries);
  add("backup", figures.backups);
  add("incomplete", figures.incomplete);
  add("left", figures.left);
}

void AddJobs(MetricsText& text, const std::string& node, const StoreFigures& figures) {
  text.Add(kStoreJobs, figures.jobs, {{"node", node}});
  text.Add(kStoreItems, figures.items_waiting, {{"node", node}, {"state", "waiting"}});
  text.Add(kStoreItems, figures.items_leased, {{"node", node}, {"state", "leased"}});
  text.Add(kStoreOverdue, figures.items_overdue, {{"node", node}});
  text.Add(kStoreAccepted, figures.jobs_accepted, {{"node", node}});
  text.Add(kStoreRefused, figures.jobs_over_quota, {{"node", node}, {"reason", "quota"}});
  text.Add(kStoreRefused, figures.jobs_without_room, {{"node", node}, {"reason", "disk"}});
  text.Add(kStoreRefused, figures.jobs_refused_busy, {{"node", node}, {"reason", "busy"}});
  text.Add(kStoreLeases, figures.leases, {{"node", node}});
  text.AddSeconds(kStoreLeaseWait, figures.lease_wait, {{"node", node}});
}

void AddStore(MetricsText& text, const KnownStore& store) {
  const MetricLabels node{{"node", store.node}};
  text.AddFlag(kStoreInTouch, store.in_touch, node);
  if (!store.figures) return;
  const StoreFigures& figures = *store.figures;
  text.AddSeconds(kStoreUptime, figures.uptime, node);
  text.AddFlag(kStoreDiskRefuses, figures.disk_refuses, node);
  text.Add(kStoreDiskUsed, figures.bytes_used, node);
  text.Add(kStoreDiskLimit, figures.bytes_limit, node);
  AddPartitions(text, store.node, figures);
  AddJobs(text, store.node, figures);
  text.Add(kStoreViolations, figures.violations, node);
  if (figures.endpoints_age) text.AddSeconds(kStoreListAge, *figures.endpoints_age, node);
}

void AddMembers(MetricsText& text, const std::vector<std::string>& nodes, std::string_view part) {
  for (const std::string& node : nodes) {
    text.Add(kRecordMember, std::uint64_t{1}, {{"node", node}, {"part", part}});
  }
}

void AddGroup(MetricsText& text, const GroupFigures& group) {
  text.AddFlag(kIsPrimary, group.is_primary);
  text.AddFlag(kKnowsPrimary, group.knows_primary);
  text.Add(kEpoch, group.epoch);
  text.Add(kReplicas, std::uint64_t{group.replicas.size()});
  text.Add(kWitnesses, std::uint64_t{group.witnesses.size()});
  AddMembers(text, group.replicas, "replica");
  AddMembers(text, group.witnesses, "witness");
  text.Add(kContents, group.contents_entries);
  if (!group.disk) return;
  text.Add(kDiskUsed, group.disk->used_bytes);
  text.Add(kDiskLimit, group.disk->limit_bytes);
  text.AddFlag(kDiskRefuses, group.disk->refuses_writes);
}

void AddCluster(MetricsText& text, const ClusterFigures& cluster) {
  for (const auto& [role, count] : cluster.leases) {
    text.Add(kLeases, std::uint64_t{count}, {{"role", role}});
  }
  for (const KnownStore& store : cluster.stores) AddStore(text, store);
  if (cluster.published_list) AddEndpointSummary(text, kListHelp, *cluster.published_list);
  if (cluster.list_age) AddEndpointListAge(text, kListHelp, *cluster.list_age);
  text.Add(kListsPublished, cluster.lists_published);
  text.Add(kListsNotPublished, cluster.lists_not_published);
}

}  // namespace

std::string MetricsOf(const CoreFigures& figures, const Invariants& invariants) {
  MetricsText text;
  AddProcessMetrics(text, figures.process, invariants);
  AddGroup(text, figures.group);
  AddCluster(text, figures.cluster);
  AddRedundancy(text, figures.cluster.redundancy);
  for (const auto& [outcome, count] : figures.platform_calls) {
    text.Add(kPlatformCalls, count,
             {{"call", NameOf(outcome.kind)}, {"outcome", OutcomeName(outcome)}});
  }
  for (const auto& [status, count] : figures.operator_answers) {
    const std::string code = std::to_string(status);
    text.Add(kAnswers, count, {{"status", code}});
  }
  return text.Text();
}

}  // namespace shelflink::cluster
