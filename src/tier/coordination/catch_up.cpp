#include "tier/coordination/catch_up.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

// A range no larger than this moves as a whole; splitting it further would cost as much.
constexpr std::uint64_t kSmallRangeBytes = 64U << 10;

constexpr std::uint64_t kHashStart = 0xcbf29ce484222325;
constexpr std::uint64_t kHashPrime = 0x100000001b3;

std::uint64_t Hash(std::uint64_t hash, std::string_view bytes) {
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kHashPrime;
  }
  // Lengths separate neighbours: "ab","c" is not "a","bc".
  return (hash ^ bytes.size()) * kHashPrime;
}

void Add(RangeDigest& digest, std::string_view key, std::string_view value) {
  digest.digest = Hash(Hash(digest.digest, key), value);
  ++digest.keys;
  digest.bytes += key.size() + value.size();
}

// The least key above this one.
std::string After(std::string_view key) { return std::string(key) + '\0'; }

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
  RangeDigest digest{range, kHashStart, 0, 0};
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    Add(digest, key, value);
    return true;
  });
  return digest;
}

std::vector<RangeDigest> SplitDigests(const PrefixView& map, const KeyRange& range,
                                      std::size_t parts) {
  const std::uint64_t keys = DigestOf(map, range).keys;
  const std::uint64_t each = std::max<std::uint64_t>(1, (keys + parts - 1) / parts);
  std::vector<RangeDigest> digests{{range, kHashStart, 0, 0}};
  map.Visit(range, [&](std::string_view key, std::string_view value) {
    if (digests.back().keys == each) {
      digests.back().range.until = key;
      digests.push_back({{std::string(key), range.until}, kHashStart, 0, 0});
    }
    Add(digests.back(), key, value);
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
      contents.range.until = After(contents.items.back().first);
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
  auto wanted = contents.items.begin();
  const auto put = [&] {
    batch.Put(prefix + wanted->first, wanted->second);
    ++wanted;
  };
  map.Visit(contents.range, [&](std::string_view key, std::string_view value) {
    while (wanted != contents.items.end() && wanted->first < key) put();
    if (wanted == contents.items.end() || wanted->first != key) {
      batch.Remove(prefix + std::string(key));
    } else if (wanted->second != value) {
      put();
    } else {
      ++wanted;
    }
    return true;
  });
  while (wanted != contents.items.end()) put();
}

void RangeRepair::OnDigests(const PrefixView& map, const std::vector<RangeDigest>& digests) {
  for (auto digest = digests.rbegin(); digest != digests.rend(); ++digest) {
    const RangeDigest own = DigestOf(map, digest->range);
    if (own.digest == digest->digest && own.keys == digest->keys) continue;
    const bool small = digest->keys <= 1 || digest->bytes <= kSmallRangeBytes || own.keys == 0;
    pending_.push_front({digest->range, small});
  }
}

void RangeRepair::OnContents(const KeyRange& asked, const KeyRange& got) {
  if (got.until != asked.until && !got.until.empty()) {
    pending_.push_front({{got.until, asked.until}, true});
  }
}

RangeRepair::Request RangeRepair::NextRequest() const {
  Request wanted;
  if (pending_.empty()) return wanted;
  (pending_.front().small ? wanted.contents : wanted.digests).push_back(pending_.front().range);
  return wanted;
}

bool RangeRepair::IsPending(const KeyRange& range, bool contents) const {
  return !pending_.empty() && pending_.front().small == contents &&
         pending_.front().range.from == range.from;
}

void RangeRepair::PopPending() { pending_.pop_front(); }

void RangeRepair::Fingerprint(cbor::Writer& out) const {
  out.Uint(pending_.size());
  for (const PendingRange& open : pending_)
    out.Bytes(open.range.from).Bytes(open.range.until).Bool(open.small);
}

}  // namespace shelflink::coordination
