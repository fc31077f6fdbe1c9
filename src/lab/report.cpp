// The HTML page of a result: one file, plots as SVG, nothing fetched.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "lab/experiment.h"

namespace shelflab {
namespace {

using Json = nlohmann::json;

constexpr double kWidth = 860;
constexpr double kHeight = 220;
constexpr double kLeft = 60;
constexpr double kBottom = 26;
constexpr double kTop = 12;
constexpr double kRight = 150;

const char* const kColours[] = {"#1f6fb4", "#d1495b", "#2e8b57", "#b8860b", "#6a4c93", "#444444"};

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

struct Line {
  std::string name;
  std::vector<double> values;  // One for each window; below 0: none.
  std::string colour;
  bool dashed = false;
};

// Round figures at which an axis is marked.
double TickOf(double most) {
  if (most <= 0) return 1;
  const double power = std::pow(10, std::floor(std::log10(most / 4)));
  for (const double step : {1.0, 2.0, 5.0, 10.0}) {
    if (most / (step * power) <= 5) return step * power;
  }
  return 10 * power;
}

class Plot {
 public:
  Plot(const Json& result, std::string title, std::string unit)
      : title_(std::move(title)), unit_(std::move(unit)) {
    window_ = result.at("window_s").get<double>();
    incidents_ = result.at("incidents");
  }
  void Add(Line line) { lines_.push_back(std::move(line)); }
  void Most(double most) { fixed_most_ = most; }

  std::string Draw() const {
    std::size_t windows = 1;
    double most = fixed_most_;
    for (const Line& l : lines_) {
      windows = std::max(windows, l.values.size());
      for (const double v : l.values) {
        if (fixed_most_ <= 0) most = std::max(most, v * 1.05);
      }
    }
    if (most <= 0) most = 1;
    const double seconds = static_cast<double>(windows) * window_;
    const auto x = [&](double s) { return kLeft + s / seconds * (kWidth - kLeft - kRight); };
    const auto y = [&](double v) {
      return kTop + (1 - std::min(v, most) / most) * (kHeight - kTop - kBottom);
    };
    std::string svg =
        fmt::format("<h3>{}</h3><svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"{}\">",
                    Escaped(title_), kWidth, kHeight, Escaped(title_));
    for (const Json& i : incidents_) {
      const double at = i.at("at_s").get<double>();
      const double lasts = std::max(i.at("for_s").get<double>(), seconds / 300);
      if (at >= seconds) continue;
      svg += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"#f2c14e\" "
          "fill-opacity=\"0.3\"><title>{} at {:g} s</title></rect>",
          x(at), kTop, x(std::min(seconds, at + lasts)) - x(at), kHeight - kTop - kBottom,
          Escaped(i.at("kind").get<std::string>()), at);
    }
    const double tick = TickOf(most);
    for (int i = 0; i * tick <= most * 1.001; ++i) {
      const double v = i * tick;
      svg += fmt::format(
          "<path d=\"M{} {:.1f}H{}\" stroke=\"#ddd\"/><text x=\"{}\" y=\"{:.1f}\" "
          "text-anchor=\"end\">{:g}{}</text>",
          kLeft, y(v), kWidth - kRight, kLeft - 6, y(v) + 4, v, v + tick > most ? " " + unit_ : "");
    }
    const double step = TickOf(seconds);
    for (int i = 0; i * step <= seconds * 1.001; ++i) {
      const double s = i * step;
      svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:g}{}</text>", x(s),
                         kHeight - 8, s, s + step > seconds ? " s" : "");
    }
    double legend = kTop + 10;
    for (const Line& l : lines_) {
      svg += PathOf(l, x, y);
      svg += fmt::format("<text x=\"{}\" y=\"{}\" fill=\"{}\">{}{}</text>", kWidth - kRight + 8,
                         legend, l.colour, l.dashed ? "┄ " : "— ", Escaped(l.name));
      legend += 15;
    }
    return svg + "</svg>";
  }

 private:
  template <typename X, typename Y>
  std::string PathOf(const Line& l, const X& x, const Y& y) const {
    std::string d;
    bool down = false;
    for (std::size_t w = 0; w < l.values.size(); ++w) {
      if (l.values[w] < 0) {
        down = false;
        continue;
      }
      d += fmt::format("{}{:.1f} {:.1f}", down ? "L" : "M",
                       x((static_cast<double>(w) + 0.5) * window_), y(l.values[w]));
      down = true;
    }
    return fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.6\"{}/>", d,
                       l.colour, l.dashed ? " stroke-dasharray=\"4 3\"" : "");
  }

  std::string title_;
  std::string unit_;
  double window_ = 1;
  Json incidents_;
  std::vector<Line> lines_;
  double fixed_most_ = 0;
};

// The mean over all runs of what `of` finds in a window; negative values stand for none.
std::vector<double> Curve(const Json& result, const std::function<double(const Json&)>& of) {
  std::vector<double> sums;
  std::vector<double> counts;
  for (const Json& run : result.at("runs")) {
    const Json& windows = run.at("windows");
    sums.resize(std::max(sums.size(), windows.size()));
    counts.resize(sums.size());
    for (std::size_t w = 0; w < windows.size(); ++w) {
      const double v = of(windows[w]);
      if (v < 0) continue;
      sums[w] += v;
      ++counts[w];
    }
  }
  for (std::size_t w = 0; w < sums.size(); ++w) sums[w] = counts[w] > 0 ? sums[w] / counts[w] : -1;
  return sums;
}

std::string ClassPlots(const Json& result) {
  Plot in_time(result, "Answered in time, share of requests", "");
  Plot refused(result, "Refused, share of requests", "");
  in_time.Most(1);
  refused.Most(1);
  std::string latency;
  const Json& classes = result.at("classes");
  for (std::size_t c = 0; c < classes.size(); ++c) {
    const std::string name = classes[c].at("name");
    const char* colour = kColours[c % std::size(kColours)];
    const auto share = [&, c](const char* key) {
      return Curve(result, [c, key](const Json& w) {
        const Json& cell = w.at("classes").at(c);
        const double all = cell.at("arrivals");
        return all > 0 ? cell.at(key).get<double>() / all : -1;
      });
    };
    in_time.Add({name, share("in_time"), colour});
    refused.Add({name, share("refused"), colour});
    Plot plot(result, "Latency of " + name + ", from the intended send", "ms");
    int i = 0;
    for (const char* key : {"p50_ms", "p90_ms", "p99_ms"}) {
      plot.Add({std::string(key).substr(0, 3),
                Curve(result,
                      [c, key](const Json& w) {
                        const double v = w.at("classes").at(c).at(key);
                        return v > 0 ? v : -1;
                      }),
                kColours[i], false});
      ++i;
    }
    plot.Add(
        {"wanted within",
         Curve(result, [aim = classes[c].at("aim_ms").get<double>()](const Json&) { return aim; }),
         "#888", true});
    latency += plot.Draw();
  }
  return in_time.Draw() + refused.Draw() + latency;
}

std::string TierPlots(const Json& result) {
  std::string text;
  const Json& tiers = result.at("tiers");
  Plot attempts(result, "Attempts at nodes for each request that came", "");
  for (std::size_t t = 0; t < tiers.size(); ++t) {
    attempts.Add({tiers[t].at("name"),
                  Curve(result,
                        [t](const Json& w) {
                          double arrivals = 0;
                          for (const Json& c : w.at("classes"))
                            arrivals += c.at("arrivals").get<double>();
                          if (!w.contains("tiers") || arrivals <= 0) return -1.0;
                          return w.at("tiers").at(t).at("came").get<double>() / arrivals;
                        }),
                  kColours[t % std::size(kColours)]});
  }
  text += attempts.Draw();
  constexpr std::size_t kMostNodes = 64;  // More lines than that show nothing.
  for (std::size_t t = 0; t < tiers.size(); ++t) {
    const std::string name = tiers[t].at("name");
    Plot load(result, "Attempts by node of " + name + ", each a line", "/window");
    const std::size_t nodes =
        std::min<std::size_t>(kMostNodes, tiers[t].at("nodes").get<std::size_t>());
    for (std::size_t n = 0; n < nodes; ++n) {
      load.Add({n < 12 ? name + "-" + std::to_string(n) : "",
                Curve(result,
                      [t, n](const Json& w) {
                        if (!w.contains("tiers")) return -1.0;
                        return w.at("tiers").at(t).at("by_node").at(n).get<double>();
                      }),
                kColours[n % std::size(kColours)]});
    }
    text += load.Draw();
  }
  return text;
}

std::string FigureTable(const Json& result) {
  std::string rows;
  for (const Figure& f : FiguresOf(result)) {
    rows += fmt::format("<tr><td>{}</td><td>{:.4g}</td><td>{}</td></tr>", Escaped(f.name), f.mean,
                        f.spread > 0 ? fmt::format("± {:.2g}", f.spread) : "");
  }
  return "<table><tr><th>figure</th><th>mean</th><th>over runs</th></tr>" + rows + "</table>";
}

std::string RulesTable(const Json& result) {
  std::string rows;
  const Json& first = result.at("runs").front().at("account").at("rules");
  for (const auto& [rule, ignored] : first.items()) {
    std::uint64_t sum = 0;
    for (const Json& run : result.at("runs")) {
      sum += run.at("account").at("rules").at(rule).get<std::uint64_t>();
    }
    rows += fmt::format("<tr><td>{}</td><td class=\"{}\">{}</td></tr>", Escaped(rule),
                        sum == 0 ? "good" : "bad", sum);
  }
  std::string text =
      "<table><tr><th>rule, as seen on the wire</th><th>broken</th></tr>" + rows + "</table>";
  for (const Json& run : result.at("runs")) {
    for (const Json& e : run.at("account").at("examples")) {
      text += "<p class=\"bad\">" +
              Escaped(e.at("rule").get<std::string>() + ": " + e.at("text").get<std::string>()) +
              "</p>";
    }
  }
  return text;
}

std::string TrustOf(const Json& result) {
  std::string text;
  for (const Json& run : result.at("runs")) {
    for (const Json& why : run.at("tool").at("distrust")) {
      text += "<p class=\"bad\">Not to be trusted: " + Escaped(why.get<std::string>()) + ".</p>";
    }
  }
  if (result.at("interrupted").get<bool>()) {
    text += "<p class=\"bad\">Interrupted: this is a part of the experiment.</p>";
  }
  return text;
}

std::string IncidentList(const Json& result) {
  std::string items;
  for (const Json& i : result.at("incidents")) {
    items += fmt::format(
        "<li>{:g} s: {}{}{}{}</li>", i.at("at_s").get<double>(),
        Escaped(i.at("kind").get<std::string>()),
        i.at("size").get<double>() > 0 ? fmt::format(", size {:g}", i.at("size").get<double>())
                                       : "",
        i.at("tier").get<std::string>().empty()
            ? ""
            : ", at " + Escaped(i.at("tier").get<std::string>()),
        i.at("for_s").get<double>() > 0 ? fmt::format(", for {:g} s", i.at("for_s").get<double>())
                                        : "");
  }
  return items.empty() ? "<p>No incident.</p>" : "<ul>" + items + "</ul>";
}

}  // namespace

std::string ReportOf(const Json& result) {
  const std::string name = Escaped(result.at("name").get<std::string>());
  return "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + name +
         "</title><style>body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;"
         "padding:0 1em;color:#222}svg{width:100%}svg text{font:11px system-ui,sans-serif}"
         "table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px solid #ddd;"
         "padding:.2em .8em;text-align:left}.bad{color:#b3261e;font-weight:600}.good{color:#2e7d32}"
         "h3{margin:1.6em 0 .2em;font-size:1em}</style><h1>" +
         name + "</h1><p>" + Escaped(result.at("made_at").get<std::string>()) + ", " +
         std::to_string(result.at("runs").size()) + " run(s), seeds from " +
         std::to_string(result.at("seed").get<std::uint64_t>()) +
         ". The incidents are shaded in the plots.</p>" + TrustOf(result) + IncidentList(result) +
         FigureTable(result) + RulesTable(result) + ClassPlots(result) + TierPlots(result) +
         "</html>\n";
}

}  // namespace shelflab
