#include "tier/coordination/catch_up.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

// A range of at most this size is fetched as a whole: splitting it further would cost as much.
constexpr std::uint64_t kSmallRangeBytes = 64U << 10;

// 64-bit FNV-1a.
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

std::uint64_t Hash(std::uint64_t hash, std::string_view bytes) {
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  // The length separates adjacent strings: "ab","c" hashes differently from "a","bc".
  return (hash ^ bytes.size()) * kFnvPrime;
}

void AddItem(RangeDigest& digest, std::string_view key, std::string_view value) {
  digest.digest = Hash(Hash(digest.digest, key), value);
  ++digest.keys;
  digest.bytes += key.size() + value.size();
}

// The smallest key greater than `key`.
std::string NextKey(std::string_view key) { return std::string(key) + '\0'; }

}  // namespace

void PrefixView::Visit(const KeyRange& range, const Visitor& visitor) const {
  storage_.Scan(prefix_, prefix_ + range.from,
                [&](std::string_view stored, std::string_view value) {
                  const std::string_view key = stored.substr(prefix_.size());
                  if (!range.until.empty() && key >= range.until) return false;
                  return visitor(key, value);
                });
}

RangeDigest DigestOf(const PrefixView& map, const KeyRange& range) {
  RangeDigest digest{range, kFnvOffsetBasis, 0, 0};
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    AddItem(digest, key, value);
    return true;
  });
  return digest;
}

std::vector<RangeDigest> SplitDigests(const PrefixView& map, const KeyRange& range,
                                      std::size_t parts) {
  const std::uint64_t keys = DigestOf(map, range).keys;
  const std::uint64_t keys_per_part = std::max<std::uint64_t>(1, (keys + parts - 1) / parts);
  std::vector<RangeDigest> digests{{range, kFnvOffsetBasis, 0, 0}};
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    if (digests.back().keys == keys_per_part) {
      digests.back().range.until = key;
      digests.push_back({{std::string(key), range.until}, kFnvOffsetBasis, 0, 0});
    }
    AddItem(digests.back(), key, value);
    return true;
  });
  return digests;
}

RangeContents ContentsOf(const PrefixView& map, const KeyRange& range, std::size_t max_bytes) {
  RangeContents contents{range, {}};
  std::size_t bytes = 0;
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    const std::size_t size = key.size() + value.size();
    if (!contents.items.empty() && bytes + size > max_bytes) {
      contents.range.until = NextKey(contents.items.back().first);
      return false;
    }
    bytes += size;
    contents.items.emplace_back(key, value);
    return true;
  });
  return contents;
}

void ReplaceRange(const PrefixView& map, const std::string& prefix, const RangeContents& contents,
                  storage::Batch& batch) {
  auto next = contents.items.begin();
  const auto put = [&] {
    batch.Put(prefix + next->first, next->second);
    ++next;
  };
  map.Visit(contents.range, [&](std::string_view key, std::string_view value) {
    while (next != contents.items.end() && next->first < key) put();
    if (next == contents.items.end() || next->first != key) {
      batch.Remove(prefix + std::string(key));
    } else if (next->second != value) {
      put();
    } else {
      ++next;
    }
    return true;
  });
  while (next != contents.items.end()) put();
}

void RangeRepair::OnDigests(const PrefixView& map, const std::vector<RangeDigest>& digests) {
  for (auto digest = digests.rbegin(); digest != digests.rend(); ++digest) {
    const RangeDigest local = DigestOf(map, digest->range);
    if (local.digest == digest->digest && local.keys == digest->keys) continue;
    const bool small = digest->keys <= 1 || digest->bytes <= kSmallRangeBytes || local.keys == 0;
    pending_.push_front({digest->range, small});
  }
}

void RangeRepair::OnContents(const KeyRange& requested, const KeyRange& received) {
  if (received.until != requested.until && !received.until.empty()) {
    pending_.push_front({{received.until, requested.until}, true});
  }
}

RangeRepair::Request RangeRepair::NextRequest() const {
  Request request;
  if (pending_.empty()) return request;
  (pending_.front().small ? request.contents : request.digests).push_back(pending_.front().range);
  return request;
}

bool RangeRepair::IsPending(const KeyRange& range, bool contents) const {
  return !pending_.empty() && pending_.front().small == contents &&
         pending_.front().range.from == range.from;
}

void RangeRepair::PopPending() { pending_.pop_front(); }

void RangeRepair::Fingerprint(cbor::Writer& out) const {
  out.Uint(pending_.size());
  for (const PendingRange& pending : pending_)
    out.Bytes(pending.range.from).Bytes(pending.range.until).Bool(pending.small);
}

}  // namespace shelflink::coordination
