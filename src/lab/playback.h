// A day recorded and played back. A recording holds what can be seen from outside: how many
// requests of each class came in each window, the latencies their callers saw, and what each node
// took for its own part of a request. It is fitted to the model (speeds of nodes, stretches in
// which they were slower), and the fitted fleet is played under the recorded arrivals.
#ifndef SHELFLAB_LAB_PLAYBACK_H_
#define SHELFLAB_LAB_PLAYBACK_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/plan.h"

namespace shelflab {

// The recording (schema shelflab.day.1) of one run of a result. Throws std::runtime_error, naming
// the key, if the result has no such run or lacks what a recording needs.
nlohmann::json Capture(const nlohmann::json& result, std::size_t run);

// A stretch in which a node was slower than in its calm time.
struct SlowStretch {
  NodeId node = 0;
  Micros from = 0;
  Micros until = 0;
  double factor = 1;
};

struct Fit {
  std::vector<double> speeds;  // By node.
  std::vector<SlowStretch> stretches;
};

// Fits the recording to the fleet, free of sockets and clocks: speeds and factors are those at
// which the model's servers take as long as the recorded ones did, under the recorded arrivals.
// Throws std::runtime_error, naming the key, if recording and fleet do not belong together.
Fit FitDay(const nlohmann::json& day, const FleetSpec& fleet);

// A fit again, after a play of it was recorded: where a node took longer in the play than on the
// day, its speed goes up in proportion, and so for its stretches. It puts right what the model of a
// single node cannot know: how a sidecar deals out its requests, and what the wire costs.
Fit Refine(const nlohmann::json& day, const nlohmann::json& played, const Fit& fit);

// The plan that plays the day: the fleet at the fitted speeds, the recorded arrivals, the stretches
// as incidents.
Plan PlanOf(const nlohmann::json& day, const Plan& fleet, const Fit& fit);

// How near the played latencies came to the recorded ones: for each class and quantile the share of
// windows within a tenth, and the median and worst distance. Windows in which fewer than `least`
// requests of the class came are left out; so are they from the counts.
nlohmann::json Nearness(const nlohmann::json& day, const nlohmann::json& played, double least);
std::string NearnessText(const nlohmann::json& nearness);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_PLAYBACK_H_
