// What a fleet is made of: plain values, read from a file by the lab or written in a test. Times
// are microseconds, work is microseconds of one core of speed 1 (the yardstick).
#ifndef SHELFLAB_EMULATOR_SPEC_H_
#define SHELFLAB_EMULATOR_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shelflab {

using Micros = std::int64_t;
using NodeId = std::uint32_t;  // Dense, over all tiers.

constexpr Micros kNever = INT64_MAX;
constexpr Micros kSecond = 1'000'000;

enum class Repeat { kIdempotent, kAtMostOnce };

enum class Shape { kUniform, kExponential, kFixed };

// Work of a request. Uniform from low to high; exponential or fixed: the mean of the two.
struct WorkSpec {
  Shape shape = Shape::kUniform;
  double low = 0;
  double high = 0;
  double Mean() const { return (low + high) / 2; }
};

struct ClassSpec {
  std::string name;
  double share = 1;  // Of the requests, in relation to the other classes.
  WorkSpec work;     // Over all tiers; a tier does its share of it.
  Micros aim = 0;
  Micros give_up = 0;
  double worth = 1;
  Repeat repeat = Repeat::kAtMostOnce;
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota_per_s = 0;
};

// A node that has far more requests waiting than cores for a while turns slower and sticks there.
struct ChokeSpec {
  double crowd = 0;     // Waiting requests for each core from which it is crowded; 0: never chokes.
  Micros enter = 0;     // Crowded without a break for so long.
  double slowdown = 1;  // Its work takes so many times as long.
  double idle_share = 0.5;  // Mostly idle: at most this share of its cores busy ...
  Micros leave = 0;         // ... without a break for so long ends it.
};

struct KindSpec {
  std::string name;
  double share = 1;  // Of the tier's nodes.
  double speed_low = 1;
  double speed_high = 1;
};

struct ServerSpec {
  std::uint32_t cores = 1;
  std::uint32_t slots = 8;          // Requests in work, those that wait for a core included.
  std::uint32_t waiting_room = 16;  // Beyond the slots; what comes on top is turned away.
  std::uint32_t connections = 1024;
  double speed = 1;           // Of each core.
  Micros handshake_work = 0;  // Added to the first request of a connection.
  Micros idle_close = 0;      // A connection without a request is closed after this; 0: never.
  double cold_share = 1;      // Of its capacity, at its start.
  Micros warm_up = 0;         // Until it has all of it.
  ChokeSpec choke;
  double fall_multiple = 3;  // Falls over when sent more than this many times what it can do ...
  Micros fall = 0;           // ... for so long while it is cold; 0: never.
};

struct TierSpec {
  std::string name;
  std::uint32_t nodes = 1;
  std::uint32_t sidecars = 1;  // Of the first tier; later ones have one for each node above.
  double work_share = 1;       // Of a class's work, for each call.
  double calls = 0;            // To the next tier for each request, on average.
  double before_calls = 0.5;   // Share of the work that is done before the calls.
  ServerSpec server;           // Speed comes from the kinds.
  std::vector<KindSpec> kinds;
  std::vector<double> speeds;  // By node, in place of what the kinds would draw; may be empty.
};

struct DiscoverySpec {
  Micros lateness = kSecond;          // From a change to its place in the list.
  Micros call_cost = 1000;            // Calls are handled in turn, each for so long.
  Micros longest_wait = 2 * kSecond;  // A call that waited longer ends with 503.
};

struct FleetSpec {
  std::string zone = "z0";
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<TierSpec> tiers;
  DiscoverySpec discovery;
  Micros drain_grace = 2 * kSecond;
  std::uint32_t max_attempts = 3;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_SPEC_H_
