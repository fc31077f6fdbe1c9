#include "tier/configuration/document_store.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "tier/foundation/cbor.h"
#include "tier/foundation/cbor_fields.h"

namespace shelflink::configuration {
namespace {

using coordination::Contents;
using coordination::Write;

constexpr std::size_t kNumberDigits = 20;
constexpr std::uint64_t kCutMask =
    (1U << 13U) - 1;  // Every 8,192nd byte on average, beyond kLeastChunk.

// ---- Borders of chunks ----

// A pseudo-random value for each byte (splitmix64).
constexpr std::array<std::uint64_t, 256> MakeByteValues() {
  std::array<std::uint64_t, 256> values{};
  std::uint64_t state = 0;
  for (std::uint64_t& value : values) {
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = (state ^ (state >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    value = mixed ^ (mixed >> 31U);
  }
  return values;
}
constexpr std::array<std::uint64_t, 256> kByteValues = MakeByteValues();

// Returns the length of the first chunk of a text. Only the bytes before a border determine it, so
// the chunks behind a change stay the same.
std::size_t LengthOfChunk(std::string_view text) {
  const std::size_t longest = std::min(text.size(), kLargestChunk);
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at < longest; ++at) {
    hash = (hash << 1U) + kByteValues[static_cast<unsigned char>(text[at])];
    const bool is_cut = at + 1 >= kLeastChunk && ((hash >> 32U) & kCutMask) == 0;
    if (is_cut) return at + 1;
  }
  return longest;
}

std::vector<std::string_view> CutIntoChunks(std::string_view text) {
  std::vector<std::string_view> chunks;
  while (!text.empty()) {
    const std::size_t length = LengthOfChunk(text);
    chunks.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return chunks;
}

// ---- Contents of the map ----

struct ChunkList {
  std::uint64_t next = 1;
  std::vector<std::uint64_t> numbers;
};

std::string KeyOf(std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kNumberDigits - digits.size(), '0');
  return std::string(kChunkPrefix) + digits;
}

std::string Encode(const ChunkList& list) {
  cbor::Writer writer;
  writer.Array(2).Uint(list.next);
  cbor::WriteList(writer, list.numbers,
                  [](cbor::Writer& to, std::uint64_t number) { to.Uint(number); });
  return writer.Take();
}

std::optional<ChunkList> StoredList(const Contents& contents) {
  const auto found = contents.find(kChunkListKey);
  if (found == contents.end()) return std::nullopt;
  cbor::Reader reader(found->second);
  const cbor::FieldsReader fields(reader, 2);
  ChunkList list;
  list.next = reader.Uint();
  list.numbers =
      cbor::ReadList<std::uint64_t>(reader, [](cbor::Reader& from) { return from.Uint(); });
  return list;
}

}  // namespace

std::optional<std::string> StoredDocument(const Contents& contents) {
  const std::optional<ChunkList> list = StoredList(contents);
  if (!list) {
    const auto whole = contents.find(kWholeDocumentKey);
    if (whole == contents.end()) return std::nullopt;
    return whole->second;
  }
  std::string document;
  for (const std::uint64_t number : list->numbers) {
    const auto chunk = contents.find(KeyOf(number));
    if (chunk != contents.end()) document += chunk->second;
  }
  return document;
}

std::vector<Write> WritesOfDocument(const Contents& contents, std::string_view document) {
  const ChunkList before = StoredList(contents).value_or(ChunkList());
  std::unordered_map<std::string_view, std::uint64_t>
      known;  // Numbers of the stored chunks by their texts.
  for (const std::uint64_t number : before.numbers) {
    const auto chunk = contents.find(KeyOf(number));
    if (chunk != contents.end()) known.emplace(chunk->second, number);
  }
  ChunkList after;
  after.next = before.next;
  std::vector<Write> writes;
  for (const std::string_view chunk : CutIntoChunks(document)) {
    const auto [found, is_new] = known.emplace(chunk, after.next);
    after.numbers.push_back(found->second);
    if (!is_new) continue;
    writes.push_back({KeyOf(after.next), std::string(chunk)});
    ++after.next;
  }
  const std::unordered_set<std::uint64_t> used(after.numbers.begin(), after.numbers.end());
  std::unordered_set<std::uint64_t> removed;
  for (const std::uint64_t number : before.numbers) {
    if (used.contains(number) || !removed.insert(number).second) continue;
    writes.push_back({KeyOf(number), std::nullopt});
  }
  if (contents.contains(kWholeDocumentKey)) {
    writes.push_back({std::string(kWholeDocumentKey), std::nullopt});
  }
  writes.push_back({std::string(kChunkListKey), Encode(after)});
  return writes;
}

}  // namespace shelflink::configuration
