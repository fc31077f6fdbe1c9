#include "seeds/size.h"

#include <algorithm>
#include <array>
#include <numeric>

#include "emulator/random.h"

namespace seeds {

using shelflab::kSecond;
using shelflab::Random;

namespace {

constexpr std::array<const char*, 5> kShapes = {"release", "zone", "join", "herd", "forget"};

constexpr Micros kBegin = 4 * kSecond;     // By then every sidecar knows its calm.
constexpr Micros kRestart = kSecond / 2;   // From a process's end to its next start.
constexpr Micros kJoinSpan = 7 * kSecond;  // Within which most nodes are replaced.
constexpr Micros kOutage = 5 * kSecond;    // Of the lost half.
constexpr double kJoined = 0.6;
constexpr double kBad = 0.1;
constexpr double kKilled = 0.7;
constexpr Micros kBusyListCost = 25'000;
// Work that takes some 90 ms on one core, so that a node serves tens of requests a second and a
// sidecar of a hundred meets it every few seconds.
constexpr double kWork = 8;
constexpr double kPerNode = 2.0 / (0.011 * kWork);  // Requests a second that a warm node can do.

class Writer {
 public:
  Writer(Script& script, Random& random) : script_(script), random_(random) {}

  void Add(Kind kind, Micros at, Micros lasts, std::uint32_t target, double size) {
    Fault f;
    f.kind = kind;
    f.at = at;
    f.lasts = lasts;
    f.target = target;
    f.size = size;
    script_.faults.push_back(f);
  }

  void Herd() {
    std::vector<std::uint32_t> order(script_.scene.sidecars);
    Shuffle(order);
    order.resize(static_cast<std::size_t>(kKilled * static_cast<double>(order.size())));
    for (const std::uint32_t place : order) {
      Add(Kind::kCrash, kBegin, kRestart, 0, 0);
      script_.faults.back().other = place;
    }
  }

  std::uint32_t all() const { return script_.scene.nodes[0] + script_.scene.nodes[1]; }

  // All nodes, in an order of this seed.
  std::vector<std::uint32_t> Shuffled() {
    std::vector<std::uint32_t> order(all());
    Shuffle(order);
    return order;
  }

  void Release() {
    const auto order = Shuffled();
    const Micros step = 8 * kSecond / static_cast<Micros>(order.size());
    Micros at = kBegin;
    for (const std::uint32_t node : order) Add(Kind::kLost, at += step, kRestart, node, 1);
    Add(Kind::kDiscoveryLate, kBegin - kSecond, 4 * kSecond, 0, 1.5);
    Add(Kind::kDiscoveryBusy, kBegin + kSecond, 2 * kSecond, 0, 1);
    Add(Kind::kDiscoveryOld, kBegin + 4 * kSecond, 3 * kSecond, 0, 0.5);
  }

  void Zone() {
    for (std::uint32_t node = 0; node < all(); node += 2)
      Add(Kind::kLost, kBegin, kOutage, node, 1);
    Bad(kBegin + kOutage);
  }

  void Join() {
    const auto order = Shuffled();
    const auto count = static_cast<std::size_t>(kJoined * static_cast<double>(order.size()));
    for (std::size_t i = 0; i < count; ++i) {
      const auto at = random_.Between(0, static_cast<double>(kJoinSpan));
      Add(Kind::kLost, kBegin + static_cast<Micros>(at), kRestart, order[i], 1);
    }
    Bad(kBegin + kSecond);
  }

 private:
  void Shuffle(std::vector<std::uint32_t>& order) {
    std::iota(order.begin(), order.end(), 0U);
    for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[random_.Below(i)]);
  }

  void Bad(Micros at) {
    const auto order = Shuffled();
    const auto count = static_cast<std::size_t>(kBad * static_cast<double>(order.size()));
    for (std::size_t i = 0; i < count; ++i) {
      const bool slow = i % 2 == 0;
      Add(slow ? Kind::kSlow : Kind::kErrors, at, 8 * kSecond, order[i], slow ? 5 : 0.6);
    }
  }

  Script& script_;
  Random& random_;
};

}  // namespace

const char* WordOf(Shape shape) { return kShapes[static_cast<std::size_t>(shape)]; }

std::optional<Shape> ShapeOf(std::string_view word) {
  for (std::size_t i = 0; i < kShapes.size(); ++i) {
    if (word == kShapes[i]) return static_cast<Shape>(i);
  }
  return std::nullopt;
}

Script AtSize(Shape shape, std::uint64_t seed, const Size& size) {
  Random random(seed, 0x73697a65);
  Script script;
  Scene& scene = script.scene;
  scene.seed = seed;
  scene.length = 30 * kSecond;
  scene.sidecars = size.sidecars;
  scene.nodes[0] = size.nodes[0];
  scene.nodes[1] = size.nodes[1];
  scene.calls = 1;
  scene.work = kWork;
  scene.cut = 0;
  const bool killed = shape == Shape::kHerd || shape == Shape::kForget;
  scene.push = false;  // What is pushed is told at once: nothing may be spread there.
  scene.forget = shape == Shape::kForget;
  if (killed) scene.list_cost = kBusyListCost;
  if (size.list_cost > 0) scene.list_cost = size.list_cost;
  scene.rate = size.load * kPerNode * std::min(size.nodes[0], size.nodes[1]);
  Writer writer(script, random);
  if (shape == Shape::kRelease) writer.Release();
  if (shape == Shape::kZone) writer.Zone();
  if (shape == Shape::kJoin) writer.Join();
  if (killed) writer.Herd();
  SortFaults(script);
  return script;
}

}  // namespace seeds
