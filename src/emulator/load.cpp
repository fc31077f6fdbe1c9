#include "emulator/load.h"

#include <algorithm>
#include <numeric>

namespace shelflab {
namespace {

template <typename Specs>
std::vector<double> SummedShares(const Specs& specs) {
  std::vector<double> sums;
  sums.reserve(specs.size());
  double sum = 0;
  for (const auto& s : specs) sums.push_back(sum += s.share);
  for (double& s : sums) s /= sum;
  return sums;
}

std::uint32_t Pick(const std::vector<double>& sums, double unit) {
  const auto it = std::upper_bound(sums.begin(), sums.end(), unit);
  return static_cast<std::uint32_t>(
      std::min<std::ptrdiff_t>(it - sums.begin(), static_cast<std::ptrdiff_t>(sums.size()) - 1));
}

double BurstFactor(const BurstSpec& burst, Micros at) {
  const Micros end = burst.at + burst.lasts;
  if (at < burst.at || at >= end) return 1;
  const Micros inside = std::min(at - burst.at, end - at);
  const Micros edge = std::max<Micros>(1, std::min(burst.edge, burst.lasts / 2));
  const double part = std::min(1.0, static_cast<double>(inside) / static_cast<double>(edge));
  return 1 + (burst.factor - 1) * part;
}

}  // namespace

Micros LoadSpec::Length() const {
  if (trace) return trace->window * static_cast<Micros>(trace->counts.size());
  Micros sum = 0;
  for (const PhaseSpec& p : phases) sum += p.lasts;
  return sum;
}

double LoadSpec::RateAt(Micros at) const {
  double rate = 0;
  Micros begin = 0;
  for (const PhaseSpec& p : phases) {
    if (at >= begin && at < begin + p.lasts) {
      rate =
          p.from + (p.to - p.from) * static_cast<double>(at - begin) / static_cast<double>(p.lasts);
    }
    begin += p.lasts;
  }
  for (const BurstSpec& b : bursts) rate *= BurstFactor(b, at);
  return rate;
}

Arrivals::Arrivals(const LoadSpec& load, const FleetSpec& fleet, std::uint64_t seed)
    : load_(load),
      class_shares_(SummedShares(fleet.classes)),
      tenant_shares_(SummedShares(fleet.tenants)),
      random_(seed, 0xa221),
      length_(load.Length()) {
  for (const PhaseSpec& p : load_.phases) highest_ = std::max({highest_, p.from, p.to});
  for (const BurstSpec& b : load_.bursts) highest_ *= std::max(1.0, b.factor);
}

std::optional<Arrival> Arrivals::Next() { return load_.trace ? NextOfTrace() : NextOfRate(); }

// Poisson by thinning: candidates at the highest rate, each kept with the share that the rate has
// of it (Lewis and Shedler, 1979).
std::optional<Arrival> Arrivals::NextOfRate() {
  if (highest_ <= 0) return std::nullopt;
  constexpr double kLeastRate = 0.1;  // Looks again after 10 s where there is no load.
  for (;;) {
    const double rate = load_.RateAt(at_);
    const double base = load_.even ? std::max(rate, kLeastRate) : highest_;
    const double gap = static_cast<double>(kSecond) / base;
    owed_ += load_.even ? gap : random_.Exponential(gap);
    const auto whole = static_cast<Micros>(owed_);
    owed_ -= static_cast<double>(whole);
    at_ += whole;
    if (at_ >= length_) return std::nullopt;
    const bool kept = load_.even ? rate > 0 : random_.Chance(load_.RateAt(at_) / highest_);
    if (kept) return Arrival{at_, PickClass(), PickTenant()};
  }
}

std::optional<Arrival> Arrivals::NextOfTrace() {
  while (ready_.empty()) {
    if (window_ >= load_.trace->counts.size()) return std::nullopt;
    FillWindow();
    ++window_;
  }
  const Arrival next = ready_.back();
  ready_.pop_back();
  return next;
}

// As many as were recorded, at times of their own: what a Poisson stream with that count looks
// like.
void Arrivals::FillWindow() {
  const TraceSpec& trace = *load_.trace;
  const auto& counts = trace.counts[window_];
  const double begin = static_cast<double>(trace.window) * static_cast<double>(window_);
  for (std::uint32_t cls = 0; cls < counts.size(); ++cls) {
    const std::uint32_t count = random_.Around(counts[cls]);
    for (std::uint32_t i = 0; i < count; ++i) {
      const double at = begin + random_.Unit() * static_cast<double>(trace.window);
      const double factor = std::accumulate(load_.bursts.begin(), load_.bursts.end(), 1.0,
                                            [&](double f, const BurstSpec& b) {
                                              return f * BurstFactor(b, static_cast<Micros>(at));
                                            });
      for (std::uint32_t n = random_.Around(factor); n > 0; --n) {
        ready_.push_back({static_cast<Micros>(at), cls, PickTenant()});
      }
    }
  }
  std::sort(ready_.begin(), ready_.end(),
            [](const Arrival& a, const Arrival& b) { return a.at > b.at; });
}

std::uint32_t Arrivals::PickClass() { return Pick(class_shares_, random_.Unit()); }

std::uint32_t Arrivals::PickTenant() {
  return tenant_shares_.empty() ? 0 : Pick(tenant_shares_, random_.Unit());
}

ClientHabits::ClientHabits(const ClientSpec& spec, Random& random)
    : retries_(spec.retries),
      pause_(random.Chance(0.5)
                 ? 0
                 : static_cast<Micros>(random.Between(static_cast<double>(spec.pause_low),
                                                      static_cast<double>(spec.pause_high)))),
      share_(random.Between(spec.give_up_low, spec.give_up_high)),
      heeds_(random.Chance(spec.heeds_advice)),
      longest_advice_(spec.longest_advice) {}

Micros ClientHabits::Patience(const ClassSpec& cls, Micros left) const {
  return std::min(left, static_cast<Micros>(share_ * static_cast<double>(cls.give_up)));
}

std::optional<Micros> ClientHabits::Retry(const ClassSpec& cls, TryEnd end, std::uint32_t tries,
                                          Micros left, Micros advice) const {
  if (end == TryEnd::kServed || tries > retries_) return std::nullopt;
  const bool harmless = end == TryEnd::kRefused || end == TryEnd::kUnreached;
  if (!harmless && cls.repeat != Repeat::kIdempotent) return std::nullopt;
  const Micros pause =
      heeds_ && advice > 0 ? std::max(pause_, std::min(advice, longest_advice_)) : pause_;
  if (pause >= left) return std::nullopt;
  return pause;
}

}  // namespace shelflab
