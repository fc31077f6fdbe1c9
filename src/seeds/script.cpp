#include "seeds/script.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

#include "emulator/random.h"

namespace seeds {

using shelflab::kSecond;
using shelflab::Random;

namespace {

// How often a kind is drawn, how long it lasts and how strong it is. What is rare in the field is
// common here; durations lie around the program's own limits.
struct Rule {
  Kind kind;
  const char* word;
  double weight;
  Micros shortest, longest;
  double low, high;
};

constexpr Micros kMs = 1000;

constexpr std::array<Rule, kKinds> kRules = {{
    {Kind::kSlow, "slow", 2, kSecond, 8 * kSecond, 2, 12},
    {Kind::kErrors, "errors", 2, 500 * kMs, 5 * kSecond, 0.2, 1},
    {Kind::kResets, "resets", 2, 500 * kMs, 5 * kSecond, 0.1, 1},
    {Kind::kHalves, "halves", 2, 500 * kMs, 5 * kSecond, 0.1, 1},
    {Kind::kStall, "stall", 1, 200 * kMs, 5 * kSecond, 1, 1},
    {Kind::kPause, "pause", 1, 200 * kMs, 4 * kSecond, 1, 1},
    {Kind::kSilence, "silence", 2, 200 * kMs, 6 * kSecond, 1, 1},
    {Kind::kLost, "lost", 2, 500 * kMs, 5 * kSecond, 1, 1},
    {Kind::kReborn, "reborn", 4, 5 * kMs, 300 * kMs, 1, 1},
    {Kind::kDrain, "drain", 3, 2 * kSecond, 6 * kSecond, 1, 1},
    {Kind::kForget, "forget", 3, 0, 0, 1, 1},
    {Kind::kCut, "cut", 2, 50 * kMs, 4 * kSecond, 1, 1},
    {Kind::kBreak, "break", 3, 0, 0, 1, 1},
    {Kind::kRefuse, "refuse", 2, 200 * kMs, 4 * kSecond, 0.2, 1},
    {Kind::kIgnore, "ignore", 2, 200 * kMs, 4 * kSecond, 0.2, 1},
    {Kind::kNarrow, "narrow", 2, kSecond, 6 * kSecond, 1, 400},
    {Kind::kRough, "rough", 2, 500 * kMs, 4 * kSecond, 0.005, 0.1},
    {Kind::kLate, "late", 2, kSecond, 5 * kSecond, 0.02, 0.3},
    {Kind::kDiscoveryLate, "discovery_late", 1, 2 * kSecond, 8 * kSecond, 0, 3},
    {Kind::kDiscoveryBusy, "discovery_busy", 1, 500 * kMs, 5 * kSecond, 1, 1},
    {Kind::kDiscoveryDown, "discovery_down", 2, 200 * kMs, 6 * kSecond, 1, 1},
    {Kind::kDiscoveryOld, "discovery_old", 3, 600 * kMs, 5 * kSecond, 0.2, 2},
    {Kind::kDiscoveryGarbled, "discovery_garbled", 1, 200 * kMs, 3 * kSecond, 1, 1},
    {Kind::kDiscoveryCut, "discovery_cut", 1, 200 * kMs, 5 * kSecond, 1, 1},
    {Kind::kTerminate, "terminate", 2, 100 * kMs, kSecond, 1, 1},
    {Kind::kCrash, "crash", 2, 100 * kMs, 2 * kSecond, 1, 1},
    {Kind::kReload, "reload", 3, 0, 0, 1, 1},
    {Kind::kDescriptors, "descriptors", 3, kSecond, 5 * kSecond, -6, 8},
    {Kind::kWallStep, "wall_step", 1, 0, 0, -3600, 3600},
    {Kind::kBurst, "burst", 2, 500 * kMs, 3 * kSecond, 2, 6},
    {Kind::kCancel, "cancel", 2, kSecond, 6 * kSecond, 0.1, 0.8},
    {Kind::kSlowReaders, "slow_readers", 2, kSecond, 5 * kSecond, 0.1, 0.6},
    {Kind::kMalformed, "malformed", 2, kSecond, 5 * kSecond, 1, 20},
    {Kind::kIdlers, "idlers", 3, kSecond, 4 * kSecond, 2, 150},
    {Kind::kPipelined, "pipelined", 1, kSecond, 4 * kSecond, 1, 10},
    {Kind::kCancelWithReply, "cancel_with_reply", 4, 2 * kSecond, 6 * kSecond, 0.3, 1},
    {Kind::kUpdateInRetry, "update_in_retry", 4, 2 * kSecond, 6 * kSecond, 0.1, 0.5},
    {Kind::kDrainInConnect, "drain_in_connect", 4, 3 * kSecond, 6 * kSecond, 1, 1},
    {Kind::kTerminateInAnswer, "terminate_in_answer", 3, kSecond, 4 * kSecond, 1, 1},
}};

const Rule& RuleOf(Kind kind) { return kRules[static_cast<std::size_t>(kind)]; }

Kind DrawKind(Random& random) {
  double sum = 0;
  for (const Rule& r : kRules) sum += r.weight;
  double left = random.Unit() * sum;
  for (const Rule& r : kRules) {
    left -= r.weight;
    if (left < 0) return r.kind;
  }
  return kRules.back().kind;
}

Scene DrawScene(std::uint64_t seed, Random& random) {
  Scene s;
  s.seed = seed;
  s.sidecars = 1 + static_cast<std::uint32_t>(random.Below(3));
  s.nodes[0] = 2 + static_cast<std::uint32_t>(random.Below(3));
  s.nodes[1] = 3 + static_cast<std::uint32_t>(random.Below(4));
  // Some near what the nodes can do.
  s.rate = random.Chance(0.3) ? random.Between(50, 100) : random.Between(12, 40);
  s.calls = random.Between(1, 2);
  s.answer_bytes = random.Chance(0.3) ? 6000 : 200;
  s.latency_low = random.Chance(0.3) ? 1000 : 100;
  s.latency_high = s.latency_low + static_cast<Micros>(random.Between(100, 2000));
  constexpr std::array<Micros, 4> grains = {1, 100, 1000, 5000};
  s.grain = grains[random.Below(grains.size())];
  s.cut = random.Chance(0.5) ? random.Between(0.1, 1) : 0;
  // Small, but not so small that no answer could get through in time.
  const std::uint32_t least = s.answer_bytes / 4 + 64;
  s.window = random.Chance(0.3) ? least + static_cast<std::uint32_t>(random.Below(4000)) : 65536;
  s.descriptors = random.Chance(0.3) ? 64 : 256;
  s.idle_close = random.Chance(0.3) ? 500 * kMs : 3 * kSecond;
  s.push = random.Chance(0.7);
  return s;
}

}  // namespace

const char* WordOf(Kind kind) { return RuleOf(kind).word; }

std::optional<Kind> KindOf(std::string_view word) {
  for (const Rule& r : kRules) {
    if (word == r.word) return r.kind;
  }
  return std::nullopt;
}

void SortFaults(Script& script) {
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

Script Draw(std::uint64_t seed) {
  Random random(seed, 0x73637269);
  Script script;
  script.scene = DrawScene(seed, random);
  const Scene& scene = script.scene;
  // Troubles come in company: some fall together within a moment.
  const std::uint64_t count = 3 + random.Below(8);
  Micros near = kSecond;
  for (std::uint64_t i = 0; i < count; ++i) {
    Fault f;
    f.kind = DrawKind(random);
    const Rule& rule = RuleOf(f.kind);
    near = random.Chance(0.4) ? near + static_cast<Micros>(random.Between(0, 200 * kMs))
                              : static_cast<Micros>(random.Between(kSecond, 14 * kSecond));
    f.at = near;
    f.lasts = static_cast<Micros>(
        random.Between(static_cast<double>(rule.shortest), static_cast<double>(rule.longest)));
    f.size = random.Between(rule.low, rule.high);
    f.target = static_cast<std::uint32_t>(random.Below(scene.nodes[0] + scene.nodes[1]));
    f.other = static_cast<std::uint32_t>(random.Below(scene.sidecars + scene.nodes[0]));
    script.faults.push_back(f);
  }
  SortFaults(script);
  return script;
}

// ---- As a file ----

std::string TextOf(const Script& script) {
  const Scene& s = script.scene;
  std::string text = fmt::format(
      "[scene]\nseed = {}\nlength = {}\nsidecars = {}\nnodes = [{}, {}]\nrate = {}\ncalls = "
      "{}\nwork = {}\n"
      "answer_bytes = {}\nlatency = [{}, {}]\ngrain = {}\ncut = {}\nwindow = {}\n"
      "descriptors = {}\nidle_close = {}\npush = {}\nlist_cost = {}\nforget = {}\n",
      s.seed, s.length, s.sidecars, s.nodes[0], s.nodes[1], s.rate, s.calls, s.work, s.answer_bytes,
      s.latency_low, s.latency_high, s.grain, s.cut, s.window, s.descriptors, s.idle_close, s.push,
      s.list_cost, s.forget);
  for (const Fault& f : script.faults) {
    fmt::format_to(std::back_inserter(text),
                   "\n[[fault]]\nkind = \"{}\"\nat = {}\nlasts = {}\ntarget = {}\nother = {}\n"
                   "size = {}\n",
                   WordOf(f.kind), f.at, f.lasts, f.target, f.other, f.size);
  }
  return text;
}

namespace {

class TableReader {
 public:
  TableReader(const toml::table& table, std::string name, std::string where)
      : table_(table), name_(std::move(name)), where_(std::move(where)) {}

  template <typename T>
  void Read(const char* key, T& value, double low, double high) {
    const toml::node* node = Find(key);
    if (node == nullptr) return;
    Take(*node, key, value, low, high);
  }
  template <typename T>
  void ReadPair(const char* key, T& first, T& second, double low, double high) {
    const toml::node* node = Find(key);
    if (node == nullptr) return;
    const toml::array* both = node->as_array();
    if (both == nullptr || both->size() != 2) Bad(*node, key, "expected two numbers");
    Take(*both->get(0), key, first, low, high);
    Take(*both->get(1), key, second, low, high);
  }
  void ReadBool(const char* key, bool& value) {
    const toml::node* node = Find(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) Bad(*node, key, "expected true or false");
    value = node->value<bool>().value_or(false);
  }
  Kind ReadKind() {
    const toml::node* node = Find("kind");
    const auto word = table_["kind"].value<std::string>();
    const auto kind = word ? KindOf(*word) : std::nullopt;
    if (!kind) {
      const toml::node& at = node != nullptr ? *node : static_cast<const toml::node&>(table_);
      Bad(at, "kind", "expected a kind of fault, such as \"" + std::string(kRules[0].word) + '"');
    }
    return *kind;
  }
  void NothingElse() const {
    for (const auto& [key, node] : table_) {
      if (std::find(known_.begin(), known_.end(), key.str()) == known_.end()) {
        Bad(node, std::string(key.str()), "expected no such key");
      }
    }
  }

 private:
  const toml::node* Find(const char* key) {
    known_.push_back(key);
    return table_.get(key);
  }
  [[noreturn]] void Bad(const toml::node& node, const std::string& key,
                        const std::string& what) const {
    throw BadScript(
        fmt::format("{}:{}: {}.{}: {}", name_, node.source().begin.line, where_, key, what));
  }
  template <typename T>
  void Take(const toml::node& node, const char* key, T& value, double low, double high) const {
    const auto number = node.value<double>();
    if (!node.is_number() || !number || !(*number >= low && *number <= high)) {
      Bad(node, key, fmt::format("expected a number from {} to {}", low, high));
    }
    if constexpr (std::is_same_v<T, double>) {
      value = *number;
    } else {
      const auto whole = node.value<std::int64_t>();
      if (!whole) Bad(node, key, "expected a whole number");
      value = static_cast<T>(*whole);
    }
  }

  const toml::table& table_;
  std::string name_;
  std::string where_;
  std::vector<std::string> known_;
};

void ReadScene(const toml::table& table, const std::string& name, Scene& s) {
  constexpr double kMostTime = 3.6e9;
  TableReader r(table, name, "scene");
  r.Read("seed", s.seed, 0, 9e18);
  r.Read("length", s.length, 1e6, kMostTime);
  r.Read("sidecars", s.sidecars, 1, 1024);
  r.ReadPair("nodes", s.nodes[0], s.nodes[1], 1, 64);
  r.Read("rate", s.rate, 0.1, 10000);
  r.Read("calls", s.calls, 0, 10);
  r.Read("work", s.work, 0.1, 100);
  r.Read("answer_bytes", s.answer_bytes, 0, 60000);
  r.ReadPair("latency", s.latency_low, s.latency_high, 1, 1e6);
  r.Read("grain", s.grain, 1, 1e6);
  r.Read("cut", s.cut, 0, 1);
  r.Read("window", s.window, 1, 1 << 20);
  r.Read("descriptors", s.descriptors, 64, 65536);
  r.Read("idle_close", s.idle_close, 1000, kMostTime);
  r.ReadBool("push", s.push);
  r.Read("list_cost", s.list_cost, 1, 1e6);
  r.ReadBool("forget", s.forget);
  r.NothingElse();
}

Fault ReadFault(const toml::table& table, const std::string& name, const Scene& scene) {
  TableReader r(table, name, "fault");
  Fault f;
  f.kind = r.ReadKind();
  r.Read("at", f.at, 0, static_cast<double>(scene.length));
  r.Read("lasts", f.lasts, 0, static_cast<double>(scene.length));
  r.Read("target", f.target, 0, scene.nodes[0] + scene.nodes[1] - 1);
  r.Read("other", f.other, 0, scene.sidecars + scene.nodes[0] - 1);
  r.Read("size", f.size, -1e6, 1e6);
  r.NothingElse();
  return f;
}

}  // namespace

Script ParseScript(const std::string& text, const std::string& name) {
  toml::table root;
  try {
    root = toml::parse(text, name);
  } catch (const toml::parse_error& e) {
    throw BadScript(
        fmt::format("{}:{}: {}", name, e.source().begin.line, std::string(e.description())));
  }
  Script script;
  const toml::table* scene = root["scene"].as_table();
  if (scene == nullptr) throw BadScript(name + ": expected a table [scene]");
  ReadScene(*scene, name, script.scene);
  if (const toml::array* faults = root["fault"].as_array()) {
    for (const toml::node& node : *faults) {
      if (!node.is_table()) throw BadScript(name + ": expected tables [[fault]]");
      script.faults.push_back(ReadFault(*node.as_table(), name, script.scene));
    }
  }
  for (const auto& [key, node] : root) {
    if (key != "scene" && key != "fault") {
      throw BadScript(fmt::format("{}:{}: {}: expected no such table", name,
                                  node.source().begin.line, std::string(key.str())));
    }
  }
  SortFaults(script);
  return script;
}

}  // namespace seeds
