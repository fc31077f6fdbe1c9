// The endpoints that a proxy knows, by instance id: their address, whether they accept new
// requests, and when they last sent something. Pure except for updates of Upstream, which holds the
// connections.
#ifndef SHELFLINK_TIER_PROXY_ENDPOINT_REGISTRY_H_
#define SHELFLINK_TIER_PROXY_ENDPOINT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "net/loop.h"
#include "sidecar/upstream.h"
#include "tier/cluster/view.h"
#include "tier/configuration/model.h"
#include "tier/policy/module.h"

namespace shelflink::proxy {

struct KnownEndpoint {
  std::uint32_t number = 0;  // Identifies the endpoint to Upstream; never reused.
  net::Address address;
  bool draining = false;
  bool misdirected = false;   // Another instance uses its address: it is gone even if still listed.
  net::Time last_activity{};  // When a response, or a part of one, was last received from it.

  bool takes_requests() const { return !draining && !misdirected; }
};

class EndpointRegistry {
 public:
  explicit EndpointRegistry(kelpspring::Upstream& upstream) : upstream_(upstream) {}

  // Applies a new list. Endpoints that drain or are no longer listed get no new requests from now
  // on, not even on connections that are being opened. An endpoint that was listed as draining once
  // remains draining, because lists arrive by several paths and may be older; a restarted endpoint
  // has a new id.
  void ApplyList(const cluster::EndpointList& list);
  // Endpoints of the list by service, with the settings of the services in the configuration.
  // Either pointer may be null.
  std::map<std::string, policy::ServiceInfo> ServiceInfos(
      const configuration::Configuration* configuration, const cluster::EndpointList* list,
      policy::Micros now) const;
  bool WasDraining(const std::string& id) const { return draining_ids_.contains(id); }
  // Null if the endpoint is not listed.
  const KnownEndpoint* Find(const std::string& id) const;
  void RecordActivity(const std::string& id, net::Time now);
  // Another instance has responded at its address (421).
  void MarkMisdirected(const std::string& id);

 private:
  // Limit for ids in removed_draining_ids_; beyond it the oldest id is dropped.
  static constexpr std::size_t kMaxRemovedDrainingIds = 4096;

  KnownEndpoint* FindMutable(const std::string& id);
  // Removes the id of an endpoint that is listed again from removed_draining_ids_.
  void DiscardRemoval(const std::string& id);
  // Remembers a draining endpoint that is no longer listed.
  void RecordRemoval(const std::string& id);

  kelpspring::Upstream& upstream_;
  std::uint32_t last_number_ = 0;
  std::unordered_map<std::string, KnownEndpoint> known_;
  std::unordered_set<std::string> draining_ids_;  // Listed, or in removed_draining_ids_.
  // Not listed any more; no duplicates, oldest first.
  std::deque<std::string> removed_draining_ids_;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ENDPOINT_REGISTRY_H_
