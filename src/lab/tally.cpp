#include "lab/tally.h"

#include <algorithm>

namespace shelflab {
namespace {

constexpr unsigned kBins = 1600;  // Over 6.7 decades: each about 1 % wide.
constexpr double kLeastMs = 0.02;
constexpr double kMostMs = 100'000;

void Count(Cell& cell, const Ended& e, Micros aim) {
  ++cell.arrivals;
  cell.tries += e.tries;
  cell.refusals += e.refusals;
  switch (e.end) {
    case TryEnd::kServed:
      ++(e.latency <= aim ? cell.in_time : cell.late);
      cell.latency.Add(e.latency);
      return;
    case TryEnd::kRefused:
      ++cell.refused;
      return;
    case TryEnd::kFailed:
      ++cell.failed;
      return;
    case TryEnd::kTimedOut:
      ++cell.timed_out;
      return;
    case TryEnd::kUnreached:
      ++cell.unreached;
      return;
  }
}

}  // namespace

Latencies::Latencies()
    : counts_(boost::histogram::make_histogram(Axis(kBins, kLeastMs, kMostMs))) {}

void Latencies::Add(Micros latency) {
  const double ms = static_cast<double>(latency) / 1000;
  counts_(std::clamp(ms, kLeastMs, kMostMs * 0.999));
  ++count_;
  sum_ms_ += ms;
}

void Latencies::Add(const Latencies& other) {
  counts_ += other.counts_;
  count_ += other.count_;
  sum_ms_ += other.sum_ms_;
}

double Latencies::Quantile(double share) const {
  const double wanted = share * count_;
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(counts_)) {
    const auto in_bin = static_cast<double>(*bin);
    if (in_bin > 0 && sum + in_bin >= wanted) {
      const double low = bin.bin().lower();
      return low + (bin.bin().upper() - low) * std::max(0.0, (wanted - sum) / in_bin);
    }
    sum += in_bin;
  }
  return 0;
}

void Cell::Add(const Cell& o) {
  arrivals += o.arrivals;
  in_time += o.in_time;
  late += o.late;
  refused += o.refused;
  failed += o.failed;
  timed_out += o.timed_out;
  unreached += o.unreached;
  tries += o.tries;
  refusals += o.refusals;
  latency.Add(o.latency);
}

Tally::Tally(Micros window, Micros length, const FleetSpec& fleet)
    : window_(window),
      classes_(fleet.classes),
      cells_(static_cast<std::size_t>(std::max<Micros>(1, (length + window - 1) / window)),
             std::vector<Cell>(fleet.classes.size())),
      tenants_(fleet.tenants.size()) {}

void Tally::Add(const Ended& e) {
  const auto window = std::min(static_cast<std::size_t>(e.arrival.at / window_), cells_.size() - 1);
  const Micros aim = classes_[e.arrival.cls].aim;
  Count(cells_[window][e.arrival.cls], e, aim);
  if (e.arrival.tenant < tenants_.size()) Count(tenants_[e.arrival.tenant], e, aim);
}

Cell Tally::OfClass(std::size_t cls) const {
  Cell sum;
  for (const auto& window : cells_) sum.Add(window[cls]);
  return sum;
}

double Tally::Goodput(std::size_t from, std::size_t to) const {
  double asked = 0;
  double got = 0;
  for (std::size_t w = from; w < std::min(to, cells_.size()); ++w) {
    for (std::size_t c = 0; c < classes_.size(); ++c) {
      asked += classes_[c].worth * static_cast<double>(cells_[w][c].arrivals);
      got += classes_[c].worth * static_cast<double>(cells_[w][c].in_time);
    }
  }
  return asked > 0 ? got / asked : 1;
}

}  // namespace shelflab
