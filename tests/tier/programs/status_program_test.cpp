// Runs `shelflink-control status` as an operator does, against listeners that answer correctly,
// incorrectly or not at all, and checks its output and its exit status.
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

// `settings`: the value of SHELFLINK_CONFIG; empty: the variable is unset.
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

bool Contains(const std::string& text, const std::string& part) {
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

std::string FullyReplicatedStatus() { return cluster::StatusOf(Figures()); }

std::string UnderReplicatedStatus() {
  cluster::CoreFigures figures = Figures();
  figures.cluster.redundancy.partitions.whole = 63;
  figures.cluster.redundancy.open = {
      {{cluster::CopyKind::kBatch, 9}, 1, 2, milliseconds(700), false, 10, 20}};
  return cluster::StatusOf(figures);
}

std::string BackupStatus(const std::string& primary_control) {
  cluster::CoreFigures figures = Figures();
  figures.process.node = "edge-2";
  figures.cluster.redundancy = {};
  figures.group.primary_control = net::Address::Parse(primary_control);
  return cluster::StatusOf(figures);
}

BOOST_AUTO_TEST_CASE(full_replication_is_0_and_is_printed) {
  const ScriptedListener core(HttpAnswer("200 OK", FullyReplicatedStatus()));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(Contains(outcome.out, "redundancy: whole\n"));
  BOOST_TEST(Contains(outcome.out, "partitions: 64, 2 copies wanted of each, 64 whole\n"));
  BOOST_TEST(outcome.err == "");
  BOOST_TEST(core.request().starts_with("GET /status HTTP/1.1\r\n"));
}

BOOST_AUTO_TEST_CASE(under_replication_is_1) {
  const ScriptedListener core(HttpAnswer("200 OK", UnderReplicatedStatus()));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 1, outcome.err);
  BOOST_TEST(Contains(outcome.out, "partition 9: 1 of 2 copies for 0.700 s"));
  BOOST_TEST(outcome.err == "");
}

BOOST_AUTO_TEST_CASE(json_output_is_the_answer_unchanged) {
  const ScriptedListener core(HttpAnswer("200 OK", UnderReplicatedStatus()));
  const Outcome outcome = RunStatus("--json --address " + core.address());
  BOOST_TEST(outcome.exit_status == 1);
  BOOST_TEST(outcome.out == UnderReplicatedStatus() + "\n");
}

BOOST_AUTO_TEST_CASE(the_primary_that_another_core_process_names_is_asked) {
  const ScriptedListener primary(HttpAnswer("200 OK", FullyReplicatedStatus()));
  const ScriptedListener backup(HttpAnswer("200 OK", BackupStatus(primary.address())));
  const Outcome outcome = RunStatus("--address " + backup.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(primary.request_count() == 1);
}

// Each address is asked once, although one is given twice and one is also named by an answer.
BOOST_AUTO_TEST_CASE(no_core_process_is_asked_twice) {
  const ScriptedListener other(HttpAnswer("200 OK", BackupStatus("")));
  const ScriptedListener one(HttpAnswer("200 OK", BackupStatus(other.address())));
  const Outcome outcome = RunStatus("--address " + one.address() + " --address " + one.address() +
                                    " --address " + other.address());
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(IsOneLine(outcome.err));
  BOOST_TEST(
      Contains(outcome.err, other.address() + ": expected the primary, this process is not"));
  BOOST_TEST(one.request_count() == 1);
  BOOST_TEST(other.request_count() == 1);
}

BOOST_AUTO_TEST_CASE(a_core_process_that_does_not_answer_is_skipped) {
  const ScriptedListener silent("", ScriptedListener::AfterAnswer::kKeepOpen);
  const ScriptedListener core(HttpAnswer("200 OK", FullyReplicatedStatus()));
  const Outcome outcome =
      RunStatus("--timeout-ms 200 --address " + silent.address() + " --address " + core.address());
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
}

BOOST_AUTO_TEST_CASE(a_primary_that_has_not_heard_of_all_stores_is_2) {
  cluster::CoreFigures figures = Figures();
  figures.cluster.redundancy.stores_heard = false;
  const ScriptedListener core(HttpAnswer("200 OK", cluster::StatusOf(figures)));
  const Outcome outcome = RunStatus("--address " + core.address());
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(Contains(outcome.err, "edge-1: expected a primary that has heard of all stores"));
}

// Checks for exit status 2, no standard output, and one line on standard error that names the
// address, what was expected, and `got`.
void CheckUnknown(const std::string& answer, ScriptedListener::AfterAnswer after_answer,
                  const std::string& got) {
  const ScriptedListener core(answer, after_answer);
  const Outcome outcome = RunStatus("--timeout-ms 500 --address " + core.address());
  BOOST_TEST(outcome.exit_status == 2, got);
  BOOST_TEST(outcome.out == "");
  BOOST_TEST(IsOneLine(outcome.err), outcome.err);
  BOOST_TEST(Contains(outcome.err, core.address() + ": expected the status of a core process, "),
             outcome.err);
  BOOST_TEST(Contains(outcome.err, got), outcome.err);
}

BOOST_AUTO_TEST_CASE(bad_answers_are_2) {
  using AfterAnswer = ScriptedListener::AfterAnswer;
  const std::string status = FullyReplicatedStatus();
  CheckUnknown("", AfterAnswer::kClose, "");
  CheckUnknown("", AfterAnswer::kKeepOpen, "got no answer in time");
  CheckUnknown("nothing of HTTP\r\n\r\n", AfterAnswer::kClose, "");
  CheckUnknown(HttpAnswer("404 Not Found", R"({"error":"no such path"})"), AfterAnswer::kClose,
               "got status 404");
  CheckUnknown(HttpAnswer("302 Found", status), AfterAnswer::kClose, "got status 302");
  CheckUnknown(HttpAnswer("200 OK", ""), AfterAnswer::kClose, "got ");
  CheckUnknown(HttpAnswer("200 OK", "shelflink_core_is_primary 1\n"), AfterAnswer::kClose, "got ");
  CheckUnknown(HttpAnswer("200 OK", R"({"leads":"yes"})"), AfterAnswer::kClose, "leads");
  CheckUnknown(HttpAnswer("200 OK", status.substr(0, status.size() - 3)), AfterAnswer::kClose,
               "got ");
  // The connection is closed, or stays open, before the whole body has arrived.
  const std::string half = HttpAnswer("200 OK", status).substr(0, status.size());
  CheckUnknown(half, AfterAnswer::kClose, "");
  CheckUnknown(half, AfterAnswer::kKeepOpen, "got no answer in time");
  CheckUnknown(HttpAnswer("200 OK", std::string(5U << 20, ' ')), AfterAnswer::kClose,
               "got a longer answer");
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_2) {
  std::string address;
  {
    const ScriptedListener gone("");
    address = gone.address();
  }
  const Outcome outcome = RunStatus("--address " + address);
  BOOST_TEST(outcome.exit_status == 2);
  BOOST_TEST(IsOneLine(outcome.err));
  BOOST_TEST(Contains(outcome.err, address + ": expected the status of a core process, "));
}

BOOST_AUTO_TEST_CASE(addresses_come_from_the_settings_if_none_is_given) {
  const ScriptedListener core(HttpAnswer("200 OK", FullyReplicatedStatus()));
  const Folder folder;
  const std::string settings = folder.path() / "settings";
  std::ofstream(settings) << "node=edge-1\nrole=core\nip=127.0.0.1\nzone=a\n"
                          << "listen.control=" << core.address() << "\nseeds=" << core.address()
                          << "\nportRange=7360,7375\n";
  const Outcome outcome = RunStatus("", settings);
  BOOST_TEST(outcome.exit_status == 0, outcome.err);
  BOOST_TEST(core.request_count() == 1);
}

BOOST_AUTO_TEST_CASE(invalid_arguments_are_2_and_the_message_says_what_was_expected) {
  const Outcome none = RunStatus("");
  BOOST_TEST(none.exit_status == 2);
  BOOST_TEST(IsOneLine(none.err));
  BOOST_TEST(Contains(none.err, "expected --address ADDRESS:PORT"));
  const Outcome name = RunStatus("--address edge-1:8683");
  BOOST_TEST(name.exit_status == 2);
  BOOST_TEST(Contains(name.err, "--address edge-1:8683: expected ADDRESS:PORT"));
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
