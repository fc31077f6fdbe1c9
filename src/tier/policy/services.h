// The services that a sidecar sends calls to: their endpoints as far as they are known, the subset
// of each that is in use, and what is learned of all of a service's endpoints. Pure.
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

  std::unordered_map<std::string, Endpoint>
      known_endpoints;  // By id; only those that were ever members.
  Subset subset;
  std::vector<Endpoint*> batch_endpoints;   // Those that this sidecar sends batch calls to...
  std::vector<Endpoint*> batch_candidates;  // ...and which of them a call may go to now.
  Picker picker;
  ServiceStats stats;
  gaugecart::UsualFailure usual_failure;
  int max_connections = 0;
  double slots = 0.0;  // Of all endpoints.
  std::size_t in_flight = 0;
  bool removed = false;
};

class Services {
 public:
  // The time of the event under way.
  void SetNow(Micros now) { now_ = now; }
  // Who this sidecar is, and how many share the endpoints.
  void SetConfig(const ModuleConfig& config);
  // All of one service; an endpoint that is not among them is gone.
  void Set(const ServiceInfo& info);
  // Kept while calls are out to its endpoints. False: it was not known.
  bool Remove(const std::string& name);
  // Each endpoint's connections for this sidecar, from the present number of sidecars.
  void ShareConnections();

  Service* Find(const std::string& name);
  Service& At(const std::string& name) { return *services_.at(name); }
  // A call to one of its endpoints is over.
  void NoteFinished(const std::string& name);
  void NoteLoad(const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
                std::uint32_t slots);

  // This sidecar's even share of what belongs to all.
  double EvenShare(double total) const;
  double TotalSlots() const;
  // Whether any endpoint of the service is in use.
  bool CanServe(const std::string& name);
  // More batch calls that may be sent now, over all endpoints that this sidecar owns for batch.
  std::uint32_t BatchRoom(Micros now) const;
  BatchState batch() const;
  // Slots of these endpoints.
  double BatchSlots() const;
  // Endpoints that a batch call may go to now; `any`: also those without room.
  const std::vector<Endpoint*>& BatchCandidates(Micros now, Service& service,
                                                bool ignore_room) const;
  // Whether any endpoint that this sidecar owns for batch takes calls at all.
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
