#include "tier/policy/endpoint.h"

#include <algorithm>
#include <cmath>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

// A list that is behind goes on naming the instance that has lost its address.
constexpr Micros kMisdirectedSpan = 10'000'000;
constexpr double kLoadSpan = 2e6;  // Microseconds in which a told load is forgotten.
constexpr double kPaceGain = 0.2;  // Weight of one first event in an endpoint's pace.
constexpr double kPaceSpan = 5e6;  // Microseconds in which an old pace is forgotten.
constexpr double kMostPace = 8.0;  // Slower than this tells no more.
// Of the slots that all calls take, beyond which no batch call is added.
constexpr double kBatchPart = 0.8;
// Batch prompts that an endpoint is given to read at once, among those of live calls.
constexpr double kMostBatchUnread = 2.0;
constexpr int kMostDoublings = 3;  // How often the rest of a full endpoint doubles.

std::uint64_t MemoryOf(const Call& call) {
  return std::uint64_t{call.prompt_tokens} + call.output_tokens;
}

std::pair<Micros, Micros> OverdueKey(const Attempt& attempt) {
  return {attempt.sent + attempt.first_event_timeout, attempt.first_event_timeout};
}

void Subtract(std::uint64_t& from, std::uint64_t amount) { from -= std::min(from, amount); }

}  // namespace

void Endpoint::Update(Micros now, const EndpointInfo& info, std::uint64_t kv_tokens) {
  if (!listed_) {
    cold_since_ = now;
    last_sign_ = now;
  }
  info_ = info;
  listed_ = true;
  slots_ = std::max(1, info.slots);
  batch_limit_.SetSlots(slots_);
  prefixes_.SetCapacity(kv_tokens);
}

void Endpoint::NoteMisdirected(Micros now) { unusable_until_ = now + kMisdirectedSpan; }

bool Endpoint::Usable(Micros now) const {
  const bool drains = info_.draining && !Mutated(Mutant::kDeafToDrains);
  return listed_ && !drains && now >= unusable_until_;
}

void Endpoint::AddAttempt(Attempt& attempt, const Call& call) {
  ++calls_;
  if (call.batch) {
    ++batch_calls_;
    ++batch_unread_;
  }
  unread_tokens_ += attempt.read_tokens;
  output_tokens_ += attempt.output_tokens;
  booked_output_tokens_ += call.output_tokens;
  memory_tokens_ += MemoryOf(call);
  first_events_due_.insert(OverdueKey(attempt));
  prefixes_.NoteSent(call.prompt);
}

void Endpoint::NoteFirstEvent(Micros now, Attempt& attempt, const Call& call) {
  NoteSign(now);
  rests_ = 0;
  first_events_due_.erase(first_events_due_.find(OverdueKey(attempt)));
  Subtract(unread_tokens_, attempt.read_tokens);
  attempt.read_tokens = 0;
  attempt.begun = true;
  if (call.batch) --batch_unread_;
  prefixes_.NoteRead(call.prompt);
}

void Endpoint::NoteProgress(Micros now, Attempt& attempt, std::uint32_t tokens) {
  NoteSign(now);
  const std::uint64_t done = std::min<std::uint64_t>(attempt.output_tokens, tokens);
  attempt.output_tokens -= done;
  Subtract(output_tokens_, done);
}

void Endpoint::RemoveAttempt(Attempt& attempt, const Call& call) {
  --calls_;
  if (call.batch) {
    --batch_calls_;
    if (!attempt.begun) --batch_unread_;
  }
  if (!attempt.begun) first_events_due_.erase(first_events_due_.find(OverdueKey(attempt)));
  Subtract(unread_tokens_, attempt.read_tokens);
  Subtract(output_tokens_, attempt.output_tokens);
  Subtract(booked_output_tokens_, call.output_tokens);
  Subtract(memory_tokens_, MemoryOf(call));
}

void Endpoint::NoteSign(Micros now) { last_sign_ = std::max(last_sign_, now); }

void Endpoint::NoteFull(Micros now, Micros rest) {
  rest_until_ = now + (rest << std::min(rests_, kMostDoublings));
  ++rests_;
}

bool Endpoint::Silent(Micros now) const {
  if (first_events_due_.empty() || Mutated(Mutant::kTrustSilence)) return false;
  const auto [overdue_at, timeout] = *first_events_due_.begin();
  return now >= overdue_at && now - last_sign_ >= timeout;
}

void Endpoint::NoteLoad(Micros now, std::uint32_t running, std::uint32_t waiting,
                        std::uint32_t slots) {
  if (slots > 0) slots_ = static_cast<int>(slots);
  const double all = static_cast<double>(running) + waiting;
  told_others_ = std::max(0.0, all - static_cast<double>(calls_));
  told_waiting_ = std::min(told_others_, static_cast<double>(waiting));
  told_at_ = now;
}

double Endpoint::BatchPart() const { return std::max(1.0, kBatchPart * slots_); }

double Endpoint::BatchRoom(Micros now) const {
  if (!info_.owned_for_batch || !Usable(now) || Resting(now) || Silent(now)) return 0.0;
  if (health_.Avoided(now)) return 0.0;
  const double seats = batch_limit_.seats() - static_cast<double>(batch_calls_);
  const double slots = BatchPart() - Running(now);
  const double unread = kMostBatchUnread - static_cast<double>(batch_unread_);
  return std::max(0.0, std::min({seats, slots, unread}));
}

double Endpoint::Others(Micros now) const {
  return told_others_ * std::exp(-static_cast<double>(now - told_at_) / kLoadSpan);
}

double Endpoint::OthersWaiting(Micros now) const {
  return told_waiting_ * std::exp(-static_cast<double>(now - told_at_) / kLoadSpan);
}

double Endpoint::Running(Micros now) const {
  const auto own = static_cast<double>(calls_);
  const double left = booked_output_tokens_ > 0 ? static_cast<double>(output_tokens_) /
                                                      static_cast<double>(booked_output_tokens_)
                                                : 1.0;
  return Others(now) + own * 0.5 * (1.0 + left);
}

void Endpoint::NotePace(Micros now, double ratio) {
  const double present = Pace(now);
  pace_ = present + kPaceGain * (std::min(kMostPace, ratio) - present);
  pace_at_ = now;
}

double Endpoint::Pace(Micros now) const {
  return 1.0 + (pace_ - 1.0) * std::exp(-static_cast<double>(now - pace_at_) / kPaceSpan);
}

double Endpoint::Coldness(Micros now) const {
  if (now >= info_.cold_until) return 0.0;
  const auto whole = static_cast<double>(info_.cold_until - cold_since_);
  return whole > 0 ? static_cast<double>(info_.cold_until - now) / whole : 1.0;
}

}  // namespace shelflink::policy
