#include "tier/policy/services.h"

#include <algorithm>
#include <utility>

namespace shelflink::policy {
namespace {

// Even shares of an endpoint's connections that this sidecar may use without extra cost.
constexpr double kConnectionShareFactor = 2.0;

}  // namespace

void Services::SetConfig(const ModuleConfig& config) {
  config_ = config;
  for (auto& [name, service] : services_) ApplyLocation(*service);
}

void Services::Set(const ServiceInfo& info) {
  Service& service = FindOrAdd(info.name);
  service.removed = false;
  service.stats.kv_tokens = info.kv_tokens;
  service.max_connections = info.max_conns;
  service.slots = 0.0;
  for (const EndpointInfo& endpoint : info.endpoints) service.slots += endpoint.slots;
  service.subset.SetEndpoints(info.endpoints);
  std::vector<std::uint64_t> serving;
  for (std::size_t i = 0; i < info.endpoints.size(); ++i) {
    if (!info.endpoints[i].draining) serving.push_back(service.subset.hashes()[i]);
  }
  service.stats.long_prompt_pool.SetEndpoints(std::move(serving));
  UpdateKnownEndpoints(service, info.endpoints);
  UpdateBatchEndpoints(service);
}

bool Services::Remove(const std::string& name) {
  const auto it = services_.find(name);
  if (it == services_.end()) return false;
  it->second->removed = true;
  it->second->slots = 0.0;
  it->second->subset.SetEndpoints({});
  UpdateKnownEndpoints(*it->second, {});
  it->second->batch_endpoints.clear();
  it->second->batch_candidates.clear();
  if (it->second->in_flight == 0) services_.erase(it);
  return true;
}

void Services::ShareConnections() {
  for (auto& [name, service] : services_) {
    service->stats.connection_share = kConnectionShareFactor * EvenShare(service->max_connections);
  }
}

Service* Services::Find(const std::string& name) {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second.get();
}

void Services::NoteFinished(const std::string& name) {
  const auto it = services_.find(name);
  if (--it->second->in_flight == 0 && it->second->removed) services_.erase(it);
}

void Services::NoteLoad(const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
                        std::uint32_t slots) {
  for (auto& [name, service] : services_) {
    const auto it = service->known_endpoints.find(endpoint);
    if (it != service->known_endpoints.end()) it->second.NoteLoad(now_, running, waiting, slots);
  }
}

double Services::EvenShare(double total) const { return total / std::max(1U, config_.sidecars); }

double Services::TotalSlots() const {
  double slots = 0.0;
  for (const auto& [name, service] : services_) slots += service->slots;
  return slots;
}

bool Services::CanServe(const std::string& name) {
  Service* service = Find(name);
  return service != nullptr && !service->removed && !service->subset.Members(now_).empty();
}

std::uint32_t Services::BatchRoom(Micros now) const {
  std::uint32_t room = 0;
  for (const auto& [name, service] : services_) {
    for (const Endpoint* endpoint : service->batch_endpoints) {
      room += static_cast<std::uint32_t>(endpoint->BatchRoom(now));
    }
  }
  return room;
}

BatchState Services::batch() const {
  BatchState state;
  for (const auto& [name, service] : services_) {
    for (const Endpoint* endpoint : service->batch_endpoints) {
      ++state.endpoints;
      state.limit += endpoint->batch_limit().value();
      state.calls += static_cast<std::uint32_t>(endpoint->batch_calls());
    }
  }
  return state;
}

double Services::BatchSlots() const {
  double slots = 0.0;
  for (const auto& [name, service] : services_) {
    for (const Endpoint* endpoint : service->batch_endpoints) slots += endpoint->slots();
  }
  return slots;
}

const std::vector<Endpoint*>& Services::BatchCandidates(Micros now, Service& service,
                                                        bool ignore_room) const {
  std::vector<Endpoint*>& members = service.batch_candidates;
  members.clear();
  for (Endpoint* owned : service.batch_endpoints) {
    if (ignore_room ? owned->Usable(now) : owned->BatchRoom(now) >= 1.0) members.push_back(owned);
  }
  return members;
}

bool Services::CanRunBatch(Micros now) const {
  return std::any_of(services_.begin(), services_.end(), [&](const auto& entry) {
    const std::vector<Endpoint*>& owned = entry.second->batch_endpoints;
    return std::any_of(owned.begin(), owned.end(),
                       [&](const Endpoint* endpoint) { return endpoint->Usable(now); });
  });
}

Service& Services::FindOrAdd(const std::string& name) {
  if (Service* known = Find(name)) return *known;
  auto service = std::make_unique<Service>(
      [this, name](const EndpointInfo& info, std::uint64_t hash) -> Endpoint& {
        return FindOrAddEndpoint(At(name), info, hash);
      });
  Service& added = *services_.emplace(name, std::move(service)).first->second;
  ApplyLocation(added);
  return added;
}

Endpoint& Services::FindOrAddEndpoint(Service& service, const EndpointInfo& info,
                                      std::uint64_t hash) {
  const auto [it, inserted] = service.known_endpoints.try_emplace(info.id, hash);
  if (inserted) it->second.Update(now_, info, service.stats.kv_tokens);
  return it->second;
}

void Services::UpdateBatchEndpoints(Service& service) {
  service.batch_endpoints.clear();
  const std::vector<EndpointInfo>& listed = service.subset.endpoints();
  for (std::size_t i = 0; i < listed.size(); ++i) {
    if (!listed[i].owned_for_batch) continue;
    service.batch_endpoints.push_back(
        &FindOrAddEndpoint(service, listed[i], service.subset.hashes()[i]));
  }
}

void Services::ApplyLocation(Service& service) const {
  service.subset.SetNode(config_.node, config_.zone);
  service.picker = Picker(config_.zone);
}

// Drops the state of unlisted endpoints that have no calls in flight.
void Services::UpdateKnownEndpoints(Service& service,
                                    const std::vector<EndpointInfo>& listed) const {
  for (auto& [id, endpoint] : service.known_endpoints) endpoint.SetListed(false);
  for (const EndpointInfo& info : listed) {
    const auto it = service.known_endpoints.find(info.id);
    if (it != service.known_endpoints.end()) it->second.Update(now_, info, service.stats.kv_tokens);
  }
  std::erase_if(service.known_endpoints, [](const auto& entry) {
    return !entry.second.listed() && entry.second.calls() == 0;
  });
}

}  // namespace shelflink::policy
