// The exposition text byte for byte: families once, labels escaped, numbers as the format wants.
#define BOOST_TEST_MODULE metrics_text
#include "tier/foundation/metrics_text.h"

#include <boost/test/unit_test.hpp>
#include <limits>

#include "tier/foundation/process_metrics.h"

namespace shelflink {
namespace {

using std::chrono::milliseconds;

constexpr MetricFamily kTaken{"shelflink_taken_total", MetricType::kCounter, "Orders taken."};
constexpr MetricFamily kAge{"shelflink_age_seconds", MetricType::kGauge, "Of the list."};

BOOST_AUTO_TEST_CASE(a_family_is_described_once_and_its_samples_stand_together) {
  MetricsText text;
  text.Add(kTaken, std::uint64_t{18446744073709551615U}, {{"status", "200"}, {"path", "/config"}});
  text.AddSeconds(kAge, milliseconds(2500));
  text.Add(kTaken, std::uint64_t{0}, {{"status", "503"}, {"path", "/config"}});
  BOOST_TEST(text.Text() ==
             "# HELP shelflink_taken_total Orders taken.\n"
             "# TYPE shelflink_taken_total counter\n"
             "shelflink_taken_total{status=\"200\",path=\"/config\"} 18446744073709551615\n"
             "shelflink_taken_total{status=\"503\",path=\"/config\"} 0\n"
             "# HELP shelflink_age_seconds Of the list.\n"
             "# TYPE shelflink_age_seconds gauge\n"
             "shelflink_age_seconds 2.5\n");
}

BOOST_AUTO_TEST_CASE(without_samples_there_is_no_text) { BOOST_TEST(MetricsText().Text().empty()); }

BOOST_AUTO_TEST_CASE(labels_and_help_are_escaped) {
  MetricsText text;
  const MetricFamily family{"shelflink_x", MetricType::kGauge, "a \"b\" \\ c\nd"};
  text.Add(family, std::uint64_t{1}, {{"node", "a \"b\" \\ c\nd"}});
  BOOST_TEST(text.Text() ==
             "# HELP shelflink_x a \"b\" \\\\ c\\nd\n"
             "# TYPE shelflink_x gauge\n"
             "shelflink_x{node=\"a \\\"b\\\" \\\\ c\\nd\"} 1\n");
}

BOOST_AUTO_TEST_CASE(numbers_are_written_as_the_format_wants) {
  using Limits = std::numeric_limits<double>;
  const auto written = [](double value) {
    MetricsText text;
    text.Add(kAge, value);
    const std::string all = text.Text();
    const std::size_t at = all.rfind(' ') + 1;
    return all.substr(at, all.size() - at - 1);
  };
  BOOST_TEST(written(0.0) == "0");
  BOOST_TEST(written(-0.25) == "-0.25");
  BOOST_TEST(written(0.1) == "0.1");
  BOOST_TEST(written(Limits::infinity()) == "+Inf");
  BOOST_TEST(written(-Limits::infinity()) == "-Inf");
  BOOST_TEST(written(Limits::quiet_NaN()) == "NaN");
}

BOOST_AUTO_TEST_CASE(flags_are_0_or_1) {
  MetricsText text;
  text.AddFlag(kAge, true);
  text.AddFlag(kAge, false, {{"a", "b"}});
  BOOST_TEST(text.Text() ==
             "# HELP shelflink_age_seconds Of the list.\n"
             "# TYPE shelflink_age_seconds gauge\n"
             "shelflink_age_seconds 1\n"
             "shelflink_age_seconds{a=\"b\"} 0\n");
}

BOOST_AUTO_TEST_CASE(a_process_tells_who_it_is_and_what_was_violated) {
  Invariants invariants;
  invariants.SetHandler([](Invariant, const std::string&) {});
  invariants.Violate(Invariant::kMemberCanStore, "a detail", 0);
  MetricsText text;
  AddProcessMetrics(text, {"edge-1", "core", milliseconds(1250)}, invariants);
  BOOST_TEST(
      text.Text() ==
      "# HELP shelflink_process_info Always 1; names the node and the role of the process.\n"
      "# TYPE shelflink_process_info gauge\n"
      "shelflink_process_info{node=\"edge-1\",role=\"core\"} 1\n"
      "# HELP shelflink_process_uptime_seconds Time since the process began.\n"
      "# TYPE shelflink_process_uptime_seconds gauge\n"
      "shelflink_process_uptime_seconds 1.25\n"
      "# HELP shelflink_invariant_violations_total Violations of what must hold in this process.\n"
      "# TYPE shelflink_invariant_violations_total counter\n"
      "shelflink_invariant_violations_total{invariant=\"endpoint_list_is_fresh\"} 0\n"
      "shelflink_invariant_violations_total{invariant=\"acknowledged_is_synced\"} 0\n"
      "shelflink_invariant_violations_total{invariant=\"member_can_store\"} 1\n"
      "shelflink_invariant_violations_total{invariant=\"read_list_is_published\"} 0\n"
      "shelflink_invariant_violations_total{invariant=\"draining_stays_draining\"} 0\n");
}

}  // namespace
}  // namespace shelflink
