// An experiment: a fleet, real sidecars, a load and incidents, played some number of times. What
// comes out is a result (JSON; its schema is in docs/design/emulator.md), from which the report and
// the comparison are made.
#ifndef SHELFLAB_LAB_EXPERIMENT_H_
#define SHELFLAB_LAB_EXPERIMENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/plan.h"

namespace shelflab {

struct ExperimentOptions {
  std::string sidecar_program;
  std::string folder;  // For configurations and logs of the sidecars.
  // A line of progress now and then.
  std::function<void(const std::string&)> progress;
};

// Plays it. Interrupted by SIGINT or SIGTERM, it ends its processes and gives what it has, marked
// as such. Throws std::runtime_error if the sidecars cannot be started.
nlohmann::json RunExperiment(const Plan& plan, const ExperimentOptions& options);

// The figures of a result that a comparison looks at, each over all its runs.
struct Figure {
  std::string name;
  double mean = 0;
  double spread = 0;  // Standard deviation over the runs; 0 of a single one.
  int better = 0;     // 1: more is better, -1: less is, 0: neither.
};
// Throws std::runtime_error, naming the key, if the result is not one.
std::vector<Figure> FiguresOf(const nlohmann::json& result);

// What moved from A to B by more than the spread of both, a line each, and what did not.
std::string Compare(const nlohmann::json& a, const nlohmann::json& b);

// A few lines for a terminal.
std::string Summary(const nlohmann::json& result);

// Throws std::runtime_error naming the file if it cannot be read or is no result.
nlohmann::json ReadResult(const std::string& path);

// A self-contained HTML page.
std::string ReportOf(const nlohmann::json& result);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_EXPERIMENT_H_
