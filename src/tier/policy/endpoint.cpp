#include "tier/policy/endpoint.h"

#include <algorithm>
#include <cmath>

#include "tier/policy/mutant.h"

namespace shelflink::policy {
namespace {

// An outdated endpoint list still names the instance that has lost its address.
constexpr Micros kMisdirectedBackOff = 10'000'000;
constexpr double kLoadReportDecayMicros = 2e6;    // Time constant of a reported load.
constexpr double kLatencyRatioGain = 0.2;         // Weight of one first event.
constexpr double kLatencyRatioDecayMicros = 5e6;  // Time constant of the decay towards 1.
constexpr double kMaxLatencyRatio = 8.0;          // Larger ratios are clamped.
// Fraction of the slots in use by all calls, above which no batch call is added.
constexpr double kBatchThresholdFraction = 0.8;
// Batch calls in prefill at an endpoint at a time, because live calls share its prefill.
constexpr double kMaxBatchPrefills = 2.0;
constexpr int kMaxBackOffDoublings = 3;  // Of the back-off delay.

std::uint64_t KvTokensOf(const Call& call) {
  return std::uint64_t{call.prompt_tokens} + call.output_tokens;
}

std::pair<Micros, Micros> TimeoutKey(const Attempt& attempt) {
  return {attempt.sent + attempt.first_event_timeout, attempt.first_event_timeout};
}

void Subtract(std::uint64_t& from, std::uint64_t amount) { from -= std::min(from, amount); }

}  // namespace

void Endpoint::Update(Micros now, const EndpointInfo& info, std::uint64_t kv_tokens) {
  if (!listed_) {
    cold_since_ = now;
    last_activity_ = now;
  }
  info_ = info;
  listed_ = true;
  slots_ = std::max(1, info.slots);
  batch_limit_.SetSlots(slots_);
  prefixes_.SetCapacity(kv_tokens);
}

void Endpoint::NoteMisdirected(Micros now) { unusable_until_ = now + kMisdirectedBackOff; }

bool Endpoint::Usable(Micros now) const {
  const bool draining = info_.draining && !Mutated(Mutant::kIgnoreDraining);
  return listed_ && !draining && now >= unusable_until_;
}

void Endpoint::AddAttempt(Attempt& attempt, const Call& call) {
  ++calls_;
  if (call.batch) {
    ++batch_calls_;
    ++batch_prefills_;
  }
  queued_prefill_tokens_ += attempt.uncached_tokens;
  remaining_output_tokens_ += attempt.remaining_output_tokens;
  total_output_tokens_ += call.output_tokens;
  kv_tokens_in_use_ += KvTokensOf(call);
  timeouts_.insert(TimeoutKey(attempt));
  prefixes_.NoteSent(call.prompt);
}

void Endpoint::NoteFirstEvent(Micros now, Attempt& attempt, const Call& call) {
  NoteActivity(now);
  consecutive_back_offs_ = 0;
  timeouts_.erase(timeouts_.find(TimeoutKey(attempt)));
  Subtract(queued_prefill_tokens_, attempt.uncached_tokens);
  attempt.uncached_tokens = 0;
  attempt.first_event_received = true;
  if (call.batch) --batch_prefills_;
  prefixes_.NotePrefilled(call.prompt);
}

void Endpoint::NoteProgress(Micros now, Attempt& attempt, std::uint32_t tokens) {
  NoteActivity(now);
  const std::uint64_t produced = std::min<std::uint64_t>(attempt.remaining_output_tokens, tokens);
  attempt.remaining_output_tokens -= produced;
  Subtract(remaining_output_tokens_, produced);
}

void Endpoint::RemoveAttempt(Attempt& attempt, const Call& call) {
  --calls_;
  if (call.batch) {
    --batch_calls_;
    if (!attempt.first_event_received) --batch_prefills_;
  }
  if (!attempt.first_event_received) timeouts_.erase(timeouts_.find(TimeoutKey(attempt)));
  Subtract(queued_prefill_tokens_, attempt.uncached_tokens);
  Subtract(remaining_output_tokens_, attempt.remaining_output_tokens);
  Subtract(total_output_tokens_, call.output_tokens);
  Subtract(kv_tokens_in_use_, KvTokensOf(call));
}

void Endpoint::NoteActivity(Micros now) { last_activity_ = std::max(last_activity_, now); }

void Endpoint::BackOff(Micros now, Micros base_delay) {
  back_off_until_ = now + (base_delay << std::min(consecutive_back_offs_, kMaxBackOffDoublings));
  ++consecutive_back_offs_;
}

bool Endpoint::Unresponsive(Micros now) const {
  if (timeouts_.empty() || Mutated(Mutant::kIgnoreSilence)) return false;
  const auto [timeout_at, timeout] = *timeouts_.begin();
  return now >= timeout_at && now - last_activity_ >= timeout;
}

void Endpoint::NoteLoad(Micros now, std::uint32_t running, std::uint32_t waiting,
                        std::uint32_t slots) {
  if (slots > 0) slots_ = static_cast<int>(slots);
  const double reported = static_cast<double>(running) + waiting;
  reported_other_calls_ = std::max(0.0, reported - static_cast<double>(calls_));
  reported_waiting_ = std::min(reported_other_calls_, static_cast<double>(waiting));
  reported_at_ = now;
}

double Endpoint::BatchAdmissionThreshold() const {
  return std::max(1.0, kBatchThresholdFraction * slots_);
}

double Endpoint::BatchRoom(Micros now) const {
  if (!info_.owned_for_batch || !Usable(now) || BackingOff(now) || Unresponsive(now)) return 0.0;
  if (health_.ShouldAvoid(now)) return 0.0;
  const double below_limit = batch_limit_.value() - static_cast<double>(batch_calls_);
  const double below_threshold = BatchAdmissionThreshold() - WeightedCalls(now);
  const double prefills_left = kMaxBatchPrefills - static_cast<double>(batch_prefills_);
  return std::max(0.0, std::min({below_limit, below_threshold, prefills_left}));
}

double Endpoint::OtherCalls(Micros now) const {
  return reported_other_calls_ *
         std::exp(-static_cast<double>(now - reported_at_) / kLoadReportDecayMicros);
}

double Endpoint::OtherCallsWaiting(Micros now) const {
  return reported_waiting_ *
         std::exp(-static_cast<double>(now - reported_at_) / kLoadReportDecayMicros);
}

double Endpoint::WeightedCalls(Micros now) const {
  const auto own_calls = static_cast<double>(calls_);
  const double remaining = total_output_tokens_ > 0
                               ? static_cast<double>(remaining_output_tokens_) /
                                     static_cast<double>(total_output_tokens_)
                               : 1.0;
  return OtherCalls(now) + own_calls * 0.5 * (1.0 + remaining);
}

void Endpoint::NoteLatencyRatio(Micros now, double ratio) {
  const double current = LatencyRatio(now);
  latency_ratio_ = current + kLatencyRatioGain * (std::min(kMaxLatencyRatio, ratio) - current);
  latency_ratio_at_ = now;
}

double Endpoint::LatencyRatio(Micros now) const {
  return 1.0 + (latency_ratio_ - 1.0) * std::exp(-static_cast<double>(now - latency_ratio_at_) /
                                                 kLatencyRatioDecayMicros);
}

double Endpoint::Coldness(Micros now) const {
  if (now >= info_.cold_until) return 0.0;
  const auto warm_up = static_cast<double>(info_.cold_until - cold_since_);
  return warm_up > 0 ? static_cast<double>(info_.cold_until - now) / warm_up : 1.0;
}

}  // namespace shelflink::policy
