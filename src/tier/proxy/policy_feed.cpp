#include "tier/proxy/policy_feed.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace shelflink::proxy {
namespace {

std::vector<policy::BatchOwners::Sidecar> ReadyProxies(const cluster::Members& members) {
  std::vector<policy::BatchOwners::Sidecar> ready;
  for (const cluster::Member& member : members.all) {
    if (member.role == "proxy" && member.ready) ready.push_back({member.node, member.zone});
  }
  return ready;
}

}  // namespace

void PolicyFeed::OnView(policy::Micros now, const cluster::View& view) {
  const bool configuration_changed = view.configuration != configuration_;
  const bool list_changed = view.endpoints != list_;
  const bool members_changed = view.members != members_;
  configuration_ = view.configuration;
  list_ = view.endpoints;
  members_ = view.members;
  bool owners_changed = false;
  if (configuration_changed || members_changed) owners_changed = UpdateShape(now, view);
  if (list_changed && list_) registry_.ApplyList(*list_);
  if (configuration_changed || list_changed || owners_changed) UpdateServices(now);
}

bool PolicyFeed::UpdateShape(policy::Micros now, const cluster::View& view) {
  if (view.configuration) levels_ = PriorityLevels(*view.configuration);
  policy::ModuleConfig shape;
  shape.node = options_.node;
  shape.zone = options_.zone;
  shape.levels = levels_.count();
  shape.max_calls = options_.max_calls;
  std::vector<policy::BatchOwners::Sidecar> ready;
  if (view.members) ready = ReadyProxies(*view.members);
  shape.sidecars = static_cast<std::uint32_t>(std::max<std::size_t>(1, ready.size()));
  module_.OnConfig(now, shape);
  // A proxy that knows no member does not assume that it is the only one: after a power loss many
  // proxies start in this state, and each of them would send batch calls to every endpoint.
  return batch_owners_.SetSidecars(std::move(ready));
}

void PolicyFeed::UpdateServices(policy::Micros now) {
  auto services = registry_.ServiceInfos(configuration_.get(), list_.get(), now);
  for (auto it = known_services_.begin(); it != known_services_.end();) {
    const auto current = it++;
    if (services.contains(*current)) continue;
    module_.OnServiceRemoved(now, *current);
    known_services_.erase(current);
  }
  for (auto& [name, info] : services) {
    known_services_.insert(name);
    for (policy::EndpointInfo& endpoint : info.endpoints) {
      endpoint.owned_for_batch = batch_owners_.Owns(options_.node, endpoint.id, endpoint.zone);
    }
    module_.OnService(now, info);
  }
}

}  // namespace shelflink::proxy
