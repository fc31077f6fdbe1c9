// The orders that change the configuration, as plans over the replicated map: pure functions of
// what is committed and of the order.
//
// The map holds the document in force as the operator sent it (document_store.h), its version, and
// for the last
// kOrdersRemembered orders taken a digest each, so that an order whose acknowledgement was lost is
// acknowledged again when it is repeated, also after later changes. Of orders older than these only
// the highest version is kept: whether one of them was taken is no longer known, so it gets no
// clear answer rather than a refusal.
//
// An order that is refused although it could be taken later (its base is yet to come, or the
// document is too large for this primary) is on record as refused (coordination/refusals.h), until
// a version above its base is in force: an earlier copy of it may reach a primary at any time.
#ifndef SHELFLINK_TIER_CONFIGURATION_BOOK_H_
#define SHELFLINK_TIER_CONFIGURATION_BOOK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/configuration/document_reader.h"
#include "tier/coordination/refusals.h"
#include "tier/coordination/replicator.h"
#include "tier/foundation/result.h"

namespace shelflink::configuration {

// Keys in the replicated map; nobody else writes below kKeyPrefix.
constexpr std::string_view kKeyPrefix = "config/";
constexpr std::string_view kVersionKey = "config/version";
constexpr std::string_view kTakenPrefix = "config/taken/";      // Then the version, 20 digits.
constexpr std::string_view kForgottenKey = "config/forgotten";  // Highest version without digest.
constexpr std::size_t kOrdersRemembered = 8192;                 // About 1 MB in the map.
constexpr std::string_view kRefusedPrefix = "refused/config/";  // Of refusal records.

enum class ChangeMethod : std::uint8_t {
  kPut,    // A whole configuration.
  kPatch,  // Items to add, replace or remove by name.
};

struct ChangeOrder {
  ChangeMethod method = ChangeMethod::kPut;
  std::uint64_t base_version = 0;   // If-Match; 0: none is in force.
  std::string body;                 // JSON.
  std::uint64_t refusals_seen = 0;  // As its sender was told (coordination/refusals.h).
};

constexpr std::size_t kLargestDocument = 16U << 20;  // Bytes, where nothing smaller is asked for.

// What the order comes to. Accepted without writes: it has been taken before and is acknowledged
// again. Refused: kConflict (its base is yet to come), kTooLarge (the document would be longer than
// `most_bytes`).
// Errors, of refusals that stand for ever and need no record: kInvalid (every finding in its text),
// kConflict (a version above its base is in force and this order was never taken). kUnknown: it may
// have been taken so long ago that its digest is gone.
// The outcome does not depend on what `reader` has read before.
Result<coordination::JudgedPlan> PlanChange(const coordination::Contents& committed,
                                            const ChangeOrder& order, DocumentReader& reader,
                                            std::size_t most_bytes = kLargestDocument);
// The same, of a reader that has read nothing.
Result<coordination::JudgedPlan> PlanChange(const coordination::Contents& committed,
                                            const ChangeOrder& order);

// What is in force.
struct StoredConfiguration {
  std::uint64_t version = 0;
  std::string document;
};
// None: no configuration has been taken yet.
std::optional<StoredConfiguration> CurrentConfiguration(const coordination::Contents& committed);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_BOOK_H_
