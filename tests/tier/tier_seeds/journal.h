// What a day has shown: broken promises and, where wanted, a trace of what happened.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_JOURNAL_H_
#define SHELFLINK_TESTS_TIER_SEEDS_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/virtual.h"

namespace shelflink::tier_seeds {

// A broken promise; `rule` is a word of the operators' rules or of the checks' own.
struct Finding {
  net::Time at{};
  std::string rule;
  std::string text;
};

std::string TextOf(const Finding& finding);
double SecondsOf(net::Time at);

class Journal {
 public:
  Journal(const net::VirtualNet& net, bool trace) : net_(net), trace_(trace) {}

  void Report(const std::string& rule, const std::string& text);
  // A line of the trace; the text is made only if it is wanted.
  void Note(const std::function<std::string()>& text) const;
  // How often something happened, so that a run can show that it was played at all.
  void Count(const std::string& what) { ++counts_[what]; }

  const std::vector<Finding>& findings() const { return findings_; }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  const net::VirtualNet& net_;
  bool trace_;
  std::vector<Finding> findings_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_JOURNAL_H_
