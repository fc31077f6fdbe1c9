// Executes the operator's orders at the primary, from whichever core process received them: here
// where this is the primary, else by a call through the hub. It looks for the primary again until
// the order's time is over.
//
// Repeating an order is safe: a change that was taken is acknowledged again, one that was refused
// stays refused unless its sender confirms it. So is an order that any process holds up for any
// time: nothing here tells its age, and the primary judges it by what has been refused since
// (coordination/refusals.h).
#ifndef SHELFLINK_TIER_OPERATOR_API_FORWARDER_H_
#define SHELFLINK_TIER_OPERATOR_API_FORWARDER_H_

#include <chrono>
#include <functional>
#include <memory>

#include "net/loop.h"
#include "tier/operator_api/messages.h"
#include "tier/operator_api/service.h"
#include "tier/transport/hub.h"

namespace shelflink::operator_api {

constexpr transport::MessageKind kOrderCall = transport::kOperatorKinds;
// Orders of others under way here, and their bytes; more: kExhausted.
constexpr std::size_t kMostForwarded = 64;
constexpr std::size_t kMostForwardedBytes = 40U << 20;

class Forwarder {
 public:
  struct Options {
    // An order has its answer after so long, be it kUnavailable or kUnknown. The operator turns to
    // another process after one second of silence.
    std::chrono::milliseconds answer_within{800};
    // A call to the primary that is silent for so long is made again, to whoever is the primary
    // then.
    std::chrono::milliseconds attempt{400};
    // No primary known or reached: looks again after so long.
    std::chrono::milliseconds look_again{40};
  };
  // Called once, never from inside Execute; not after the forwarder is gone.
  using Done = std::function<void(Result<Answer>)>;

  // Serves kOrderCall on the hub. Hub and service outlive it.
  Forwarder(net::Loop& loop, transport::Hub& hub, OperatorService& service, Options options);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // `received`: when the order came in; its time counts from there.
  void Execute(net::Time received, Order order, Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_FORWARDER_H_
