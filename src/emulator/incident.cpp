#include "emulator/incident.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "emulator/random.h"

namespace shelflab {
namespace {

constexpr std::array<std::pair<Trouble, const char*>, 17> kWords = {{
    {Trouble::kSlow, "slow"},
    {Trouble::kSharedSlow, "shared_slow"},
    {Trouble::kFastErrors, "fast_errors"},
    {Trouble::kResets, "resets"},
    {Trouble::kHalfAnswers, "half_answers"},
    {Trouble::kDeadIdle, "dead_idle"},
    {Trouble::kStall, "stall"},
    {Trouble::kPause, "pause"},
    {Trouble::kSilence, "silence"},
    {Trouble::kLost, "lost"},
    {Trouble::kDrain, "drain"},
    {Trouble::kRollingRestart, "rolling_restart"},
    {Trouble::kBurst, "burst"},
    {Trouble::kDiscoveryLate, "discovery_late"},
    {Trouble::kDiscoveryBusy, "discovery_busy"},
    {Trouble::kDiscoveryDown, "discovery_down"},
    {Trouble::kSidecarRestart, "sidecar_restart"},
}};

using Kind = Step::Kind;

class Compiler {
 public:
  Compiler(const FleetSpec& fleet, std::uint64_t seed) : fleet_(fleet), seed_(seed) {}

  void Add(const Incident& incident, std::uint64_t place) {
    Random random(seed_, place);
    switch (incident.trouble) {
      case Trouble::kSlow:
        return Each(incident, random, Kind::kNodeSlow, AtLeastOne(incident), 1);
      case Trouble::kSharedSlow:
        return Shared(incident);
      case Trouble::kFastErrors:
        return Each(incident, random, Kind::kNodeErrors, Share(incident), 0);
      case Trouble::kResets:
        return Each(incident, random, Kind::kNodeResets, Share(incident), 0);
      case Trouble::kHalfAnswers:
        return Each(incident, random, Kind::kNodeHalves, Share(incident), 0);
      case Trouble::kDeadIdle:
        for (const NodeId node : Chosen(incident, random)) {
          Put({incident.at, Kind::kNodeDeadIdle, node, 0, 1});
        }
        return;
      case Trouble::kStall:
        return Each(incident, random, Kind::kNodeStall, 1, 0);
      case Trouble::kPause:
        return Each(incident, random, Kind::kNodePause, 1, 0);
      case Trouble::kSilence:
        return Each(incident, random, Kind::kNodeSilence, 1, 0);
      case Trouble::kDrain:
        return Each(incident, random, Kind::kNodeDrain, 1, 0);
      case Trouble::kLost:
        for (const NodeId node : Chosen(incident, random)) {
          Put({incident.at, Kind::kNodeDie, node, 0, 0});
          if (incident.lasts > 0) {
            Put({incident.at + incident.lasts, Kind::kNodeStart, node, 0, 0});
          }
        }
        return;
      case Trouble::kRollingRestart:
        return Rolling(incident, random);
      case Trouble::kBurst:
        return Span(incident, Kind::kBurst, AtLeastOne(incident), 1);
      case Trouble::kDiscoveryLate:
        return Span(incident, Kind::kDiscoveryLate, incident.size, -1);
      case Trouble::kDiscoveryBusy:
        return Span(incident, Kind::kDiscoveryBusy, 1, 0);
      case Trouble::kDiscoveryDown:
        return Span(incident, Kind::kDiscoveryDown, 1, 0);
      case Trouble::kSidecarRestart:
        return Sidecars(incident);
    }
  }

  std::vector<Step> Sorted() {
    std::stable_sort(steps_.begin(), steps_.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    return std::move(steps_);
  }

 private:
  void Put(const Step& step) { steps_.push_back(step); }

  static double AtLeastOne(const Incident& i) {
    if (!(i.size >= 1)) {
      throw BadIncident(std::string("size: expected at least 1 for ") + WordOf(i.trouble));
    }
    return i.size;
  }
  static double Share(const Incident& i) {
    if (!(i.size > 0 && i.size <= 1)) {
      throw BadIncident(std::string("size: expected a share above 0, up to 1, for ") +
                        WordOf(i.trouble));
    }
    return i.size;
  }

  void Each(const Incident& i, Random& random, Kind kind, double on, double off) {
    for (const NodeId node : Chosen(i, random)) {
      Put({i.at, kind, node, 0, on});
      if (i.lasts > 0) Put({i.at + i.lasts, kind, node, 0, off});
    }
  }
  void Span(const Incident& i, Kind kind, double on, double off) {
    Put({i.at, kind, 0, 0, on});
    if (i.lasts > 0) Put({i.at + i.lasts, kind, 0, 0, off});
  }
  void Shared(const Incident& i) {
    for (std::uint32_t tier = 0; tier < fleet_.tiers.size(); ++tier) {
      if (i.tier && fleet_.tiers[tier].name != *i.tier) continue;
      Put({i.at, Kind::kTierSlow, 0, tier, AtLeastOne(i)});
      if (i.lasts > 0) Put({i.at + i.lasts, Kind::kTierSlow, 0, tier, 1});
    }
  }
  void Rolling(const Incident& i, Random& random) {
    Micros at = i.at;
    for (const NodeId node : Chosen(i, random)) {
      Put({at, Kind::kNodeDrain, node, 0, 1});
      Put({at + i.drain, Kind::kNodeDie, node, 0, 0});
      Put({at + i.drain + i.down, Kind::kNodeStart, node, 0, 0});
      at += i.drain + i.down;
    }
  }
  void Sidecars(const Incident& i) {
    const std::uint32_t all = fleet_.tiers.empty() ? 0 : fleet_.tiers.front().sidecars;
    const double wanted = i.share > 0 ? std::ceil(i.share * all) : all;
    Micros at = i.at;
    for (std::uint32_t n = 0; n < all && n < wanted; ++n) {
      Put({at, Kind::kSidecarTerminate, n, 0, 0});
      Put({at + i.drain + i.down, Kind::kSidecarStart, n, 0, 0});
      at += i.drain + i.down;
    }
  }

  std::vector<NodeId> Chosen(const Incident& i, Random& random) const {
    std::vector<NodeId> nodes;
    if (!i.nodes.empty()) {
      for (const std::string& name : i.nodes) nodes.push_back(Named(name));
      return nodes;
    }
    const bool all_tiers = !i.tier && i.trouble != Trouble::kRollingRestart;
    bool found = !i.tier;
    for (std::uint32_t tier = 0; tier < fleet_.tiers.size(); ++tier) {
      if (i.tier ? fleet_.tiers[tier].name != *i.tier : !all_tiers && tier > 0) continue;
      found = true;
      const NodeId first = FirstNode(fleet_, tier);
      for (NodeId n = 0; n < fleet_.tiers[tier].nodes; ++n) nodes.push_back(first + n);
    }
    if (!found) throw BadIncident("tier: the fleet has none named '" + *i.tier + "'");
    // A share picks at random; the whole keeps its order.
    const double share = i.share > 0 ? i.share : 1;
    if (share > 1) throw BadIncident("share: expected above 0, up to 1");
    if (share < 1) {
      for (std::size_t n = nodes.size(); n > 1; --n)
        std::swap(nodes[n - 1], nodes[random.Below(n)]);
      const double count = std::round(share * static_cast<double>(nodes.size()));
      nodes.resize(std::max<std::size_t>(1, static_cast<std::size_t>(count)));
    }
    return nodes;
  }
  NodeId Named(const std::string& name) const {
    for (NodeId n = 0; n < NodeCount(fleet_); ++n) {
      if (NodeName(fleet_, n) == name) return n;
    }
    throw BadIncident("nodes: the fleet has none named '" + name + "'");
  }

  const FleetSpec& fleet_;
  std::uint64_t seed_;
  std::vector<Step> steps_;
};

}  // namespace

const char* WordOf(Trouble trouble) {
  for (const auto& [t, word] : kWords) {
    if (t == trouble) return word;
  }
  return "?";
}

std::optional<Trouble> TroubleOf(const std::string& word) {
  for (const auto& [t, w] : kWords) {
    if (word == w) return t;
  }
  return std::nullopt;
}

std::vector<std::string> TroubleWords() {
  std::vector<std::string> words;
  words.reserve(kWords.size());
  for (const auto& [t, word] : kWords) words.emplace_back(word);
  return words;
}

NodeId FirstNode(const FleetSpec& fleet, std::uint32_t tier) {
  NodeId first = 0;
  for (std::uint32_t t = 0; t < tier; ++t) first += fleet.tiers[t].nodes;
  return first;
}

std::uint32_t NodeCount(const FleetSpec& fleet) {
  return FirstNode(fleet, static_cast<std::uint32_t>(fleet.tiers.size()));
}

std::uint32_t TierOf(const FleetSpec& fleet, NodeId node) {
  std::uint32_t tier = 0;
  while (node >= fleet.tiers[tier].nodes) node -= fleet.tiers[tier++].nodes;
  return tier;
}

std::string NodeName(const FleetSpec& fleet, NodeId node) {
  const std::uint32_t tier = TierOf(fleet, node);
  return fleet.tiers[tier].name + "-" + std::to_string(node - FirstNode(fleet, tier));
}

std::vector<Step> Compile(const std::vector<Incident>& script, const FleetSpec& fleet,
                          std::uint64_t seed) {
  Compiler compiler(fleet, seed);
  for (std::size_t i = 0; i < script.size(); ++i) {
    try {
      compiler.Add(script[i], i + 1);
    } catch (const BadIncident& e) {
      throw BadIncident("incident " + std::to_string(i + 1) + ": " + e.what());
    }
  }
  return compiler.Sorted();
}

}  // namespace shelflab
