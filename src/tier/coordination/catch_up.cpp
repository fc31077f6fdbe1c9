#include "tier/coordination/catch_up.h"

#include <algorithm>
#include <utility>

namespace shelflink::coordination {

namespace {

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

// Reads no more than a range with that digest can hold, and one item more.
bool HasDigest(const PrefixView& map, const RangeDigest& digest) {
  RangeDigest stored{digest.range, kFnvOffsetBasis, 0, 0};
  map.Visit(digest.range, [&](std::string_view key, std::string_view value) {
    AddItem(stored, key, value);
    return stored.keys <= digest.keys && stored.bytes <= digest.bytes;
  });
  return stored.digest == digest.digest && stored.keys == digest.keys;
}

}  // namespace

void PrefixView::Visit(const KeyRange& range, const Visitor& visitor) const {
  storage_.Scan(prefix_, prefix_ + range.from,
                [&](std::string_view stored, std::string_view value) {
                  const std::string_view key = stored.substr(prefix_.size());
                  if (!range.until.empty() && key >= range.until) return false;
                  return visitor(key, value);
                });
}

bool PrefixView::IsEmpty(const KeyRange& range) const {
  bool empty = true;
  Visit(range, [&](std::string_view, std::string_view) {
    empty = false;
    return false;
  });
  return empty;
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
                                      const DigestLimits& limits) {
  std::vector<RangeDigest> digests{{range, kFnvOffsetBasis, 0, 0}};
  std::uint64_t bytes = 0;
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    const RangeDigest& last = digests.back();
    if (last.keys > 0 && last.bytes + key.size() + value.size() > limits.range_bytes) {
      bytes += last.bytes;
      const bool computed = bytes < limits.step_bytes;
      digests.back().range.until = key;
      digests.push_back({{std::string(key), range.until}, kFnvOffsetBasis, 0, 0, computed});
      if (!computed) return false;
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

void LimitStoredBytes(const PrefixView& map, std::size_t max_bytes, RangeContents& contents) {
  std::size_t bytes = 0;
  std::optional<std::string> until;
  map.Visit(contents.range, [&](std::string_view key, std::string_view value) {
    const std::size_t before = std::exchange(bytes, bytes + key.size() + value.size());
    if (before == 0 || bytes <= max_bytes) return true;
    until.emplace(key);
    return false;
  });
  if (!until) return;
  contents.range.until = *until;
  std::erase_if(contents.items, [&](const auto& item) { return item.first >= *until; });
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

void SizeCount::Advance(const PrefixView& map, std::size_t max_bytes) {
  if (done_) return;
  const std::uint64_t enough = bytes_ + max_bytes;
  done_ = true;
  map.Visit({next_, ""}, [&](std::string_view key, std::string_view value) {
    if (bytes_ >= enough) {
      next_ = key;
      done_ = false;
      return false;
    }
    bytes_ += key.size() + value.size();
    return true;
  });
}

std::optional<std::uint64_t> SizeCount::total() const {
  return done_ ? std::optional(bytes_) : std::nullopt;
}

void RangeRepair::OnDigests(const PrefixView& map, const std::vector<RangeDigest>& digests) {
  for (auto digest = digests.rbegin(); digest != digests.rend(); ++digest) {
    if (digest->computed && HasDigest(map, *digest)) continue;
    pending_.push_front({digest->range, digest->computed || map.IsEmpty(digest->range)});
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
  (pending_.front().differs ? request.contents : request.digests).push_back(pending_.front().range);
  return request;
}

bool RangeRepair::IsPending(const KeyRange& range, bool contents) const {
  return !pending_.empty() && pending_.front().differs == contents &&
         pending_.front().range.from == range.from;
}

void RangeRepair::PopPending() { pending_.pop_front(); }

void RangeRepair::Fingerprint(cbor::Writer& out) const {
  out.Uint(pending_.size());
  for (const PendingRange& pending : pending_)
    out.Bytes(pending.range.from).Bytes(pending.range.until).Bool(pending.differs);
}

}  // namespace shelflink::coordination
