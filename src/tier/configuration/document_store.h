// The operators' document in the replicated map: cut into chunks where its contents say so, so that
// a change writes the chunks that it touches and no others, however long the document is. The text
// comes back byte by byte. Pure.
#ifndef SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_
#define SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/coordination/replicator.h"

namespace shelflink::configuration {

// Chunks lie under their numbers, 20 digits each; the list names those of the document in their
// order, and the number that the next new one gets.
constexpr std::string_view kChunkPrefix = "config/chunk/";
constexpr std::string_view kChunkListKey = "config/chunks";
// Where earlier programs kept the whole document; it is read where there is no list.
constexpr std::string_view kWholeDocumentKey = "config/document";

constexpr std::size_t kLeastChunk = 4096;     // Bytes, but of the last one.
constexpr std::size_t kLargestChunk = 65536;  // Some 12 KB on average.

// What is stored; none: nothing is.
std::optional<std::string> StoredDocument(const coordination::Contents& contents);

// The writes that put `document` in its place.
std::vector<coordination::Write> WritesOfDocument(const coordination::Contents& contents,
                                                  std::string_view document);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_
