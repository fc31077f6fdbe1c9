// Maintenance in turn by real processes: sidecars, a coordination store and a lab between all of
// them, the owner stopped, cut off, killed and ended. Judged on counts, fences and revisions.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "lab/folder.h"
#include "lab/process.h"
#include "lab/processes.h"
#include "sidecar/mutant.h"
#include "storm/plays.h"

namespace shelflab {
namespace {

// A fleet that shares a coordination store.
std::string Coordinated(int sidecars, double seconds) {
  return Fleet(sidecars, seconds, 60) + "[storm]\nnotice=0.3\ncoordination=true\nttl=1\n";
}

std::string OrderAt(double at, const std::string& ask, int at_once) {
  return "[[storm.order]]\nat=" + std::to_string(at) + "\nask='" + ask +
         "'\nat_once=" + std::to_string(at_once) + "\n";
}

std::string EventAt(double at, double span, const std::string& deed, const std::string& more = "") {
  return "[[storm.event]]\nat=" + std::to_string(at) + "\nfor=" + std::to_string(span) +
         "\ndeed='" + deed + "'\n" + more;
}

void ExpectKept(const Played& p, int outs) {
  ExpectNothingBroken(p);
  EXPECT_EQ(p.storm().at("outs"), outs);
  EXPECT_EQ(p.storm().at("order"), "done");
  EXPECT_EQ(p.again, "");
}

// Calls are late on their way from 1.0 s on, the owner stands still for three lease times after it
// has made one: it is refused when it arrives, and all have their turn by the next owner.
std::string LateOwner() {
  return Coordinated(5, 16) + EventAt(0.8, 2, "delay", "delay_ms=2400\nto='doors'\n") +
         OrderAt(1, "drain", 1) + EventAt(1.6, 3.2, "stop", "owner=true\n");
}

TEST(Owner, OneThatSleptThroughItsLeaseIsRefusedAndEachHasItsTurnOnce) {
  const Played p = PlayOf(ParsePlan(LateOwner(), "storm"));
  ExpectKept(p, 5);
  EXPECT_EQ(p.Failed(), 0U);
  EXPECT_GE(p.storm().at("wins").get<int>(), 2);
  EXPECT_GE(p.storm().at("late_refused").get<int>(), 1);
}

// Cut off from the store but not from the others, then the other way round; the store gone for
// longer than a lease; the owner killed.
TEST(Owner, CutOffOrKilledOrWithoutAStoreAnotherGoesOn) {
  const Played p = PlayOf(
      ParsePlan(Coordinated(5, 22) + OrderAt(1, "drain", 1) +
                    EventAt(1.3, 3, "silence", "owner=true\nto='store'\n") +
                    EventAt(5.5, 2, "silence", "owner=true\nto='doors'\n") +
                    EventAt(8, 2.5, "store_kill") + EventAt(12, 0.3, "kill", "owner=true\n") +
                    EventAt(13, 0, "store_compact") + EventAt(13.2, 0, "store_drop"),
                "storm"));
  ExpectKept(p, 5);
  EXPECT_GE(p.storm().at("wins").get<int>(), 3);
}

// Each ends and is started again by whoever keeps it running; the owner is told to end on the way.
TEST(Owner, RestartsInTurnWhileTheStoreAnswersLateOrNotAtAll) {
  const Played p = PlayOf(ParsePlan(Coordinated(6, 26) + OrderAt(1, "restart", 2) +
                                        EventAt(1.1, 3, "store_lose", "part=0.3\n") +
                                        EventAt(5, 2, "store_late", "delay_ms=300\n") +
                                        EventAt(8, 0.3, "terminate", "owner=true\n"),
                                    "storm"));
  ExpectNothingBroken(p);
  EXPECT_EQ(p.storm().at("order"), "done");
  EXPECT_EQ(p.again, "");
  // One of them may have been told to end before its turn had begun.
  EXPECT_GE(p.storm().at("backs").size(), 6U);
  EXPECT_GE(p.storm().at("outs").get<int>(), 5);
}

// The same without a process that holds the store: a folder that all of them lock in turn.
TEST(Owner, AStoreInAFolderServesThoseOfOneMachine) {
  const Played p = PlayOf(ParsePlan(
      Coordinated(5, 16) + "folder_store=true\n" +
          EventAt(0.8, 2, "delay", "delay_ms=2400\nto='doors'\n") + OrderAt(1, "drain", 1) +
          EventAt(1.6, 3.2, "stop", "owner=true\n") + EventAt(6, 0.3, "kill", "owner=true\n"),
      "storm"));
  ExpectKept(p, 5);
  EXPECT_GE(p.storm().at("wins").get<int>(), 3);
}

TEST(Owner, DrawnOnesKeepThePromises) {
  for (const std::uint64_t seed : {11ULL, 12ULL}) {
    Plan plan = ParsePlan(Coordinated(6, 14), "storm");
    plan.experiment.seed = seed;
    storm::Drawing drawing{14 * storm::kSecond, 1, 2};
    drawing.coordination = true;
    plan.storm = storm::Draw(seed, drawing);
    SCOPED_TRACE(seed);
    const Played p = PlayOf(plan);
    ExpectNothingBroken(p);
    EXPECT_GE(p.storm().at("wins").get<int>(), 1);
  }
}

TEST(Owner, MutantsThatObeyOrActLateAreFound) {
  using kelpspring::Mutant;
  for (const Mutant mutant : {Mutant::kObeyLate, Mutant::kActLate}) {
    const bool obeys = mutant == Mutant::kObeyLate;
    ::setenv("SHELFLINK_MUTANT", std::to_string(static_cast<int>(mutant)).c_str(), 1);
    // Whether a call is on its way when the owner stops is for the machine to say: within three
    // plays.
    const std::string wanted = obeys ? "a late owner was obeyed" : "an owner acted late";
    std::string found;
    for (int play = 0; play < 3 && found.find(wanted) == std::string::npos; ++play) {
      found = PlayOf(ParsePlan(LateOwner(), "storm"), MUTANT_PROGRAM).again;
    }
    ::unsetenv("SHELFLINK_MUTANT");
    EXPECT_NE(found.find(wanted), std::string::npos) << found;
  }
}

// As an operator does it, with processes of nobody's but the test's.
TEST(Owner, AnOperatorSeesTheFleetAndOrdersThroughAnyDoor) {
  const Folder folder("");
  const auto ask = [&](const std::vector<std::string>& words) {
    const std::string out = folder.path() + "/out";
    std::ofstream(out, std::ios::trunc).close();
    std::vector<std::string> command = {SHELFLAB_PROGRAM, "fleet", "--door", "127.0.0.1:9"};
    command.insert(command.end(), words.begin(), words.end());
    Process call(command, {}, out);
    std::optional<int> status;
    EXPECT_TRUE(ComesTrue([&] { return status || (status = call.Ended()).has_value(); }));
    std::ifstream file(out);
    std::ostringstream text;
    text << file.rdbuf();
    return std::pair(WEXITSTATUS(status.value_or(0)), text.str());
  };
  EXPECT_EQ(ask({"show"}), std::pair(1, std::string("127.0.0.1:9: no answer\n")));
  EXPECT_EQ(ask({"stop"}).first, 2);
  EXPECT_EQ(ask({}).first, 2);
}

TEST(BadOwnerStorm, IsNamedByLineAndKey) {
  EXPECT_EQ(FaultOf("[storm]\n[[storm.event]]\nat=1\ndeed='store_kill'"),
            "bad.toml:4: storm.event.deed: expected storm.coordination");
  EXPECT_EQ(FaultOf("[storm]\ncoordination=true\nfolder_store=true\n[[storm.event]]\nat=1\n"
                    "deed='store_stop'"),
            "bad.toml:6: storm.event.deed: expected none to the store or its links: it is in a "
            "folder");
  EXPECT_EQ(FaultOf("[storm]\n[[storm.event]]\nat=1\ndeed='kill'\nowner=true"),
            "bad.toml:4: storm.event.deed: expected storm.coordination");
  EXPECT_EQ(FaultOf("[storm]\ncoordination=true\n[[storm.event]]\nat=1\ndeed='store_late'"),
            "bad.toml:3: storm.event.delay_ms: missing");
  EXPECT_EQ(FaultOf("[storm]\ncoordination=true\n[[storm.event]]\nat=1\ndeed='kill'\nowner=true\n"
                    "share=0.5"),
            "bad.toml:6: storm.event.owner: expected without a share, for a deed to processes or "
            "links");
  EXPECT_EQ(FaultOf("[storm]\ncoordination=true\n[[storm.order]]\nat=1\nask='dance'").substr(0, 29),
            "bad.toml:5: storm.order.ask: ");
}

}  // namespace
}  // namespace shelflab
