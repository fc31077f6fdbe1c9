// Tokens of items that are accepted and not yet listed, by owner and route, for the quota. Pure.
#ifndef SHELFLINK_TIER_BATCH_QUEUED_TOKENS_H_
#define SHELFLINK_TIER_BATCH_QUEUED_TOKENS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace shelflink::batch {

class QueuedTokens {
 public:
  void Add(const std::string& owner, const std::string& route, std::uint64_t tokens) {
    by_owner_[{owner, route}] += tokens;
    total_ += tokens;
    ++items_;
  }
  // Of an item that was added.
  void Release(const std::string& owner, const std::string& route, std::uint64_t tokens) {
    --items_;
    total_ -= std::min(total_, tokens);
    const auto found = by_owner_.find({owner, route});
    if (found == by_owner_.end()) return;
    found->second -= std::min(found->second, tokens);
    if (found->second == 0) by_owner_.erase(found);
  }
  std::uint64_t Of(const std::string& owner, const std::string& route) const {
    const auto found = by_owner_.find({owner, route});
    return found == by_owner_.end() ? 0 : found->second;
  }
  std::uint64_t total() const { return total_; }
  std::size_t items() const { return items_; }

 private:
  std::map<std::pair<std::string, std::string>, std::uint64_t> by_owner_;
  std::uint64_t total_ = 0;
  std::size_t items_ = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_QUEUED_TOKENS_H_
