// Renews a process's lease with the core's primary: one call at a time, to the process that the
// finder names, and to another one at once if it is silent, declines, or is no longer primary.
#ifndef SHELFLINK_TIER_CLUSTER_HEARTBEAT_H_
#define SHELFLINK_TIER_CLUSTER_HEARTBEAT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"
#include "tier/cluster/core_finder.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/renewal_exchange.h"
#include "tier/foundation/result.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class Heartbeat {
 public:
  struct User {
    // The current renewal of this process.
    std::function<Renewal()> renewal;
    // Called with an accepting answer. Returns false if it is useless (of a former primary); then
    // another process is tried. Otherwise the callee has called RenewAfterInterval.
    std::function<bool(const RenewalExchange& exchange, const RenewalAnswer& answer)> accepted;
    // Called with a declining answer.
    std::function<void(const net::Address& core, const RenewalAnswer& answer)> declined;
  };

  // Sends the first renewal in the next turn of the loop. The arguments must outlive this object.
  Heartbeat(net::Loop& loop, transport::Hub& hub, CoreFinder& finder, User user);
  Heartbeat(const Heartbeat&) = delete;
  Heartbeat& operator=(const Heartbeat&) = delete;

  // Renews ahead of time, because the renewal's contents have changed; if a renewal is in flight,
  // after its answer.
  void RenewSoon();
  // Schedules the next renewal `interval` from now, or at once if RenewSoon was called.
  void RenewAfterInterval(std::chrono::milliseconds interval);
  // Sends no more renewals.
  void Stop();

  // As requested by the core last; 0 before its first answer.
  std::chrono::milliseconds interval() const { return interval_; }

 private:
  using milliseconds = std::chrono::milliseconds;

  void Renew();
  void OnAnswer(const RenewalExchange& exchange, const Result<std::string>& body);
  void FailedAt(const net::Address& peer, milliseconds pause);
  void RenewAfter(milliseconds pause);

  net::Loop& loop_;
  transport::Hub& hub_;
  CoreFinder& finder_;
  User user_;
  net::TimerPtr timer_;
  bool under_way_ = false;
  bool again_ = false;
  bool stopped_ = false;
  milliseconds interval_{0};
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_HEARTBEAT_H_
