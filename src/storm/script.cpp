#include "storm/script.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include "draws.h"

namespace storm {
namespace {

constexpr std::array<const char*, 18> kDeeds = {
    "kill",       "terminate",  "stop",       "silence",    "deaf",       "mute",
    "delay",      "reset",      "lose",       "repeat",     "reorder",    "split",
    "store_kill", "store_stop", "store_late", "store_lose", "store_drop", "store_compact"};
constexpr std::array<const char*, 5> kAsks = {"drain", "restart", "pause", "resume", "off"};
constexpr std::size_t kDrawnDeeds = 8;  // Of any process; the others are drawn for messages.
constexpr std::array<const char*, 5> kEnds = {"nodes", "discovery", "peers", "store", "doors"};
constexpr std::array<const char*, 3> kMemories = {"last", "first", "none"};
constexpr std::array<const char*, 5> kFolders = {"kept", "empty", "torn", "foreign", "garbage"};

class Dice {
 public:
  explicit Dice(std::uint64_t seed) : draws_(seed) {}
  double Unit() { return draws_.Unit(); }
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  std::size_t Below(std::size_t n) {
    return std::min(n - 1, static_cast<std::size_t>(Unit() * static_cast<double>(n)));
  }

 private:
  gaugecart::Draws draws_;
};

std::vector<std::uint32_t> Chosen(std::uint32_t processes, double share, Dice& dice) {
  std::vector<std::uint32_t> all(processes);
  std::iota(all.begin(), all.end(), 0U);
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[dice.Below(i)]);
  const double part = std::round(share * static_cast<double>(processes));
  all.resize(std::clamp<std::size_t>(static_cast<std::size_t>(part), 1, all.size()));
  std::sort(all.begin(), all.end());
  return all;
}

// How long each deed lasts, in seconds.
struct Range {
  double shortest;
  double longest;
};
Range RangeOf(Deed deed) {
  switch (deed) {
    case Deed::kKill:
    case Deed::kTerminate:
      return {0.1, 2};
    case Deed::kStop:
      return {0.2, 4};
    case Deed::kReset:
      return {0, 0};
    default:
      return {0.5, 5};
  }
}

// Endpoints have one address for all where lists go from one process to another: their links stay.
void DrawMessages(Storm& storm, double latest, Dice& dice) {
  storm.peers = 4;
  for (Event& e : storm.events) {
    if (OnLinks(e.deed) && e.to == End::kNodes) e.to = End::kDiscovery;
  }
  constexpr std::array kOnMessages = {Deed::kSilence, Deed::kDeaf,   Deed::kMute,    Deed::kDelay,
                                      Deed::kLose,    Deed::kRepeat, Deed::kReorder, Deed::kSplit};
  for (std::size_t i = 0, count = 1 + dice.Below(3); i < count; ++i) {
    Event e;
    e.deed = kOnMessages.at(dice.Below(kOnMessages.size()));
    e.to = End::kPeers;
    e.at = static_cast<Micros>(dice.Between(0, latest));
    e.lasts = static_cast<Micros>(dice.Between(0.5, 5) * kSecond);
    e.share = dice.Between(0.2, 1);
    const bool late = e.deed == Deed::kDelay || e.deed == Deed::kReorder;
    e.size = late ? std::round(dice.Between(5, 300)) : dice.Between(0.1, 0.8);
    storm.events.push_back(e);
  }
}

// To owners, the store and the links between: what may go wrong with work that one does for all.
void DrawCoordination(Storm& storm, double latest, Micros length, Dice& dice) {
  storm.coordination = true;
  Order order;
  order.at = kSecond;
  order.ask = dice.Unit() < 0.5 ? Order::Ask::kDrain : Order::Ask::kRestart;
  order.at_once = 1 + static_cast<std::uint32_t>(dice.Below(3));
  storm.orders.push_back(order);
  constexpr std::array kToStore = {Deed::kStoreKill, Deed::kStoreStop, Deed::kStoreLate,
                                   Deed::kStoreLose, Deed::kStoreDrop, Deed::kStoreCompact};
  constexpr std::array kToOwner = {Deed::kKill, Deed::kTerminate, Deed::kStop,  Deed::kSilence,
                                   Deed::kDeaf, Deed::kMute,      Deed::kDelay, Deed::kReset};
  for (std::size_t i = 0, count = 3 + dice.Below(5); i < count; ++i) {
    Event e;
    const bool store = dice.Unit() < 0.4;
    e.deed =
        store ? kToStore.at(dice.Below(kToStore.size())) : kToOwner.at(dice.Below(kToOwner.size()));
    e.at = static_cast<Micros>(dice.Between(static_cast<double>(kSecond), latest));
    e.lasts = static_cast<Micros>(dice.Between(0.3, 3 * static_cast<double>(storm.ttl) / kSecond) *
                                  kSecond);
    e.owner = !store && dice.Unit() < 0.6;
    e.share = dice.Between(0.1, 0.5);
    e.to = dice.Unit() < 0.6 ? End::kStore : End::kDoors;
    e.size =
        e.deed == Deed::kStoreLose ? dice.Between(0.1, 0.7) : std::round(dice.Between(50, 2000));
    const bool once =
        e.deed == Deed::kReset || e.deed == Deed::kStoreDrop || e.deed == Deed::kStoreCompact;
    if (once) e.lasts = 0;
    e.lasts = std::min(e.lasts, length - kSecond - e.at);  // Over before the play is.
    // Requests of a process that is killed are judged like any others.
    if (e.deed == Deed::kKill || e.deed == Deed::kTerminate) e.lasts = std::min(e.lasts, kSecond);
    storm.events.push_back(e);
  }
}

}  // namespace

const char* WordOf(Deed deed) { return kDeeds[static_cast<std::size_t>(deed)]; }
const char* WordOf(Order::Ask ask) { return kAsks[static_cast<std::size_t>(ask)]; }
bool OnLinks(Deed deed) { return deed >= Deed::kSilence && !OnStore(deed); }
bool OnMessages(Deed deed) { return deed >= Deed::kLose && !OnStore(deed); }
bool OnStore(Deed deed) { return deed >= Deed::kStoreKill; }
const char* WordOf(End end) { return kEnds[static_cast<std::size_t>(end)]; }
const char* WordOf(Memory memory) { return kMemories[static_cast<std::size_t>(memory)]; }
const char* WordOf(Folder folder) { return kFolders[static_cast<std::size_t>(folder)]; }

std::vector<Deal> Compile(const Storm& storm, std::uint32_t processes, std::uint64_t seed) {
  std::vector<Deal> deals;
  Dice dice(seed ^ 0x73746f726d);
  for (const Event& event : storm.events) {
    if (event.owner || OnStore(event.deed)) {
      deals.push_back({event.at, 0, event});
      continue;
    }
    for (const std::uint32_t process : Chosen(processes, event.share, dice)) {
      deals.push_back({event.at, process, event});
    }
  }
  std::stable_sort(deals.begin(), deals.end(),
                   [](const Deal& a, const Deal& b) { return a.at < b.at; });
  return deals;
}

Micros EndOf(const Storm& storm) {
  Micros end = 0;
  for (const Event& event : storm.events) end = std::max(end, event.at + event.lasts);
  for (const Order& order : storm.orders) end = std::max(end, order.at);
  return end;
}

Storm Draw(std::uint64_t seed, const Drawing& drawing) {
  Dice dice(seed);
  Storm storm;
  storm.present = true;
  storm.state = dice.Unit() < 0.5;
  storm.notice = static_cast<Micros>(dice.Between(0.2, 1.5) * kSecond);
  const std::size_t count = drawing.fewest + dice.Below(drawing.most - drawing.fewest + 1);
  const auto latest = static_cast<double>(drawing.length) * 0.6;
  Micros near = kSecond;
  for (std::size_t i = 0; i < count; ++i) {
    Event e;
    e.deed = static_cast<Deed>(dice.Below(kDrawnDeeds));
    // Two in three come within a second of another.
    near = dice.Unit() < 2.0 / 3 && i > 0 ? near + static_cast<Micros>(dice.Between(0, 1) * kSecond)
                                          : static_cast<Micros>(dice.Between(kSecond, latest));
    e.at = std::min(near, static_cast<Micros>(latest));
    const Range range = RangeOf(e.deed);
    e.lasts = static_cast<Micros>(dice.Between(range.shortest, range.longest) * kSecond);
    e.share = dice.Between(0.1, e.deed == Deed::kStop ? 0.5 : 1);
    e.size = e.deed == Deed::kDelay ? std::round(dice.Between(5, 300)) : 0;
    e.to = static_cast<End>(dice.Below(2));
    e.memory = static_cast<Memory>(dice.Below(kMemories.size()));
    e.folder = static_cast<Folder>(dice.Below(kFolders.size()));
    storm.events.push_back(e);
  }
  if (drawing.peers) DrawMessages(storm, latest, dice);
  if (drawing.coordination) DrawCoordination(storm, latest, drawing.length, dice);
  std::stable_sort(storm.events.begin(), storm.events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return storm;
}

}  // namespace storm
