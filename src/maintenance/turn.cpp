#include "maintenance/turn.h"

#include <algorithm>

namespace maintenance {
namespace {

// Keeps the time of those still in the state, and notes it for those that are new in it.
void Note(std::map<std::string, Micros>& since, const std::set<std::string>& now_in, Micros now) {
  std::erase_if(since, [&](const auto& s) { return now_in.count(s.first) == 0; });
  for (const std::string& name : now_in) since.emplace(name, now);
}

}  // namespace

void Turn::Forget(const Seen& seen) {
  if (order_ == seen.order.id) return;
  order_ = seen.order.id;
  called_.clear();
  out_since_.clear();
  missing_since_.clear();
}

std::string Turn::Overdue(Micros now, const Seen& seen) const {
  const Micros span = seen.order.back_within;
  for (const auto& [name, since] : out_since_) {
    if (now - since >= span) return name + " has not come back";
  }
  for (const auto& [name, called] : called_) {
    if (now - called.first >= span) return name + " does not take its part";
  }
  // Those that are gone are waited for only once nobody else is left.
  const bool others = std::any_of(
      seen.order.members.begin(), seen.order.members.end(), [&](const std::string& name) {
        const auto part = seen.parts.find(name);
        return (part == seen.parts.end() || !part->second.back) && missing_since_.count(name) == 0;
      });
  for (const auto& [name, since] : missing_since_) {
    if (!others && now - since >= span) return name + " is not there";
  }
  return {};
}

Turn::Say Turn::Plan(Micros now, const Seen& seen) {
  Say say;
  Forget(seen);
  if (!seen.order.open()) return say;
  std::set<std::string> out;
  std::set<std::string> missing;
  std::set<std::uint32_t> taken;  // Slots.
  std::size_t back = 0;
  for (const std::string& name : seen.order.members) {
    const auto part = seen.parts.find(name);
    if (part != seen.parts.end()) {
      called_.erase(name);
      back += part->second.back ? 1 : 0;
      if (part->second.back) continue;
      out.insert(name);
      taken.insert(part->second.slot);
    } else if (seen.present.count(name) == 0) {
      called_.erase(name);
      missing.insert(name);
    }
  }
  for (const auto& [name, called] : called_) taken.insert(called.slot);
  Note(out_since_, out, now);
  Note(missing_since_, missing, now);
  if (back == seen.order.members.size()) {
    say.end = State::kDone;
    return say;
  }
  // While it is paused nobody is late: time counts from when it goes on.
  if (seen.order.state == State::kPaused) {
    called_.clear();
    for (auto& [name, since] : missing_since_) since = now;
    return say;
  }
  say.why = Overdue(now, seen);
  if (!say.why.empty()) {
    say.end = State::kStopped;
    return say;
  }
  for (auto& [name, called] : called_) {
    if (now - called.last < kAgain) continue;
    called.last = now;
    say.calls.push_back({name, called.slot});
  }
  std::uint32_t slot = 0;
  for (const std::string& name : seen.order.members) {
    if (seen.parts.count(name) != 0 || missing.count(name) != 0 || called_.count(name) != 0) {
      continue;
    }
    while (taken.count(slot) != 0) ++slot;
    if (slot >= seen.order.at_once) break;
    taken.insert(slot);
    called_[name] = {now, now, slot};
    say.calls.push_back({name, slot});
  }
  return say;
}

std::string Turn::Words() const {
  std::string words = order_;
  for (const auto& [name, c] : called_) {
    words += " called " + name + '/' + std::to_string(c.slot) + '@' + std::to_string(c.first) +
             '-' + std::to_string(c.last);
  }
  for (const auto& [name, since] : out_since_) words += " out " + name + std::to_string(since);
  for (const auto& [name, since] : missing_since_) {
    words += " missing " + name + std::to_string(since);
  }
  return words;
}

}  // namespace maintenance
