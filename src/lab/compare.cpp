#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <stdexcept>

#include "lab/experiment.h"

namespace shelflab {
namespace {

using Json = nlohmann::json;

// A figure has moved if the means differ by more than this many standard deviations of both ...
constexpr double kSpreads = 2;
// ... and by more than this share of the larger, for runs that happen to agree.
constexpr double kLeastShare = 0.02;

Figure Over(const Json& runs, const std::string& name, int better,
            const std::function<double(const Json&)>& of) {
  std::vector<double> values;
  for (const Json& run : runs) values.push_back(of(run));
  Figure figure{name, 0, 0, better};
  for (const double v : values) figure.mean += v / static_cast<double>(values.size());
  if (values.size() > 1) {
    double squares = 0;
    for (const double v : values) squares += (v - figure.mean) * (v - figure.mean);
    figure.spread = std::sqrt(squares / static_cast<double>(values.size() - 1));
  }
  return figure;
}

double Share(const Json& cell, const char* part) {
  const double arrivals = cell.at("arrivals").get<double>();
  return arrivals > 0 ? cell.at(part).get<double>() / arrivals : 0;
}

}  // namespace

std::vector<Figure> FiguresOf(const Json& result) try {
  if (result.at("schema") != "shelflab.result.1") {
    throw std::runtime_error("schema: expected shelflab.result.1");
  }
  const Json& runs = result.at("runs");
  if (runs.empty()) throw std::runtime_error("runs: expected at least one");
  std::vector<Figure> figures;
  const auto total = [&](const std::string& name, const char* key, int better) {
    figures.push_back(Over(runs, name, better, [key](const Json& run) {
      return run.at("totals").at(key).template get<double>();
    }));
  };
  total("worth in time", "goodput", 1);
  total("worth in time, worst 10 s", "goodput_worst_10s", 1);
  total("attempts a request", "attempts_per_request", -1);
  const Json& classes = result.at("classes");
  for (std::size_t c = 0; c < classes.size(); ++c) {
    const std::string name = classes[c].at("name").get<std::string>();
    const auto add = [&](const std::string& what, int better, auto of) {
      figures.push_back(Over(runs, fmt::format("{} {}", name, what), better,
                             [&](const Json& run) { return of(run.at("classes").at(c)); }));
    };
    add("in time", 1, [](const Json& cell) { return Share(cell, "in_time"); });
    add("refused", -1, [](const Json& cell) { return Share(cell, "refused"); });
    add("failed", -1, [](const Json& cell) { return Share(cell, "failed"); });
    for (const char* key : {"p50_ms", "p90_ms", "p99_ms"}) {
      add(key, -1, [key](const Json& cell) { return cell.at(key).get<double>(); });
    }
  }
  figures.push_back(Over(runs, "rules broken", -1, [](const Json& run) {
    return run.at("account").at("broken").get<double>();
  }));
  return figures;
} catch (const Json::exception& e) {
  throw std::runtime_error(std::string("not a result: ") + e.what());
}

std::string Compare(const Json& a, const Json& b) {
  const std::vector<Figure> before = FiguresOf(a);
  const std::vector<Figure> after = FiguresOf(b);
  std::string moved;
  std::string same;
  for (const Figure& x : before) {
    const auto y =
        std::find_if(after.begin(), after.end(), [&](const Figure& f) { return f.name == x.name; });
    if (y == after.end()) continue;
    const double change = y->mean - x.mean;
    const double spread = kSpreads * std::hypot(x.spread, y->spread);
    const double least = kLeastShare * std::max(std::abs(x.mean), std::abs(y->mean));
    const std::string line = fmt::format("{:<34} {:>10.4g} ± {:<8.2g} {:>10.4g} ± {:<8.2g} {:+.4g}",
                                         x.name, x.mean, x.spread, y->mean, y->spread, change);
    if (std::abs(change) > std::max(spread, least)) {
      const char* word = x.better == 0 ? "" : (change > 0) == (x.better > 0) ? " better" : " WORSE";
      moved += line + word + "\n";
    } else {
      same += line + "\n";
    }
  }
  std::string text = moved.empty() ? "nothing moved beyond the spread\n" : "moved:\n" + moved;
  if (!same.empty()) text += "within the spread:\n" + same;
  const std::size_t fewest = std::min(a.at("runs").size(), b.at("runs").size());
  if (fewest < 2) text += "one run tells no spread: give the experiment repeats\n";
  return text;
}

std::string Summary(const Json& result) {
  std::string text;
  for (const Figure& f : FiguresOf(result)) {
    text += fmt::format("{:<34} {:>10.4g}", f.name, f.mean);
    text += f.spread > 0 ? fmt::format(" ± {:.2g}\n", f.spread) : "\n";
  }
  for (const Json& run : result.at("runs")) {
    for (const Json& e : run.at("account").at("examples")) {
      text += fmt::format("rule broken: {}: {}\n", e.at("rule").get<std::string>(),
                          e.at("text").get<std::string>());
    }
    for (const Json& why : run.at("tool").at("distrust")) {
      text += "NOT TO BE TRUSTED: " + why.get<std::string>() + "\n";
    }
  }
  if (result.at("interrupted").get<bool>()) text += "interrupted: a part of the experiment\n";
  return text;
}

Json ReadResult(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be read");
  Json result = Json::parse(file, nullptr, false);
  if (result.is_discarded()) throw std::runtime_error(path + ": expected JSON");
  try {
    FiguresOf(result);
  } catch (const std::exception& e) {
    throw std::runtime_error(path + ": " + e.what());
  }
  return result;
}

}  // namespace shelflab
