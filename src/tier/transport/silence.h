// Decides when a peer has been silent for too long. A peer owes a sign of life while a call to it
// is open, or after it was sent something, until anything is heard from it. Half-way through the
// span it is asked for one (ping); at the end the connection counts as dead. Pure: times come in.
#ifndef SHELFLINK_TIER_TRANSPORT_SILENCE_H_
#define SHELFLINK_TIER_TRANSPORT_SILENCE_H_

#include <algorithm>
#include <cstddef>

#include "net/loop.h"

namespace shelflink::transport {

class Silence {
 public:
  enum class Verdict { kFine, kPing, kDead };

  explicit Silence(net::Span span) : span_(span) {}

  void SetSpan(net::Span span) { span_ = span; }
  // Something was sent that the peer should be heard after.
  void Sent(net::Time now) {
    if (!Owed()) since_ = now;
    unheard_ = true;
  }
  void CallOpened(net::Time now) {
    Sent(now);
    ++open_calls_;
  }
  void CallEnded() { --open_calls_; }
  // Any bytes, or room for more where there was none.
  void Heard(net::Time now) {
    since_ = now;
    unheard_ = false;
    pinged_ = false;
  }
  // This process itself stood still: the peer gets its whole span again.
  void Restart(net::Time now) {
    since_ = now;
    pinged_ = false;
  }

  bool Owed() const { return unheard_ || open_calls_ > 0; }
  // When Check has something to say next; Time::max() while nothing is owed.
  net::Time NextCheck() const {
    if (!Owed()) return net::Time::max();
    return since_ + (pinged_ ? span_ : span_ / 2);
  }
  // kPing is said once in a span.
  Verdict Check(net::Time now) {
    if (now < NextCheck()) return Verdict::kFine;
    if (now - since_ >= span_ && pinged_) return Verdict::kDead;
    pinged_ = true;
    // A check that comes late leaves the peer the half of the span that it was promised.
    since_ = std::max(since_, now - span_ / 2);
    return Verdict::kPing;
  }

 private:
  net::Span span_;
  net::Time since_;  // Of the first unanswered sending, or when the peer was heard last.
  std::size_t open_calls_ = 0;
  bool unheard_ = false;
  bool pinged_ = false;
};

}  // namespace shelflink::transport

#endif  // SHELFLINK_TIER_TRANSPORT_SILENCE_H_
