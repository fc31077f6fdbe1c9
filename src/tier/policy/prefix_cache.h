// Model of an endpoint's prefix cache, based on the prompts that this sidecar sent to it: the least
// recently used parts are evicted when the capacity is exceeded, as the endpoint does.
#ifndef SHELFLINK_TIER_POLICY_PREFIX_CACHE_H_
#define SHELFLINK_TIER_POLICY_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "tier/policy/module.h"

namespace shelflink::policy {

class PrefixCache {
 public:
  static constexpr std::size_t kMaxParts = 4096;  // Then the least recently used one is evicted.

  // With 0 nothing is cached.
  void SetCapacity(std::uint64_t tokens);
  // Number of leading prompt tokens that are cached: a part counts only if all parts before it are
  // cached too.
  std::uint64_t CachedTokens(const std::vector<PromptPart>& prompt) const;
  // Adds the parts of a prompt that is being sent to the endpoint.
  void NoteSent(const std::vector<PromptPart>& prompt);
  // Records that the endpoint has prefilled the prompt.
  void NotePrefilled(const std::vector<PromptPart>& prompt);
  // Records that the endpoint never prefilled the prompt: removes its parts, except those that
  // were prefilled with another prompt.
  void NoteNotPrefilled(const std::vector<PromptPart>& prompt);
  std::size_t size() const { return index_.size(); }

 private:
  struct Entry {
    PromptPart part;
    bool prefilled = false;
  };
  using Recency = std::list<Entry>;  // Most recently used first.

  void Erase(Recency::iterator entry);
  void Shrink();

  Recency recency_;
  std::unordered_map<std::uint64_t, Recency::iterator> index_;
  std::uint64_t capacity_ = 0;
  std::uint64_t tokens_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PREFIX_CACHE_H_
