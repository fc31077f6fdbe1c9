// The endpoints that a proxy knows, by instance: where they are, whether they may be sent to, and
// when they were last heard. Pure but for the connections that it keeps told.
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
  std::uint32_t number = 0;  // Its name to the connections; never given again.
  net::Address address;
  bool draining = false;
  bool misdirected =
      false;          // Another instance has its address: it is gone, whatever the list says.
  net::Time heard{};  // When an answer, or a part of one, last came from it.

  bool takes_requests() const { return !draining && !misdirected; }
};

class EndpointRegistry {
 public:
  explicit EndpointRegistry(kelpspring::Upstream& upstream) : upstream_(upstream) {}

  // Draining or gone: nothing new goes there from this moment on, also what is being dialled. What
  // was seen draining once stays so whatever a list says, as lists come by several ways and a new
  // incarnation has a new id.
  void Take(const cluster::EndpointList& list);
  // The present list's endpoints by service, with what the configuration says of the services.
  std::map<std::string, policy::ServiceInfo> Services(
      const configuration::Configuration* configuration, const cluster::EndpointList* list,
      policy::Micros now) const;
  bool SeenDraining(const std::string& id) const { return seen_draining_.contains(id); }
  // Null: not in the list.
  const KnownEndpoint* Find(const std::string& id) const;
  void NoteHeard(const std::string& id, net::Time now);
  // Another instance has answered at its address.
  void NoteMisdirected(const std::string& id);

 private:
  // Of those that were seen draining and have left the lists; the oldest are forgotten.
  static constexpr std::size_t kMostDeparted = 4096;

  KnownEndpoint* FindKnown(const std::string& id);
  void NoteListedAgain(const std::string& id);
  void RememberDeparted(const std::string& id);

  kelpspring::Upstream& upstream_;
  std::uint32_t last_number_ = 0;
  std::unordered_map<std::string, KnownEndpoint> known_;
  std::unordered_set<std::string> seen_draining_;  // Listed or departed.
  std::deque<std::string> departed_;               // Each once; the oldest in front.
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ENDPOINT_REGISTRY_H_
