#include "tier/proxy/module_feed.h"

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

void ModuleFeed::OnView(policy::Micros now, const cluster::View& view) {
  const bool fresh_configuration = view.configuration != configuration_;
  const bool fresh_list = view.endpoints != list_;
  const bool fresh_members = view.members != members_;
  configuration_ = view.configuration;
  list_ = view.endpoints;
  members_ = view.members;
  bool fresh_owners = false;
  if (fresh_configuration || fresh_members) fresh_owners = TellShape(now, view);
  if (fresh_list && list_) registry_.Take(*list_);
  if (fresh_configuration || fresh_list || fresh_owners) TellServices(now);
}

bool ModuleFeed::TellShape(policy::Micros now, const cluster::View& view) {
  if (view.configuration) levels_ = Levels(*view.configuration);
  policy::ModuleConfig shape;
  shape.node = options_.node;
  shape.zone = options_.zone;
  shape.levels = levels_.count();
  shape.max_calls = options_.most_held;
  std::vector<policy::BatchOwners::Sidecar> ready;
  if (view.members) ready = ReadyProxies(*view.members);
  shape.sidecars = static_cast<std::uint32_t>(std::max<std::size_t>(1, ready.size()));
  module_.OnConfig(now, shape);
  // Who knows of no other does not take itself for the only one: after a loss of power many begin
  // so, and each of them would send batch calls to every endpoint.
  return batch_owners_.SetSidecars(std::move(ready));
}

void ModuleFeed::TellServices(policy::Micros now) {
  auto services = registry_.Services(configuration_.get(), list_.get(), now);
  for (auto it = services_.begin(); it != services_.end();) {
    const auto present = it++;
    if (services.contains(*present)) continue;
    module_.OnServiceRemoved(now, *present);
    services_.erase(present);
  }
  for (auto& [name, info] : services) {
    services_.insert(name);
    for (policy::EndpointInfo& endpoint : info.endpoints) {
      endpoint.owned_for_batch = batch_owners_.Owns(options_.node, endpoint.id, endpoint.zone);
    }
    module_.OnService(now, info);
  }
}

}  // namespace shelflink::proxy
