// Figures in the Prometheus text exposition format (0.0.4): counters and gauges with labels. The
// samples of a family stand together, behind its HELP and TYPE, in whatever order they are added.
//
// Pure: no clock, no socket, no global.
#ifndef SHELFLINK_TIER_FOUNDATION_METRICS_TEXT_H_
#define SHELFLINK_TIER_FOUNDATION_METRICS_TEXT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shelflink {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

enum class MetricType : std::uint8_t { kCounter, kGauge };

// What a family is: `name` begins with "shelflink_" and ends in its unit, "_total" for counters.
struct MetricFamily {
  std::string_view name;
  MetricType type;
  std::string_view help;  // One sentence.
};

struct MetricLabel {
  std::string_view name;
  std::string_view value;  // Any text; escaped where it is written.
};
using MetricLabels = std::vector<MetricLabel>;

class MetricsText {
 public:
  // Families without a sample are not written: a figure that is not known is left out.
  void Add(const MetricFamily& family, std::uint64_t value, const MetricLabels& labels = {});
  void Add(const MetricFamily& family, double value, const MetricLabels& labels = {});
  // As 0 or 1.
  void AddFlag(const MetricFamily& family, bool value, const MetricLabels& labels = {});
  void AddSeconds(const MetricFamily& family, std::chrono::nanoseconds value,
                  const MetricLabels& labels = {});

  std::string Text() const;

 private:
  struct Written {
    std::string name;
    std::string text;  // HELP, TYPE and samples.
  };

  Written& FamilyText(const MetricFamily& family);
  void AddSample(const MetricFamily& family, const std::string& value, const MetricLabels& labels);

  std::vector<Written> families_;  // In the order of their first samples.
};

}  // namespace shelflink

#endif  // SHELFLINK_TIER_FOUNDATION_METRICS_TEXT_H_
