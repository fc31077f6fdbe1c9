#include "tier/proxy/endpoint_registry.h"

namespace shelflink::proxy {

void EndpointRegistry::ApplyList(const cluster::EndpointList& list) {
  std::unordered_set<std::string> listed;
  for (const cluster::EndpointEntry& entry : list.entries) {
    listed.insert(entry.id);
    KnownEndpoint& known = known_[entry.id];
    if (known.number == 0) {
      known.number = ++last_number_;
      DiscardRemoval(entry.id);
    }
    known.address = entry.address;
    if (entry.draining) draining_ids_.insert(entry.id);
    known.draining = WasDraining(entry.id);
    upstream_.SetEndpoint(known.number, known.address, known.takes_requests(), 0);
  }
  for (auto it = known_.begin(); it != known_.end();) {
    const auto current = it++;
    if (listed.contains(current->first)) continue;
    upstream_.Forget(current->second.number);
    RecordRemoval(current->first);
    known_.erase(current);
  }
}

// Otherwise the id would be in the queue twice after its next removal, and be dropped with the
// first entry.
void EndpointRegistry::DiscardRemoval(const std::string& id) {
  if (WasDraining(id)) std::erase(removed_draining_ids_, id);
}

void EndpointRegistry::RecordRemoval(const std::string& id) {
  if (!WasDraining(id)) return;
  removed_draining_ids_.push_back(id);
  if (removed_draining_ids_.size() <= kMaxRemovedDrainingIds) return;
  draining_ids_.erase(removed_draining_ids_.front());
  removed_draining_ids_.pop_front();
}

std::map<std::string, policy::ServiceInfo> EndpointRegistry::ServiceInfos(
    const configuration::Configuration* configuration, const cluster::EndpointList* list,
    policy::Micros now) const {
  std::map<std::string, policy::ServiceInfo> services;
  if (configuration != nullptr) {
    for (const configuration::Service& service : configuration->services) {
      policy::ServiceInfo& info = services[service.name];
      info.max_conns = service.max_conns;
      if (service.engine) info.kv_tokens = service.engine->kv_tokens;
    }
  }
  if (list != nullptr) {
    for (const cluster::EndpointEntry& entry : list->entries) {
      const KnownEndpoint* known = Find(entry.id);
      const bool takes_requests = known != nullptr && known->takes_requests();
      const auto cold_left = std::chrono::duration_cast<std::chrono::microseconds>(entry.cold_left);
      services[entry.service].endpoints.push_back(
          {entry.id, entry.zone, entry.slots, !takes_requests, now + cold_left.count(), false});
    }
  }
  for (auto& [name, info] : services) info.name = name;
  return services;
}

const KnownEndpoint* EndpointRegistry::Find(const std::string& id) const {
  const auto it = known_.find(id);
  return it == known_.end() ? nullptr : &it->second;
}

KnownEndpoint* EndpointRegistry::FindMutable(const std::string& id) {
  const auto it = known_.find(id);
  return it == known_.end() ? nullptr : &it->second;
}

void EndpointRegistry::RecordActivity(const std::string& id, net::Time now) {
  if (KnownEndpoint* known = FindMutable(id)) known->last_activity = now;
}

void EndpointRegistry::MarkMisdirected(const std::string& id) {
  KnownEndpoint* known = FindMutable(id);
  if (known == nullptr) return;
  known->misdirected = true;
  upstream_.SetEndpoint(known->number, known->address, false, 0);
}

}  // namespace shelflink::proxy
