// Files: what is read, and that what is wrong is told with line and key.
#include "lab/plan.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "lab/folder.h"

namespace shelflab {
namespace {

std::string Faults(const std::string& text) {
  try {
    ParsePlan(text, "f.toml");
  } catch (const BadPlan& e) {
    return e.what();
  }
  return "";
}

const std::string kClass =
    "[[class]]\nname='a'\nwork_ms=[1,2]\naim=0.1\ngive_up=1.0\nrepeat='safe'\n";

TEST(Reading, TakesAllSections) {
  const Plan plan = ParsePlan(kClass +
                                  "[[tenant]]\nname='t'\nshare=2\n"
                                  "[[tier]]\nname='x'\nnodes=3\nspeeds=[1,2,0.5]\n"
                                  "choke={crowd=4,enter=2.0,slowdown=3,leave=1.5}\n"
                                  "[load]\nclients=7\n[[load.phase]]\nfor=2\nrate=10\n"
                                  "[[load.burst]]\nat=1\nfor=0.5\nfactor=2\n"
                                  "[[incident]]\nkind='stall'\nat=1.5\nfor=10\ntier='x'\n",
                              "f.toml");
  EXPECT_TRUE(plan.has_fleet && plan.has_load);
  EXPECT_EQ(plan.fleet.classes[0].work.high, 2000);
  EXPECT_EQ(plan.fleet.classes[0].aim, 100'000);
  EXPECT_EQ(plan.fleet.tiers[0].speeds, (std::vector<double>{1, 2, 0.5}));
  EXPECT_EQ(plan.fleet.tiers[0].server.choke.leave, 1'500'000);
  EXPECT_EQ(plan.load.client.clients, 7U);
  EXPECT_EQ(plan.load.Length(), 2 * kSecond);
  EXPECT_EQ(plan.incidents.at(0).trouble, Trouble::kStall);
  EXPECT_EQ(plan.incidents[0].lasts, 10 * kSecond);
}

TEST(Reading, TellsLineKeyAndWhatWasExpected) {
  EXPECT_EQ(Faults("[fleet]\nzone = 'a'\ndrain_grace = 'x'\n"),
            "f.toml:3: fleet.drain_grace: expected a number from 0 up");
  EXPECT_EQ(Faults("[fleet]\n\nsockets = 12\n"),
            "f.toml:3: fleet.sockets: expected a whole number from 64 to 1048576");
  EXPECT_EQ(Faults("[[tier]]\nname='x'\nnodse=3\n"), "f.toml:3: tier.nodse: unknown key");
  EXPECT_EQ(Faults(kClass + "[[incident]]\nkind='flood'\n").substr(0, 49),
            "f.toml:8: incident.kind: expected one of: slow, s");
  EXPECT_EQ(Faults("[[class]]\nname='a'\nwork_ms=[2,1]\naim=1\ngive_up=2\nrepeat='safe'\n"),
            "f.toml:3: class.work_ms: expected a number from 0 to 1e+06, or a pair [low, high] of "
            "them");
  EXPECT_EQ(Faults("[load]\nclients = 3\n"),
            "f.toml:1: load.phase: expected [[load.phase]] or [load.trace]");
  EXPECT_EQ(Faults("[fleet\n").substr(0, 19), "f.toml:1: not TOML:");
}

TEST(Reading, TellsAllFaultsAtOnce) {
  const std::string faults = Faults("[[class]]\nshare = -1\n[discovery]\nlateness = true\n");
  for (const char* part :
       {"class.name: missing", "class.repeat: missing", "f.toml:2: class.share: expected",
        "f.toml:4: discovery.lateness: expected"}) {
    EXPECT_NE(faults.find(part), std::string::npos) << part << "\n" << faults;
  }
}

TEST(Reading, ChecksWhatOnlyTheWholeShows) {
  EXPECT_EQ(Faults(kClass + "[[tier]]\nname='x'\ncalls=2\n"),
            "f.toml: tier.calls: expected 0 for the last tier, it has none to call");
  EXPECT_EQ(Faults(kClass + "[[tier]]\nname='x'\n[[tier]]\nname='x'\n"),
            "f.toml: tier.name: 'x' twice");
  EXPECT_EQ(Faults(kClass + "[load.trace]\ncounts=[[1],[1,2]]\n"),
            "f.toml: load.trace.counts: expected a number for each of the 1 classes in each row");
  EXPECT_EQ(Faults("[experiment]\nfleet = 'other.toml'\n"),
            "f.toml:2: experiment.fleet: expected no other file here");
}

TEST(Reading, FollowsOtherFilesAndTellsTheirs) {
  const Folder folder("");
  const std::string path = folder.path() + "/exp.toml";
  std::ofstream(folder.path() + "/fleet.toml") << kClass << "[[tier]]\nname='x'\n";
  std::ofstream(path)
      << "[experiment]\nfleet = 'fleet.toml'\n[[incident]]\nkind='lost'\ntier='y'\n";
  try {
    ReadPlan(path);
    FAIL() << "the incident names a tier that is not there";
  } catch (const BadPlan& e) {
    EXPECT_EQ(std::string(e.what()), path + ": incident 1: tier: the fleet has none named 'y'");
  }
  std::ofstream(folder.path() + "/fleet.toml") << "[[tier]]\nname='x'\nnodes=0\n";
  try {
    ReadPlan(path);
    FAIL() << "no nodes";
  } catch (const BadPlan& e) {
    EXPECT_EQ(std::string(e.what()), folder.path() +
                                         "/fleet.toml:3: tier.nodes: expected a whole number from "
                                         "1 to 5000");
  }
  EXPECT_THROW(ReadPlan(folder.path() + "/none.toml"), BadPlan);
}

}  // namespace
}  // namespace shelflab
