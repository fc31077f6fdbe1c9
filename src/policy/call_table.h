// The requests in progress, which of their attempts may have run, and whether a request may be
// sent, retried or refused. Checked last for every action, independently of any tuning.
#ifndef GAUGECART_POLICY_CALL_TABLE_H_
#define GAUGECART_POLICY_CALL_TABLE_H_

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gaugecart/choice.h"

namespace gaugecart {

inline bool ProvablyNotRun(OutcomeCode code) {
  return code == OutcomeCode::kFull || code == OutcomeCode::kConnectFailed ||
         code == OutcomeCode::kNeverSent;
}

struct Attempt {
  EndpointId endpoint = 0;
  Micros sent = 0;
  std::int32_t zone = -1;
  std::int64_t cell = -1;
  bool in_flight = true;
  bool provably_not_run = false;
};

struct Call {
  Request request;
  bool queued = false;
  bool streaming = false;
  std::vector<Attempt> attempts;

  bool AnyInFlight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }
  // The first attempt that may have run; null if there is none.
  const Attempt* FirstMayHaveRun() const {
    const auto first = std::ranges::find(attempts, false, &Attempt::provably_not_run);
    return first == attempts.end() ? nullptr : &*first;
  }
};

class CallTable {
 public:
  explicit CallTable(const Settings& settings) : settings_(settings) {}

  Call* Find(RequestId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
  }
  Call* Add(const Request& request) {
    const auto [it, fresh] = calls_.try_emplace(request.id);
    if (!fresh) return nullptr;  // Ids are never reused; a duplicate is ignored.
    it->second.request = request;
    return &it->second;
  }
  void Remove(RequestId id) { calls_.erase(id); }

  const ClassSettings& ClassOf(const Call& call) const {
    return settings_.classes[call.request.priority_level];
  }
  bool MayRefuse(const Call& call) const {
    if (call.FirstMayHaveRun() == nullptr) return true;
    const ClassSettings& c = ClassOf(call);
    return c.repeat == Repeat::kIdempotent ||
           (c.repeat == Repeat::kDeduplicated && c.group == DedupGroup::kAll);
  }
  // Whether the request may be sent now, as a first attempt or a retry.
  bool MaySend(const Call& call, Micros now) const {
    if (call.streaming || now >= call.request.due) return false;
    if (call.attempts.size() >= settings_.max_attempts) return false;
    if (!settings_.may_duplicate && call.AnyInFlight()) return false;
    const Attempt* first = call.FirstMayHaveRun();
    if (first == nullptr) return true;
    const ClassSettings& c = ClassOf(call);
    if (c.repeat == Repeat::kAtMostOnce) return false;
    return c.repeat == Repeat::kIdempotent || now <= *WriteBy(call);
  }
  // Latest time to write a retry's last byte: its connection may open late or take bytes slowly. A
  // round is deducted, as sends leave with the batch and not when they are decided.
  std::optional<Micros> WriteBy(const Call& call) const {
    const Attempt* first = call.FirstMayHaveRun();
    const ClassSettings& c = ClassOf(call);
    if (first == nullptr || c.repeat != Repeat::kDeduplicated) return std::nullopt;
    return first->sent + c.dedup_window - settings_.round;
  }
  bool MaySendTo(const Call& call, const Endpoint& endpoint, Micros now) const {
    if (endpoint.availability != Availability::kReady || !MaySend(call, now)) return false;
    const Attempt* first = call.FirstMayHaveRun();
    const ClassSettings& c = ClassOf(call);
    if (first == nullptr || c.repeat != Repeat::kDeduplicated) return true;
    if (c.group == DedupGroup::kAll) return true;
    if (c.group == DedupGroup::kZone) return endpoint.zone == first->zone && first->zone >= 0;
    return endpoint.cell == first->cell && first->cell >= 0;
  }
  std::size_t size() const { return calls_.size(); }

 private:
  const Settings& settings_;
  std::unordered_map<RequestId, Call> calls_;  // Never iterated.
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_CALL_TABLE_H_
