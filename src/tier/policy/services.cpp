#include "tier/policy/services.h"

#include <algorithm>
#include <utility>

namespace shelflink::policy {
namespace {

constexpr double kBusy = 0.7;              // Part of the slots taken from which none is spare.
constexpr double kConnectionFactor = 2.0;  // Connections before one counts as too many, of a share.

}  // namespace

void Services::SetShape(const Shape& shape) {
  shape_ = shape;
  for (auto& [name, service] : services_) Place(*service);
}

void Services::Set(const ServiceInfo& info) {
  Service& service = Named(info.name);
  service.gone = false;
  service.facts.kv_tokens = info.kv_tokens;
  service.max_connections = info.max_conns;
  service.slots = 0.0;
  for (const EndpointInfo& endpoint : info.endpoints) service.slots += endpoint.slots;
  service.subset.SetEndpoints(info.endpoints);
  std::vector<std::uint64_t> serving;
  for (std::size_t i = 0; i < info.endpoints.size(); ++i) {
    if (!info.endpoints[i].draining) serving.push_back(service.subset.hashes()[i]);
  }
  service.facts.long_prompts.SetEndpoints(std::move(serving));
  UpdateTouched(service, info.endpoints);
}

bool Services::Remove(const std::string& name) {
  const auto it = services_.find(name);
  if (it == services_.end()) return false;
  it->second->gone = true;
  it->second->slots = 0.0;
  it->second->subset.SetEndpoints({});
  UpdateTouched(*it->second, {});
  if (it->second->in_flight == 0) services_.erase(it);
  return true;
}

void Services::ShareConnections() {
  for (auto& [name, service] : services_) {
    service->facts.connections_share = kConnectionFactor * EvenShare(service->max_connections);
  }
}

Service* Services::Find(const std::string& name) {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second.get();
}

void Services::NoteFinished(const std::string& name) {
  const auto it = services_.find(name);
  if (--it->second->in_flight == 0 && it->second->gone) services_.erase(it);
}

void Services::NoteLoad(const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
                        std::uint32_t slots) {
  for (auto& [name, service] : services_) {
    const auto it = service->touched.find(endpoint);
    if (it != service->touched.end()) it->second.NoteLoad(now_, running, waiting, slots);
  }
}

double Services::EvenShare(double of_all) const { return of_all / std::max(1U, shape_.sidecars); }

double Services::AllSlots() const {
  double slots = 0.0;
  for (const auto& [name, service] : services_) slots += service->slots;
  return slots;
}

bool Services::CanServe(const std::string& name) {
  Service* service = Find(name);
  return service != nullptr && !service->gone && !service->subset.Members(now_).empty();
}

std::size_t Services::EndpointsInUse(Micros now) const {
  std::size_t members = 0;
  for (const auto& [name, service] : services_) members += service->subset.Members(now).size();
  return members;
}

bool Services::HasSpareSlots(Micros now) const {
  for (const auto& [name, service] : services_) {
    double running = 0.0;
    double slots = 0.0;
    for (const Endpoint* endpoint : service->subset.Members(now)) {
      running += endpoint->Running(now);
      slots += endpoint->slots();
    }
    if (running < kBusy * slots) return true;
  }
  return false;
}

Service& Services::Named(const std::string& name) {
  if (Service* known = Find(name)) return *known;
  auto service = std::make_unique<Service>(
      [this, name](const EndpointInfo& info, std::uint64_t hash) -> Endpoint& {
        return Touch(At(name), info, hash);
      });
  Service& made = *services_.emplace(name, std::move(service)).first->second;
  Place(made);
  return made;
}

Endpoint& Services::Touch(Service& service, const EndpointInfo& info, std::uint64_t hash) {
  const auto [it, fresh] = service.touched.try_emplace(info.id, hash);
  if (fresh) it->second.Update(now_, info, service.facts.kv_tokens);
  return it->second;
}

void Services::Place(Service& service) const {
  service.subset.SetNode(shape_.node, shape_.zone);
  service.picker = Picker(shape_.zone);
}

// Of an endpoint that is gone nothing is kept once nothing is out to it.
void Services::UpdateTouched(Service& service, const std::vector<EndpointInfo>& listed) const {
  for (auto& [id, endpoint] : service.touched) endpoint.SetListed(false);
  for (const EndpointInfo& info : listed) {
    const auto it = service.touched.find(info.id);
    if (it != service.touched.end()) it->second.Update(now_, info, service.facts.kv_tokens);
  }
  std::erase_if(service.touched, [](const auto& entry) {
    return !entry.second.listed() && entry.second.calls() == 0;
  });
}

}  // namespace shelflink::policy
