#include "emulator/catalog.h"

#include <algorithm>

namespace shelflab {
namespace {

// Changes kept for watchers that fell behind; whoever is further back gets the whole list.
constexpr std::size_t kMostChanges = 4096;

}  // namespace

Catalog::Catalog(const DiscoverySpec& spec, std::uint32_t tiers)
    : spec_(spec), tiers_(tiers), late_(spec.lateness) {}

void Catalog::List(std::uint32_t tier, const std::vector<Listed>& rows) {
  for (const Listed& row : rows) tiers_[tier].rows[row.node] = row;
}

void Catalog::OnFact(Micros now, std::uint32_t tier, const Listed& row) {
  // A later fact never overtakes an earlier one, also when the lateness shrinks.
  Micros at = now + late_;
  if (!facts_.empty()) at = std::max(at, facts_.rbegin()->first);
  facts_.emplace(at, std::make_pair(tier, row));
}

void Catalog::OnCall(Micros now, const CatalogCall& call) {
  Advance(now);
  if (down_) return;
  Queue(now, call);
}

void Catalog::Queue(Micros now, const CatalogCall& call) {
  const Micros start = std::max(now, free_at_);
  if (busy_) {
    served_.emplace(now, Served{call, now, true});
  } else if (start - now > spec_.longest_wait) {
    served_.emplace(now + spec_.longest_wait, Served{call, now, true});
  } else {
    free_at_ = start + spec_.call_cost;
    served_.emplace(free_at_, Served{call, now, false});
  }
}

void Catalog::Hangup(std::uint64_t call) {
  watches_.erase(call);
  for (auto it = served_.begin(); it != served_.end();) {
    it = it->second.call.id == call ? served_.erase(it) : std::next(it);
  }
}

void Catalog::SetDown(bool down) {
  down_ = down;
  if (!down) return;
  served_.clear();
  watches_.clear();
  watch_ends_.clear();
}

Micros Catalog::Next() const {
  Micros next = kNever;
  if (!facts_.empty()) next = std::min(next, facts_.begin()->first);
  if (!served_.empty()) next = std::min(next, served_.begin()->first);
  if (!watch_ends_.empty()) next = std::min(next, watch_ends_.begin()->first);
  return next;
}

void Catalog::Advance(Micros now) {
  for (;;) {
    const Micros next = Next();
    if (next > now) return;
    if (!facts_.empty() && facts_.begin()->first == next) {
      const auto [tier, row] = facts_.begin()->second;
      facts_.erase(facts_.begin());
      Show(next, tier, row);
    } else if (!served_.empty() && served_.begin()->first == next) {
      const Served served = served_.begin()->second;
      served_.erase(served_.begin());
      Answer(next, served);
    } else {
      const std::uint64_t call = watch_ends_.begin()->second;
      watch_ends_.erase(watch_ends_.begin());
      const auto it = watches_.find(call);
      if (it == watches_.end()) continue;
      CatalogCall over = it->second;
      over.wait = 0;
      watches_.erase(it);
      Answer(next, Served{over, next, false});
    }
  }
}

// The waiting watchers are served in turn, as their calls were.
void Catalog::Show(Micros at, std::uint32_t t, const Listed& row) {
  Tier& tier = tiers_[t];
  ++tier.seq;
  if (row.health == Health::kDeleted) {
    tier.rows.erase(row.node);
  } else {
    tier.rows[row.node] = row;
  }
  tier.log.push_back({tier.seq, row});
  if (tier.log.size() > kMostChanges) tier.log.pop_front();
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (it->second.tier != t) {
      ++it;
      continue;
    }
    Queue(at, it->second);
    it = watches_.erase(it);
  }
}

void Catalog::Answer(Micros at, const Served& served) {
  const CatalogCall& call = served.call;
  const Tier& tier = tiers_[call.tier];
  CatalogAnswer answer{call.id, at, !served.fails, tier.seq, false, {}};
  if (served.fails) return answers_.push_back(answer);
  if (call.after && *call.after == tier.seq && served.came + call.wait > at) {
    watches_[call.id] = call;
    watch_ends_.emplace(served.came + call.wait, call.id);
    return;
  }
  const bool held =
      call.after && *call.after <= tier.seq &&
      (*call.after == tier.seq || (!tier.log.empty() && tier.log.front().seq <= *call.after + 1));
  if (held) {
    for (const Change& c : tier.log) {
      if (c.seq > *call.after) answer.rows.push_back(c.row);
    }
  } else {
    answer.whole = true;
    for (const auto& [node, row] : tier.rows) answer.rows.push_back(row);
  }
  answers_.push_back(std::move(answer));
}

std::vector<CatalogAnswer> Catalog::TakeAnswers() { return std::exchange(answers_, {}); }

std::pair<std::int64_t, std::vector<Listed>> Catalog::Whole(std::uint32_t t) const {
  std::vector<Listed> rows;
  for (const auto& [node, row] : tiers_[t].rows) rows.push_back(row);
  return {tiers_[t].seq, rows};
}

}  // namespace shelflab
