// Walks through everything that can happen to a small world of pure parts: each move that is open
// in a state is made, from each state that it leads to again, until nothing is open any more.
//
// A world is a value: it offers
//   std::vector<std::string> Moves() const   what can happen now, by name; none: it is over,
//   void Make(std::size_t move)              makes one of these happen,
//   std::string Broken() const               what promise is broken, empty if none is,
//   std::string Key() const                  equal for states with the same future.
#ifndef SHELFLINK_STORM_EXPLORE_H_
#define SHELFLINK_STORM_EXPLORE_H_

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace storm {

struct Explored {
  std::size_t states = 0;
  std::size_t ends = 0;           // States in which nothing is open.
  bool whole = true;              // False: `most` states were not enough.
  std::string broken;             // The first broken promise,
  std::vector<std::string> path;  // and what led to it.
};

template <typename World>
Explored Explore(const World& first, std::size_t most) {
  struct Step {
    World world;
    std::vector<std::string> moves;
    std::size_t next = 0;
  };
  Explored result;
  std::set<std::string> seen;
  std::vector<Step> steps;
  const auto enter = [&](World world) {
    // Before it is compared: a broken promise may show in nothing that is to come.
    result.broken = world.Broken();
    if (result.broken.empty() && !seen.insert(world.Key()).second) return;
    ++result.states;
    std::vector<std::string> moves = world.Moves();
    result.ends += moves.empty() ? 1 : 0;
    steps.push_back({std::move(world), std::move(moves)});
  };
  enter(first);
  while (!steps.empty() && result.broken.empty()) {
    if (result.states >= most) {
      result.whole = false;
      break;
    }
    Step& step = steps.back();
    if (step.next == step.moves.size()) {
      steps.pop_back();
      continue;
    }
    World after = step.world;
    after.Make(step.next++);
    enter(std::move(after));
  }
  if (result.broken.empty()) return result;
  for (const Step& step : steps) {
    if (step.next > 0) result.path.push_back(step.moves[step.next - 1]);
  }
  return result;
}

}  // namespace storm

#endif  // SHELFLINK_STORM_EXPLORE_H_
