// State of one endpoint: attempts in flight, health by level, slowness, connections.
#ifndef GAUGECART_POLICY_ENDPOINT_STATE_H_
#define GAUGECART_POLICY_ENDPOINT_STATE_H_

#include <cmath>
#include <limits>
#include <map>
#include <vector>

#include "policy/health.h"

namespace gaugecart {

constexpr double kSlownessDecayMicros = 5e6;  // Time constant.
constexpr std::size_t kUncapped = std::numeric_limits<std::size_t>::max();

struct EndpointState {
  Endpoint info;
  bool listed = false;

  struct InFlight {
    RequestId request;
    std::uint32_t attempt;
    Micros sent;
    Micros expected_within;  // Unanswered for longer, the attempt shows silence.
    Micros timeout;          // Time given to the attempt.
    std::uint32_t level;
    bool over_cap = false;  // Sent above connection_cap, to test it.
  };
  std::vector<InFlight> in_flight;  // This balancer's unanswered attempts, oldest first.

  Health health;
  Micros last_answer = std::numeric_limits<Micros>::min() / 2;
  Micros backoff_until = 0;
  int rejections = 0;  // Consecutive; each one doubles the backoff.

  // Concurrent calls that its connections carry; above that, new connections failed recently.
  std::size_t connection_cap = kUncapped;
  std::vector<Micros> idle;  // Open idle connections: idle since when, latest last.

  double slowness = 1.0;  // Answer time over the typical one; decays to 1 without answers.
  Micros slowness_at = 0;

  double Slowness(Micros now) const {
    return 1.0 + (slowness - 1.0) *
                     std::exp(-static_cast<double>(now - slowness_at) / kSlownessDecayMicros);
  }

  // Health by priority level: some endpoints fail or never answer one level and serve the others.
  struct LevelHealth {
    double failure_rate = 0.0;
    int strikes = 0;
    Micros avoid_until = 0;
    Micros last_answer = std::numeric_limits<Micros>::min() / 2;
  };
  std::map<std::uint32_t, LevelHealth> by_level;

  double cold_credit = 0.0;
  Micros cold_credit_at = 0;

  bool Ready() const { return listed && info.availability == Availability::kReady; }
  bool Cold(Micros warm_up, Micros now) const {
    return info.launched > 0 && warm_up > 0 && now - info.launched < warm_up;
  }
};

}  // namespace gaugecart

#endif  // GAUGECART_POLICY_ENDPOINT_STATE_H_
