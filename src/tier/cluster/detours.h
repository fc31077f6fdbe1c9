// The way to the core over another sidecar, for one that reaches no core process itself: its counts
// of use go up that way, the newest versions of the view come down. It gives no lease. The other
// side: passes on what another sidecar sends.
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
  // Forwarded for others at a time; one more is refused with kExhausted.
  static constexpr std::size_t kMostForwarded = 64;

  struct User {
    // What this process tells of itself now.
    std::function<Renewal()> renewal;
    // An answer that accepts. False: it is of no use (of a former primary); the next sidecar is
    // asked the next time.
    std::function<bool(const RenewalExchange& exchange, const RenewalAnswer& answer)> accepted;
  };

  // Answers kDetourKind from now on. Other sidecars are those that the relay's view names. All of
  // them outlive it.
  Detours(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder, const CoreLease& lease,
          const ViewRelay& relay, User user);
  Detours(const Detours&) = delete;
  Detours& operator=(const Detours&) = delete;

  // Contact was lost: detours are taken, one at a time, until it is made. Of a proxy only.
  void Begin();
  // Takes no more of them; goes on to forward those of others.
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
  std::size_t forwarded_ = 0;  // Not answered yet.
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_DETOURS_H_
