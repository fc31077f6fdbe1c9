#include "tier/cluster/heartbeat.h"

#include <optional>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{400};  // Then the next core process is asked.
constexpr milliseconds kRetryPause{100};
constexpr const char* kModule = "cluster.agent";

}  // namespace

Heartbeat::Heartbeat(net::Loop& loop, transport::Hub& hub, CoreFinder& finder, User user)
    : loop_(loop),
      hub_(hub),
      finder_(finder),
      user_(std::move(user)),
      timer_(loop.NewTimer([this] { Renew(); })) {
  timer_->ArmAt(loop_.Now());
}

void Heartbeat::Renew() {
  if (under_way_ || stopped_) return;
  const std::optional<net::Address> target = finder_.Target();
  if (!target) {
    RenewAfter(kRetryPause);
    return;
  }
  Renewal renewal = user_.renewal();
  const net::Time sent = loop_.Now();
  std::string body = Encode(renewal);
  under_way_ = true;
  again_ = false;
  hub_.Call(*target, kRenewKind, std::move(body), kCallTimeout,
            [this, alive = std::weak_ptr<char>(life_),
             exchange = RenewalExchange{*target, sent, std::move(renewal.uses)}](
                const Result<std::string>& answer) {
              if (alive.expired()) return;
              under_way_ = false;
              OnAnswer(exchange, answer);
            });
}

void Heartbeat::OnAnswer(const RenewalExchange& exchange, const Result<std::string>& body) {
  if (!body) {
    const bool waited = loop_.Now() - exchange.sent >= kCallTimeout;
    FailedAt(exchange.peer, waited ? milliseconds(0) : kRetryPause);
    return;
  }
  const Result<RenewalAnswer> answer = DecodeRenewalAnswer(body.value());
  if (!answer) {
    log::Bounded(log::Level::kWarning, kModule, "answer", answer.error().text,
                 SteadyMicros(loop_.Now()));
    FailedAt(exchange.peer, kRetryPause);
    return;
  }
  if (!answer.value().accepted) {
    user_.declined(exchange.peer, answer.value());
    const bool at_once = finder_.Declined(exchange.peer, answer.value().primary);
    RenewAfter(at_once ? milliseconds(0) : kRetryPause);
    return;
  }
  if (!user_.accepted(exchange, answer.value())) FailedAt(exchange.peer, kRetryPause);
}

void Heartbeat::FailedAt(const net::Address& peer, milliseconds pause) {
  finder_.Failed(peer);
  RenewAfter(pause);
}

void Heartbeat::RenewAfterInterval(milliseconds interval) {
  interval_ = interval;
  RenewAfter(again_ ? milliseconds(0) : interval_);
}

void Heartbeat::RenewSoon() {
  again_ = true;
  if (!under_way_) RenewAfter(milliseconds(0));
}

void Heartbeat::RenewAfter(milliseconds pause) { timer_->ArmAt(loop_.Now() + pause); }

void Heartbeat::Stop() {
  stopped_ = true;
  timer_->Cancel();
}

}  // namespace shelflink::cluster
