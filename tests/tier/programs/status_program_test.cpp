// `shelflink-control status` as an operator runs it, against listeners that answer well, badly, or
// not at all: what is printed where, and the exit status.
#define BOOST_TEST_MODULE status_program
#include <sys/wait.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "programs/scripted_listener.h"
#include "tier/cluster/core_status.h"

namespace shelflink::programs {
namespace {

using std::chrono::milliseconds;

struct Outcome {
  int exit_status = -1;
  std::string out;
  std::string err;
};

std::string TextIn(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/status_program_XXXXXX";
    BOOST_REQUIRE(::mkdtemp(name) != nullptr);
    path_ = name;
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// `settings`: the path for SHELFLINK_CONFIG; empty: there is none.
Outcome RunStatus(const std::string& arguments, const std::string& settings = "") {
  const Folder folder;
  const std::string out = folder.path() / "out";
  const std::string err = folder.path() / "err";
  const std::string environment =
      settings.empty() ? "env -u SHELFLINK_CONFIG " : "env SHELFLINK_CONFIG=" + settings + " ";
  const std::string command =
      environment + SHELFLINK_CONTROL + " status " + arguments + " >" + out + " 2>" + err;
  const int waited = std::system(command.c_str());
  return {WIFEXITED(waited) ? WEXITSTATUS(waited) : -1, TextIn(out), TextIn(err)};
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool IsOneLine(const std::string& text) {
  return !text.empty() && text.find('\n') == text.size() - 1;
}

cluster::CoreFigures Figures() {
  cluster::CoreFigures figures;
  figures.process = {"edge-1", "core", milliseconds(5000)};
  figures.group.epoch = 3;
  figures.group.primary = "edge-1";
  figures.group.wanted_replicas = 2;
  figures.cluster.redundancy.leads = true;
  figures.cluster.redundancy.stores_heard = true;
  figures.cluster.redundancy.partitions = {64, 2, 64};
  return figures;
}

std::string WholeStatus() { return cluster::StatusOf(Figures()); }

std::string LackingStatus() {
  cluster::CoreFigures figures = Figures();
  figures.cluster.redundancy.partitions.whole = 63;
  figures.cluster.redundancy.open = {
      {{cluster::CopyKind::kBatch, 9}, 1, 2, milliseconds(700), false, 10, 20}};
  return cluster::StatusOf(figures);
}

std::string FollowerStatus(const std::string& primary_control) {
  cluster::CoreFigures figures = Figures();
  figures.process.node = "edge-2";
  figures.cluster.redundancy = {};
  figures.group.primary_control = net::Address::Parse(primary_control);
  return cluster::StatusOf(figures);
}

BOOST_AUTO_TEST_CASE(whole_is_0_and_says_so) {
  const ScriptedListener core(HttpAnswer("200 OK", WholeStatus()));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(Has(outcome.out, "redundancy: whole\n"));
  BOOST_TEST(Has(outcome.out, "partitions: 64, 2 copies wanted of each, 64 whole\n"));
  BOOST_TEST(outcome.err == "");
  BOOST_TEST(core.request().starts_with("GET /status HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(what_lacks_copies_is_1) {
  const ScriptedListener core(HttpAnswer("200 OK", LackingStatus()));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 1, outcome.err);
  BOOST_TEST(Has(outcome.out, "partition 9: 1 of 2 copies for 0.700 s"));
  BOOST_TEST(outcome.err == "");
}

BOOST_AUTO_TEST_CASE(programs_get_the_answer_as_it_came) {
  const ScriptedListener core(HttpAnswer("200 OK", LackingStatus()));
  const Outcome outcome = RunStatus("--json --address " + core.address());
  BOOST_TEST(outcome.exit_status == 1);
  BOOST_TEST(outcome.out == LackingStatus() + "\n");
}

BOOST_AUTO_TEST_CASE(another_core_process_says_who_is_the_primary) {
  const ScriptedListener primary(HttpAnswer("200 OK", WholeStatus()));
  const ScriptedListener follower(HttpAnswer("200 OK", FollowerStatus(primary.address())));
  const Outcome outcome = RunStatus("--address " + follower.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(primary.asked() == 1);
}

// Two that name each other: each is asked once.
BOOST_AUTO_TEST_CASE(who_names_the_wrong_one_is_not_asked_for_ever) {
  const ScriptedListener other(HttpAnswer("200 OK", FollowerStatus("")));
  const ScriptedListener one(HttpAnswer("200 OK", FollowerStatus(other.address())));
  const Outcome outcome = RunStatus("--address " + one.address() + " --address " + one.address() +
                                    " --address " + other.address());
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(IsOneLine(outcome.err));
  BOOST_TEST(Has(outcome.err, other.address() + ": expected the primary, it is not"));
  BOOST_TEST(one.asked() == 1);
  BOOST_TEST(other.asked() == 1);
}

BOOST_AUTO_TEST_CASE(one_that_does_not_answer_costs_only_its_turn) {
  const ScriptedListener silent("", ScriptedListener::After::kSilence);
  const ScriptedListener core(HttpAnswer("200 OK", WholeStatus()));
  const Outcome outcome =
      RunStatus("--timeout-ms 200 --address " + silent.address() + " --address " + core.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
}

BOOST_AUTO_TEST_CASE(a_primary_that_has_not_heard_of_all_stores_cannot_tell) {
  cluster::CoreFigures figures = Figures();
  figures.cluster.redundancy.stores_heard = false;
  const ScriptedListener core(HttpAnswer("200 OK", cluster::StatusOf(figures)));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(Has(outcome.err, "edge-1: expected a primary that has heard of all stores"));
}

// Nothing on standard output, one line that names the address and what was expected.
void CheckCannotBeTold(const std::string& answer, ScriptedListener::After after,
                       const std::string& got) {
  const ScriptedListener core(answer, after);
  const Outcome outcome = RunStatus("--timeout-ms 500 --address " + core.address());
  BOOST_TEST(outcome.exit_status == 2, got);
  BOOST_TEST(outcome.out == "");
  BOOST_TEST(IsOneLine(outcome.err), outcome.err);
  BOOST_TEST(Has(outcome.err, core.address() + ": expected the status of a core process, "),
             outcome.err);
  BOOST_TEST(Has(outcome.err, got), outcome.err);
}

BOOST_AUTO_TEST_CASE(bad_answers_are_2) {
  using After = ScriptedListener::After;
  const std::string status = WholeStatus();
  CheckCannotBeTold("", After::kClose, "");
  CheckCannotBeTold("", After::kSilence, "got no answer in time");
  CheckCannotBeTold("nothing of HTTP\r\n\r\n", After::kClose, "");
  CheckCannotBeTold(HttpAnswer("404 Not Found", R"({"error":"no such path"})"), After::kClose,
                    "got status 404");
  CheckCannotBeTold(HttpAnswer("302 Found", status), After::kClose, "got status 302");
  CheckCannotBeTold(HttpAnswer("200 OK", ""), After::kClose, "got ");
  CheckCannotBeTold(HttpAnswer("200 OK", "shelflink_core_is_primary 1\n"), After::kClose, "got ");
  CheckCannotBeTold(HttpAnswer("200 OK", R"({"leads":"yes"})"), After::kClose, "leads");
  CheckCannotBeTold(HttpAnswer("200 OK", status.substr(0, status.size() - 3)), After::kClose,
                    "got ");
  // It ends, or is silent, before its length.
  const std::string half = HttpAnswer("200 OK", status).substr(0, status.size());
  CheckCannotBeTold(half, After::kClose, "");
  CheckCannotBeTold(half, After::kSilence, "got no answer in time");
  CheckCannotBeTold(HttpAnswer("200 OK", std::string(5U << 20, ' ')), After::kClose,
                    "got a longer answer");
}

BOOST_AUTO_TEST_CASE(nobody_listens) {
  std::string address;
  {
    const ScriptedListener gone("");
    address = gone.address();
  }
  const Outcome outcome = RunStatus("--address " + address);
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(IsOneLine(outcome.err));
  BOOST_TEST(Has(outcome.err, address + ": expected the status of a core process, "));
}

BOOST_AUTO_TEST_CASE(addresses_come_from_the_settings_where_none_is_given) {
  const ScriptedListener core(HttpAnswer("200 OK", WholeStatus()));
  const Folder folder;
  const std::string settings = folder.path() / "settings";
  std::ofstream(settings) << "node=edge-1\nrole=core\nip=127.0.0.1\nzone=a\n"
                          << "listen.control=" << core.address() << "\nseeds=" << core.address()
                          << "\nportRange=7360,7375\n";
  const Outcome outcome = RunStatus("", settings);
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(core.asked() == 1);
}

BOOST_AUTO_TEST_CASE(what_cannot_be_used_is_2_and_says_what_was_expected) {
  const Outcome none = RunStatus("");
  BOOST_TEST(none.exit_status == 2);
  BOOST_TEST(IsOneLine(none.err));
  BOOST_TEST(Has(none.err, "expected --address ADDRESS:PORT"));
  const Outcome name = RunStatus("--address edge-1:8683");
  BOOST_TEST(name.exit_status == 2);
  BOOST_TEST(Has(name.err, "--address edge-1:8683: expected ADDRESS:PORT"));
  const Outcome missing = RunStatus("", "/nowhere/settings");
  BOOST_TEST(missing.exit_status == 2);
  BOOST_TEST(IsOneLine(missing.err));
  for (const char* bad : {"--timeout-ms 0", "--timeout-ms x", "--timeout-ms 99999999", "--what",
                          "core", "--address"}) {
    const Outcome outcome = RunStatus(bad);
    BOOST_TEST(outcome.exit_status == 2, bad);
    BOOST_TEST(outcome.out == "", bad);
    BOOST_TEST(outcome.err != "", bad);
  }
}

}  // namespace
}  // namespace shelflink::programs
