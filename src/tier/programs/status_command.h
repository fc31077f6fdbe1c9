// `shelflink-control status`: asks core processes until one answers as the primary, and prints what
// it tells of copies. Waits for the answers; nothing else may run in the process.
#ifndef SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_
#define SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace shelflink::programs {

// Core processes that are asked, those that an answer names included.
constexpr std::size_t kMostAsked = 16;

// What the exit status tells.
constexpr int kExitWhole = 0;
constexpr int kExitLacking = 1;
constexpr int kExitUnknown = 2;

struct StatusOptions {
  // Of `listen.control`, as ADDRESS:PORT; empty: listen.control and seeds of the settings file.
  std::vector<std::string> addresses;
  std::chrono::milliseconds timeout{2000};  // Of each call.
  bool json = false;
};

// Prints to standard output; where it cannot be told, one line to standard error.
int RunStatus(const StatusOptions& options);

}  // namespace shelflink::programs

#endif  // SHELFLINK_TIER_PROGRAMS_STATUS_COMMAND_H_
