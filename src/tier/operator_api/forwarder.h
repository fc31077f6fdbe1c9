// Executes the operator's orders at the primary. Any core process may receive an order: the primary
// executes it itself, every other process calls the primary through the hub. While no primary is
// known or it does not answer, the forwarder tries again until the order's deadline.
//
// An order may be executed more than once: the primary acknowledges an accepted change again, and a
// refused one stays refused unless its sender confirms it. An order may also be delayed by any
// process for any time: its age is unknown, and the primary compares it with the refusals committed
// in the meantime (coordination/refusals.h).
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
// Limits of the orders that other processes forwarded here; beyond them the answer is kExhausted.
constexpr std::size_t kMostForwarded = 64;
constexpr std::size_t kMostForwardedBytes = 40U << 20;

class Forwarder {
 public:
  struct Options {
    // Longest time until an order is answered; kUnavailable or kUnknown if the primary did not
    // answer. Operators try another process after one second without an answer.
    std::chrono::milliseconds answer_timeout{800};
    // Longest time that one call to the primary may take before the next attempt.
    std::chrono::milliseconds attempt_timeout{400};
    // Pause before the next attempt if no primary is known or reached.
    std::chrono::milliseconds retry_pause{40};
  };
  // Called once, never from inside Execute, and never after the forwarder was destroyed.
  using Done = std::function<void(Result<Answer>)>;

  // Registers a handler for kOrderCall at the hub. `hub` and `service` must outlive the forwarder.
  Forwarder(net::Loop& loop, transport::Hub& hub, OperatorService& service, Options options);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // `received`: when the head of the request was read; the deadline counts from it.
  void Execute(net::Time received, Order order, Done done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TIER_OPERATOR_API_FORWARDER_H_
