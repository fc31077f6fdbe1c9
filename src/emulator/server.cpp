#include "emulator/server.h"

#include <algorithm>
#include <cmath>

namespace shelflab {
namespace {

// Warm-up rises in steps, each at the value that the line has where the step begins: never faster
// than stated.
constexpr Micros kWarmStep = 20'000;
// Chance arrivals that a cold server bears on top of its budget, in jobs of the size just sent.
constexpr double kFallSlackJobs = 4;
// Below this a segment is done: rounding of work to whole microseconds leaves less than that.
constexpr double kWorkEpsilon = 1e-6;

}  // namespace

void Server::Start(Micros now, bool cold) {
  jobs_.clear();
  room_.clear();
  ready_.clear();
  running_.clear();
  in_slots_ = 0;
  choked_ = fell_ = paused_ = false;
  crowded_since_ = calm_since_ = kNever;
  sent_.clear();
  sent_sum_ = 0;
  started_ = settled_ = now;
  cold_start_ = cold && spec_.warm_up > 0 && spec_.cold_share < 1;
  next_warm_ = cold_start_ ? now + kWarmStep : kNever;
  Reprice(now);
}

double Server::WarmShare(Micros now) const {
  if (!cold_start_) return 1;
  const double part = static_cast<double>(now - started_) / static_cast<double>(spec_.warm_up);
  return std::min(1.0, spec_.cold_share + (1 - spec_.cold_share) * part);
}

double Server::Capacity(Micros now) const {
  if (paused_) return 0;
  const double choke = choked_ ? spec_.choke.slowdown : 1;
  return spec_.cores * spec_.speed * WarmShare(now) / (slow_ * choke);
}

// The rate holds until it is set again, so what was done under the old one is taken off first.
void Server::Reprice(Micros now) {
  Settle(now);
  rate_ = Capacity(now) / spec_.cores;
}

void Server::Settle(Micros now) {
  const double done = rate_ * static_cast<double>(now - settled_);
  for (Running& r : running_) r.left -= done;
  settled_ = now;
}

void Server::SetSlow(Micros now, double factor) {
  slow_ = std::max(1.0, factor);
  Reprice(now);
}

void Server::SetPaused(Micros now, bool paused) {
  paused_ = paused;
  Reprice(now);
}

bool Server::Offer(Micros now, const Job& job) {
  Settle(now);
  // What is turned away weighs as well: it reached the server.
  WatchFall(now, job.first + job.last);
  if (in_slots_ >= spec_.slots && room_.size() >= spec_.waiting_room) return false;
  jobs_.emplace(job.id, Held{job, false});
  room_.push_back(job.id);
  Fill();
  WatchCrowd(now);
  return true;
}

// Slots go to those waiting, in turn; cores to those in slots, in turn.
void Server::Fill() {
  while (!room_.empty() && in_slots_ < spec_.slots) {
    const JobId id = room_.front();
    room_.pop_front();
    ++in_slots_;
    ready_.push_back({id, jobs_.at(id).job.first});
  }
  while (!ready_.empty() && running_.size() < spec_.cores) {
    running_.push_back(ready_.front());
    ready_.pop_front();
  }
}

void Server::Run(JobId job, double work) { ready_.push_back({job, work}); }

void Server::CallDone(Micros now, JobId job, bool ok) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;  // It was lost in the meantime.
  Settle(now);
  Held& held = it->second;
  if (!ok) {
    // The rest of its work is not done; the answer is made at the next Advance.
    held.job.calls = 0;
    held.in_last = true;
    held.job.last = -1;
    Run(job, 0);
  } else {
    --held.job.calls;
    if (held.job.calls == 0) held.in_last = true;
    Run(job, held.in_last ? held.job.last : 0);
  }
  Fill();
  WatchCrowd(now);
}

Micros Server::NextCompletion() const {
  if (running_.empty() || rate_ <= 0) return kNever;
  double least = running_.front().left;
  for (const Running& r : running_) least = std::min(least, r.left);
  if (least <= kWorkEpsilon) return settled_;
  // At a rate above one what is left may be less than an instant's work, and still not nothing: it
  // takes an instant, else the clock would stand.
  return settled_ +
         std::max<Micros>(1, static_cast<Micros>(std::ceil(least / rate_ - kWorkEpsilon)));
}

Micros Server::Next() const {
  Micros next = std::min(NextCompletion(), next_warm_);
  if (fell_) return settled_;
  if (crowded_since_ != kNever) next = std::min(next, crowded_since_ + spec_.choke.enter);
  if (calm_since_ != kNever) next = std::min(next, calm_since_ + spec_.choke.leave);
  return std::max(next, settled_);
}

void Server::Advance(Micros now, std::vector<ServerEffect>& effects) {
  for (;;) {
    const Micros at = Next();
    if (at > now) break;
    if (fell_) {
      effects.push_back({ServerEffect::Kind::kFellOver, 0, at});
      Start(at, true);
      break;
    }
    Settle(at);
    if (next_warm_ <= at) {
      next_warm_ = WarmShare(at) < 1 ? at + kWarmStep : kNever;
      if (next_warm_ == kNever) sent_.clear();
      Reprice(at);
    }
    for (std::size_t i = 0; i < running_.size();) {
      if (running_[i].left > kWorkEpsilon) {
        ++i;
        continue;
      }
      const JobId job = running_[i].job;
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
      EndSegment(at, job, effects);
    }
    Fill();
    WatchCrowd(at);
  }
  if (now > settled_) Settle(now);
}

void Server::EndSegment(Micros at, JobId job, std::vector<ServerEffect>& effects) {
  const Held& held = jobs_.at(job);
  if (held.job.calls > 0) {
    effects.push_back({ServerEffect::Kind::kCall, job, at});
    return;
  }
  if (!held.in_last && held.job.last > 0) {
    jobs_.at(job).in_last = true;
    Run(job, held.job.last);
    return;
  }
  const bool failed = held.job.last < 0;
  effects.push_back({failed ? ServerEffect::Kind::kFailed : ServerEffect::Kind::kDone, job, at});
  Leave(job);
}

void Server::Leave(JobId job) {
  jobs_.erase(job);
  --in_slots_;
}

void Server::WatchCrowd(Micros now) {
  const ChokeSpec& choke = spec_.choke;
  if (choke.crowd <= 0) return;
  const auto waiting = static_cast<double>(room_.size() + ready_.size());
  if (!choked_) {
    if (waiting < choke.crowd * spec_.cores) {
      crowded_since_ = kNever;
    } else if (crowded_since_ == kNever) {
      crowded_since_ = now;
    }
    if (crowded_since_ == kNever || now < crowded_since_ + choke.enter) return;
    choked_ = true;
    crowded_since_ = kNever;
    Reprice(now);
  }
  if (static_cast<double>(running_.size()) > choke.idle_share * spec_.cores) {
    calm_since_ = kNever;
  } else if (calm_since_ == kNever) {
    calm_since_ = now;
  }
  if (calm_since_ == kNever || now < calm_since_ + choke.leave) return;
  choked_ = false;
  calm_since_ = kNever;
  Reprice(now);
}

// The work sent within any window of the stated length must stay under multiple x present capacity
// x window; the present capacity is that at the end of the window, the most it had in it.
void Server::WatchFall(Micros now, double work) {
  if (spec_.fall <= 0 || WarmShare(now) >= 1) return;
  sent_.emplace_back(now, work);
  sent_sum_ += work;
  while (sent_.front().first + spec_.fall < now) {
    sent_sum_ -= sent_.front().second;
    sent_.pop_front();
  }
  const double able = spec_.cores * spec_.speed * WarmShare(now) * static_cast<double>(spec_.fall);
  if (sent_sum_ > spec_.fall_multiple * able + kFallSlackJobs * work) fell_ = true;
}

}  // namespace shelflab
