#include "tier/proxy/module_feed.h"

#include <algorithm>

namespace shelflink::proxy {

void ModuleFeed::OnView(policy::Micros now, const cluster::View& view) {
  const bool fresh_configuration = view.configuration != configuration_;
  const bool fresh_list = view.endpoints != list_;
  const bool fresh_members = view.members != members_;
  configuration_ = view.configuration;
  list_ = view.endpoints;
  members_ = view.members;
  if (fresh_configuration || fresh_members) TellShape(now, view);
  if (fresh_list && list_) registry_.Take(*list_);
  if (fresh_configuration || fresh_list) TellServices(now);
}

void ModuleFeed::TellShape(policy::Micros now, const cluster::View& view) {
  if (view.configuration) levels_ = Levels(*view.configuration);
  policy::Shape shape;
  shape.node = options_.node;
  shape.zone = options_.zone;
  shape.levels = levels_.count();
  shape.most_held = options_.most_held;
  if (view.members) {
    const auto ready = std::count_if(
        view.members->all.begin(), view.members->all.end(),
        [](const cluster::Member& member) { return member.role == "proxy" && member.ready; });
    shape.sidecars = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, ready));
  }
  module_.OnShape(now, shape);
}

void ModuleFeed::TellServices(policy::Micros now) {
  const auto services = registry_.Services(configuration_.get(), list_.get(), now);
  for (auto it = services_.begin(); it != services_.end();) {
    const auto present = it++;
    if (services.contains(*present)) continue;
    module_.OnServiceGone(now, *present);
    services_.erase(present);
  }
  for (const auto& [name, info] : services) {
    services_.insert(name);
    module_.OnService(now, info);
  }
}

}  // namespace shelflink::proxy
