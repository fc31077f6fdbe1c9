// Repair of an ordered map by range digests: ranges whose digests agree stay, others are split
// until they are small, and only small ones that differ move.
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

// A map in a storage: the keys behind a prefix.
class PrefixView {
 public:
  using Visitor = std::function<bool(std::string_view key, std::string_view value)>;
  PrefixView(const storage::Storage& storage, std::string prefix)
      : storage_(storage), prefix_(std::move(prefix)) {}
  // The visitor returns false to stop.
  void Visit(const KeyRange& range, const Visitor& visitor) const;

 private:
  const storage::Storage& storage_;
  std::string prefix_;
};

RangeDigest DigestOf(const PrefixView& map, const KeyRange& range);
// The range in at most `parts` parts of about equal numbers of keys, without gaps.
std::vector<RangeDigest> SplitDigests(const PrefixView& map, const KeyRange& range,
                                      std::size_t parts);
// From the range's start on as much as `max_bytes` allow, one key at least; its range tells how
// far.
RangeContents ContentsOf(const PrefixView& map, const KeyRange& range, std::size_t max_bytes);
// Makes the map in the batch's storage equal to the contents within their range.
void ReplaceRange(const PrefixView& map, const std::string& prefix, const RangeContents& contents,
                  storage::Batch& batch);

// What a learner still has to ask for. Bounded: ranges are asked for depth first.
class RangeRepair {
 public:
  struct Request {
    std::vector<KeyRange> digests;
    std::vector<KeyRange> contents;
  };

  void OnDigests(const PrefixView& map, const std::vector<RangeDigest>& digests);
  // `asked`: what was wanted; `got`: what of it has come.
  void OnContents(const KeyRange& asked, const KeyRange& got);
  bool done() const { return pending_.empty(); }
  // One range a question; it stays open until answered.
  Request NextRequest() const;
  void PopPending();  // The first open range has been answered.
  // Whether an answer about this range, of contents or of digests, is to the open question.
  bool IsPending(const KeyRange& range, bool contents) const;
  const KeyRange& first_pending() const { return pending_.front().range; }

  void Fingerprint(cbor::Writer& out) const;

 private:
  struct PendingRange {
    KeyRange range;
    bool small = false;  // Its contents are wanted.
  };
  std::deque<PendingRange> pending_;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TIER_COORDINATION_CATCH_UP_H_
