// The coordination store that stands in for a real one, as a process: `shelflab coordinator`.
#ifndef SHELFLAB_LAB_COORDINATOR_H_
#define SHELFLAB_LAB_COORDINATOR_H_

#include <cstdint>
#include <string>

namespace shelflab {

struct CoordinatorOptions {
  std::string listen = "127.0.0.1:0";
  std::string journal;     // What it acknowledges is there first; empty: it forgets.
  std::uint64_t seed = 1;  // Of which answers it loses.
};

// Until SIGTERM or SIGINT. Prints its address. Throws std::runtime_error naming what cannot be had.
void RunCoordinator(const CoordinatorOptions& options);

// What operators ask of a fleet through the door of any of its sidecars: prints the answer, and
// returns the exit code.
struct FleetCall {
  std::string door;
  std::string method = "GET";
  std::string path = "/fleet";
  std::string body;
};
int AskFleet(const FleetCall& call);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_COORDINATOR_H_
