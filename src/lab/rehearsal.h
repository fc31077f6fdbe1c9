// `shelflab emulate` and `shelflab load`: a fleet that runs until it is stopped, steered over its
// control socket, and a load on whatever listens.
#ifndef SHELFLAB_LAB_REHEARSAL_H_
#define SHELFLAB_LAB_REHEARSAL_H_

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/plan.h"

namespace shelflab {

struct RehearsalOptions {
  std::string sidecar_program;  // Empty: endpoints and discovery only.
  std::string folder;
  std::string control;     // Path of the control socket; empty: none.
  std::string state_file;  // Where the addresses are written; empty: nowhere.
  double seconds = 0;      // 0: until SIGINT, SIGTERM or a stop over the control socket.
  std::uint64_t seed = 1;
};

// Runs the fleet; incidents of the plan begin when all sidecars are ready. Prints what it does to
// standard error and the account to standard output. Throws std::runtime_error if it cannot start.
void Rehearse(const Plan& plan, const RehearsalOptions& options);

// Throws BadPlan if the text is no loopback ADDRESS:PORT.
boost::asio::ip::tcp::endpoint ParseTarget(const std::string& text);

struct LoadOptions {
  std::vector<std::string> targets;  // ADDRESS:PORT of sidecars.
  std::uint64_t seed = 1;
  bool quiet = false;
};

// Plays the plan's load on the targets; gives a result of one run. Throws BadPlan for a target that
// is no address.
nlohmann::json RunLoad(const Plan& plan, const LoadOptions& options);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_REHEARSAL_H_
