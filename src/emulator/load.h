// The callers, decided without I/O: when requests are meant to be sent, of which class and tenant,
// and what a client does about an answer. Open loop: arrivals never wait for answers.
#ifndef SHELFLAB_EMULATOR_LOAD_H_
#define SHELFLAB_EMULATOR_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/spec.h"

namespace shelflab {

// A stretch of load whose rate runs evenly from one figure to the other.
struct PhaseSpec {
  Micros lasts = 0;
  double from = 0;  // Requests a second.
  double to = 0;
};

struct BurstSpec {
  Micros at = 0;
  Micros lasts = 0;
  double factor = 1;
  Micros edge = 200'000;  // Rises and falls over so long, inside its span.
};

// A day as recorded: how many requests of each class came in each window.
struct TraceSpec {
  Micros window = kSecond;
  std::vector<std::vector<double>> counts;  // By window, then by class.
};

struct ClientSpec {
  std::uint32_t clients = 100;  // Connections, each with one request at a time.
  std::uint32_t retries = 3;    // After the first try.
  Micros pause_low = 0;         // Before a retry; drawn once for each client.
  Micros pause_high = 200'000;
  double give_up_low = 0.42;   // A try is given up after this share of the class's time,
  double give_up_high = 0.55;  // drawn once for each client.
  double heeds_advice = 1;     // Share of clients that wait as Retry-After says.
  Micros longest_advice = 2 * kSecond;
};

struct LoadSpec {
  std::vector<PhaseSpec> phases;
  std::vector<BurstSpec> bursts;
  std::optional<TraceSpec> trace;  // In place of the phases.
  bool even = false;               // Evenly spaced, in place of Poisson.
  ClientSpec client;
  Micros Length() const;
  // Requests a second at that time, bursts included.
  double RateAt(Micros at) const;
};

struct Arrival {
  Micros at = 0;
  std::uint32_t cls = 0;
  std::uint32_t tenant = 0;
};

class Arrivals {
 public:
  Arrivals(const LoadSpec& load, const FleetSpec& fleet, std::uint64_t seed);
  // In order of time; none when the load is over.
  std::optional<Arrival> Next();

 private:
  std::optional<Arrival> NextOfRate();
  std::optional<Arrival> NextOfTrace();
  void FillWindow();
  std::uint32_t PickClass();
  std::uint32_t PickTenant();

  LoadSpec load_;
  std::vector<double> class_shares_;   // Summed up, ending with 1.
  std::vector<double> tenant_shares_;  // The same; empty without tenants.
  Random random_;
  Micros length_;
  double highest_ = 0;
  Micros at_ = 0;
  double owed_ = 0;  // Of the next evenly spaced request.
  std::size_t window_ = 0;
  std::vector<Arrival> ready_;  // Of the present window, last first.
};

// What came of a try, as its client sees it.
enum class TryEnd {
  kServed,
  kRefused,    // 429 or 503: it never ran.
  kFailed,     // Any other answer, or a broken connection.
  kTimedOut,   // The client stopped waiting.
  kUnreached,  // No connection came up.
};

// One client's habits, drawn once.
class ClientHabits {
 public:
  ClientHabits(const ClientSpec& spec, Random& random);
  // How long a try of the class is waited for, of what is left of its time.
  Micros Patience(const ClassSpec& cls, Micros left) const;
  // How long to wait before the next try; none: the client leaves it. `tries` were made; `left` is
  // what remains of the time that it waits in all; `advice` came with a refusal, 0 for none.
  std::optional<Micros> Retry(const ClassSpec& cls, TryEnd end, std::uint32_t tries, Micros left,
                              Micros advice) const;

 private:
  std::uint32_t retries_;
  Micros pause_;
  double share_;
  bool heeds_;
  Micros longest_advice_;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_LOAD_H_
