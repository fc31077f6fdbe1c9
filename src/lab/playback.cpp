#include "lab/playback.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <stdexcept>

#include "emulator/random.h"
#include "emulator/server.h"

namespace shelflab {
namespace {

using Json = nlohmann::json;

// A window belongs to a slow stretch when its node took this many times its calm time, and ends one
// when it took less than the second figure.
constexpr double kEnter = 1.4;
constexpr double kLeave = 1.15;
constexpr double kLeastFactor = 1.3;       // A stretch that is less slow is left out as chance,
constexpr std::size_t kLeastWindows = 3;   // and so is a shorter one, but for one that is
constexpr double kPlainFactor = 2;         // plainly slow, told by
constexpr std::size_t kLeastRequests = 3;  // so many requests.
// What is fitted: a low quantile says how fast a node works; the mean says how it was crowded too,
// and a sidecar sends more evenly than the Poisson arrivals of the fit.
constexpr double kFitted = 0.25;
constexpr std::size_t kJobs = 8000;   // Simulated for each trial of a fit.
constexpr double kMiddle = 0.5;       // What a refinement compares.
constexpr double kMostRefined = 2;    // At a time, either way.
constexpr int kTrials = 18;           // Halvings of the range.
constexpr Micros kCallSpan = 20'000;  // Stands for a call while own times are fitted.
constexpr double kTenth = 0.1;

// Own times in one window, microseconds.
using Window = std::vector<double>;

std::vector<Window> WindowsOf(const Json& node) {
  std::vector<Window> windows;
  for (const Json& times : node.at("service_ms")) {
    Window& window = windows.emplace_back();
    for (const Json& ms : times) window.push_back(ms.get<double>() * 1000);
  }
  return windows;
}

double QuantileOf(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto place =
      values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

std::vector<double> Joined(const std::vector<Window>& windows, std::size_t from,
                           std::size_t until) {
  std::vector<double> all;
  for (std::size_t w = from; w < until; ++w) {
    all.insert(all.end(), windows[w].begin(), windows[w].end());
  }
  return all;
}

struct Span {
  std::size_t from = 0;
  std::size_t until = 0;  // One past the last window.
};

// How long a node took around a window; 0 where nothing was sent in it. A window of few requests is
// looked at together with the next ones: a node that is avoided gets few.
double Level(const std::vector<Window>& windows, std::size_t w) {
  constexpr std::size_t kEnough = 5;
  constexpr std::size_t kMostJoined = 3;
  if (windows[w].empty()) return 0;
  std::vector<double> times = windows[w];
  for (std::size_t n = w + 1; n < std::min(windows.size(), w + kMostJoined); ++n) {
    if (times.size() >= kEnough) break;
    times.insert(times.end(), windows[n].begin(), windows[n].end());
  }
  return QuantileOf(std::move(times), kFitted);
}

// Short or slightly slow stretches are as likely chance; long or very slow ones are not.
bool Believed(const std::vector<Window>& windows, const Span& span, double calm) {
  const std::vector<double> times = Joined(windows, span.from, span.until);
  const double ratio = QuantileOf(times, kFitted) / calm;
  if (times.size() >= kLeastRequests && ratio >= kPlainFactor) return true;
  return span.until - span.from >= kLeastWindows && ratio >= kLeastFactor;
}

// Windows in which nothing was sent to the node tell nothing: they belong to a span that goes on
// after them, and half of them to one that does not.
std::vector<Span> SlowSpans(const std::vector<Window>& windows, double calm) {
  std::vector<Span> spans;
  for (std::size_t w = 0; w < windows.size(); ++w) {
    if (Level(windows, w) < kEnter * calm) continue;
    Span span{w, w + 1};
    std::size_t last = w;
    for (; w < windows.size(); ++w) {
      const double level = Level(windows, w);
      if (level > 0 && level < kLeave * calm) break;
      if (level > 0) last = w;
    }
    span.until = last + 1 + (std::min(w, windows.size()) - last - 1) / 2;
    if (Believed(windows, span, calm)) spans.push_back(span);
  }
  return spans;
}

// What tells how slow a node was: the first and last windows of a stretch are in part calm ones.
std::vector<double> CoreOf(const std::vector<Window>& windows, const Span& span) {
  std::vector<double> core =
      Joined(windows, span.from + 1, std::max(span.from + 1, span.until - 1));
  return core.size() >= kLeastRequests ? core : Joined(windows, span.from, span.until);
}

// What the fit plays a node with.
struct Trial {
  ServerSpec server;
  const TierSpec* tier = nullptr;
  const FleetSpec* fleet = nullptr;
  std::vector<double> class_shares;  // Summed up, ending with 1.
  double per_second = 0;
  double slow = 1;
  Micros length = 0;  // Of one play, from an idle start; 0: one long play.
};

double DrawWork(const WorkSpec& work, Random& random) {
  if (work.shape == Shape::kUniform) return random.Between(work.low, work.high);
  return work.shape == Shape::kExponential ? random.Exponential(work.Mean()) : work.Mean();
}

// The fitted quantile of own times at one server of the model under Poisson arrivals.
double OwnTime(const Trial& t) {
  Random random(1, 0xf17);
  std::vector<double> times;
  std::size_t empty = 0;
  const double gap = 1e6 / std::max(0.01, t.per_second);
  while (times.size() + empty < kJobs) {
    Server server(t.server);
    server.Start(0, false);
    server.SetSlow(0, t.slow);
    std::vector<Micros> came;
    std::vector<std::uint32_t> calls;
    std::vector<ServerEffect> effects;
    using Return = std::pair<Micros, JobId>;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> returns;
    const auto run_to = [&](Micros until) {
      for (;;) {
        const Micros next = std::min(server.Next(), returns.empty() ? kNever : returns.top().first);
        if (next > until || next == kNever) break;
        effects.clear();
        server.Advance(next, effects);
        for (const ServerEffect& e : effects) {
          if (e.kind == ServerEffect::Kind::kCall) {
            returns.emplace(e.at + kCallSpan, e.job);
          } else {
            times.push_back(static_cast<double>(e.at - came[e.job] -
                                                static_cast<Micros>(calls[e.job]) * kCallSpan));
          }
        }
        while (!returns.empty() && returns.top().first <= next) {
          const JobId job = returns.top().second;
          returns.pop();
          server.CallDone(next, job, true);
        }
      }
      effects.clear();
      server.Advance(until, effects);
    };
    double at = random.Exponential(gap);
    const double end = t.length > 0 ? static_cast<double>(t.length) : gap * kJobs;
    while (at < end) {
      const auto now = static_cast<Micros>(at);
      at += random.Exponential(gap);
      run_to(now);
      const double unit = random.Unit();
      const auto cls = static_cast<std::size_t>(
          std::upper_bound(t.class_shares.begin(), t.class_shares.end() - 1, unit) -
          t.class_shares.begin());
      const double work = DrawWork(t.fleet->classes[cls].work, random) * t.tier->work_share;
      const std::uint32_t n = random.Around(t.tier->calls);
      const double first = n > 0 ? work * t.tier->before_calls : work;
      if (!server.Offer(now, {came.size(), first, work - first, n})) continue;
      came.push_back(now);
      calls.push_back(n);
    }
    run_to(kNever - 1);
    if (came.empty()) ++empty;  // An empty play must not go on for ever.
  }
  return QuantileOf(std::move(times), kFitted);
}

// Where `rises(x)` passes the goal, by halving a range on a logarithmic scale.
double Solve(double low, double high, double goal, const std::function<double(double)>& rises) {
  for (int i = 0; i < kTrials; ++i) {
    const double middle = std::sqrt(low * high);
    (rises(middle) < goal ? low : high) = middle;
  }
  return std::sqrt(low * high);
}

std::vector<double> ClassShares(const Json& day) {
  std::vector<double> sums;
  for (const Json& window : day.at("arrivals")) {
    sums.resize(window.size());
    for (std::size_t c = 0; c < window.size(); ++c) sums[c] += window[c].get<double>();
  }
  double all = 0;
  for (double& s : sums) s = all += s;
  for (double& s : sums) s /= std::max(1.0, all);
  return sums;
}

const char* const kQuantiles[] = {"p50_ms", "p90_ms", "p99_ms"};

double MeanOver(const Json& runs, std::size_t window, std::size_t cls, const char* key,
                std::size_t left_out = SIZE_MAX) {
  double sum = 0;
  double count = 0;
  for (std::size_t r = 0; r < runs.size(); ++r) {
    if (r == left_out || window >= runs[r].at("windows").size()) continue;
    const double v = runs[r].at("windows").at(window).at("classes").at(cls).at(key);
    if (v <= 0) continue;
    sum += v;
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

Json Distances(std::vector<double> distances) {
  if (distances.empty()) return {{"windows", 0}, {"within_tenth", 0}, {"median", 0}, {"worst", 0}};
  std::sort(distances.begin(), distances.end());
  const auto near = std::upper_bound(distances.begin(), distances.end(), kTenth);
  return {{"windows", distances.size()},
          {"within_tenth",
           static_cast<double>(near - distances.begin()) / static_cast<double>(distances.size())},
          {"median", distances[distances.size() / 2]},
          {"worst", distances.back()}};
}

}  // namespace

Json Capture(const Json& result, std::size_t r) try {
  FiguresOf(result);
  if (r >= result.at("runs").size()) {
    throw std::runtime_error("runs: there are only " + std::to_string(result.at("runs").size()));
  }
  const Json& run = result.at("runs").at(r);
  Json day = {{"schema", "shelflab.day.1"},        {"name", result.at("name")},
              {"window_s", result.at("window_s")}, {"service_window_s", run.at("service_window_s")},
              {"classes", result.at("classes")},   {"arrivals", Json::array()},
              {"latencies", Json::array()},        {"nodes", run.at("nodes")}};
  for (const Json& window : run.at("windows")) {
    Json arrivals = Json::array();
    Json latencies = Json::array();
    for (const Json& c : window.at("classes")) {
      arrivals.push_back(c.at("arrivals"));
      latencies.push_back(
          {{"p50_ms", c.at("p50_ms")}, {"p90_ms", c.at("p90_ms")}, {"p99_ms", c.at("p99_ms")}});
    }
    day["arrivals"].push_back(arrivals);
    day["latencies"].push_back(latencies);
  }
  return day;
} catch (const Json::exception& e) {
  throw std::runtime_error(std::string("lacks what a recording needs: ") + e.what());
}

Fit FitDay(const Json& day, const FleetSpec& fleet) try {
  if (day.at("schema") != "shelflab.day.1") {
    throw std::runtime_error("schema: expected shelflab.day.1");
  }
  const Json& nodes = day.at("nodes");
  if (nodes.size() != NodeCount(fleet)) {
    throw std::runtime_error(fmt::format("nodes: expected {}, as the fleet has, found {}",
                                         NodeCount(fleet), nodes.size()));
  }
  const double window = day.at("service_window_s").get<double>() * 1e6;
  const std::vector<double> shares = ClassShares(day);
  if (shares.size() != fleet.classes.size()) {
    throw std::runtime_error("arrivals: expected a number for each class of the fleet");
  }
  Fit fit;
  for (NodeId n = 0; n < nodes.size(); ++n) {
    const std::vector<Window> windows = WindowsOf(nodes[n]);
    const double rough = QuantileOf(Joined(windows, 0, windows.size()), kFitted);
    const std::vector<Span> spans = SlowSpans(windows, rough);
    std::vector<double> calm;
    double calm_windows = 0;
    for (std::size_t w = 0; w < windows.size(); ++w) {
      const bool slow = std::any_of(spans.begin(), spans.end(),
                                    [&](const Span& s) { return w >= s.from && w < s.until; });
      if (slow) continue;
      ++calm_windows;
      calm.insert(calm.end(), windows[w].begin(), windows[w].end());
    }
    Trial trial;
    trial.tier = &fleet.tiers[TierOf(fleet, n)];
    trial.fleet = &fleet;
    trial.server = trial.tier->server;
    trial.class_shares = shares;
    if (calm.empty()) {
      // Nothing was sent there: any speed tells the same story.
      fit.speeds.push_back(1);
      continue;
    }
    trial.per_second = static_cast<double>(calm.size()) / (calm_windows * window / 1e6);
    const double inverse = Solve(0.05, 20, QuantileOf(calm, kFitted), [&](double x) {
      trial.server.speed = 1 / x;
      return OwnTime(trial);
    });
    trial.server.speed = 1 / inverse;
    fit.speeds.push_back(trial.server.speed);
    for (const Span& s : spans) {
      trial.length = static_cast<Micros>(static_cast<double>(s.until - s.from) * window);
      const auto all = static_cast<double>(Joined(windows, s.from, s.until).size());
      trial.per_second = all / (static_cast<double>(trial.length) / 1e6);
      const double factor = Solve(1, 100, QuantileOf(CoreOf(windows, s), kFitted), [&](double x) {
        trial.slow = x;
        return OwnTime(trial);
      });
      trial.slow = 1;
      fit.stretches.push_back({n, static_cast<Micros>(static_cast<double>(s.from) * window),
                               static_cast<Micros>(static_cast<double>(s.until) * window), factor});
    }
  }
  return fit;
} catch (const Json::exception& e) {
  throw std::runtime_error(std::string("not a recording: ") + e.what());
}

Fit Refine(const Json& day, const Json& played, const Fit& fit) {
  const double window = day.at("service_window_s").get<double>() * 1e6;
  const auto place = [&](Micros at) {
    return static_cast<std::size_t>(static_cast<double>(at) / window);
  };
  // How many times as long the day took as the play did, over some windows of both.
  const auto ratio = [](const std::vector<double>& on_the_day, const std::vector<double>& in_play) {
    if (on_the_day.size() < kLeastRequests || in_play.size() < kLeastRequests) return 1.0;
    const double x = QuantileOf(on_the_day, kMiddle) / QuantileOf(in_play, kMiddle);
    return std::clamp(x, 1 / kMostRefined, kMostRefined);
  };
  Fit better = fit;
  for (NodeId n = 0; n < fit.speeds.size(); ++n) {
    std::vector<Window> recorded = WindowsOf(day.at("nodes").at(n));
    std::vector<Window> repeated = WindowsOf(played.at("nodes").at(n));
    repeated.resize(recorded.size());
    std::vector<double> factors;
    for (const SlowStretch& s : fit.stretches) {
      if (s.node != n) continue;
      const Span span{place(s.from), std::min(recorded.size(), place(s.until))};
      factors.push_back(ratio(CoreOf(recorded, span), CoreOf(repeated, span)));
      for (std::size_t w = span.from; w < span.until; ++w) {
        recorded[w].clear();
        repeated[w].clear();
      }
    }
    const double calm =
        ratio(Joined(recorded, 0, recorded.size()), Joined(repeated, 0, repeated.size()));
    better.speeds[n] /= calm;
    std::size_t next = 0;
    for (SlowStretch& s : better.stretches) {
      // The stretch is told in times of the calm speed, which has just changed.
      if (s.node == n) s.factor = std::max(1.0, s.factor * factors[next++] / calm);
    }
  }
  return better;
}

Plan PlanOf(const Json& day, const Plan& fleet, const Fit& fit) {
  Plan plan = fleet;
  plan.has_load = true;
  plan.experiment.name = "playback of " + day.at("name").get<std::string>();
  plan.experiment.window = static_cast<Micros>(day.at("window_s").get<double>() * 1e6);
  plan.load.phases.clear();
  plan.load.bursts.clear();
  TraceSpec& trace = plan.load.trace.emplace();
  trace.window = plan.experiment.window;
  for (const Json& w : day.at("arrivals")) trace.counts.push_back(w.get<std::vector<double>>());
  for (std::uint32_t t = 0; t < plan.fleet.tiers.size(); ++t) {
    const auto first = fit.speeds.begin() + FirstNode(plan.fleet, t);
    plan.fleet.tiers[t].speeds.assign(first, first + plan.fleet.tiers[t].nodes);
  }
  plan.incidents.clear();
  for (const SlowStretch& s : fit.stretches) {
    Incident incident;
    incident.trouble = Trouble::kSlow;
    incident.nodes = {NodeName(plan.fleet, s.node)};
    incident.at = s.from;
    incident.lasts = s.until - s.from;
    incident.size = s.factor;
    plan.incidents.push_back(incident);
  }
  return plan;
}

Json Nearness(const Json& day, const Json& played, double least) {
  Json rows = Json::array();
  const Json& runs = played.at("runs");
  const Json& classes = day.at("classes");
  for (std::size_t c = 0; c < classes.size(); ++c) {
    for (const char* key : kQuantiles) {
      std::vector<double> distances;
      std::vector<double> among;  // Each run from the mean of the others: what chance alone does.
      for (std::size_t w = 0; w < day.at("latencies").size(); ++w) {
        const double recorded = day.at("latencies").at(w).at(c).at(key);
        const double mean = MeanOver(runs, w, c, key);
        if (day.at("arrivals").at(w).at(c).get<double>() < least || recorded <= 0 || mean <= 0) {
          continue;
        }
        distances.push_back(std::abs(mean / recorded - 1));
        for (std::size_t r = 0; runs.size() > 1 && r < runs.size(); ++r) {
          const double own = runs[r].at("windows").at(w).at("classes").at(c).at(key);
          const double others = MeanOver(runs, w, c, key, r);
          if (own > 0 && others > 0) among.push_back(std::abs(others / own - 1));
        }
      }
      rows.push_back({{"class", classes[c].at("name")},
                      {"quantile", std::string(key).substr(0, 3)},
                      {"to_the_day", Distances(distances)},
                      {"among_the_plays", Distances(among)}});
    }
  }
  return {{"schema", "shelflab.nearness.1"}, {"runs", runs.size()}, {"rows", rows}};
}

std::string NearnessText(const Json& nearness) {
  std::string text =
      fmt::format("{:<16}{:<5}{:>8}{:>14}{:>9}{:>9}   {:>22}\n", "class", "", "windows",
                  "within 1/10", "median", "worst", "plays among themselves");
  for (const Json& row : nearness.at("rows")) {
    const Json& to = row.at("to_the_day");
    const Json& among = row.at("among_the_plays");
    text += fmt::format(
        "{:<16}{:<5}{:>8}{:>13.0f}%{:>8.1f}%{:>8.1f}%   {:>13.0f}%{:>8.1f}%\n",
        row.at("class").get<std::string>(), row.at("quantile").get<std::string>(),
        to.at("windows").get<std::size_t>(), to.at("within_tenth").get<double>() * 100,
        to.at("median").get<double>() * 100, to.at("worst").get<double>() * 100,
        among.at("within_tenth").get<double>() * 100, among.at("median").get<double>() * 100);
  }
  return text;
}

}  // namespace shelflab
