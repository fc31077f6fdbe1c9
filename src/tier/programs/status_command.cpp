#include "tier/programs/status_command.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <optional>
#include <set>

#include "net/address.h"
#include "tier/cluster/status_report.h"
#include "tier/foundation/settings.h"
#include "tier/operator_api/status_client.h"

namespace shelflink::programs {
namespace {

int ReportUnknown(const std::string& reason) {
  std::cerr << "shelflink-control: status: cannot be determined: " << reason << '\n';
  return kExitUnknown;
}

// The core processes that the settings file names: listen.control first, then the seeds.
Result<std::vector<net::Address>> AddressesOfSettings() {
  const char* path = std::getenv("SHELFLINK_CONFIG");
  if (path == nullptr || *path == '\0') {
    return MakeError(ErrorCode::kInvalid,
                     "expected --address ADDRESS:PORT of a core process's listen.control, or "
                     "SHELFLINK_CONFIG with the path of a settings file");
  }
  const auto settings = ReadSettings(path);
  if (!settings) return MakeError(ErrorCode::kInvalid, TextOf(settings.error()));
  std::vector<net::Address> addresses = settings.value().seeds;
  if (settings.value().listen_control) {
    addresses.insert(addresses.begin(), *settings.value().listen_control);
  }
  if (addresses.empty()) {
    return MakeError(ErrorCode::kInvalid,
                     std::string(path) + ": expected listen.control or seeds, or give --address");
  }
  return addresses;
}

Result<std::vector<net::Address>> AddressesOf(const StatusOptions& options) {
  if (options.addresses.empty()) return AddressesOfSettings();
  std::vector<net::Address> addresses;
  for (const std::string& text : options.addresses) {
    const std::optional<net::Address> address = net::Address::Parse(text);
    if (!address) {
      return MakeError(ErrorCode::kInvalid, "--address " + text + ": expected ADDRESS:PORT");
    }
    addresses.push_back(*address);
  }
  return addresses;
}

struct Answer {
  std::string json;
  cluster::StatusReport report;
};

// Fetches and parses the status; the error says what was expected and what was received.
Result<Answer> Ask(const net::Address& core, std::chrono::milliseconds timeout) {
  const Result<std::string> body = operator_api::FetchStatus(core, timeout);
  if (!body) {
    return MakeError(body.error().code,
                     "expected the status of a core process, " + body.error().text);
  }
  const auto report = cluster::ReadStatusReport(body.value());
  if (!report) {
    return MakeError(ErrorCode::kInvalid,
                     "expected the status of a core process, got " + TextOf(report.error()));
  }
  return Answer{body.value(), report.value()};
}

// Asks core processes one after the other until one answers as the primary. A process that an
// answer names as the primary is asked next; no process is asked twice.
class PrimarySearch {
 public:
  PrimarySearch(std::vector<net::Address> addresses, std::chrono::milliseconds timeout)
      : pending_(addresses.begin(), addresses.end()), timeout_(timeout) {}

  std::optional<Answer> FindPrimary() {
    while (!pending_.empty() && asked_.size() < kMaxProcessesAsked) {
      const net::Address core = pending_.front();
      pending_.pop_front();
      if (!asked_.insert(core).second) continue;
      Result<Answer> answer = Ask(core, timeout_);
      if (!answer) {
        AddFailure(core, answer.error().text);
      } else if (answer.value().report.leads) {
        return std::move(answer.value());
      } else {
        AddFailure(core, "expected the primary, this process is not");
        const auto& primary = answer.value().report.primary_control;
        if (primary) pending_.push_front(*primary);
      }
    }
    return std::nullopt;
  }

  // Why no answer was that of the primary, as ADDRESS: REASON, separated by "; ".
  const std::string& failures() const { return failures_; }

 private:
  void AddFailure(const net::Address& core, const std::string& text) {
    if (!failures_.empty()) failures_ += "; ";
    failures_ += core.Text() + ": " + text;
  }

  std::deque<net::Address> pending_;
  std::chrono::milliseconds timeout_;
  std::set<net::Address> asked_;
  std::string failures_;
};

int ExitStatusOf(const cluster::StatusReport& report) {
  switch (cluster::RedundancyOf(report)) {
    case cluster::Redundancy::kWhole:
      return kExitFullyReplicated;
    case cluster::Redundancy::kLacking:
      return kExitUnderReplicated;
    case cluster::Redundancy::kUnknown:
      return kExitUnknown;
  }
  return kExitUnknown;
}

}  // namespace

int RunStatus(const StatusOptions& options) {
  const Result<std::vector<net::Address>> addresses = AddressesOf(options);
  if (!addresses) return ReportUnknown(addresses.error().text);
  PrimarySearch search(addresses.value(), options.timeout);
  const std::optional<Answer> answer = search.FindPrimary();
  if (!answer) return ReportUnknown(search.failures());
  std::cout << (options.json ? answer->json + "\n" : cluster::TextOf(answer->report));
  std::cout.flush();
  const int status = ExitStatusOf(answer->report);
  if (status != kExitUnknown) return status;
  return ReportUnknown(answer->report.node +
                       ": expected a primary that has heard of all stores; ask again");
}

}  // namespace shelflink::programs
