// `shelflab bench`: what a sidecar costs, against the same requests sent straight to an endpoint
// and through a relay that only moves bytes (the limit of what a sidecar could cost).
#ifndef SHELFLAB_LAB_BENCH_H_
#define SHELFLAB_LAB_BENCH_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shelflab {

struct BenchOptions {
  std::string sidecar_program;
  std::string folder;
  std::uint32_t connections = 64;  // Of the closed loop that saturates.
  std::uint32_t endpoints = 4;
  double seconds = 5;         // For each measurement.
  std::uint32_t repeats = 3;  // The three ways in turn, so often; figures are medians.
  std::uint32_t idle_connections = 3000;
  std::function<void(const std::string&)> progress;
};

// Throws std::runtime_error if one of its processes cannot be started or fails.
nlohmann::json RunBench(const BenchOptions& options);
std::string BenchSummary(const nlohmann::json& result);

struct LimitsOptions {
  std::string folder;
  std::vector<double> rates;  // Requests a second, one step after the other.
  std::uint32_t nodes = 100;
  std::uint32_t connections = 1000;  // Clients; each holds one.
  double seconds = 5;                // For each step.
  std::function<void(const std::string&)> progress;
};

// How many requests a second the emulator and the load tool hold, each a process of its own, before
// they are late themselves. Throws std::runtime_error if the emulation cannot be started.
nlohmann::json RunLimits(const LimitsOptions& options);

// The peers that a bench starts as processes of their own; both run until they are killed, and
// print their addresses to standard output, a line each.
// An endpoint that answers every request at once, and discovery that lists all of them.
void RunEcho(std::uint32_t endpoints);
// Moves bytes between each client and a connection of its own to the target.
void RunRelay(const boost::asio::ip::tcp::endpoint& target);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_BENCH_H_
