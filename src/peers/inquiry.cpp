#include "peers/inquiry.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "mix.h"

namespace peers {
namespace {

Micros Scaled(Micros span, double by) {
  return static_cast<Micros>(static_cast<double>(span) * by);
}

}  // namespace

Inquiry::Inquiry(const Terms& terms) : terms_(terms), draws_(terms.seed), order_(terms.others) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  for (std::size_t i = order_.size(); i > 1; --i) {
    std::swap(order_[i - 1], order_[DrawWord() % i]);
  }
}

std::uint64_t Inquiry::DrawWord() {
  const std::uint64_t word = gaugecart::Mix(draws_);
  draws_ += gaugecart::kMixStep;
  return word;
}

double Inquiry::Draw() { return gaugecart::Unit(DrawWord()); }

void Inquiry::Begin(Micros now, std::optional<std::int64_t> known) {
  known_ = known;
  if (Wanted()) StartRound(now);
}

void Inquiry::OnDiscoveryAnswered(std::int64_t version) {
  known_ = std::max(known_.value_or(version), version);
  without_discovery_ = false;
  pause_ = kFirstPause;
  stage_ = Stage::kIdle;
  out_.clear();
  offers_.clear();
  next_ = kNever;
}

void Inquiry::OnDiscoveryFailed(Micros now) {
  if (std::exchange(without_discovery_, true)) return;
  // Many may have lost it at one instant.
  if (stage_ == Stage::kIdle) PauseFor(now, Scaled(kLongestPause, Draw()));
}

void Inquiry::StartRound(Micros now) {
  if (terms_.others == 0) return;
  stage_ = Stage::kAsking;
  out_.clear();
  offers_.clear();
  for (std::size_t i = 0; i < std::min(kAskedAtOnce, terms_.others); ++i) {
    Ask(now, order_[turn_++ % order_.size()], 0, 0, 1);
  }
  Rearm();
}

void Inquiry::Ask(Micros now, std::size_t peer, std::int64_t version, std::uint16_t part,
                  int tries) {
  out_.push_back({{peer, DrawWord(), version, part}, now, tries});
  questions_.push_back(out_.back().question);
}

bool Inquiry::OnReply(Micros now, std::size_t peer, const Message& reply) {
  const auto it = std::find_if(out_.begin(), out_.end(), [&](const Out& o) {
    return o.question.peer == peer && o.question.nonce == reply.nonce;
  });
  if (it == out_.end()) return false;
  const Out out = *it;
  out_.erase(it);
  if (stage_ == Stage::kAsking) {
    if (reply.kind == Kind::kPart && reply.part == 0) OnOffer(now, out, reply);
    if (out_.empty()) Choose(now);
  } else if (stage_ == Stage::kFetching) {
    OnPart(now, out, reply);
  }
  Rearm();
  return true;
}

bool Inquiry::Newer(std::int64_t version) const { return !known_ || version > *known_; }

bool Inquiry::TooOld(Micros now, Micros held_at) const { return now - held_at > terms_.list_age; }

// The age was told after the question was asked: counted from the question it is too great at
// worst.
void Inquiry::OnOffer(Micros now, const Out& out, const Message& reply) {
  const Micros held_at = out.at - reply.age;
  if (!Newer(reply.version) || TooOld(now, held_at)) return;
  Offer offer{out.question.peer, reply.version, held_at, reply.checksum, {}, 0};
  offer.parts.resize(reply.parts);
  offer.parts[0] = reply.bytes;
  offer.missing = offer.parts.size() - 1;
  offers_.push_back(std::move(offer));
}

void Inquiry::Choose(Micros now) {
  out_.clear();
  if (offers_.empty()) return EndRound(now);
  std::sort(offers_.begin(), offers_.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.version, a.held_at) < std::tie(b.version, b.held_at);
  });
  stage_ = Stage::kFetching;
  next_part_ = 1;
  AskMore(now);
}

void Inquiry::OnPart(Micros now, const Out& out, const Message& reply) {
  Offer& offer = offers_.back();
  const bool fits = reply.kind == Kind::kPart && reply.version == offer.version &&
                    reply.parts == offer.parts.size() && reply.checksum == offer.checksum &&
                    reply.part == out.question.part;
  if (!fits) return OnLost(now);  // It has another list by now.
  offer.parts[reply.part] = reply.bytes;
  --offer.missing;
  AskMore(now);
}

void Inquiry::AskMore(Micros now) {
  const Offer& offer = offers_.back();
  if (offer.missing == 0) return Complete(now);
  while (out_.size() < kWindow && next_part_ < offer.parts.size()) {
    Ask(now, offer.peer, offer.version, next_part_++, 1);
  }
}

void Inquiry::Complete(Micros now) {
  const Offer& offer = offers_.back();
  Heard heard{offer.peer, offer.version, offer.held_at, {}};
  for (const std::string& part : offer.parts) heard.text += part;
  // Parts may have taken their time, and discovery may have answered meanwhile.
  if (ChecksumOf(heard.text) != offer.checksum || TooOld(now, heard.held_at) ||
      !Newer(heard.version)) {
    return OnLost(now);
  }
  known_ = heard.version;
  heard_ = std::move(heard);
  EndRound(now);
}

// What was being got is not to be had: the next best is.
void Inquiry::OnLost(Micros now) {
  offers_.pop_back();
  Choose(now);
}

void Inquiry::EndRound(Micros now) {
  out_.clear();
  offers_.clear();
  stage_ = Stage::kIdle;
  next_ = kNever;
  if (!Wanted()) return;
  if (known_) return PauseFor(now, Scaled(terms_.ask_within, 0.5 + Draw()));
  PauseFor(now, Scaled(pause_, 0.5 + Draw()));
  pause_ = std::min(2 * pause_, kLongestPause);
}

void Inquiry::PauseFor(Micros now, Micros span) {
  stage_ = Stage::kPausing;
  next_ = now + span;
}

void Inquiry::OnTimer(Micros now) {
  if (now < next_) return;
  if (stage_ == Stage::kPausing) return StartRound(now);
  if (stage_ == Stage::kAsking) {
    Choose(now);
  } else if (stage_ == Stage::kFetching) {
    std::vector<Out> lost;
    const auto late = std::stable_partition(out_.begin(), out_.end(),
                                            [&](const Out& o) { return now < o.at + kAnswerSpan; });
    lost.assign(late, out_.end());
    out_.erase(late, out_.end());
    const bool given_up =
        std::any_of(lost.begin(), lost.end(), [](const Out& o) { return o.tries >= kTries; });
    if (given_up) {
      OnLost(now);
    } else {
      for (const Out& o : lost) {
        Ask(now, o.question.peer, o.question.version, o.question.part, o.tries + 1);
      }
    }
  }
  Rearm();
}

void Inquiry::Rearm() {
  if (stage_ != Stage::kAsking && stage_ != Stage::kFetching) return;
  next_ = kNever;
  for (const Out& o : out_) next_ = std::min(next_, o.at + kAnswerSpan);
}

}  // namespace peers
