// `shelflab storm`: real sidecar processes, what befalls them and their links, and what came of it.
// It starts processes, moves bytes and keeps time; what is played is decided in storm/script, what
// it is worth in storm/judge.
#ifndef SHELFLAB_LAB_STORM_H_
#define SHELFLAB_LAB_STORM_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/plan.h"

namespace shelflab {

struct StormOptions {
  std::string sidecar_program;
  std::string folder;  // For configurations, logs and the history.
  // With a coordination store: the program that has it; empty: the shelflab beside this.
  std::string lab_program{};
  std::string history;  // Where the history goes (JSON lines); empty: nowhere.
  bool calm = false;    // The same load without the storm, to compare with.
  // A line of progress now and then.
  std::function<void(const std::string&)> progress;
};

// Plays it once. The result has the form of an experiment's (shelflab.result.1), each run with a
// part `storm`: findings, list calls, returns. Interrupted by SIGINT or SIGTERM it ends its
// processes and gives what it has, marked as such. Throws std::runtime_error if the processes
// cannot be started.
nlohmann::json RunStorm(const Plan& plan, const StormOptions& options);

// The first instant, in seconds of the load, from which every window serves at least `part` of the
// worth that the same window of `calm` does; windows in which nothing was asked count as served.
// Below 0: never. Throws std::runtime_error if the runs do not fit each other.
double FullService(const nlohmann::json& result, const nlohmann::json& calm, double part);

// A few lines for a terminal.
std::string StormSummary(const nlohmann::json& result);

// The findings of a history that a storm left, a line each; empty if there are none. Throws
// std::runtime_error naming file and line.
std::string JudgeFile(const std::string& path);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_STORM_H_
