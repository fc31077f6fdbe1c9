// Synchronization of an ordered map by range digests. Ranges with equal digests are left alone,
// other ranges are split until they are small, and only the small ranges that differ are
// transferred.
#ifndef SHELFLINK_TIER_COORDINATION_CATCH_UP_H_
#define SHELFLINK_TIER_COORDINATION_CATCH_UP_H_

#include <cstdint>
#include <deque>
#include <functional>
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

 private:
  const storage::Storage& storage_;
  std::string prefix_;
};

RangeDigest DigestOf(const PrefixView& map, const KeyRange& range);
// Digests of at most `parts` adjacent subranges with about the same number of keys, which together
// cover the range.
std::vector<RangeDigest> SplitDigests(const PrefixView& map, const KeyRange& range,
                                      std::size_t parts);
// Items from the start of the range, up to `max_bytes` but at least one. The range of the result
// ends where the items end.
RangeContents ContentsOf(const PrefixView& map, const KeyRange& range, std::size_t max_bytes);
// Adds the writes to `batch` that make the stored map equal to `contents` within their range.
void ReplaceRange(const PrefixView& map, const std::string& prefix, const RangeContents& contents,
                  storage::Batch& batch);

// The ranges that a learner still has to request. They are requested depth first, which bounds
// their number.
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
    bool small = false;  // Its contents are requested instead of digests.
  };
  std::deque<PendingRange> pending_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_CATCH_UP_H_
