// `shelflink-control status`: asks core processes until one answers as the primary, and prints what
// it reports about replication. Blocks until it has an answer, so nothing else may run in the
// process.
#ifndef SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_
#define SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace shelflink::programs {

// Limit on the core processes that are asked, including those that an answer names.
constexpr std::size_t kMaxProcessesAsked = 16;

// Exit statuses.
constexpr int kExitFullyReplicated = 0;
constexpr int kExitUnderReplicated = 1;
constexpr int kExitUnknown = 2;

struct StatusOptions {
  // `listen.control` of core processes, as ADDRESS:PORT. Empty: listen.control and seeds of the
  // settings file that SHELFLINK_CONFIG names.
  std::vector<std::string> addresses;
  std::chrono::milliseconds timeout{2000};  // For each call.
  bool json = false;
};

// Prints the status to standard output, or, if it cannot be determined, one line to standard error.
// Returns the exit status.
int RunStatus(const StatusOptions& options);

}  // namespace shelflink::programs

#endif  // SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_
