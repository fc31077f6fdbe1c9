// Storms over real processes, as tests play them: a small fleet under load, one play, what is
// always expected of it.
#ifndef SHELFLINK_TESTS_STORM_PLAYS_H_
#define SHELFLINK_TESTS_STORM_PLAYS_H_

#include <gtest/gtest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/folder.h"
#include "lab/plan.h"
#include "lab/storm.h"

namespace shelflab {

using Json = nlohmann::json;

inline std::string Fleet(int sidecars, double seconds, int rate = 80) {
  return "[discovery]\nlateness=0.2\ncall_ms=5\n"
         "[[class]]\nname='a'\nshare=60\nwork_ms=2\naim=0.3\ngive_up=1.5\nrepeat='safe'\n"
         "[[class]]\nname='b'\nshare=40\nwork_ms=2\naim=0.3\ngive_up=1.5\nrepeat='never'\n"
         "[[tier]]\nname='x'\nnodes=4\ncores=2\nsidecars=" +
         std::to_string(sidecars) +
         "\n[load]\nclients=32\nretries=2\n[[load.phase]]\nfor=" + std::to_string(seconds) +
         "\nrate=" + std::to_string(rate) + "\n";
}

struct Played {
  Json run;
  std::string again;  // What the judgement finds in the history's file.
  const Json& storm() const { return run.at("storm"); }
  // Requests that were answered as failed.
  std::uint64_t Failed() const {
    std::uint64_t failed = 0;
    for (const Json& w : run.at("windows")) {
      for (const Json& c : w.at("classes")) failed += c.at("failed").get<std::uint64_t>();
    }
    return failed;
  }
};

inline Played PlayOf(const Plan& plan, const std::string& program = KELPSPRING_PROGRAM) {
  const Folder folder("");
  StormOptions options;
  options.sidecar_program = program;
  options.lab_program = SHELFLAB_PROGRAM;
  options.folder = folder.path();
  options.history = folder.path() + "/history.jsonl";
  const Json result = RunStorm(plan, options);
  return {result.at("runs").at(0), JudgeFile(options.history)};
}

inline void ExpectNothingBroken(const Played& p) {
  EXPECT_EQ(p.storm().at("found"), 0) << p.storm().at("findings").dump(1);
  EXPECT_EQ(p.run.at("account").at("broken"), 0) << p.run.at("account").dump(1);
  EXPECT_EQ(p.run.at("tool").at("crashes"), 0);
}

// What is wrong with a plan, as its reader says it.
inline std::string FaultOf(const std::string& text) {
  try {
    ParsePlan(text, "bad.toml");
  } catch (const BadPlan& e) {
    return e.what();
  }
  return "accepted";
}

}  // namespace shelflab

#endif  // SHELFLINK_TESTS_STORM_PLAYS_H_
