#include "peers/channel.h"

#include <utility>

namespace peers {
namespace {

constexpr auto kOpenAgain = std::chrono::seconds(1);

Terms TermsOf(const Channel::Setup& setup) {
  Terms terms = setup.terms;
  terms.others = setup.others.size();
  return terms;
}

}  // namespace

Channel::Channel(net::Loop& loop, Setup setup, OnHeard on_heard)
    : loop_(loop),
      setup_(std::move(setup)),
      on_heard_(std::move(on_heard)),
      inquiry_(TermsOf(setup_)),
      timer_(loop.NewTimer([this] {
        inquiry_.OnTimer(Now());
        Carry();
      })),
      open_timer_(loop.NewTimer([this] { Open(); })) {
  for (std::size_t i = 0; i < setup_.others.size(); ++i) numbers_.emplace(setup_.others[i], i);
  Open();
}

void Channel::Open() {
  try {
    socket_ = loop_.Bind(setup_.listen, [this](const net::Address& from, std::string_view bytes) {
      OnMessage(from, bytes);
    });
  } catch (const net::Error&) {
    if (!setup_.shared_address) throw;
    open_timer_->ArmAt(loop_.Now() + kOpenAgain);
  }
}

void Channel::Begin(std::optional<std::int64_t> known) {
  inquiry_.Begin(Now(), known);
  Carry();
}

void Channel::OnDiscoveryAnswered(std::int64_t version) {
  inquiry_.OnDiscoveryAnswered(version);
  Carry();
}

void Channel::OnDiscoveryFailed() {
  inquiry_.OnDiscoveryFailed(Now());
  Carry();
}

void Channel::OnMessage(const net::Address& from, std::string_view bytes) {
  const auto peer = numbers_.find(from);
  if (peer == numbers_.end()) {
    ++counts_.strange;
    return;
  }
  const auto message = Decode(bytes);
  if (!message) {
    ++counts_.malformed;
    return;
  }
  if (message->fleet != setup_.fleet) {
    ++counts_.foreign;
    return;
  }
  if (message->kind == Kind::kAsk) {
    const auto reply = answerer_.Answer(Now(), *message);
    ++(reply ? counts_.answered : counts_.declined);
    if (reply) socket_->Send(from, Encode(*reply));
    return;
  }
  if (!inquiry_.OnReply(Now(), peer->second, *message)) ++counts_.unasked;
  Carry();
}

// What is lost on the way, for want of a socket or of room too, is asked for again.
void Channel::Carry() {
  for (const Question& q : inquiry_.TakeQuestions()) {
    Message ask;
    ask.fleet = setup_.fleet;
    ask.nonce = q.nonce;
    ask.version = q.version;
    ask.part = q.part;
    ++counts_.asked;
    if (socket_) socket_->Send(setup_.others[q.peer], Encode(ask));
  }
  if (inquiry_.next() == Inquiry::kNever) {
    timer_->Cancel();
  } else {
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(inquiry_.next() - Now()));
  }
  if (const auto heard = inquiry_.TakeHeard()) {
    ++(on_heard_(*heard) ? counts_.taken : counts_.unusable);
  }
}

}  // namespace peers
