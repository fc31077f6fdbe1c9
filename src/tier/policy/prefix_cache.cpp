#include "tier/policy/prefix_cache.h"

namespace shelflink::policy {

void PrefixCache::SetCapacity(std::uint64_t tokens) {
  capacity_ = tokens;
  Shrink();
}

std::uint64_t PrefixCache::CachedTokens(const std::vector<PromptPart>& prompt) const {
  std::uint64_t cached = 0;
  for (const PromptPart& part : prompt) {
    if (!index_.contains(part.id)) break;
    cached += part.tokens;
  }
  return cached;
}

void PrefixCache::NoteSent(const std::vector<PromptPart>& prompt) {
  if (capacity_ == 0) return;
  // In reverse order, so that the first parts of a prompt are evicted last.
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    const auto known = index_.find(part->id);
    if (known != index_.end()) {
      recency_.splice(recency_.begin(), recency_, known->second);
      continue;
    }
    recency_.push_front({*part, false});
    index_[part->id] = recency_.begin();
    tokens_ += part->tokens;
  }
  Shrink();
}

void PrefixCache::NotePrefilled(const std::vector<PromptPart>& prompt) {
  for (const PromptPart& part : prompt) {
    const auto known = index_.find(part.id);
    if (known != index_.end()) known->second->prefilled = true;
  }
}

void PrefixCache::NoteNotPrefilled(const std::vector<PromptPart>& prompt) {
  for (const PromptPart& part : prompt) {
    const auto known = index_.find(part.id);
    if (known != index_.end() && !known->second->prefilled) Erase(known->second);
  }
}

void PrefixCache::Erase(Recency::iterator entry) {
  tokens_ -= entry->part.tokens;
  index_.erase(entry->part.id);
  recency_.erase(entry);
}

void PrefixCache::Shrink() {
  while (!recency_.empty() && (tokens_ > capacity_ || index_.size() > kMaxParts)) {
    Erase(std::prev(recency_.end()));
  }
}

}  // namespace shelflink::policy
