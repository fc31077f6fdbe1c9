// The program with stored state, as a real process: what it starts from, what it says, and that a
// good snapshot outlives a start that could not use it.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "lab/catalog_wire.h"
#include "lab/folder.h"
#include "lab/process.h"
#include "lab/sidecar_config.h"
#include "sidecar/mutant.h"
#include "state/store.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using kelpspring::Mutant;

constexpr auto kPatience = std::chrono::seconds(30);  // Only a failing test waits as long.

std::string AddressOf(int number) {
  return "127." + std::to_string(64 + ::getpid() % 128) + ".251." + std::to_string(number) +
         ":7000";
}

FleetSpec Spec() {
  FleetSpec fleet;
  fleet.zone = "z";
  ClassSpec c;
  c.name = "read";
  c.aim = 500'000;
  c.give_up = 2'000'000;
  c.repeat = Repeat::kIdempotent;
  fleet.classes = {c};
  TierSpec tier;
  tier.name = "only";
  fleet.tiers = {tier};
  return fleet;
}

std::string ListText(std::int64_t seq) {
  const auto row = JsonOf(MemberRow{"n0", AddressOf(200), "z", "k"});
  return nlohmann::json{{"seq", seq}, {"whole", true}, {"hosts", {row}}}.dump();
}

// A folder with what an earlier process remembered, and processes that are started beside it with
// no list, where discovery is not to be reached.
class Remembering : public ::testing::Test {
 protected:
  std::string State() const { return folder_.path() + "/state"; }
  std::string Text(int number) const {
    std::ifstream file(Log(number));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  void Keep(const state::Moment& learned) {
    std::filesystem::create_directories(State());
    state::Store store(State(), "s1");
    ASSERT_EQ(store.Save({41, ListText(41), learned}), "");
  }
  std::optional<state::Snapshot> Kept() const { return state::Store(State(), "s1").Load(); }

  // `number` is that of its address and of its log.
  Process Start(int number, const std::string& program = KELPSPRING_PROGRAM) {
    SidecarPlace place;
    place.name = "s1";
    place.listen = AddressOf(number);
    place.discovery = AddressOf(100);
    place.state_dir = State();
    const std::string config = folder_.path() + "/" + std::to_string(number) + ".json";
    std::ofstream(config) << SidecarConfig(
        Spec(), place, {{"seq", 0}, {"whole", true}, {"hosts", nlohmann::json::array()}});
    return Process({program, "--trace"}, {{"PROXY_CONFIG", config}}, Log(number));
  }

  // What it answers at /_health, as soon as it answers at all.
  static int Health(int number) {
    const std::string address = AddressOf(number);
    const asio::ip::tcp::endpoint at(asio::ip::make_address(address.substr(0, address.find(':'))),
                                     7000);
    const auto until = std::chrono::steady_clock::now() + kPatience;
    asio::io_context io;
    while (std::chrono::steady_clock::now() < until) {
      asio::ip::tcp::socket socket(io);
      boost::system::error_code ec;
      socket.connect(at, ec);
      if (!ec) {
        asio::write(socket, asio::buffer(std::string("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")),
                    ec);
        std::string reply(12, '\0');
        asio::read(socket, asio::buffer(reply), ec);
        if (!ec) return std::stoi(reply.substr(9, 3));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return 0;
  }

 private:
  std::string Log(int number) const {
    return folder_.path() + "/" + std::to_string(number) + ".log";
  }
  Folder folder_{""};
};

state::Moment SecondsAgo(int seconds) {
  state::Moment moment = state::Here();
  moment.uptime -= std::int64_t{seconds} * 1'000'000;
  return moment;
}

TEST_F(Remembering, AYoungListIsServedFromWithoutDiscovery) {
  Keep(SecondsAgo(299));
  Process process = Start(1);
  EXPECT_EQ(Health(1), 200);
  EXPECT_NE(Text(1).find("remembered list 41: taken"), std::string::npos) << Text(1);
}

TEST_F(Remembering, ALessonIsBegunWithWhileItIsYoung) {
  for (const int seconds : {59, 61}) {
    std::filesystem::create_directories(State());
    state::Store(State(), "s1")
        .Save({41, ListText(41), SecondsAgo(seconds),
               R"({"limit":7.5,"shunned":[{"host":"n0","born":0,"left":90000000,"strikes":2}]})",
               SecondsAgo(seconds)});
    Process process = Start(seconds);
    EXPECT_EQ(Health(seconds), 200);
    const std::string word = seconds == 59 ? "taken" : "left: too old";
    EXPECT_NE(Text(seconds).find("remembered lesson: " + word), std::string::npos) << Text(seconds);
    EXPECT_EQ(Text(seconds).find("recall 7.5 shunned n0") != std::string::npos, seconds == 59);
  }
}

// Yesterday's addresses may be others' today.
TEST_F(Remembering, AnOldListDecidesNothingAndStays) {
  Keep(SecondsAgo(301));
  const state::Moment learned = Kept()->learned;
  {
    Process process = Start(1);
    EXPECT_EQ(Health(1), 503);
    EXPECT_NE(Text(1).find("remembered list 41: left: too old"), std::string::npos) << Text(1);
    process.Signal(SIGTERM);
    int status = 0;
    ASSERT_EQ(::waitpid(process.pid(), &status, 0), process.pid());
  }
  ASSERT_TRUE(Kept());
  EXPECT_EQ(Kept()->version, 41);
  EXPECT_EQ(Kept()->learned.uptime, learned.uptime);
}

TEST_F(Remembering, AWallClockThatWentBackAcrossABootTellsNothing) {
  state::Moment moment = state::Here();
  moment.boot = "another";
  moment.wall += 3600LL * 1'000'000;
  Keep(moment);
  Process process = Start(1);
  EXPECT_EQ(Health(1), 503);
  EXPECT_NE(Text(1).find("its age cannot be told"), std::string::npos) << Text(1);
}

TEST_F(Remembering, OfTwoWithOneFolderTheSecondGoesWithoutAndSaysSo) {
  Keep(SecondsAgo(1));
  Process first = Start(1);
  EXPECT_EQ(Health(1), 200);
  Process second = Start(2);
  EXPECT_EQ(Health(2), 503);
  EXPECT_NE(Text(2).find("another process holds this state"), std::string::npos) << Text(2);
}

TEST_F(Remembering, AFolderThatIsMissingEndsTheStartWithOneLine) {
  Process process = Start(1);
  int status = 0;
  ASSERT_EQ(::waitpid(process.pid(), &status, 0), process.pid());
  EXPECT_EQ(WEXITSTATUS(status), 1);
  EXPECT_EQ(Text(1), "kelpspring: " + State() + ": expected a folder: No such file or directory\n");
}

// ---- Faults compiled in ----

class Mutated {
 public:
  explicit Mutated(Mutant mutant) {
    ::setenv("SHELFLINK_MUTANT", std::to_string(static_cast<int>(mutant)).c_str(), 1);
  }
  ~Mutated() { ::unsetenv("SHELFLINK_MUTANT"); }
  Mutated(const Mutated&) = delete;
  Mutated& operator=(const Mutated&) = delete;
};

TEST_F(Remembering, AMutantThatIgnoresTheAgeIsFound) {
  Keep(SecondsAgo(301));
  const Mutated mutant(Mutant::kIgnoreAge);
  Process process = Start(1, MUTANT_PROGRAM);
  EXPECT_EQ(Health(1), 200);
}

TEST_F(Remembering, AMutantThatWritesOverAGoodSnapshotIsFound) {
  Keep(SecondsAgo(301));
  const Mutated mutant(Mutant::kOverwrite);
  {
    Process process = Start(1, MUTANT_PROGRAM);
    EXPECT_EQ(Health(1), 503);
    process.Signal(SIGTERM);
    int status = 0;
    ASSERT_EQ(::waitpid(process.pid(), &status, 0), process.pid());
  }
  ASSERT_TRUE(Kept());
  EXPECT_EQ(Kept()->version, 0);
}

}  // namespace
}  // namespace shelflab
