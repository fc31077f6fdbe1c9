#include "tier/cluster/core_status.h"

#include <cjson/cJSON.h>

#include <chrono>
#include <memory>

#include "tier/configuration/json.h"

namespace shelflink::cluster {
namespace {

using coordination::DiskState;

void AddNumber(cJSON* object, const char* name, std::uint64_t value) {
  cJSON_AddNumberToObject(object, name, static_cast<double>(value));
}

void AddMillis(cJSON* object, const char* name, std::chrono::nanoseconds span) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  cJSON_AddNumberToObject(object, name, static_cast<double>(millis));
}

void AddText(cJSON* object, const char* name, const std::string& text) {
  cJSON_AddStringToObject(object, name, text.c_str());
}

cJSON* AddItem(cJSON* array) {
  cJSON* item = cJSON_CreateObject();
  cJSON_AddItemToArray(array, item);
  return item;
}

const char* NameOf(DiskState standing) {
  switch (standing) {
    case DiskState::kTakesWrites:
      return "takes_writes";
    case DiskState::kSilent:
      return "silent";
    case DiskState::kRefusesWrites:
      return "refuses";
    case DiskState::kReplaced:
      return "replaced";
  }
  return "silent";
}

void AddCore(cJSON* status, const GroupFigures& group, bool leads) {
  cJSON* core = cJSON_AddObjectToObject(status, "core");
  AddNumber(core, "wanted", group.wanted_replicas);
  cJSON* members = cJSON_AddArrayToObject(core, "members");
  for (const coordination::MemberStatus& member : group.members) {
    cJSON* item = AddItem(members);
    AddText(item, "node", member.member.node);
    AddText(item, "zone", member.member.zone);
    cJSON_AddBoolToObject(item, "replica", static_cast<cJSON_bool>(member.is_replica));
    cJSON_AddBoolToObject(item, "witness", static_cast<cJSON_bool>(member.is_witness));
    AddText(item, "disk", leads ? NameOf(member.disk_state) : "unknown");
  }
}

void AddPrimary(cJSON* status, const GroupFigures& group) {
  if (!group.primary) return;
  cJSON* primary = cJSON_AddObjectToObject(status, "primary");
  AddText(primary, "node", *group.primary);
  if (group.primary_control) AddText(primary, "control", group.primary_control->Text());
}

void AddStores(cJSON* status, const std::vector<StoreStanding>& stores) {
  cJSON* array = cJSON_AddArrayToObject(status, "stores");
  for (const StoreStanding& store : stores) {
    cJSON* item = AddItem(array);
    AddText(item, "node", store.node);
    AddText(item, "zone", store.zone);
    AddText(item, "address", store.address);
    cJSON_AddBoolToObject(item, "live", static_cast<cJSON_bool>(store.live));
    cJSON_AddBoolToObject(item, "retiring", static_cast<cJSON_bool>(store.retiring));
    if (!store.live) continue;
    AddNumber(item, "bytes_used", store.bytes_used);
    AddNumber(item, "bytes_free", store.bytes_free);
  }
}

void AddPartitions(cJSON* status, const RedundancyFigures& figures) {
  cJSON* partitions = cJSON_AddObjectToObject(status, "partitions");
  cJSON_AddBoolToObject(partitions, "known", static_cast<cJSON_bool>(figures.stores_heard));
  AddNumber(partitions, "count", figures.partitions.partitions);
  AddNumber(partitions, "wanted", figures.partitions.wanted);
  if (figures.stores_heard) AddNumber(partitions, "whole", figures.partitions.whole);
}

void AddLacking(cJSON* status, const std::vector<OpenLoss>& open) {
  cJSON* lacking = cJSON_AddArrayToObject(status, "lacking");
  for (const OpenLoss& loss : open) {
    cJSON* item = AddItem(lacking);
    const bool control = loss.subject.kind == CopyKind::kControl;
    AddText(item, "kind", control ? "control" : "batch");
    if (!control) AddNumber(item, "partition", loss.subject.number);
    AddNumber(item, "whole", loss.whole);
    AddNumber(item, "wanted", loss.wanted);
    AddMillis(item, "for_ms", loss.lasts);
    cJSON_AddBoolToObject(item, "at_least", static_cast<cJSON_bool>(loss.at_least));
    AddNumber(item, "bytes_copied", loss.bytes_copied);
    if (loss.bytes_left) AddNumber(item, "bytes_left", *loss.bytes_left);
  }
}

void AddHistory(cJSON* histories, const char* name, const LossHistory& history) {
  cJSON* object = cJSON_AddObjectToObject(histories, name);
  AddNumber(object, "losses", history.begun);
  AddNumber(object, "ended", history.ended);
  AddNumber(object, "handed_on", history.handed_on);
  AddNumber(object, "bytes_copied", history.bytes_copied);
  AddMillis(object, "median_ms", history.median);
  AddMillis(object, "worst_ms", history.worst);
  cJSON* sizes = cJSON_AddArrayToObject(object, "by_size");
  for (const LossSizeClass& size : history.by_size) {
    cJSON* item = AddItem(sizes);
    if (size.most_bytes) AddNumber(item, "most_bytes", *size.most_bytes);
    AddNumber(item, "losses", size.losses);
    AddMillis(item, "median_ms", size.median);
    AddMillis(item, "worst_ms", size.worst);
  }
}

}  // namespace

std::string StatusOf(const CoreFigures& figures) {
  const GroupFigures& group = figures.group;
  const RedundancyFigures& redundancy = figures.cluster.redundancy;
  const json::Tree tree(cJSON_CreateObject());
  cJSON* status = tree.get();
  AddText(status, "node", figures.process.node);
  cJSON_AddBoolToObject(status, "leads", static_cast<cJSON_bool>(redundancy.leads));
  AddNumber(status, "epoch", group.epoch);
  AddPrimary(status, group);
  AddCore(status, group, redundancy.leads);
  if (redundancy.leads) {
    AddStores(status, redundancy.stores);
    AddPartitions(status, redundancy);
    AddLacking(status, redundancy.open);
  }
  cJSON* histories = cJSON_AddObjectToObject(status, "history");
  AddMillis(histories, "led_ms", redundancy.led);
  AddHistory(histories, "control", redundancy.control);
  AddHistory(histories, "batch", redundancy.batch);
  const std::unique_ptr<char, decltype(&cJSON_free)> text(cJSON_PrintUnformatted(status),
                                                          &cJSON_free);
  return text.get();
}

}  // namespace shelflink::cluster
