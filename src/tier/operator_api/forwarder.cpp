#include "tier/operator_api/forwarder.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace shelflink::operator_api {
namespace {

using std::chrono::milliseconds;

// Calls the service method of an order and converts its result to an Answer.
class Dispatch {
 public:
  Dispatch(OperatorService& service, Forwarder::Done done)
      : service_(service), done_(std::move(done)) {}

  void operator()(const configuration::ChangeOrder& order) {
    service_.ChangeConfiguration(order, Acknowledge());
  }
  void operator()(const ReadConfigurationOrder&) {
    service_.ReadConfiguration([done = std::move(done_)](Result<std::string> result) {
      if (!result) return done(result.error());
      done(Answer(Document{std::move(result.value())}));
    });
  }
  void operator()(const RetireOrder& order) { service_.Retire(order, Acknowledge()); }
  void operator()(const RetireStateOrder& order) {
    service_.ReadRetireState(order.node, [done = std::move(done_)](Result<RetireState> result) {
      if (!result) return done(result.error());
      done(Answer(result.value()));
    });
  }

 private:
  OperatorService::ChangeDone Acknowledge() {
    return [done = std::move(done_)](Result<OrderOutcome> result) {
      if (!result) return done(result.error());
      done(std::visit([](const auto& outcome) { return Answer(outcome); }, result.value()));
    };
  }

  OperatorService& service_;
  Forwarder::Done done_;
};

// The core process that forwarded an order stops waiting long before. An order without an answer is
// counted no longer than this.
constexpr std::chrono::seconds kForwardedLifetime{10};

bool Changes(const Order& order) {
  return std::holds_alternative<configuration::ChangeOrder>(order) ||
         std::holds_alternative<RetireOrder>(order);
}

Result<Answer> AnswerOfMessage(Result<std::string> reply) {
  if (!reply) return reply.error();
  std::optional<Answer> answer = DecodeAnswer(reply.value());
  if (!answer) return MakeError(ErrorCode::kUnknown, "the primary's answer cannot be read");
  return std::move(*answer);
}

}  // namespace

// An order that this process received and has not answered yet.
struct PendingOrder {
  Order order;
  Forwarder::Done done;
  net::Time deadline;
  net::TimerPtr timer;  // The next attempt, or the deadline.
  bool attempt_under_way = false;
  bool may_have_happened = false;
};
using PendingPtr = std::shared_ptr<PendingOrder>;

// Counts the orders that other core processes forwarded to this one.
class ForwardedOrders {
 public:
  // Returns the number to pass to End, or none if the limits are reached.
  std::optional<std::uint64_t> Begin(net::Time now, std::size_t bytes) {
    while (!orders_.empty() && orders_.begin()->second.begun + kForwardedLifetime <= now) {
      End(orders_.begin()->first);
    }
    if (orders_.size() >= kMostForwarded || bytes_ + bytes > kMostForwardedBytes) {
      return std::nullopt;
    }
    orders_.emplace(++last_number_, Entry{now, bytes});
    bytes_ += bytes;
    return last_number_;
  }
  void End(std::uint64_t number) {
    const auto found = orders_.find(number);
    if (found == orders_.end()) return;
    bytes_ -= found->second.bytes;
    orders_.erase(found);
  }

 private:
  struct Entry {
    net::Time begun;
    std::size_t bytes = 0;
  };
  std::map<std::uint64_t, Entry> orders_;  // By number: oldest first.
  std::size_t bytes_ = 0;
  std::uint64_t last_number_ = 0;
};

struct Forwarder::Impl {
  Impl(net::Loop& the_loop, transport::Hub& the_hub, OperatorService& the_service, Options wanted)
      : loop(the_loop), hub(the_hub), service(the_service), options(wanted) {}

  void Execute(net::Time received, Order order, Done done);
  void Attempt(const PendingPtr& pending);
  void AttemptHere(const PendingPtr& pending);
  void AttemptAt(const net::Address& primary, const PendingPtr& pending);
  void OnOutcome(const PendingPtr& pending, Result<Answer> outcome);
  void ScheduleRetry(const PendingPtr& pending);
  void OnTimer(const PendingPtr& pending);
  void GiveUp(const PendingPtr& pending);
  void Finish(const PendingPtr& pending, Result<Answer> answer);
  void OnForwarded(const transport::PeerIdentity& from, std::string_view message,
                   const transport::Hub::Reply& reply);

  net::Loop& loop;
  transport::Hub& hub;
  OperatorService& service;
  Options options;
  std::set<PendingPtr> pending_orders;
  ForwardedOrders forwarded;
  // Callbacks that outlive the forwarder find it expired.
  std::shared_ptr<Impl*> self = std::make_shared<Impl*>(this);
};

void Forwarder::Impl::Execute(net::Time received, Order order, Done done) {
  const auto pending = std::make_shared<PendingOrder>();
  pending->order = std::move(order);
  pending->done = std::move(done);
  pending->deadline = received + options.answer_timeout;
  pending->timer = loop.NewTimer([this, weak = std::weak_ptr(pending)] {
    if (const PendingPtr held = weak.lock()) OnTimer(held);
  });
  pending_orders.insert(pending);
  Attempt(pending);
}

void Forwarder::Impl::Attempt(const PendingPtr& pending) {
  if (service.is_primary()) {
    AttemptHere(pending);
    return;
  }
  const std::optional<net::Address> primary = service.primary();
  if (primary && *primary != hub.self().address) {
    AttemptAt(*primary, pending);
    return;
  }
  ScheduleRetry(pending);
}

void Forwarder::Impl::AttemptHere(const PendingPtr& pending) {
  pending->attempt_under_way = true;
  pending->timer->ArmAt(pending->deadline);
  std::visit(Dispatch(service,
                      [weak_self = std::weak_ptr(self),
                       weak = std::weak_ptr(pending)](Result<Answer> outcome) {
                        const auto alive = weak_self.lock();
                        const PendingPtr held = weak.lock();
                        if (alive && held) (*alive)->OnOutcome(held, std::move(outcome));
                      }),
             pending->order);
}

void Forwarder::Impl::AttemptAt(const net::Address& primary, const PendingPtr& pending) {
  pending->attempt_under_way = true;
  pending->timer->ArmAt(pending->deadline);
  const auto left = std::chrono::duration_cast<milliseconds>(pending->deadline - loop.Now());
  const milliseconds timeout = std::clamp(left, milliseconds(1), options.attempt_timeout);
  hub.Call(
      primary, kOrderCall, EncodeOrder(pending->order), timeout,
      [weak_self = std::weak_ptr(self), weak = std::weak_ptr(pending)](Result<std::string> reply) {
        const auto alive = weak_self.lock();
        const PendingPtr held = weak.lock();
        if (alive && held) (*alive)->OnOutcome(held, AnswerOfMessage(std::move(reply)));
      });
}

void Forwarder::Impl::OnOutcome(const PendingPtr& pending, Result<Answer> outcome) {
  if (!pending->attempt_under_way) return;
  pending->attempt_under_way = false;
  if (outcome) {
    Finish(pending, std::move(outcome));
    return;
  }
  const ErrorCode code = outcome.error().code;
  if (code == ErrorCode::kUnknown || code == ErrorCode::kStorage) {
    pending->may_have_happened = true;
    ScheduleRetry(pending);
  } else if (code == ErrorCode::kUnavailable) {
    ScheduleRetry(pending);
  } else {
    Finish(pending, std::move(outcome));
  }
}

void Forwarder::Impl::ScheduleRetry(const PendingPtr& pending) {
  const net::Time again = loop.Now() + options.retry_pause;
  pending->timer->ArmAt(std::min(again, pending->deadline));
}

void Forwarder::Impl::OnTimer(const PendingPtr& pending) {
  if (loop.Now() >= pending->deadline) {
    GiveUp(pending);
  } else if (!pending->attempt_under_way) {
    Attempt(pending);
  }
}

void Forwarder::Impl::GiveUp(const PendingPtr& pending) {
  const bool unsure = pending->may_have_happened || pending->attempt_under_way;
  if (unsure && Changes(pending->order)) {
    Finish(pending, MakeError(ErrorCode::kUnknown, "no answer from the primary in time"));
  } else {
    Finish(pending, MakeError(ErrorCode::kUnavailable, "no primary in reach"));
  }
}

void Forwarder::Impl::Finish(const PendingPtr& pending, Result<Answer> answer) {
  const auto held = pending_orders.extract(pending);  // Keeps the order until `done` has returned.
  pending->attempt_under_way = false;
  pending->timer->Cancel();
  const Done done = std::move(pending->done);
  done(std::move(answer));
}

// Executes an order that another core process received. A process that is not the primary does not
// forward it again: the sender looks for the primary itself. An order that cannot be decoded here
// was valid for its sender, so the answer is not a refusal.
void Forwarder::Impl::OnForwarded(const transport::PeerIdentity& from, std::string_view message,
                                  const transport::Hub::Reply& reply) {
  const std::optional<Order> order = from.role == "core" ? DecodeOrder(message) : std::nullopt;
  if (!order) {
    reply(MakeError(ErrorCode::kUnavailable, "the forwarded order cannot be read"));
    return;
  }
  if (!service.is_primary()) {
    reply(MakeError(ErrorCode::kUnavailable, "not the primary"));
    return;
  }
  const std::optional<std::uint64_t> number = forwarded.Begin(loop.Now(), message.size());
  if (!number) {
    reply(MakeError(ErrorCode::kExhausted, "too many orders under way"));
    return;
  }
  std::visit(
      Dispatch(service,
               [weak_self = std::weak_ptr(self), reply, number = *number](Result<Answer> outcome) {
                 if (const auto alive = weak_self.lock()) (*alive)->forwarded.End(number);
                 if (!outcome) return reply(outcome.error());
                 reply(EncodeAnswer(outcome.value()));
               }),
      *order);
}

Forwarder::Forwarder(net::Loop& loop, transport::Hub& hub, OperatorService& service,
                     Options options)
    : impl_(std::make_unique<Impl>(loop, hub, service, options)) {
  hub.HandleCall(kOrderCall, [weak_self = std::weak_ptr(impl_->self)](
                                 const transport::PeerIdentity& from, std::string_view body,
                                 const transport::Hub::Reply& reply) {
    const auto alive = weak_self.lock();
    if (!alive) return reply(MakeError(ErrorCode::kUnavailable, "this process is ending"));
    (*alive)->OnForwarded(from, body, reply);
  });
}

Forwarder::~Forwarder() = default;

void Forwarder::Execute(net::Time received, Order order, Done done) {
  impl_->Execute(received, std::move(order), std::move(done));
}

}  // namespace shelflink::operator_api
