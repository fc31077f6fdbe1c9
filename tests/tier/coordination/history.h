// Checks a test run against the guarantees of the core. It knows only the acknowledgements and what
// replicas reported as committed, not the implementation.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_HISTORY_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/coordination/replicator.h"

namespace shelflink::coordination {

// A versioned document. As with the operator's document, a change names the version it is based on.
struct Document {
  std::uint64_t version = 0;
  std::string content;
  bool operator==(const Document&) const = default;
};

constexpr char kDocumentKey[] = "document";

inline std::string TextOf(const Document& document) {
  return std::to_string(document.version) + ":" + document.content;
}

inline Document DocumentIn(const Contents& contents) {
  const auto found = contents.find(kDocumentKey);
  if (found == contents.end()) return {};
  const std::size_t colon = found->second.find(':');
  return {std::stoull(found->second.substr(0, colon)), found->second.substr(colon + 1)};
}

// A change of the document, which the client repeats until the result is certain.
struct Order {
  std::uint64_t base = 0;
  std::string content;
};

// The plan of an order: no writes if it is in force already, its write, or a conflict.
inline Result<std::vector<Write>> PlanOf(const Order& order, const Contents& contents) {
  const Document now = DocumentIn(contents);
  if (now == Document{order.base + 1, order.content}) return std::vector<Write>{};
  if (now.version != order.base) return MakeError(ErrorCode::kConflict, "another version");
  return std::vector<Write>{{kDocumentKey, TextOf({order.base + 1, order.content})}};
}

class History {
 public:
  void Acknowledged(const Order& order) {
    const Document taken{order.base + 1, order.content};
    const auto [at, is_new] = acknowledged_.emplace(taken.version, taken.content);
    if (!is_new && at->second != taken.content) {
      AddFinding("two contents acknowledged as version " + std::to_string(taken.version));
    }
    newest_ = std::max(newest_, taken.version);
  }
  // Records that an order was rejected because another version is in force.
  void Refused(const Order& order) {
    const auto found = acknowledged_.find(order.base + 1);
    const bool taken = found != acknowledged_.end() && found->second == order.content;
    const bool newest = committed_.empty() || committed_.rbegin()->first <= order.base + 1;
    if (taken && newest) AddFinding("an acknowledged order is refused when it is repeated");
  }
  // `process` identifies one run of one replica process.
  void Committed(const std::string& process, const Document& document) {
    const auto [at, is_new] = committed_.emplace(document.version, document.content);
    if (!is_new && at->second != document.content) {
      AddFinding("two contents committed as version " + std::to_string(document.version));
    }
    std::uint64_t& before = newest_by_process_[process];
    if (document.version < before) AddFinding(process + " reports an older version than before");
    before = std::max(before, document.version);
  }
  void BecamePrimary(const std::string& process, std::uint64_t epoch) {
    const auto [at, is_new] = primary_by_epoch_.emplace(epoch, process);
    if (!is_new && at->second != process) {
      AddFinding("epoch " + std::to_string(epoch) + " is used by " + at->second + " and " +
                 process);
    }
  }
  void CheckPrimaryCount(std::size_t count) {
    if (count > 1) AddFinding("two primaries at once");
  }
  // Checks a linearizable read that began when version `min_version` was acknowledged.
  void CheckRead(std::uint64_t min_version, const Document& document) {
    if (document.version < min_version)
      AddFinding("a read is older than what was acknowledged before");
  }
  void CheckFinalState(const Document& document) {
    if (document.version < newest_) AddFinding("an acknowledged version is lost");
    const auto found = acknowledged_.find(document.version);
    if (found != acknowledged_.end() && found->second != document.content) {
      AddFinding("the last version is not what was acknowledged");
    }
  }
  std::uint64_t newest() const { return newest_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  void AddFinding(std::string text) {
    if (findings_.size() < 10) findings_.push_back(std::move(text));
  }

  std::map<std::uint64_t, std::string> acknowledged_;
  std::map<std::uint64_t, std::string> committed_;
  std::map<std::string, std::uint64_t> newest_by_process_;
  std::map<std::uint64_t, std::string> primary_by_epoch_;
  std::uint64_t newest_ = 0;
  std::vector<std::string> findings_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_HISTORY_H_
