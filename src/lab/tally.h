// What came of a load: counts and latencies by window and class. Latency counts from the time that
// a request was meant to be sent, so that a tool or a sidecar that stalls hides nothing.
#ifndef SHELFLAB_LAB_TALLY_H_
#define SHELFLAB_LAB_TALLY_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

#include "emulator/load.h"
#include "emulator/spec.h"

namespace shelflab {

// Latencies in milliseconds, to about 1 %; from 0.02 ms to 100 s, what lies outside at the ends.
class Latencies {
 public:
  Latencies();
  void Add(Micros latency);
  void Add(const Latencies& other);
  double count() const { return count_; }
  // In milliseconds; 0 where nothing was counted.
  double Quantile(double share) const;
  double Mean() const { return count_ == 0 ? 0 : sum_ms_ / count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  Counts counts_;
  double count_ = 0;
  double sum_ms_ = 0;
};

struct Cell {
  std::uint64_t arrivals = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;  // Served, but after the aim.
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t unreached = 0;
  std::uint64_t tries = 0;     // By the clients.
  std::uint64_t refusals = 0;  // Of single tries.
  Latencies latency;           // Of what was served.
  void Add(const Cell& other);
};

struct Ended {
  Arrival arrival;  // `at` from the start of the load.
  Micros latency = 0;
  TryEnd end = TryEnd::kFailed;
  std::uint32_t tries = 0;
  std::uint32_t refusals = 0;
};

class Tally {
 public:
  Tally(Micros window, Micros length, const FleetSpec& fleet);
  void Add(const Ended& ended);

  Micros window() const { return window_; }
  std::size_t windows() const { return cells_.size(); }
  const Cell& At(std::size_t window, std::size_t cls) const { return cells_[window][cls]; }
  Cell OfClass(std::size_t cls) const;
  const std::vector<Cell>& tenants() const { return tenants_; }
  // The worth answered within its aim, over the worth asked for; 1 where nothing was asked.
  double Goodput() const { return Goodput(0, cells_.size()); }
  double Goodput(std::size_t from, std::size_t to) const;

 private:
  Micros window_;
  std::vector<ClassSpec> classes_;
  std::vector<std::vector<Cell>> cells_;
  std::vector<Cell> tenants_;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_TALLY_H_
