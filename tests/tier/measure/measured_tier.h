// A whole tier on the virtual network for measurements: real code of core processes, proxies and
// stores on links of a given width, with an operator who changes the configuration and a platform
// whose endpoints leave. Nobody sends requests.
#ifndef SHELFLINK_TESTS_TIER_MEASURE_MEASURED_TIER_H_
#define SHELFLINK_TESTS_TIER_MEASURE_MEASURED_TIER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "measure/samples.h"
#include "net/virtual.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/machines.h"
#include "tier_seeds/platform_world.h"

namespace shelflink::measure {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct TierSize {
  std::uint64_t seed = 1;
  std::size_t zones = 3;
  std::size_t cores = 3;
  std::size_t stores = 0;
  std::size_t proxies = 6;
  std::size_t endpoints = 24;
  std::size_t failures = 1;           // Counted machines that may be lost at one time.
  double megabits_per_second = 1000;  // Of each machine's link; what comes in is not paced.
  // Of core processes' and of stores' machines; 0: the same.
  double core_megabits_per_second = 0;
  double store_megabits_per_second = 0;
};

// Puts one configuration after the other; one that is not acknowledged is sent again.
class Changer {
 public:
  Changer(net::VirtualNet& net, std::function<tier_seeds::CoreMachine*()> primary)
      : net_(net), primary_(std::move(primary)) {}

  // At most one at a time; one that takes longer holds up the next. No period: no more changes.
  void Every(net::Span period, std::size_t padding);
  // So many routes beside the others, from the next change on.
  void SetMoreRoutes(std::size_t routes) { more_routes_ = routes; }
  // One change now, unless one is under way.
  void Once() {
    if (!under_way_) Send();
  }
  std::uint64_t acknowledged() const { return acknowledged_; }
  // Answers that say that the change is not taken and will not be.
  std::size_t refused() const { return refused_; }
  // Told of each version with its acknowledgement.
  std::function<void(std::uint64_t version)> on_acknowledged;

 private:
  void Tick(std::uint64_t round);
  void Send();

  net::VirtualNet& net_;
  std::function<tier_seeds::CoreMachine*()> primary_;
  net::Span period_{};
  std::size_t padding_ = 0;
  std::size_t more_routes_ = 0;
  std::uint64_t round_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::size_t refused_ = 0;
  bool under_way_ = false;
  std::uint64_t attempt_ = 0;
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

class MeasuredTier {
 public:
  // Returns once all proxies are ready with the first configuration.
  explicit MeasuredTier(const TierSize& size);
  ~MeasuredTier();
  MeasuredTier(const MeasuredTier&) = delete;
  MeasuredTier& operator=(const MeasuredTier&) = delete;

  void Run(net::Span span) { net_.RunUntil(net_.Now() + span); }
  // Looks each millisecond.
  bool RunUntil(const std::function<bool()>& holds, net::Span within);
  net::Time now() const { return net_.Now(); }
  net::VirtualNet& net() { return net_; }
  const tier_seeds::Deployment& deployment() const { return deployment_; }
  // All machines, cores first.
  std::vector<tier_seeds::Machine*> Machines();
  // Bytes that went over all links.
  std::uint64_t Sent();
  // Whether each proxy that is up knows that configuration.
  bool AllKnow(std::uint64_t version);
  // Null: none at present.
  tier_seeds::CoreMachine* Primary();

  // From now on the age of the list is noted at each proxy each 10 ms, and when the last proxy has
  // each configuration and each departure of an endpoint.
  void Observe();
  // One ready endpoint is shown as draining, and another one as ready in place of the endpoint that
  // was shown so before.
  void LeaveOne();
  // Not heeded: it stands still or is cut off.
  void SetHeeded(std::size_t proxy, bool heeded);

  tier_seeds::PlatformWorld& platform() { return platform_; }
  Changer& changer() { return changer_; }

  std::vector<std::unique_ptr<tier_seeds::CoreMachine>> cores;
  std::vector<std::unique_ptr<tier_seeds::StoreMachine>> stores;
  std::vector<std::unique_ptr<tier_seeds::ProxyMachine>> proxies;

  Samples ages;
  // From the acknowledgement, and from the moment at which the platform's callers see it, until the
  // last proxy that is heeded knows.
  Samples configurations;
  Samples departures;
  std::size_t departures_open() const { return leaving_.size(); }

 private:
  struct Awaited {
    net::Time since{};
    std::set<std::size_t> knows;  // Proxies.
  };
  struct Seen {  // Of one proxy.
    bool heeded = true;
    std::uint64_t configuration = 0;
    const void* endpoints = nullptr;
  };

  void AddMachines();
  void StartMachines();
  void Look();
  void LookAt(std::size_t proxy);
  void TakeEndpoints(std::size_t proxy, const cluster::EndpointList& list);
  void NoteKnown(std::map<std::uint64_t, Awaited>& awaited, std::uint64_t key, std::size_t proxy,
                 Samples& samples);
  cluster::EndpointEntry NewEndpoint();
  void ShowEndpoints();

  tier_seeds::Deployment deployment_;
  TierSize size_;
  net::VirtualNet net_;
  tier_seeds::Journal journal_;
  tier_seeds::PlatformWorld platform_;
  Changer changer_;
  std::uint64_t endpoints_made_ = 0;
  std::vector<cluster::EndpointEntry> endpoints_;
  std::vector<Seen> seen_;
  std::map<std::uint64_t, Awaited> put_;      // By version.
  std::map<std::uint64_t, Awaited> leaving_;  // By the endpoint's number.
  bool observing_ = false;
  std::uint64_t looks_ = 0;
};

}  // namespace shelflink::measure

#endif  // SHELFLINK_TESTS_TIER_MEASURE_MEASURED_TIER_H_
