// All endpoints: the list, outcome statistics, warm-up budgets and the choice for a call.
#ifndef GAUGECART_POLICY_FLEET_H_
#define GAUGECART_POLICY_FLEET_H_

#include <array>

#include "measures/decaying_rate.h"
#include "policy/call_table.h"
#include "policy/subset.h"

namespace gaugecart {

constexpr double kPromptPart = 0.5;    // Answers within this fraction of the aim raise the limit.
constexpr double kSlownessGain = 0.2;  // Weight of one answer in an endpoint's slowness.
constexpr Micros kAliveMicros = 2'000'000;           // An answer this recent shows that it is up.
constexpr Micros kInitialBackoffMicros = 200'000;    // First backoff if no answer time is known.
constexpr Micros kConnectTroubleMicros = 5'000'000;  // How long a failed connection counts.
constexpr int kMaxDoublings = 3;                     // Of the backoff.
constexpr double kMaxSlowness = 8.0;                 // Cap on the slowness of one answer.
constexpr double kFairTimeout = 4.0;          // A timeout of so many answer times is a fair test...
constexpr double kNearTimeoutFraction = 0.8;  // ...and a failure this late in it is a timeout.
constexpr double kAtMostOnceFailureWeight = 12.0;  // Cost of failures to at-most-once calls.
constexpr double kColdBudgetPart = 2.0 / 3;        // Used part of a warming endpoint's budget.

class Fleet {
 public:
  Fleet(const Settings& settings, std::uint64_t seed)
      : settings_(settings), seed_(seed), ranking_(settings) {}

  void Update(Micros now, ListKind kind, const std::vector<Endpoint>& endpoints) {
    if (kind != ListKind::kChanges) {
      for (auto& [id, endpoint] : endpoints_) endpoint.listed = false;
    }
    for (const Endpoint& e : endpoints) {
      EndpointState& endpoint = endpoints_[e.id];
      // A new process with a known id: what was learned of the old one no longer applies.
      if (endpoint.info.launched != e.launched) {
        const std::vector<EndpointState::InFlight> in_flight = std::move(endpoint.in_flight);
        endpoint = EndpointState();
        endpoint.in_flight = in_flight;
        endpoint.cold_credit_at = now;
        // A random initial credit: from 0 the whole group would send at the same moment.
        endpoint.cold_credit = Unit(Mix(seed_ ^ e.hash ^ static_cast<std::uint64_t>(e.launched)));
      }
      endpoint.info = e;
      endpoint.listed = e.availability != Availability::kGone;
    }
    // Drops unlisted endpoints with nothing in flight; the pointers below are all rebuilt.
    const auto gone = [](const auto& s) { return !s.second.listed && s.second.in_flight.empty(); };
    std::erase_if(endpoints_, gone);
    ready_.clear();
    by_cell_.clear();
    by_zone_.clear();
    for (auto& [id, endpoint] : endpoints_) {
      if (endpoint.Ready()) ready_.push_back(&endpoint);
    }
    const auto key = [](const EndpointState* s) { return std::pair(s->info.hash, s->info.id); };
    std::ranges::sort(ready_, {}, key);
    for (EndpointState* endpoint : ready_) {
      by_cell_[endpoint->info.cell].push_back(endpoint);
      by_zone_[endpoint->info.zone].push_back(endpoint);
    }
    ranking_.Reset(ready_);
    subset_.clear();
    subset_stale_ = true;
  }

  EndpointState* Find(EndpointId id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
  }

  // Listed endpoints that are draining or ejected.
  std::size_t CountAvoided(Micros now) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
          const EndpointState& s = entry.second;
          return s.listed && (!s.Ready() || s.health.ShouldAvoid(now));
        }));
  }

  std::vector<LearnedState::Ejection> Ejections(Micros now) const {
    std::vector<LearnedState::Ejection> ejections;
    for (const EndpointState* s : ready_) {
      const Micros remaining = s->health.RemainingEjection(now);
      if (remaining == 0) continue;
      ejections.push_back({s->info.id, s->info.launched, remaining, s->health.strikes()});
    }
    return ejections;
  }

  void RestoreEjection(const LearnedState::Ejection& ejection, Micros now) {
    EndpointState* s = Find(ejection.endpoint);
    if (s == nullptr || !s->Ready() || s->info.launched != ejection.launched || AtEjectionLimit())
      return;
    s->health.RestoreEjection(ejection.remaining, ejection.strikes, now);
    subset_stale_ = true;
  }

  void NoteInFlight(std::size_t calls) { subset_stale_ |= subset_size_.Grow(calls, ready_.size()); }

  void NoteSent(EndpointState& s, EndpointState::InFlight attempt, Micros now) {
    attempt.over_cap = s.in_flight.size() >= s.connection_cap;
    s.in_flight.push_back(attempt);
    if (HasIdleConnection(s, now)) s.idle.pop_back();
    if (s.Cold(settings_.warm_up, now)) {
      s.cold_credit -= 1.0;
    } else {
      warm_sends_.Add(now, 1.0);
    }
    s.health.StartTrial();
  }

  // `usual`: the level's typical answer time, 0 if unknown. Returns whether the outcome is evidence
  // about the endpoint. With less time than an answer takes, as from callers that give up early or
  // retry late, an attempt fails at the healthiest endpoint; counted, such failures ejected sound
  // endpoints and drove the limit down. Trade-off: silence to such calls only is detected later.
  bool NoteOutcome(EndpointState& s, const Outcome& o, std::uint32_t level, double usual,
                   Micros now) {
    const auto it = std::find_if(
        s.in_flight.begin(), s.in_flight.end(), [&](const EndpointState::InFlight& attempt) {
          return attempt.request == o.request && attempt.attempt == o.attempt;
        });
    bool too_short = false;
    bool over_cap = false;
    bool level_is_prompt = true;
    if (it != s.in_flight.end()) {
      over_cap = it->over_cap;
      const auto timeout = static_cast<double>(it->timeout);
      const auto expected = static_cast<double>(it->expected_within);
      level_is_prompt = usual <= kPromptPart * expected;
      too_short = (o.code == OutcomeCode::kTimeout || o.code == OutcomeCode::kError) &&
                  timeout < (usual > 0 ? std::min(expected, kFairTimeout * usual) : expected) &&
                  static_cast<double>(o.rtt) >= kNearTimeoutFraction * timeout;
      s.in_flight.erase(it);
    }
    const bool full = o.code == OutcomeCode::kFull;
    const bool failed = o.code != OutcomeCode::kOk;
    if (!failed || full || o.code == OutcomeCode::kError) {
      s.idle.push_back(now);
      if (over_cap) s.connection_cap = kUncapped;
    }
    if (too_short || o.code == OutcomeCode::kCancelled || o.code == OutcomeCode::kNeverSent) {
      s.health.EndTrial();
      return false;
    }
    // A rejection shows load, not bad health, and so does a connection refused soon after an
    // answer. Rejecting fast, the endpoint would attract all calls, so it is avoided for a while.
    if (full || (o.code == OutcomeCode::kConnectFailed && now - s.last_answer < kAliveMicros)) {
      const Micros backoff = usual > 0 ? static_cast<Micros>(usual) : kInitialBackoffMicros;
      s.backoff_until = now + (backoff << std::min(s.rejections++, kMaxDoublings));
      // With failing handshakes or full connection tables, open connections still carry calls;
      // avoiding the endpoint altogether moved all calls to the few others.
      s.connection_cap = full ? 0 : s.in_flight.size() + s.idle.size();
      if (!full) connect_trouble_until_ = now + kConnectTroubleMicros;
      return true;
    }
    if (usual > 0 && (!failed || o.code == OutcomeCode::kTimeout)) {
      const double ratio = std::min(kMaxSlowness, static_cast<double>(o.rtt) / usual);
      s.slowness = s.Slowness(now) + kSlownessGain * (ratio - s.Slowness(now));
      s.slowness_at = now;
    }
    if (!failed) s.last_answer = now;
    if (!failed) s.rejections = 0;
    if (level_is_prompt) NoteLevelOutcome(s, o.code, level, now);
    baseline_.Note(failed);
    const auto limit_reached = [&] { return AtEjectionLimit(); };
    subset_stale_ |= s.health.Note(failed, baseline_, limit_reached, seed_ ^ s.info.hash, now);
    return true;
  }

  // The cheapest endpoint in rotation: ejected, tried, silent or rejecting ones come last, then
  // calls in flight times slowness decides. Warming endpoints without credit are skipped.
  EndpointState* Pick(const CallTable& calls, const Call& call, Micros now) {
    const Attempt* first = call.FirstMayHaveRun();
    const ClassSettings& c = calls.ClassOf(call);
    const bool pinned = first != nullptr && c.repeat == Repeat::kDeduplicated;
    const std::vector<EndpointState*>& candidates =
        pinned && c.group == DedupGroup::kCell   ? by_cell_[first->cell]
        : pinned && c.group == DedupGroup::kZone ? by_zone_[first->zone]
                                                 : Subset(now);
    if (candidates.empty()) return nullptr;
    // A failure loses an at-most-once call; repeatable calls go on testing the endpoint.
    const double failure_weight = c.repeat == Repeat::kAtMostOnce ? kAtMostOnceFailureWeight : 0.0;
    EndpointState* best = nullptr;
    std::array<double, 4> best_cost{};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      EndpointState* s = candidates[(cursor_ + i) % candidates.size()];
      if (!calls.MaySendTo(call, s->info, now)) continue;
      if (s->Cold(settings_.warm_up, now) && !HasColdCredit(*s, now)) continue;
      const bool tried = std::any_of(call.attempts.begin(), call.attempts.end(),
                                     [&](const Attempt& a) { return a.endpoint == s->info.id; });
      const bool ejected =
          s->health.ShouldAvoid(now) || now < s->by_level[call.request.priority_level].avoid_until;
      const std::array<double, 4> cost = {ejected ? 1.0 : 0.0, tried ? 1.0 : 0.0,
                                          AvoidancePenalty(*s, call.request.priority_level, now),
                                          static_cast<double>(s->in_flight.size() + 1) *
                                              s->Slowness(now) *
                                              (1.0 + failure_weight * s->health.failure_rate())};
      if (best == nullptr || cost < best_cost) {
        best = s;
        best_cost = cost;
      }
    }
    ++cursor_;
    return best;
  }

 private:
  // Whether one more ejection would exceed the allowed fraction of the endpoints.
  bool AtEjectionLimit() const {
    const auto ejected = std::count_if(ready_.begin(), ready_.end(),
                                       [](const EndpointState* s) { return s->health.ejected(); });
    return static_cast<double>(ejected + 1) > kMaxEjectedPart * static_cast<double>(ready_.size());
  }

  // Detects faults of one class that answers of another would hide. A timeout counts as two errors.
  // Trade-off: two by chance keep a level from a sound endpoint for some seconds.
  void NoteLevelOutcome(EndpointState& s, OutcomeCode code, std::uint32_t level, Micros now) {
    EndpointState::LevelHealth& h = s.by_level[level];
    const bool failed = code != OutcomeCode::kOk;
    baseline_by_level_[level].Note(failed);
    if (!failed) {
      h.last_answer = now;
      h.failure_rate -= kFailureRateGain * h.failure_rate;
      if (h.failure_rate < kForgetFailureRate) h.strikes = 0;
      return;
    }
    const double gain = code == OutcomeCode::kTimeout ? 2.0 * kFailureRateGain : kFailureRateGain;
    h.failure_rate += gain * (1.0 - h.failure_rate);
    if (baseline_by_level_[level].IsExceededBy(h.failure_rate) && now >= h.avoid_until) {
      h.avoid_until = now + EjectionTime(h.strikes++);
    }
  }

  // Whether an idle connection should still be open.
  bool HasIdleConnection(EndpointState& s, Micros now) const {
    if (settings_.keepalive > 0) {
      std::erase_if(s.idle, [&](Micros since) { return now - since >= settings_.keepalive; });
    }
    return !s.idle.empty();
  }

  // 1 if silent or at its connection cap, which one call at a time may test.
  double AvoidancePenalty(EndpointState& s, std::uint32_t level, Micros now) const {
    if (IsSilent(s, level, now)) return 1.0;
    if (s.in_flight.size() >= s.connection_cap &&
        (now < s.backoff_until ||
         std::any_of(s.in_flight.begin(), s.in_flight.end(),
                     [](const EndpointState::InFlight& a) { return a.over_cap; }))) {
      return 1.0;
    }
    return now < connect_trouble_until_ && !HasIdleConnection(s, now) ? 0.5 : 0.0;
  }

  // Whether an attempt of this level is overdue and no answer of the level came since it was sent.
  static bool IsSilent(EndpointState& s, std::uint32_t level, Micros now) {
    return std::any_of(s.in_flight.begin(), s.in_flight.end(),
                       [&](const EndpointState::InFlight& a) {
                         return a.level == level && now - a.sent > a.expected_within &&
                                s.by_level[level].last_answer < a.sent;
                       });
  }

  // Admits a warming endpoint at a warm subset member's rate times fall_multiple and its present
  // capacity, a third of that left for chance; in equally many subsets, it gets no more from the
  // group. Credit is capped at one call: no burst accrues. The last warm rate outlives warm
  // members.
  bool HasColdCredit(EndpointState& s, Micros now) {
    const double age = static_cast<double>(std::max<Micros>(0, now - s.info.launched));
    const double capacity = settings_.cold_from + (1.0 - settings_.cold_from) * age /
                                                      static_cast<double>(settings_.warm_up);
    UpdateWarmRate(now);
    const double rate =
        warm_rate_ * std::min(1.0, kColdBudgetPart * settings_.fall_multiple * capacity);
    const double elapsed = static_cast<double>(std::max<Micros>(0, now - s.cold_credit_at)) / 1e6;
    s.cold_credit = std::min(1.0, s.cold_credit + elapsed * rate);
    s.cold_credit_at = now;
    return s.cold_credit >= 1.0;
  }

  // A warm member's rate, decaying over the warm-up time: a lower present rate may come from
  // ejections or refusals and does not show what an endpoint can do.
  void UpdateWarmRate(Micros now) {
    if (warm_members_ < 1.0) return;
    const double elapsed = static_cast<double>(now - warm_rate_at_);
    warm_rate_at_ = now;
    // The first calls after a start give a rate over too short a time.
    const double decayed =
        warm_sends_.HasFullWindow(now)
            ? warm_rate_ * std::exp(-elapsed / static_cast<double>(settings_.warm_up + 1))
            : 0.0;
    warm_rate_ = std::max(decayed, warm_sends_.Rate(now) / warm_members_);
  }

  const std::vector<EndpointState*>& Subset(Micros now) {
    if (!subset_stale_ && now < subset_refresh_at_) return subset_;
    subset_stale_ = false;
    UpdateWarmRate(now);
    subset_refresh_at_ = now + 500'000;  // Warm-ups and ejections end without an event.
    subset_.clear();
    std::size_t warm = 0;
    for (std::size_t rank = 0; rank < ready_.size() && warm < subset_size_.size(); ++rank) {
      EndpointState* s = ranking_.AtRank(rank);
      subset_.push_back(s);
      if (!s->Cold(settings_.warm_up, now) && !s->health.ejected()) ++warm;
    }
    warm_members_ = static_cast<double>(warm);
    return subset_;
  }

  const Settings& settings_;
  std::uint64_t seed_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::vector<EndpointState*> ready_;  // By hash; nodes of endpoints_ do not move.
  std::unordered_map<std::int64_t, std::vector<EndpointState*>> by_cell_;
  std::unordered_map<std::int32_t, std::vector<EndpointState*>> by_zone_;
  Ranking ranking_;
  std::vector<EndpointState*> subset_;
  bool subset_stale_ = true;
  Micros subset_refresh_at_ = 0;
  SubsetSize subset_size_;
  std::size_t cursor_ = 0;
  double warm_members_ = 0.0;
  double warm_rate_ = 0.0;  // Calls per second of a warm member, last known.
  Micros warm_rate_at_ = 0;
  BaselineFailureRate baseline_;
  std::map<std::uint32_t, BaselineFailureRate> baseline_by_level_;
  DecayingRate warm_sends_;
  Micros connect_trouble_until_ = std::numeric_limits<Micros>::min();
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_FLEET_H_
