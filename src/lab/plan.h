// The lab's files: a fleet, its load, incidents and an experiment, as TOML. One reader for all of
// them, so that each file may hold any of the sections. Every fault is told with file, line and
// key, and with what was expected; unknown keys are faults.
#ifndef SHELFLAB_LAB_PLAN_H_
#define SHELFLAB_LAB_PLAN_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/incident.h"
#include "emulator/load.h"
#include "emulator/spec.h"
#include "storm/script.h"

namespace shelflab {

struct ExperimentSpec {
  std::string name = "experiment";
  std::uint32_t repeats = 1;
  std::uint64_t seed = 1;
  Micros window = kSecond;  // Of the report's curves.
};

struct SidecarLimits {
  std::uint32_t memory_mb = 192;
  std::uint32_t sockets = 1024;
};

struct Plan {
  FleetSpec fleet;
  LoadSpec load;
  std::vector<Incident> incidents;
  storm::Storm storm;
  ExperimentSpec experiment;
  SidecarLimits limits;
  std::size_t answer_bytes = 256;
  bool has_fleet = false;
  bool has_load = false;
};

// All faults of the files, a line each: "FILE:LINE: KEY: expected ...".
struct BadPlan : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the file and those that its [experiment] names (`fleet`, `load`, `incidents`, relative to
// it). Throws BadPlan.
Plan ReadPlan(const std::string& path);
// The same from text; `name` stands for the file in faults. It may name no other files.
Plan ParsePlan(const std::string& text, const std::string& name);
// Only the incidents of the text are taken; the rest of `plan` stays.
std::vector<Incident> ParseIncidents(const std::string& text, const std::string& name);

// Throws BadPlan, naming the section, if what a command needs is missing.
void Need(const Plan& plan, const std::string& path, bool load);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_PLAN_H_
