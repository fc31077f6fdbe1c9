// What the decision module is told of the cluster's view: the levels and sidecars that there are,
// the services and their endpoints. Tells only what has changed.
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
  // The registry's endpoints have changed.
  void TellServices(policy::Micros now);
  const PriorityLevels& levels() const { return levels_; }

 private:
  // Returns whether the owners of endpoints for batch calls have changed.
  bool TellShape(policy::Micros now, const cluster::View& view);

  policy::Module& module_;
  EndpointRegistry& registry_;
  Options options_;
  std::unordered_set<std::string> services_;  // That the module knows.
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const cluster::EndpointList> list_;
  std::shared_ptr<const cluster::Members> members_;
  PriorityLevels levels_;
  policy::BatchOwners batch_owners_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_POLICY_FEED_H_
