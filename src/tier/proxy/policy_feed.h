// Passes the cluster view to the decision module: priority levels, number of proxies, services and
// their endpoints. Only changes are passed on.
#ifndef SHELFLINK_TIER_PROXY_POLICY_FEED_H_
#define SHELFLINK_TIER_PROXY_POLICY_FEED_H_

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_set>

#include "tier/cluster/view.h"
#include "tier/policy/batch_owners.h"
#include "tier/policy/module.h"
#include "tier/proxy/endpoint_registry.h"
#include "tier/proxy/priority_levels.h"

namespace shelflink::proxy {

class PolicyFeed {
 public:
  struct Options {
    std::string node;
    std::string zone;
    std::size_t max_calls = 0;
  };

  PolicyFeed(policy::Module& module, EndpointRegistry& registry, Options options)
      : module_(module), registry_(registry), options_(std::move(options)) {}

  void OnView(policy::Micros now, const cluster::View& view);
  // Passes on the services after a change of the registry's endpoints.
  void UpdateServices(policy::Micros now);
  const PriorityLevels& levels() const { return levels_; }

 private:
  // Passes on levels and proxies. Returns whether the assignment of endpoints to the proxies that
  // may send them batch calls has changed.
  bool UpdateShape(policy::Micros now, const cluster::View& view);

  policy::Module& module_;
  EndpointRegistry& registry_;
  Options options_;
  std::unordered_set<std::string> known_services_;  // Services that the module has been given.
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const cluster::EndpointList> list_;
  std::shared_ptr<const cluster::Members> members_;
  PriorityLevels levels_;
  policy::BatchOwners batch_owners_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_POLICY_FEED_H_
