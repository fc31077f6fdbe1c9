// Carries out what a script says, on the nodes, the network, discovery, sidecars and clients.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "emulator/incident.h"
#include "seeds/world.h"

namespace seeds {

using shelflab::Health;
using shelflab::kSecond;
using shelflab::NodeState;
using shelflab::Step;

constexpr Micros kOneMoreChange = 50'000;

void World::Schedule() {
  for (const Fault& f : script_.faults) {
    last_fault_ = std::max(last_fault_, f.at + f.lasts);
    net_.At(When(f.at), [this, f] { Start(f); });
  }
}

std::uint32_t World::SideHost(const Fault& fault) const { return sides_[fault.other]->host; }

// The network between a sidecar and a node, or to a node from everywhere.
void World::Weathered(const Fault& f, bool on) {
  const std::uint32_t node = nodes_[f.target]->host;
  for (const auto& side : sides_) {
    const bool meant = f.kind == Kind::kNarrow || f.kind == Kind::kDrainInConnect
                           ? side->tier == fleet_.tier(f.target)
                           : true;
    if (!meant || side->host == node) continue;
    net::Weather w = net_.weather();
    if (on && f.kind == Kind::kRefuse) w.refuse = f.size;
    if (on && f.kind == Kind::kIgnore) w.ignore = f.size;
    if (on && f.kind == Kind::kNarrow) w.window = static_cast<std::size_t>(f.size) + 1;
    if (on && f.kind == Kind::kDrainInConnect) {
      w.latency_low = std::chrono::milliseconds(5);
      w.latency_high = std::chrono::milliseconds(12);
    }
    net_.SetWeather(side->host, node, w);
  }
}

void World::ApplyTo(NodeId id, Step::Kind kind, double size) {
  fleet_.Apply(Now(), {Now(), kind, id, fleet_.tier(id), size});
  Settle();
}

void World::DrainNode(NodeId id, bool on, bool at_once) {
  Node& node = *nodes_[id];
  node.drains += on ? 1 : (node.drains > 0 ? -1 : 0);
  const auto view = fleet_.View(id);
  if (view.state == NodeState::kDown) return;
  const bool draining = node.drains > 0;
  if (draining == (view.state == NodeState::kDraining)) return;
  Say([&] { return fmt::format("{} {}", NodeName(spec_, id), draining ? "drains" : "serves"); });
  fleet_.Apply(Now(), {Now(), Step::Kind::kNodeDrain, id, 0, draining ? 1.0 : 0.0});
  Fact(id, draining ? Health::kDraining : Health::kServing, view.started, at_once);
  Settle();
}

void World::Start(const Fault& f) {
  Say([&] {
    return fmt::format("fault: {} target {} other {} size {:.3g} for {} ms", WordOf(f.kind),
                       f.target, f.other, f.size, f.lasts / 1000);
  });
  const auto step = [&](Step::Kind kind, double size) { ApplyTo(f.target, kind, size); };
  const std::uint32_t node_host = nodes_[f.target]->host;
  Side& side = *sides_[f.other];
  // Inside one machine nothing is cut or forgotten.
  if (side.host == node_host && (f.kind == Kind::kForget || f.kind == Kind::kBreak)) return;
  switch (f.kind) {
    case Kind::kSlow:
      step(Step::Kind::kNodeSlow, f.size);
      break;
    case Kind::kErrors:
      step(Step::Kind::kNodeErrors, f.size);
      break;
    case Kind::kResets:
      step(Step::Kind::kNodeResets, f.size);
      break;
    case Kind::kHalves:
      step(Step::Kind::kNodeHalves, f.size);
      break;
    case Kind::kStall:
      step(Step::Kind::kNodeStall, 1);
      break;
    case Kind::kPause:
      step(Step::Kind::kNodePause, 1);
      nodes_[f.target]->process->SetPaused(true);
      ExcuseCallsOf(*nodes_[f.target]->process);
      break;
    case Kind::kSilence:
      net_.SetCutOff(node_host, true);
      break;
    case Kind::kLost:
    case Kind::kReborn:
      if (fleet_.View(f.target).state == NodeState::kDown) return;
      if (f.kind == Kind::kReborn) Count(Moment::kReborn);
      step(Step::Kind::kNodeDie, 1);
      break;
    case Kind::kDrain:
      DrainNode(f.target, true, false);
      break;
    case Kind::kForget:
      net_.ForgetIdle(side.host, node_host);
      return;
    case Kind::kCut:
      net_.SetCut(side.host, node_host, true);
      break;
    case Kind::kBreak:
      net_.ResetBetween(side.host, node_host);
      return;
    case Kind::kRefuse:
    case Kind::kIgnore:
    case Kind::kNarrow:
      Weathered(f, true);
      break;
    case Kind::kRough:
    case Kind::kLate: {
      // Between sidecars and nodes: what befalls a client's own connection is its own affair.
      net::Weather w = net_.weather();
      (f.kind == Kind::kRough ? w.reset : w.late) = f.size;
      for (const auto& s : sides_) {
        for (const auto& n : nodes_) {
          if (s->host != n->host) net_.SetWeather(s->host, n->host, w);
        }
      }
      break;
    }
    case Kind::kDiscoveryLate:
      catalog_.SetLateness(static_cast<Micros>(f.size * 1e6));
      break;
    case Kind::kDiscoveryBusy:
      catalog_.SetBusy(true);
      break;
    case Kind::kDiscoveryDown:
      catalog_.SetDown(true);
      StopDiscovery();
      break;
    case Kind::kDiscoveryOld: {
      // Something changes before it goes, so that what it knows on its return is older.
      const auto view = fleet_.View(f.target);
      if (view.state == NodeState::kServing) Fact(f.target, Health::kServing, view.started, true);
      After(kOneMoreChange, [this] {
        catalog_.SetDown(true);
        StopDiscovery();
      });
      break;
    }
    case Kind::kDiscoveryGarbled:
      garbled_ = true;
      break;
    case Kind::kDiscoveryCut:
      net_.SetCut(side.host, kDiscoveryHost, true);
      break;
    case Kind::kTerminate:
      if (side.tier == 0) Terminate(side.place, f.lasts);
      return;
    case Kind::kCrash:
      if (side.tier == 0) EndSidecar(side.place, true, f.lasts);
      return;
    case Kind::kReload:
      if (!side.sidecar) return;
      if (!side.asking.empty()) Count(Moment::kReloadInWatch);
      side.other_door = !side.other_door;
      side.sidecar->Reload(kelpspring::ParseConfig(ConfigOf(side)));
      return;
    case Kind::kDescriptors:
      if (!side.process) return;
      side.process->SetDescriptors(static_cast<std::size_t>(
          std::max(4.0, static_cast<double>(side.process->descriptors()) + f.size)));
      break;
    case Kind::kWallStep:
      if (side.process) side.process->StepWall(static_cast<std::int64_t>(f.size * 1e6));
      return;
    case Kind::kBurst:
      knob_.burst = f.size;
      break;
    case Kind::kCancel:
      knob_.cancel = f.size;
      break;
    case Kind::kSlowReaders:
      knob_.slow = f.size;
      break;
    case Kind::kMalformed:
    case Kind::kIdlers:
    case Kind::kPipelined: {
      const int sort = f.kind == Kind::kMalformed ? 1 : f.kind == Kind::kIdlers ? 0 : 2;
      const auto gap = static_cast<Micros>(static_cast<double>(kSecond) / std::max(0.1, f.size));
      for (Micros at = 0; at < f.lasts; at += gap) After(at, [this, sort] { NewStray(sort); });
      return;
    }
    case Kind::kCancelWithReply:
      knob_.cancel_with_reply = f.size;
      break;
    case Kind::kUpdateInRetry:
      knob_.update_in_retry = f.size;
      break;
    case Kind::kDrainInConnect:
      drain_on_accept_ = f.target;
      drain_lasts_ = f.lasts;
      Weathered(f, true);
      // Its connections are closed, so that one comes up.
      for (const auto& s : sides_) net_.ResetBetween(s->host, node_host);
      break;
    case Kind::kTerminateInAnswer: {
      if (side.tier != 0) return;
      terminate_in_answer_ = side.place;
      net::Weather w = net_.weather();
      w.cut = 1;
      net_.SetWeather(client_->host(), side.host, w);
      break;
    }
  }
  After(f.lasts, [this, f] { Stop(f); });
}

void World::Stop(const Fault& f) {
  Say([&] { return fmt::format("end of: {} target {}", WordOf(f.kind), f.target); });
  const auto step = [&](Step::Kind kind, double size) { ApplyTo(f.target, kind, size); };
  const std::uint32_t node_host = nodes_[f.target]->host;
  Side& side = *sides_[f.other];
  switch (f.kind) {
    case Kind::kSlow:
      return step(Step::Kind::kNodeSlow, 1);
    case Kind::kErrors:
      return step(Step::Kind::kNodeErrors, 0);
    case Kind::kResets:
      return step(Step::Kind::kNodeResets, 0);
    case Kind::kHalves:
      return step(Step::Kind::kNodeHalves, 0);
    case Kind::kStall:
      return step(Step::Kind::kNodeStall, 0);
    case Kind::kPause:
      if (nodes_[f.target]->process) nodes_[f.target]->process->SetPaused(false);
      return step(Step::Kind::kNodePause, 0);
    case Kind::kSilence:
      return net_.SetCutOff(node_host, false);
    case Kind::kLost:
    case Kind::kReborn:
      return step(Step::Kind::kNodeStart, 1);
    case Kind::kDrain:
      return DrainNode(f.target, false, false);
    case Kind::kCut:
      return net_.SetCut(side.host, node_host, false);
    case Kind::kDrainInConnect:
      if (drain_on_accept_ == f.target) drain_on_accept_.reset();
      [[fallthrough]];
    case Kind::kRefuse:
    case Kind::kIgnore:
    case Kind::kNarrow:
      return Weathered(f, false);
    case Kind::kRough:
    case Kind::kLate:
      return net_.ClearWeather();
    case Kind::kDiscoveryLate:
      return catalog_.SetLateness(-1);
    case Kind::kDiscoveryBusy:
      return catalog_.SetBusy(false);
    case Kind::kDiscoveryOld:
      old_until_ = Now() + static_cast<Micros>(f.size * 1e6);
      [[fallthrough]];
    case Kind::kDiscoveryDown:
      if (discovery_->alive()) return;
      catalog_.SetDown(false);
      return StartDiscovery();
    case Kind::kDiscoveryGarbled:
      garbled_ = false;
      return;
    case Kind::kDiscoveryCut:
      return net_.SetCut(side.host, kDiscoveryHost, false);
    case Kind::kDescriptors:
      if (!side.process) return;
      if (side.process->refused_descriptors() > 0) Count(Moment::kRefusedByDescriptors);
      side.process->SetDescriptors(4096);
      return;
    case Kind::kBurst:
      knob_.burst = 1;
      return;
    case Kind::kCancel:
      knob_.cancel = 0;
      return;
    case Kind::kSlowReaders:
      knob_.slow = 0;
      return;
    case Kind::kCancelWithReply:
      knob_.cancel_with_reply = 0;
      return;
    case Kind::kUpdateInRetry:
      knob_.update_in_retry = 0;
      return;
    case Kind::kTerminateInAnswer:
      terminate_in_answer_.reset();
      return net_.SetWeather(client_->host(), side.host, net_.weather());
    default:
      return;  // Over with its start.
  }
}

}  // namespace seeds
