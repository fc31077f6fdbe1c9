// Synchronization of an ordered map by digests of small adjacent ranges. Ranges with equal digests
// are left alone, the others are transferred.
//
// A step reads a bounded part of the map, however large the map is: the process that holds it has
// leases to renew and requests to answer in between. The bounds are those of the caller.
#ifndef SHELFLINK_TIER_COORDINATION_CATCH_UP_H_
#define SHELFLINK_TIER_COORDINATION_CATCH_UP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/coordination/messages.h"
#include "tier/foundation/cbor.h"
#include "tier/storage/storage.h"

namespace shelflink::coordination {

// Read access to a map that is stored under a key prefix.
class PrefixView {
 public:
  using Visitor = std::function<bool(std::string_view key, std::string_view value)>;
  PrefixView(const storage::Storage& storage, std::string prefix)
      : storage_(storage), prefix_(std::move(prefix)) {}
  // Visits the keys of the range in order, without the prefix, until the visitor returns false.
  void Visit(const KeyRange& range, const Visitor& visitor) const;
  bool IsEmpty(const KeyRange& range) const;

 private:
  const storage::Storage& storage_;
  std::string prefix_;
};

// Of the whole range, whatever its size.
RangeDigest DigestOf(const PrefixView& map, const KeyRange& range);
// What one step computes digests of.
struct DigestLimits {
  std::size_t range_bytes = 64U << 10;  // Of a range with more than one item.
  std::size_t step_bytes = 1U << 20;    // Of all ranges, beyond which no other one is begun.
};
// Digests of adjacent subranges from the start of the range on. If the range goes on behind them,
// its rest is the last element, not computed.
std::vector<RangeDigest> SplitDigests(const PrefixView& map, const KeyRange& range,
                                      const DigestLimits& limits);
// Items from the start of the range, up to `max_bytes` but at least one. The range of the result
// ends where the items end.
RangeContents ContentsOf(const PrefixView& map, const KeyRange& range, std::size_t max_bytes);
// Shortens `contents` to a range in which the stored map has at most `max_bytes` or one item.
void LimitStoredBytes(const PrefixView& map, std::size_t max_bytes, RangeContents& contents);
// Adds the writes to `batch` that make the stored map equal to `contents` within their range.
void ReplaceRange(const PrefixView& map, const std::string& prefix, const RangeContents& contents,
                  storage::Batch& batch);

// Adds up the size of a map in bounded steps. What is written meanwhile is counted or not.
class SizeCount {
 public:
  // Goes on by about `max_bytes`, at least by one item.
  void Advance(const PrefixView& map, std::size_t max_bytes);
  // Of keys and values; none: it has not come to the end yet.
  std::optional<std::uint64_t> total() const;

 private:
  std::string next_;  // The first key that is not counted yet.
  std::uint64_t bytes_ = 0;
  bool done_ = false;
};

// The ranges that a learner still has to request, in the order of their keys.
class RangeRepair {
 public:
  struct Request {
    std::vector<KeyRange> digests;
    std::vector<KeyRange> contents;
  };

  void OnDigests(const PrefixView& map, const std::vector<RangeDigest>& digests);
  // `requested`: the requested range; `received`: the part of it that the reply holds.
  void OnContents(const KeyRange& requested, const KeyRange& received);
  bool done() const { return pending_.empty(); }
  // A request for one range, which stays pending until it is answered.
  Request NextRequest() const;
  void PopPending();  // Removes the first pending range, which has been answered.
  // Whether a reply about this range, with contents or with digests, answers the pending request.
  bool IsPending(const KeyRange& range, bool contents) const;
  const KeyRange& first_pending() const { return pending_.front().range; }

  // Writes the state for tests, which use it to recognize equal states.
  void Fingerprint(cbor::Writer& out) const;

 private:
  struct PendingRange {
    KeyRange range;
    bool differs = false;  // Its contents are requested, otherwise its digests.
  };
  std::deque<PendingRange> pending_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_CATCH_UP_H_
