#include "tier_seeds/journal.h"

#include <array>
#include <cstdio>
#include <iostream>

namespace shelflink::tier_seeds {

double SecondsOf(net::Time at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count();
}

std::string TextOf(const Finding& finding) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%.6f", SecondsOf(finding.at));
  return std::string(time.data()) + " " + finding.rule + ": " + finding.text;
}

void Journal::Report(const std::string& rule, const std::string& text) {
  findings_.push_back({net_.Now(), rule, text});
  Note([&] { return "FINDING " + rule + ": " + text; });
}

void Journal::Note(const std::function<std::string()>& text) const {
  if (!trace_) return;
  std::cout << TextOf({net_.Now(), "trace", text()}) << '\n';
}

}  // namespace shelflink::tier_seeds
