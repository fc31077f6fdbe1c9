// Plans the changes of the configuration in the replicated map. Pure functions of the committed map
// and the order.
//
// The map holds the document in force as the operator sent it (document_store.h), its version, and
// a digest of each of the last kOrdersRemembered accepted orders. An order whose acknowledgement
// was lost is therefore acknowledged again when it is repeated, even after later changes. Of older
// orders only the highest version is kept: since it is unknown whether such an order was accepted,
// it is answered kUnknown and never refused.
//
// An order may be refused for a reason that can pass: its base is not in force yet, or the document
// is too large for this primary. Such a refusal is recorded (coordination/refusals.h) until a
// version above the base is in force, because a delayed copy of the order may reach a primary at
// any time.
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

// Keys in the replicated map. Only this module writes below kKeyPrefix and kRefusedPrefix.
constexpr std::string_view kKeyPrefix = "config/";
constexpr std::string_view kVersionKey = "config/version";
constexpr std::string_view kTakenPrefix = "config/taken/";  // Followed by the version, 20 digits.
constexpr std::string_view kForgottenKey =
    "config/forgotten";                          // Highest version whose digest was removed.
constexpr std::size_t kOrdersRemembered = 8192;  // Take about 1 MB in the map.
constexpr std::string_view kRefusedPrefix = "refused/config/";  // Of the refusal records.

enum class ChangeMethod : std::uint8_t {
  kPut,    // A whole configuration.
  kPatch,  // Items to add, replace or remove by name.
};

struct ChangeOrder {
  ChangeMethod method = ChangeMethod::kPut;
  std::uint64_t base_version = 0;   // If-Match; 0: none is in force.
  std::string body;                 // JSON.
  std::uint64_t refusals_seen = 0;  // Number that confirms the order (refusals.h).
};

constexpr std::size_t kLargestDocument = 16U << 20;  // Bytes; the default limit.

// Decides on an order. The verdict is
// - Accepted: without writes, the order was accepted before and is acknowledged again;
// - Refused with kConflict if its base is not in force yet, with kTooLarge if the document would be
//   longer than `most_bytes`;
// - ConfirmationRequired if it could be accepted but was refused before.
// Errors, which need no record because they are permanent: kInvalid (the text holds every finding)
// and kConflict (a version above the base is in force, and this order was never accepted). Error
// kUnknown: it may have been accepted so long ago that its digest was removed.
// The result does not depend on what `reader` has read before.
Result<coordination::JudgedPlan> PlanChange(const coordination::Contents& committed,
                                            const ChangeOrder& order, DocumentReader& reader,
                                            std::size_t most_bytes = kLargestDocument);
// The same with a new reader.
Result<coordination::JudgedPlan> PlanChange(const coordination::Contents& committed,
                                            const ChangeOrder& order);

// The configuration in force.
struct StoredConfiguration {
  std::uint64_t version = 0;
  std::string document;
};
// Returns none if no configuration has been accepted yet.
std::optional<StoredConfiguration> CurrentConfiguration(const coordination::Contents& committed);

}  // namespace shelflink::configuration

#endif  // SHELFLINK_TIER_CONFIGURATION_BOOK_H_
