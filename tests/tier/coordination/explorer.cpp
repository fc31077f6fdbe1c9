#include "coordination/explorer.h"

#include <algorithm>
#include <functional>
#include <unordered_set>

#include "emulator/random.h"

namespace shelflink::coordination {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::Span kFoundingTakes = seconds(2);
constexpr net::Span kRecoversWithin = seconds(9);
constexpr std::size_t kAll = 1000;

struct Path {
  World world;
  Faults left;
  std::string trace;
};
using Choice = std::function<void(Path&)>;
struct NamedChoice {
  std::string name;
  Choice play;
  double weight = 1;  // In random walks.
};

std::string NameOf(const Flight& flight) {
  return std::to_string(flight.message.index()) + ":" + flight.from.member.node + ">" +
         std::to_string(flight.to);
}

// The flights that are the first, and the second, of their link.
void AddFlights(const Path& path, std::vector<NamedChoice>& choices) {
  std::map<std::pair<std::string, std::size_t>, int> places;
  for (std::size_t i = 0; i < path.world.flights.size(); ++i) {
    const Flight& flight = path.world.flights[i];
    const int place = places[{flight.from.member.node, flight.to}]++;
    const std::string name = NameOf(flight);
    if (place == 0) {
      choices.push_back({"deliver " + name, [i](Path& p) { p.world.Deliver(i); }, 12});
      if (path.left.losses > 0) {
        choices.push_back({"lose " + name,
                           [i](Path& p) {
                             --p.left.losses;
                             p.world.Lose(i);
                           },
                           0.4});
      }
      if (path.left.repetitions > 0) {
        choices.push_back({"repeat " + name,
                           [i](Path& p) {
                             --p.left.repetitions;
                             p.world.DeliverCopy(i);
                           },
                           0.4});
      }
    } else if (place == 1 && path.left.reorderings > 0) {
      choices.push_back({"early " + name,
                         [i](Path& p) {
                           --p.left.reorderings;
                           p.world.Deliver(i);
                         },
                         0.4});
    }
  }
}

void AddTimers(const Path& path, std::vector<NamedChoice>& choices) {
  const World& world = path.world;
  net::Time earliest = net::Time::max();
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (world.up(node)) earliest = std::min(earliest, world.nodes[node].member->deadline());
  }
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (!world.up(node)) continue;
    const bool late = world.nodes[node].member->deadline() > earliest;
    if (late && path.left.late_timers == 0) continue;
    choices.push_back({"timer " + std::to_string(node),
                       [node, late](Path& p) {
                         if (late) --p.left.late_timers;
                         p.world.Fire(node);
                       },
                       late ? 1.0 : 4.0});
  }
}

void AddProcesses(const Path& path, std::vector<NamedChoice>& choices) {
  const World& world = path.world;
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    const std::string name = std::to_string(node);
    if (!world.up(node)) {
      choices.push_back({"start " + name, [node](Path& p) { p.world.Start(node); }, 6});
      continue;
    }
    if (!world.nodes[node].syncs.empty()) {
      choices.push_back({"sync " + name, [node](Path& p) { p.world.EndSync(node); }, 12});
    }
    if (path.left.crashes > 0) {
      for (const std::size_t kept : {std::size_t{0}, kAll}) {
        if (kept > 0 && world.nodes[node].syncs.empty()) continue;
        choices.push_back({"crash " + name,
                           [node, kept](Path& p) {
                             --p.left.crashes;
                             p.world.Crash(node, kept);
                           },
                           0.3});
      }
    }
    if (path.left.wipes > 0) {
      choices.push_back({"wipe " + name,
                         [node](Path& p) {
                           --p.left.wipes;
                           p.world.Wipe(node);
                         },
                         0.1});
    }
    if (world.nodes[node].member->Serving(world.now)) {
      for (std::size_t client = 0; client < world.orders.size(); ++client) {
        choices.push_back({"order " + std::to_string(client) + " to " + name,
                           [node, client](Path& p) { p.world.Submit(node, client); }, 2});
      }
    }
  }
}

void AddDisks(const Path& path, std::vector<NamedChoice>& choices) {
  const World& world = path.world;
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (!world.up(node)) continue;
    const std::string name = std::to_string(node);
    if (world.nodes[node].refuses) {
      choices.push_back({"room " + name, [node](Path& p) { p.world.MakeRoom(node); }, 1});
      continue;
    }
    if (path.left.full_disks == 0) continue;
    for (const std::size_t kept : {std::size_t{0}, kAll}) {
      if (kept > 0 && world.nodes[node].syncs.empty()) continue;
      choices.push_back({"full " + name,
                         [node, kept](Path& p) {
                           --p.left.full_disks;
                           p.world.FillDisk(node, kept);
                         },
                         0.6});
    }
  }
}

std::vector<NamedChoice> ChoicesOf(const Path& path) {
  std::vector<NamedChoice> choices;
  AddFlights(path, choices);
  AddTimers(path, choices);
  AddProcesses(path, choices);
  AddDisks(path, choices);
  for (std::size_t client = 0; client < path.world.orders.size(); ++client) {
    if (path.world.orders[client].base >= path.world.history.newest()) continue;
    choices.push_back({"next order " + std::to_string(client),
                       [client](Path& p) { p.world.NextOrder(client); }, 1});
  }
  return choices;
}

std::optional<std::string> Broken(const Path& path) {
  if (path.world.history.findings().empty()) return std::nullopt;
  return path.world.history.findings().front() + "\n" + path.trace + path.world.Describe();
}

// Heals everything; then someone must acknowledge, and nothing acknowledged may be gone.
std::optional<std::string> Recovers(Path path) {
  World& world = path.world;
  for (std::size_t node = 0; node < world.nodes.size(); ++node) {
    if (!world.up(node)) world.Start(node);
    world.MakeRoom(node);
  }
  const bool acknowledges = world.Acknowledges(0, kRecoversWithin);
  if (const auto primary = world.Primary())
    world.history.CheckFinalState(world.DocumentAt(*primary));
  if (auto broken = Broken(path)) return "while it recovers: " + *broken;
  if (acknowledges) return std::nullopt;
  return "nobody acknowledges again\n" + path.trace + world.Describe();
}

// What one walk prefers: some kinds of choices come seldom in it and others often, so that walks
// differ in more than their order (swarm testing).
class Taste {
 public:
  explicit Taste(shelflab::Random& random) : random_(random) {}
  double Of(const NamedChoice& choice) {
    // The kind of choice, for messages with the kind of message: "sync", "deliver 9".
    const auto end =
        choice.name.find_first_of(choice.name.find(':') == std::string::npos ? " " : ":");
    const auto [at, is_new] = factors_.emplace(choice.name.substr(0, end), 1.0);
    if (is_new) at->second = Draw();
    return choice.weight * at->second;
  }

 private:
  double Draw() {
    constexpr double kSeldom = 0.08;
    constexpr double kOften = 4;
    const std::uint64_t draw = random_.Below(8);
    if (draw == 0) return kSeldom;
    return draw == 1 ? kOften : 1;
  }

  shelflab::Random& random_;
  std::map<std::string, double> factors_;
};

// One number for each combination of faults left.
std::uint64_t NumberOf(const Faults& left) {
  constexpr std::uint64_t kMost = 8;
  std::uint64_t number = 0;
  for (const int count : {left.losses, left.repetitions, left.reorderings, left.crashes, left.wipes,
                          left.full_disks, left.late_timers}) {
    number = number * kMost + static_cast<std::uint64_t>(count);
  }
  return number;
}

World Founded(std::size_t size, std::size_t failures) {
  World world(size, failures);
  world.NextOrder(0);
  world.NextOrder(1);
  for (std::size_t node = 0; node < size; ++node) world.Start(node, true);
  world.Run(kFoundingTakes);
  return world;
}

}  // namespace

std::vector<NamedWorld> Beginnings(std::size_t size, std::size_t failures) {
  std::vector<NamedWorld> all;
  World serving = Founded(size, failures);
  serving.Acknowledges(0, seconds(1));
  serving.Run(milliseconds(50));
  serving.NextOrder(0);
  serving.NextOrder(1);
  const std::size_t primary = serving.Primary().value_or(0);
  const std::size_t other = primary == 0 ? 1 : 0;
  all.push_back({"serving", serving});
  World ordered = serving;
  ordered.Submit(primary, 0);
  all.push_back({"an order under way", ordered});
  World crashed = ordered;
  crashed.EndSync(primary);
  crashed.Crash(primary, 0);
  all.push_back({"the primary has died with an order under way", crashed});
  World leaderless = serving;
  leaderless.Crash(primary, 0);
  leaderless.Run(milliseconds(1000));
  all.push_back({"shortly before an election", leaderless});
  World still = ordered;
  still.Run(milliseconds(950), {nullptr, [&](std::size_t node) { return node == primary; }});
  all.push_back({"the primary has stood still", still});
  World wiped = serving;
  wiped.Wipe(other);
  wiped.Run(milliseconds(700));
  wiped.Start(other);
  wiped.Run(milliseconds(10));
  all.push_back({"a disk has been lost and its machine returns", wiped});
  World silent = ordered;
  silent.Run(milliseconds(540), {nullptr, [&](std::size_t node) { return node == other; }});
  all.push_back({"a replica is about to be left out", silent});
  World transferring = ordered;
  transferring.Transfer(primary);
  all.push_back({"the primary hands its place over", transferring});
  for (NamedWorld& one : all) one.failures = failures;
  return all;
}

Exploration ExploreAll(const NamedWorld& from, const Faults& faults, int depth,
                       std::size_t most_states, std::uint64_t recover_one_in) {
  Exploration result;
  std::unordered_set<std::uint64_t> seen;
  std::vector<Path> level{{from.world, faults, from.name + "\n"}};
  for (int at = 0; at < depth; ++at) {
    std::vector<Path> next;
    for (const Path& path : level) {
      for (const NamedChoice& choice : ChoicesOf(path)) {
        if (result.states >= most_states) return result;
        Path after = path;
        after.trace += "  " + choice.name + "\n";
        choice.play(after);
        ++result.steps;
        if ((result.finding = Broken(after))) return result;
        const std::uint64_t budget = NumberOf(after.left);
        const std::uint64_t print = after.world.Fingerprint() ^ (budget * 0x9e3779b97f4a7c15);
        if (!seen.insert(print).second) continue;
        ++result.states;
        if (print % recover_one_in == 0) {
          ++result.recoveries;
          if ((result.finding = Recovers(after))) return result;
        }
        if (at + 1 < depth) next.push_back(std::move(after));
      }
    }
    level = std::move(next);
    result.depth = at + 1;
  }
  return result;
}

Exploration ExploreAtRandom(const NamedWorld& from, std::uint64_t seed, std::size_t walks,
                            std::size_t length, std::uint64_t full_disks) {
  Exploration result;
  for (std::size_t walk = 0; walk < walks; ++walk) {
    shelflab::Random random(seed + walk);
    Faults faults;
    faults.losses = static_cast<int>(random.Below(12));
    faults.repetitions = static_cast<int>(random.Below(12));
    faults.reorderings = static_cast<int>(random.Below(12));
    faults.crashes = static_cast<int>(random.Below(7));
    faults.wipes = static_cast<int>(random.Below(1 + from.failures));
    faults.late_timers = static_cast<int>(random.Below(30));
    if (full_disks > 0) faults.full_disks = static_cast<int>(random.Below(1 + full_disks));
    Taste taste(random);
    Path path{from.world, faults, from.name + ", walk " + std::to_string(seed + walk) + "\n"};
    for (std::size_t step = 0; step < length; ++step) {
      std::vector<NamedChoice> choices = ChoicesOf(path);
      double sum = 0;
      for (NamedChoice& choice : choices) sum += choice.weight = taste.Of(choice);
      double draw = random.Unit() * sum;
      std::size_t picked = 0;
      while (picked + 1 < choices.size() && draw >= choices[picked].weight) {
        draw -= choices[picked++].weight;
      }
      path.trace += "  " + choices[picked].name + "\n";
      choices[picked].play(path);
      ++result.steps;
      if ((result.finding = Broken(path))) return result;
    }
    result.states += length;
    ++result.recoveries;
    if ((result.finding = Recovers(std::move(path)))) return result;
  }
  return result;
}

}  // namespace shelflink::coordination
