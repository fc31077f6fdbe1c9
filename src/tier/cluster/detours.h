// Contact with the core through another sidecar, for a sidecar that reaches no core process itself:
// usage counts are sent up this way and the newest versions of the view come back. It grants no
// lease. Also forwards such renewals for other sidecars.
#ifndef SHELFLINK_TIER_CLUSTER_DETOURS_H_
#define SHELFLINK_TIER_CLUSTER_DETOURS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "tier/cluster/core_finder.h"
#include "tier/cluster/core_lease.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/renewal_exchange.h"
#include "tier/cluster/view_relay.h"
#include "tier/foundation/result.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class Detours {
 public:
  // Renewals forwarded for others at a time; further ones are refused with kExhausted.
  static constexpr std::size_t kMostForwarded = 64;

  struct User {
    // The current renewal of this process.
    std::function<Renewal()> renewal;
    // Called with an accepting answer. Returns false if it is useless (of a former primary); then
    // another sidecar is asked next time.
    std::function<bool(const RenewalExchange& exchange, const RenewalAnswer& answer)> accepted;
  };

  // Handles kDetourKind from now on. Other sidecars are taken from the relay's view. The arguments
  // must outlive this object.
  Detours(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder, const CoreLease& lease,
          const ViewRelay& relay, User user);
  Detours(const Detours&) = delete;
  Detours& operator=(const Detours&) = delete;

  // Contact was lost: renews through other sidecars, one at a time, until contact is made again.
  // Only for proxies.
  void Begin();
  // Sends no more renewals this way; still forwards those of others.
  void Stop() { stopped_ = true; }

 private:
  std::optional<net::Address> Peer() const;
  void Take();
  void OnAnswer(const RenewalExchange& exchange, const Result<std::string>& body);
  void Forward(const transport::PeerIdentity& from, std::string_view body,
               transport::Hub::Reply reply);

  net::Loop& loop_;
  transport::Hub& hub_;
  const CoreFinder& finder_;
  const CoreLease& lease_;
  const ViewRelay& relay_;
  User user_;
  net::TimerPtr timer_;
  bool under_way_ = false;
  bool stopped_ = false;
  std::size_t turn_ = 0;
  std::size_t forwarded_ = 0;  // In flight.
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_DETOURS_H_
