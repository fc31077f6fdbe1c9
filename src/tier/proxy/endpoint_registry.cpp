#include "tier/proxy/endpoint_registry.h"

namespace shelflink::proxy {

void EndpointRegistry::Take(const cluster::EndpointList& list) {
  std::unordered_set<std::string> listed;
  for (const cluster::EndpointEntry& entry : list.entries) {
    listed.insert(entry.id);
    KnownEndpoint& known = known_[entry.id];
    if (known.number == 0) {
      known.number = ++last_number_;
      NoteListedAgain(entry.id);
    }
    known.address = entry.address;
    if (entry.draining) seen_draining_.insert(entry.id);
    known.draining = SeenDraining(entry.id);
    upstream_.SetEndpoint(known.number, known.address, known.takes_requests(), 0);
  }
  for (auto it = known_.begin(); it != known_.end();) {
    const auto present = it++;
    if (listed.contains(present->first)) continue;
    upstream_.Forget(present->second.number);
    RememberDeparted(present->first);
    known_.erase(present);
  }
}

// It would stand among the departed twice once it leaves again, and be forgotten with the first.
void EndpointRegistry::NoteListedAgain(const std::string& id) {
  if (SeenDraining(id)) std::erase(departed_, id);
}

void EndpointRegistry::RememberDeparted(const std::string& id) {
  if (!SeenDraining(id)) return;
  departed_.push_back(id);
  if (departed_.size() <= kMostDeparted) return;
  seen_draining_.erase(departed_.front());
  departed_.pop_front();
}

std::map<std::string, policy::ServiceInfo> EndpointRegistry::Services(
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
      const bool takes = known != nullptr && known->takes_requests();
      const auto cold = std::chrono::duration_cast<std::chrono::microseconds>(entry.cold_left);
      services[entry.service].endpoints.push_back(
          {entry.id, entry.zone, entry.slots, !takes, now + cold.count(), false});
    }
  }
  for (auto& [name, info] : services) info.name = name;
  return services;
}

const KnownEndpoint* EndpointRegistry::Find(const std::string& id) const {
  const auto it = known_.find(id);
  return it == known_.end() ? nullptr : &it->second;
}

KnownEndpoint* EndpointRegistry::FindKnown(const std::string& id) {
  const auto it = known_.find(id);
  return it == known_.end() ? nullptr : &it->second;
}

void EndpointRegistry::NoteHeard(const std::string& id, net::Time now) {
  if (KnownEndpoint* known = FindKnown(id)) known->heard = now;
}

void EndpointRegistry::NoteMisdirected(const std::string& id) {
  KnownEndpoint* known = FindKnown(id);
  if (known == nullptr) return;
  known->misdirected = true;
  upstream_.SetEndpoint(known->number, known->address, false, 0);
}

}  // namespace shelflink::proxy
