// The services that a sidecar sends calls to, each with the state of its known endpoints, the
// subset of them in use and statistics over all its endpoints. No I/O and no clock.
#ifndef SHELFLINK_TIER_POLICY_SERVICES_H_
#define SHELFLINK_TIER_POLICY_SERVICES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/health.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/module.h"
#include "tier/policy/pending_call.h"
#include "tier/policy/picker.h"
#include "tier/policy/subset.h"

namespace shelflink::policy {

struct Service {
  explicit Service(Subset::EndpointLookup lookup) : subset(std::move(lookup)) {}

  // By id; only endpoints that were a subset member or a batch endpoint at some time.
  std::unordered_map<std::string, Endpoint> known_endpoints;
  Subset subset;
  std::vector<Endpoint*> batch_endpoints;   // Owned by this sidecar for batch calls.
  std::vector<Endpoint*> batch_candidates;  // Result of BatchCandidates.
  Picker picker;
  ServiceStats stats;
  gaugecart::BaselineFailureRate baseline_failure_rate;
  int max_connections = 0;
  double slots = 0.0;  // Of all endpoints.
  std::size_t in_flight = 0;
  bool removed = false;
};

class Services {
 public:
  // Sets the time of the event being processed.
  void SetNow(Micros now) { now_ = now; }
  // Sets the identity of this sidecar and the number of sidecars that share the endpoints.
  void SetConfig(const ModuleConfig& config);
  // Sets the complete state of one service; an endpoint that is not listed is removed.
  void Set(const ServiceInfo& info);
  // Removes the service, or marks it removed while calls to its endpoints are in flight. Returns
  // false if it is unknown.
  bool Remove(const std::string& name);
  // Computes this sidecar's share of each endpoint's connections from the number of sidecars.
  void ShareConnections();

  Service* Find(const std::string& name);
  Service& At(const std::string& name) { return *services_.at(name); }
  // Records that an attempt at one of the service's endpoints has finished.
  void NoteFinished(const std::string& name);
  void NoteLoad(const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
                std::uint32_t slots);

  // The total divided by the number of sidecars.
  double EvenShare(double total) const;
  double TotalSlots() const;
  // Whether the service exists and has an endpoint in its subset.
  bool CanServe(const std::string& name);
  // Further batch calls that may be sent now, over all endpoints that this sidecar owns for batch.
  std::uint32_t BatchRoom(Micros now) const;
  BatchState batch() const;
  // Slots of the endpoints that this sidecar owns for batch.
  double BatchSlots() const;
  // Owned endpoints that a batch call may go to now; with `ignore_room`, also those without room.
  const std::vector<Endpoint*>& BatchCandidates(Micros now, Service& service,
                                                bool ignore_room) const;
  // Whether any endpoint that this sidecar owns for batch is usable.
  bool CanRunBatch(Micros now) const;

 private:
  Service& FindOrAdd(const std::string& name);
  Endpoint& FindOrAddEndpoint(Service& service, const EndpointInfo& info, std::uint64_t hash);
  void ApplyLocation(Service& service) const;
  void UpdateBatchEndpoints(Service& service);
  void UpdateKnownEndpoints(Service& service, const std::vector<EndpointInfo>& listed) const;

  ModuleConfig config_;
  Micros now_ = 0;
  std::unordered_map<std::string, std::unique_ptr<Service>> services_;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_SERVICES_H_
