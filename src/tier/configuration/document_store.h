// Stores the operators' document in the replicated map, in chunks whose borders depend on the
// content (content-defined chunking). A change therefore writes only the chunks that it touches,
// however long the document is. The text is returned byte for byte. Pure.
#ifndef SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_
#define SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/coordination/replicator.h"

namespace shelflink::configuration {

// Chunks are stored under their numbers, 20 digits each. The list holds the numbers of the
// document's chunks in order and the number of the next new chunk.
constexpr std::string_view kChunkPrefix = "config/chunk/";
constexpr std::string_view kChunkListKey = "config/chunks";
// Key of the whole document in earlier versions of the program; read if there is no list.
constexpr std::string_view kWholeDocumentKey = "config/document";

constexpr std::size_t kLeastChunk = 4096;     // Bytes; the last chunk may be shorter.
constexpr std::size_t kLargestChunk = 65536;  // Bytes; the average is some 12 KB.

// Returns none if no document is stored.
std::optional<std::string> StoredDocument(const coordination::Contents& contents);

// Returns the writes that replace the stored document by `document`.
std::vector<coordination::Write> WritesOfDocument(const coordination::Contents& contents,
                                                  std::string_view document);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_DOCUMENT_STORE_H_
