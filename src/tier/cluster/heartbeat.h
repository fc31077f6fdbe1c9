// Renews a process's lease at the core's primary: one call at a time, to whom the finder names, and
// at once elsewhere where one is silent, declines or is no primary any more.
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
    // What this process tells of itself now.
    std::function<Renewal()> renewal;
    // An answer that accepts. False: it is of no use (of a former primary); another is asked. True:
    // it has called RenewAfterInterval.
    std::function<bool(const RenewalExchange& exchange, const RenewalAnswer& answer)> accepted;
    // An answer that does not.
    std::function<void(const net::Address& core, const RenewalAnswer& answer)> declined;
  };

  // The first renewal goes out with the loop's next turn. All of them outlive it.
  Heartbeat(net::Loop& loop, transport::Hub& hub, CoreFinder& finder, User user);
  Heartbeat(const Heartbeat&) = delete;
  Heartbeat& operator=(const Heartbeat&) = delete;

  // Out of turn: what this process tells has changed. After the answer of one that is under way.
  void RenewSoon();
  // The next one falls due `interval` from now, or at once where RenewSoon has asked for it.
  void RenewAfterInterval(std::chrono::milliseconds interval);
  // No more of them.
  void Stop();

  // As the core asked for last; 0 before its first answer.
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
