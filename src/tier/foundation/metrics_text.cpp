#include "tier/foundation/metrics_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace shelflink {
namespace {

std::string_view NameOf(MetricType type) {
  return type == MetricType::kCounter ? "counter" : "gauge";
}

// Quotes are escaped in the values of labels only.
std::string Escaped(std::string_view text, bool with_quotes) {
  std::string escaped;
  for (const char letter : text) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '\\' || (with_quotes && letter == '"')) escaped += '\\';
    escaped += letter;
  }
  return escaped;
}

std::string TextOf(const MetricLabels& labels) {
  if (labels.empty()) return "";
  std::string text;
  for (const MetricLabel& label : labels) {
    text += text.empty() ? '{' : ',';
    text.append(label.name).append("=\"").append(Escaped(label.value, true)).append("\"");
  }
  return text + '}';
}

std::string TextOf(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  constexpr std::size_t kLongestNumber = 32;
  std::array<char, kLongestNumber> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end};
}

}  // namespace

MetricsText::Written& MetricsText::FamilyText(const MetricFamily& family) {
  const auto found = std::find_if(families_.begin(), families_.end(), [&](const Written& written) {
    return written.name == family.name;
  });
  if (found != families_.end()) return *found;
  Written written;
  written.name = family.name;
  written.text = "# HELP " + written.name + ' ' + Escaped(family.help, false) + '\n';
  written.text += "# TYPE " + written.name + ' ';
  written.text.append(NameOf(family.type)).append("\n");
  return families_.emplace_back(std::move(written));
}

void MetricsText::AddSample(const MetricFamily& family, const std::string& value,
                            const MetricLabels& labels) {
  FamilyText(family).text += std::string(family.name) + TextOf(labels) + ' ' + value + '\n';
}

void MetricsText::Add(const MetricFamily& family, std::uint64_t value, const MetricLabels& labels) {
  AddSample(family, std::to_string(value), labels);
}

void MetricsText::Add(const MetricFamily& family, double value, const MetricLabels& labels) {
  AddSample(family, TextOf(value), labels);
}

void MetricsText::AddFlag(const MetricFamily& family, bool value, const MetricLabels& labels) {
  AddSample(family, value ? "1" : "0", labels);
}

void MetricsText::AddSeconds(const MetricFamily& family, std::chrono::nanoseconds value,
                             const MetricLabels& labels) {
  Add(family, std::chrono::duration<double>(value).count(), labels);
}

std::string MetricsText::Text() const {
  std::string text;
  for (const Written& family : families_) text += family.text;
  return text;
}

}  // namespace shelflink
