#include "metrics/registry.h"

#include <string_view>

namespace metrics {
namespace {

// By kelpspring::Ending.
constexpr std::array<std::string_view, 4> kStateWords = {"answered", "deferred", "errored",
                                                         "abandoned"};

std::string Escaped(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') text += '\\';
    if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text;
}

void Family(std::string& text, std::string_view name, std::string_view type,
            std::string_view help) {
  text.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ");
  text.append(name).append(" ").append(type).append("\n");
}

void Single(std::string& text, std::string_view name, std::string_view type, std::string_view help,
            std::uint64_t value) {
  Family(text, name, type, help);
  text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

// Of a family, the value of one label.
void Row(std::string& text, std::string_view name, std::string_view label, std::string_view word,
         std::uint64_t value) {
  text.append(name).append("{").append(label).append("=\"").append(word).append("\"} ");
  text.append(std::to_string(value)).append("\n");
}

void Peers(std::string& text, const peers::Counts& counts) {
  Single(text, "app_peer_questions", "counter", "Questions sent to peers.", counts.asked);
  Single(text, "app_peer_lists", "counter", "Lists taken from peers.", counts.taken);
  Family(text, "app_peer_answers", "counter", "Questions of peers, by what became of them.");
  Row(text, "app_peer_answers", "how", "answered", counts.answered);
  Row(text, "app_peer_answers", "how", "declined", counts.declined);
  Family(text, "app_peer_dropped", "counter", "Messages and lists of peers left out, by why.");
  Row(text, "app_peer_dropped", "why", "strange", counts.strange);
  Row(text, "app_peer_dropped", "why", "malformed", counts.malformed);
  Row(text, "app_peer_dropped", "why", "foreign", counts.foreign);
  Row(text, "app_peer_dropped", "why", "unasked", counts.unasked);
  Row(text, "app_peer_dropped", "why", "unusable", counts.unusable);
}

void Fleet(std::string& text, const fleet::Counts& counts) {
  Single(text, "app_fleet_members", "gauge", "Members that the store names.", counts.members);
  Single(text, "app_fleet_joins", "counter", "Members seen to join.", counts.joins);
  Single(text, "app_fleet_leaves", "counter", "Members seen to leave.", counts.leaves);
  Single(text, "app_fleet_owns", "gauge", "1 while this one owns maintenance.",
         counts.owns ? 1 : 0);
  Single(text, "app_fleet_late_calls", "counter", "Calls of owners that own no more, refused.",
         counts.late_calls);
  Family(text, "app_store_calls", "counter", "Calls to the store, by how they ended.");
  Row(text, "app_store_calls", "how", "done", counts.store_done);
  Row(text, "app_store_calls", "how", "refused", counts.store_refused);
  Row(text, "app_store_calls", "how", "unknown", counts.store_unknown);
}

}  // namespace

Registry::Registry(const std::vector<std::string>& classes) {
  for (const std::string& name : classes) cells_.push_back({Escaped(name), {}});
}

void Registry::OnTaken(std::uint32_t) { ++current_; }

void Registry::OnSent(std::uint32_t) { ++sends_; }

void Registry::OnEnded(std::uint32_t level, kelpspring::Ending how) {
  --current_;
  ++cells_.at(level).ended.at(static_cast<std::size_t>(how));
}

std::string Registry::Text(const Cluster& cluster) const {
  std::string text;
  Family(text, "app_transactions", "counter", "Requests that have ended, by class and how.");
  for (const Cells& cells : cells_) {
    for (std::size_t state = 0; state < kStates; ++state) {
      text.append("app_transactions{group=\"").append(cells.group).append("\",state=\"");
      text.append(kStateWords.at(state)).append("\"} ");
      text.append(std::to_string(cells.ended.at(state))).append("\n");
    }
  }
  Single(text, "app_sends", "counter", "Attempts written whole to endpoints.", sends_);
  Single(text, "app_current", "gauge", "Requests taken and not ended.", current_);
  Single(text, "app_cluster_size", "gauge", "Endpoints in the list.", cluster.size);
  Single(text, "app_cluster_unhealthy", "gauge", "Listed endpoints that are avoided now.",
         cluster.avoided);
  if (cluster.peers) Peers(text, *cluster.peers);
  if (cluster.fleet) Fleet(text, *cluster.fleet);
  return text;
}

}  // namespace metrics
