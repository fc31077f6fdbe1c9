// Which prompt parts an endpoint probably keeps, judged by what this sidecar sent to it: the parts
// unused longest give way once its memory is full, as they do at the endpoint.
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
  static constexpr std::size_t kMaxParts = 4096;  // Beyond, the part unused longest is dropped.

  // 0: nothing is kept.
  void SetCapacity(std::uint64_t tokens);
  // Tokens kept of the prompt from its start: a part counts only if all before it are kept too.
  std::uint64_t CachedTokens(const std::vector<PromptPart>& prompt) const;
  // The prompt is on its way to the endpoint.
  void NoteSent(const std::vector<PromptPart>& prompt);
  // The endpoint has read it.
  void NotePrefilled(const std::vector<PromptPart>& prompt);
  // The endpoint never read it: parts that no other prompt is known to have brought are dropped.
  void NoteNotPrefilled(const std::vector<PromptPart>& prompt);
  std::size_t size() const { return index_.size(); }

 private:
  struct Entry {
    PromptPart part;
    bool prefilled = false;
  };
  using Recency = std::list<Entry>;  // Used latest first.

  void Erase(Recency::iterator entry);
  void Shrink();

  Recency recency_;
  std::unordered_map<std::uint64_t, Recency::iterator> index_;
  std::uint64_t capacity_ = 0;
  std::uint64_t tokens_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_PREFIX_CACHE_H_
