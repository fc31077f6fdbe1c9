// Judges what operators were answered against what the core did: the table of docs/design/
// hardening.md, section 2, as code. It knows every order that was sent, every configuration that a
// core process has told committed and when, and every answer that a core process gave, whether or
// not it reached the operator.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_ORDER_HISTORY_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_ORDER_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/configuration/book.h"
#include "tier/configuration/patch.h"
#include "tier/operator_api/requests.h"

namespace shelflink::operator_api {

struct SentOrder {
  std::size_t id = 0;
  configuration::ChangeOrder order;
  std::uint64_t version = 0;
  bool valid = true;  // Whether the document is valid, whichever base is in force.
  // Calls of operators with this order, and how many of them a refusal ended.
  std::size_t calls = 0;
  std::size_t refused_calls = 0;
};

class OrderHistory {
 public:
  struct Commit {
    std::string document;
    std::uint64_t base = 0;  // The version before it.
    net::Time told{};        // First told committed by any core process.
  };

  SentOrder& NewOrder(configuration::ChangeOrder order, std::uint64_t version, bool valid) {
    orders_.push_back({orders_.size(), std::move(order), version, valid});
    return orders_.back();
  }
  const std::deque<SentOrder>& orders() const { return orders_; }
  const std::map<std::uint64_t, Commit>& commits() const { return commits_; }
  std::uint64_t newest() const { return commits_.empty() ? 0 : commits_.rbegin()->first; }
  std::uint64_t newest_acknowledged() const { return newest_acknowledged_; }
  // The lowest version that a read sent now may return.
  std::uint64_t least_readable() const { return std::max(newest_acknowledged_, newest_read_); }
  std::size_t answers(int status) const {
    const auto found = answers_.find(status);
    return found == answers_.end() ? 0 : found->second;
  }
  const std::vector<std::string>& findings() const { return findings_; }

  // An operator begins to send an order, until it has a clear answer or gives up.
  void CallBegun(const SentOrder& sent) { ++orders_[sent.id].calls; }
  // A refusal has reached the operator, and its call is over.
  void CallRefused(const SentOrder& sent) { ++orders_[sent.id].refused_calls; }

  // A core process reports this configuration as committed.
  void Committed(net::Time now, std::uint64_t version, std::string_view document) {
    const auto found = commits_.find(version);
    if (found != commits_.end()) {
      if (found->second.document != document) Find(version, "stands for two documents");
      return;
    }
    const std::uint64_t before = newest();
    if (version < before) Find(version, "came into force below " + std::to_string(before));
    commits_[version] = {std::string(document), before, now};
    for (const SentOrder& sent : orders_) {
      if (sent.version == version && OnlyRefused(sent) && IsTaken(sent)) {
        Find(sent, "came into force though each call with it had ended with a refusal");
      }
    }
  }

  void Answered(const SentOrder& sent, net::Time sent_at, net::Time now, int status) {
    ++answers_[status];
    if (status == status::kOk) {
      if (!IsTaken(sent)) Find(sent, "was acknowledged and is not in force");
      if (!sent.valid) Find(sent, "is invalid and was acknowledged");
      newest_acknowledged_ = std::max(newest_acknowledged_, sent.version);
    } else if (status == status::kPreconditionFailed) {
      // On a base that is yet to come it ends this call, and a later one may be taken.
      if (sent.order.base_version <= VersionAt(now)) Refused(sent, status);
      if (!CurrentWasOther(sent, sent_at, now)) Find(sent, "412 though its base was current");
    } else if (status == status::kBadRequest) {
      Refused(sent, status);
      if (sent.valid && VersionAt(now) < sent.version) Find(sent, "400 though it is valid");
    } else if (status == status::kTemporaryRedirect) {
      if (!sent.valid) Find(sent, "is invalid and may be confirmed");
    } else if (status != status::kServiceUnavailable && status != status::kGatewayTimeout) {
      Find(sent, "answered " + std::to_string(status));
    }
  }

  // `least`: least_readable() when the read was sent.
  void Read(std::uint64_t least, net::Time sent_at, int status, const std::string& document) {
    ++answers_[status];
    if (status == status::kNotFound) {
      if (VersionAt(sent_at) > 0) findings_.push_back("a read found nothing though there was");
    } else if (status == status::kOk) {
      const auto found = std::find_if(commits_.begin(), commits_.end(), [&](const auto& entry) {
        return entry.second.document == document;
      });
      if (found == commits_.end()) {
        findings_.push_back("a read gave what never was in force");
        return;
      }
      if (found->first < least) {
        Find(found->first, "was read when " + std::to_string(least) + " had been told");
      }
      newest_read_ = std::max(newest_read_, found->first);
    } else if (status != status::kServiceUnavailable && status != status::kGatewayTimeout) {
      findings_.push_back("a read was answered " + std::to_string(status));
    }
  }

  bool IsTaken(const SentOrder& sent) const {
    const auto found = commits_.find(sent.version);
    if (found == commits_.end() || found->second.base != sent.order.base_version) return false;
    return found->second.document == DocumentOf(sent);
  }

  // Checks that no refused order is in force, whenever it was taken.
  void AtTheEnd() {
    for (const auto& [id, status] : refused_) {
      if (IsTaken(orders_[id])) {
        Find(orders_[id], "was refused with " + std::to_string(status) + " and is in force");
      }
    }
  }

 private:
  // The document that the order makes of its base; empty where the base is not known.
  std::string DocumentOf(const SentOrder& sent) const {
    if (sent.order.method == configuration::ChangeMethod::kPut) return sent.order.body;
    const auto base = commits_.find(sent.order.base_version);
    Findings ignored;
    return configuration::ApplyPatch(base == commits_.end() ? "" : base->second.document,
                                     sent.order.body, ignored)
        .value_or("");
  }
  static bool OnlyRefused(const SentOrder& sent) {
    return sent.calls > 0 && sent.refused_calls == sent.calls;
  }
  void Refused(const SentOrder& sent, int status) {
    if (IsTaken(sent)) Find(sent, "was taken and then refused with " + std::to_string(status));
    refused_.insert({sent.id, status});
  }
  // The version in force at that time; 0 where there is none.
  std::uint64_t VersionAt(net::Time time) const {
    std::uint64_t version = 0;
    for (const auto& [number, commit] : commits_) {
      if (commit.told <= time) version = number;
    }
    return version;
  }
  bool CurrentWasOther(const SentOrder& sent, net::Time from, net::Time until) const {
    return VersionAt(from) != sent.order.base_version ||
           VersionAt(until) != sent.order.base_version;
  }
  void Find(std::uint64_t version, const std::string& what) {
    findings_.push_back("version " + std::to_string(version) + " " + what);
  }
  void Find(const SentOrder& sent, const std::string& what) {
    Find(sent.version, "on " + std::to_string(sent.order.base_version) + " (order " +
                           std::to_string(sent.id) + ") " + what);
  }

  std::deque<SentOrder> orders_;  // Elements stay where they are.
  std::map<std::uint64_t, Commit> commits_;
  std::map<std::size_t, int> refused_;  // Orders, by their first refusal.
  std::map<int, std::size_t> answers_;
  std::uint64_t newest_acknowledged_ = 0;
  std::uint64_t newest_read_ = 0;
  std::vector<std::string> findings_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_ORDER_HISTORY_H_
