#include "emulator/connections.h"

namespace shelflab {

void Connections::PutIdle(Micros now, ConnectionId id, Held& held) {
  held.busy = false;
  held.since = now;
  held.at = idle_.insert(idle_.end(), id);
}

void Connections::Opened(Micros now, ConnectionId id) { PutIdle(now, id, held_[id]); }

void Connections::Closed(ConnectionId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  if (!it->second.busy) idle_.erase(it->second.at);
  held_.erase(it);
}

void Connections::Clear() {
  held_.clear();
  idle_.clear();
}

Connections::Verdict Connections::OnRequest(ConnectionId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return Verdict::kTurnAway;
  Held& held = it->second;
  if (held.dead) return Verdict::kReset;
  if (held_.size() > most_) return Verdict::kTurnAway;
  if (!held.busy) idle_.erase(held.at);
  held.busy = true;
  const bool first = held.fresh;
  held.fresh = false;
  return first ? Verdict::kFirst : Verdict::kServe;
}

void Connections::OnAnswered(Micros now, ConnectionId id) {
  const auto it = held_.find(id);
  if (it != held_.end() && it->second.busy) PutIdle(now, id, it->second);
}

void Connections::KillIdle() {
  for (const ConnectionId id : idle_) held_.at(id).dead = true;
}

Micros Connections::Next() const {
  if (idle_close_ <= 0 || idle_.empty()) return kNever;
  return held_.at(idle_.front()).since + idle_close_;
}

std::vector<ConnectionId> Connections::Expire(Micros now) {
  std::vector<ConnectionId> over;
  while (Next() <= now) {
    over.push_back(idle_.front());
    Closed(over.back());
  }
  return over;
}

}  // namespace shelflab
