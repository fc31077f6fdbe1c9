#include "emulator/fleet.h"

#include <algorithm>
#include <cmath>

namespace shelflab {
namespace {

using Kind = FleetEffect::Kind;
using Answer = FleetEffect::Answer;

constexpr Micros kQuickErrorLeast = 1000;  // What a request costs that fails fast.
constexpr Micros kQuickErrorMost = 5000;

// The kinds' shares are dealt out in blocks, so that each tier has its mix to within one node.
std::vector<std::uint32_t> DealKinds(const TierSpec& tier) {
  std::vector<std::uint32_t> kinds;
  double sum = 0;
  for (const KindSpec& k : tier.kinds) sum += k.share;
  double reached = 0;
  for (std::uint32_t k = 0; k < tier.kinds.size(); ++k) {
    reached += tier.kinds[k].share / sum * tier.nodes;
    while (kinds.size() < tier.nodes && static_cast<double>(kinds.size()) + 0.5 <= reached) {
      kinds.push_back(k);
    }
  }
  while (kinds.size() < tier.nodes) {
    kinds.push_back(static_cast<std::uint32_t>(tier.kinds.size()) - 1);
  }
  return kinds;
}

}  // namespace

Fleet::Fleet(const FleetSpec& spec, std::uint64_t seed)
    : spec_(spec), random_(seed, 0), tier_slow_(spec.tiers.size(), 1) {
  Random build(seed, 1);
  for (std::uint32_t t = 0; t < spec_.tiers.size(); ++t) {
    const TierSpec& tier = spec_.tiers[t];
    const std::vector<std::uint32_t> kinds =
        tier.kinds.empty() ? std::vector<std::uint32_t>() : DealKinds(tier);
    for (std::uint32_t n = 0; n < tier.nodes; ++n) {
      ServerSpec server = tier.server;
      std::string kind = tier.name;
      if (!tier.kinds.empty()) {
        const KindSpec& k = tier.kinds[kinds[n]];
        server.speed = build.Between(k.speed_low, k.speed_high);
        kind = k.name;
      }
      if (n < tier.speeds.size()) server.speed = tier.speeds[n];
      Node& node = nodes_.emplace_back(server, t);
      node.kind = kind;
      node.speed = server.speed;
      node.server.Start(0, false);
    }
  }
}

double Fleet::Draw(std::uint32_t cls) {
  const WorkSpec& work = spec_.classes[cls].work;
  switch (work.shape) {
    case Shape::kUniform:
      return random_.Between(work.low, work.high);
    case Shape::kExponential:
      return random_.Exponential(work.Mean());
    case Shape::kFixed:
      break;
  }
  return work.Mean();
}

void Fleet::Put(Kind kind, const Attempt& attempt, Micros at, Answer answer) {
  effects_.push_back({kind, answer, attempt.id, attempt.node, attempt.cls, attempt.due, at});
}

void Fleet::OnAttempt(Micros now, const Attempt& attempt) {
  Node& node = nodes_[attempt.node];
  if (node.state == NodeState::kDown) return;  // Its connections are gone: nothing comes of it.
  ++node.came;
  Work(now, attempt.node);
  const TierSpec& tier = spec_.tiers[node.tier];
  // Drawn whether needed or not: a trouble that is switched on leaves the other draws as they were.
  const double drawn = Draw(attempt.cls) * tier.work_share;
  const std::uint32_t calls = random_.Around(tier.calls);
  const double luck = random_.Unit();
  const double haste = random_.Unit();
  const bool halted = node.stalled || node.paused || node.silent;
  if (!halted && (node.state == NodeState::kDraining || attempt.due <= now)) {
    ++node.turned_away;
    return Put(Kind::kAnswer, attempt, now, Answer::kTurnedAway);
  }
  if (!halted && luck < node.errors) {
    const auto span =
        kQuickErrorLeast + static_cast<Micros>(haste * (kQuickErrorMost - kQuickErrorLeast));
    quick_.emplace(now + span, attempt.id);
    quick_attempts_.emplace(attempt.id, attempt);
    return;
  }
  Job job{attempt.id, drawn, 0, calls};
  if (calls > 0) {
    job.first = drawn * tier.before_calls;
    job.last = drawn - job.first;
  }
  if (attempt.fresh) job.first += static_cast<double>(tier.server.handshake_work);
  if (!node.server.Offer(now, job)) {
    ++node.turned_away;
    return Put(Kind::kAnswer, attempt, now, Answer::kTurnedAway);
  }
  node.work_done += drawn;
  node.attempts.emplace(attempt.id, attempt);
  Schedule(attempt.node);
}

void Fleet::CallDone(Micros now, std::uint64_t attempt, bool ok) {
  const auto it = where_.find(attempt);
  if (it == where_.end()) return;  // Its node died while the call was out.
  const NodeId node = it->second;
  where_.erase(it);
  Work(now, node);
  nodes_[node].server.CallDone(now, attempt, ok);
  Schedule(node);
}

void Fleet::Work(Micros now, NodeId id) {
  Node& node = nodes_[id];
  scratch_.clear();
  node.server.Advance(now, scratch_);
  for (const ServerEffect& e : scratch_) {
    if (e.kind == ServerEffect::Kind::kFellOver) {
      effects_.push_back({Kind::kFellOver, Answer::kOk, 0, id, 0, kNever, e.at});
      Die(e.at, id);
      return;
    }
    const auto it = node.attempts.find(e.job);
    if (it == node.attempts.end()) continue;
    const Attempt attempt = it->second;
    if (e.kind == ServerEffect::Kind::kCall) {
      where_[attempt.id] = id;
      Put(Kind::kCall, attempt, e.at);
      continue;
    }
    node.attempts.erase(it);
    Answer answer = e.kind == ServerEffect::Kind::kFailed ? Answer::kError : Answer::kOk;
    const double luck = random_.Unit();
    if (luck < node.resets) {
      answer = Answer::kReset;
    } else if (luck < node.resets + node.halves) {
      answer = Answer::kHalf;
    }
    ++(answer == Answer::kOk ? node.served : node.failed);
    Put(Kind::kAnswer, attempt, e.at, answer);
  }
  Schedule(id);
}

void Fleet::Schedule(NodeId id) {
  Node& node = nodes_[id];
  const Micros next = node.state == NodeState::kDown ? kNever : node.server.Next();
  if (next == node.next) return;
  if (node.next != kNever) agenda_.erase({node.next, id});
  node.next = next;
  if (next != kNever) agenda_.emplace(next, id);
}

Micros Fleet::Next() const {
  const Micros work = agenda_.empty() ? kNever : agenda_.begin()->first;
  const Micros quick = quick_.empty() ? kNever : quick_.begin()->first;
  return std::min(work, quick);
}

void Fleet::Advance(Micros now) {
  for (;;) {
    const Micros next = Next();
    if (next > now) return;
    if (!quick_.empty() && quick_.begin()->first == next) {
      const std::uint64_t id = quick_.begin()->second;
      quick_.erase(quick_.begin());
      const auto it = quick_attempts_.find(id);
      ++nodes_[it->second.node].failed;
      if (nodes_[it->second.node].state != NodeState::kDown) {
        Put(Kind::kAnswer, it->second, next, Answer::kError);
      }
      quick_attempts_.erase(it);
      continue;
    }
    Work(next, agenda_.begin()->second);
  }
}

void Fleet::Die(Micros now, NodeId id) {
  Node& node = nodes_[id];
  if (node.state == NodeState::kDown) return;
  node.state = NodeState::kDown;
  node.stalled = node.paused = false;
  for (const auto& [job, attempt] : node.attempts) where_.erase(attempt.id);
  node.failed += node.attempts.size();
  node.attempts.clear();
  node.server.Start(now, true);
  Schedule(id);
  effects_.push_back({Kind::kDied, Answer::kOk, 0, id, 0, kNever, now});
}

void Fleet::Slow(Micros now, NodeId id) {
  Work(now, id);
  Node& node = nodes_[id];
  node.server.SetSlow(now, node.slow * tier_slow_[node.tier]);
  Schedule(id);
}

void Fleet::Quiet(Micros now, NodeId id) {
  Work(now, id);
  Node& node = nodes_[id];
  // A silent machine works on: only the network does not bring what it says.
  node.server.SetPaused(now, node.stalled || node.paused);
  Schedule(id);
}

void Fleet::Apply(Micros now, const Step& step) {
  using Do = Step::Kind;
  if (step.kind == Do::kTierSlow) {
    tier_slow_[step.tier] = step.size;
    for (NodeId n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n].tier == step.tier) Slow(now, n);
    }
    return;
  }
  if (step.node >= nodes_.size()) return;
  Node& node = nodes_[step.node];
  switch (step.kind) {
    case Do::kNodeSlow:
      node.slow = step.size;
      return Slow(now, step.node);
    case Do::kNodeErrors:
      node.errors = step.size;
      return;
    case Do::kNodeResets:
      node.resets = step.size;
      return;
    case Do::kNodeHalves:
      node.halves = step.size;
      return;
    case Do::kNodeStall:
      node.stalled = step.size > 0;
      return Quiet(now, step.node);
    case Do::kNodePause:
      node.paused = step.size > 0;
      return Quiet(now, step.node);
    case Do::kNodeSilence:
      node.silent = step.size > 0;
      return;
    case Do::kNodeDrain:
      Work(now, step.node);
      if (node.state != NodeState::kDown) {
        node.state = step.size > 0 ? NodeState::kDraining : NodeState::kServing;
      }
      return;
    case Do::kNodeDie:
      Work(now, step.node);
      return Die(now, step.node);
    case Do::kNodeStart:
      if (node.state != NodeState::kDown) return;
      node.state = NodeState::kServing;
      node.started = now;
      node.server.Start(now, true);
      node.server.SetSlow(now, node.slow * tier_slow_[node.tier]);
      Schedule(step.node);
      effects_.push_back({Kind::kStarted, Answer::kOk, 0, step.node, 0, kNever, now});
      return;
    default:
      return;
  }
}

std::vector<FleetEffect> Fleet::TakeEffects() { return std::exchange(effects_, {}); }

NodeView Fleet::View(NodeId id) const {
  const Node& n = nodes_[id];
  NodeView view;
  view.state = n.state;
  view.stalled = n.stalled;
  view.paused = n.paused;
  view.silent = n.silent;
  view.choked = n.server.choked();
  view.slow = n.slow * tier_slow_[n.tier];
  view.started = n.started;
  view.came = n.came;
  view.served = n.served;
  view.turned_away = n.turned_away;
  view.failed = n.failed;
  view.work_done = n.work_done;
  view.held = n.server.held();
  return view;
}

}  // namespace shelflab
