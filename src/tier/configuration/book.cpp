#include "tier/configuration/book.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <memory>
#include <utility>

#include "tier/configuration/document_store.h"
#include "tier/configuration/model.h"
#include "tier/configuration/patch.h"
#include "tier/coordination/decimal_number.h"

namespace shelflink::configuration {
namespace {

using coordination::Contents;
using coordination::DecimalNumber;
using coordination::JudgedPlan;
using coordination::RefusalRecords;
using coordination::Write;

constexpr int kVersionDigits = 20;

// Formats a version with leading zeros, so that texts sort like the numbers.
std::string Digits(std::uint64_t version) {
  std::string digits = std::to_string(version);
  return digits.insert(0, kVersionDigits - digits.size(), '0');
}

std::string TakenKey(std::uint64_t version) { return std::string(kTakenPrefix) + Digits(version); }

// Ids sort by base, so that orders which can no longer be accepted come first.
std::string RefusalId(const ChangeOrder& order, const std::string& digest) {
  return Digits(order.base_version) + "/" + digest;
}

// Two orders are the same if their method, base and every byte of the body are equal.
std::string DigestOf(const ChangeOrder& order) {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> sum(
      g_checksum_new(G_CHECKSUM_SHA256), &g_checksum_free);
  const auto add = [&](std::string_view bytes) {
    g_checksum_update(sum.get(), reinterpret_cast<const guchar*>(bytes.data()),
                      static_cast<gssize>(bytes.size()));
  };
  add(order.method == ChangeMethod::kPut ? "PUT " : "PATCH ");
  add(std::to_string(order.base_version) + "\n");
  add(order.body);
  return g_checksum_get_string(sum.get());
}

bool WasTaken(const Contents& committed, std::uint64_t version, const std::string& digest) {
  const auto found = committed.find(TakenKey(version));
  return found != committed.end() && found->second == digest;
}

// Removes the oldest digests to make room for one more, and records the highest version removed.
std::vector<Write> ForgetOldOrders(const Contents& committed) {
  const auto first = committed.lower_bound(kTakenPrefix);
  auto last = first;
  std::size_t remembered = 0;
  while (last != committed.end() && last->first.starts_with(kTakenPrefix)) {
    ++last;
    ++remembered;
  }
  std::vector<Write> writes;
  std::uint64_t forgotten = 0;
  for (auto entry = first; entry != last && remembered >= kOrdersRemembered; ++entry) {
    forgotten = DecimalNumber(std::string_view(entry->first).substr(kTakenPrefix.size()));
    writes.push_back({entry->first, std::nullopt});
    --remembered;
  }
  if (forgotten > 0) writes.push_back({std::string(kForgottenKey), std::to_string(forgotten)});
  return writes;
}

// Whether the digest of the order may have been removed. An order is only ever accepted under a
// version above its base.
bool MayBeForgotten(const Contents& committed, const ChangeOrder& order, std::uint64_t version) {
  const auto forgotten = committed.find(kForgottenKey);
  return forgotten != committed.end() && version <= DecimalNumber(forgotten->second) &&
         version > order.base_version;
}

Error Invalid(const Findings& findings) { return {ErrorCode::kInvalid, TextOf(findings)}; }

Error Conflict(std::uint64_t current) {
  return {ErrorCode::kConflict, "version " + std::to_string(current) + " is in force"};
}

Error TooLarge(std::size_t bytes, std::size_t most_bytes) {
  return {ErrorCode::kTooLarge, "document: expected at most " + std::to_string(most_bytes) +
                                    " bytes, found " + std::to_string(bytes)};
}

std::vector<Write> WritesOf(const Contents& committed, std::uint64_t version,
                            std::string_view document, std::string digest) {
  std::vector<Write> writes = ForgetOldOrders(committed);
  const RefusalRecords refusals(committed, kRefusedPrefix);
  for (Write& write : refusals.ForgetBelow(Digits(version))) writes.push_back(std::move(write));
  for (Write& write : WritesOfDocument(committed, document)) writes.push_back(std::move(write));
  writes.push_back({std::string(kVersionKey), std::to_string(version)});
  writes.push_back({TakenKey(version), std::move(digest)});
  return writes;
}

}  // namespace

std::optional<StoredConfiguration> CurrentConfiguration(const Contents& committed) {
  const auto version = committed.find(kVersionKey);
  std::optional<std::string> document = StoredDocument(committed);
  if (version == committed.end() || !document) return std::nullopt;
  StoredConfiguration current;
  current.version = DecimalNumber(version->second);
  current.document = std::move(*document);
  return current;
}

Result<JudgedPlan> PlanChange(const Contents& committed, const ChangeOrder& order) {
  DocumentReader reader;
  return PlanChange(committed, order, reader);
}

Result<JudgedPlan> PlanChange(const Contents& committed, const ChangeOrder& order,
                              DocumentReader& reader, std::size_t most_bytes) {
  const StoredConfiguration current =
      CurrentConfiguration(committed).value_or(StoredConfiguration{});
  Findings findings;
  const std::optional<std::uint64_t> version = VersionOf(order.body, findings);
  if (!version) return Invalid(findings);
  std::string digest = DigestOf(order);
  if (WasTaken(committed, *version, digest)) return JudgedPlan{};
  if (MayBeForgotten(committed, order, *version)) {
    return MakeError(ErrorCode::kUnknown, "so old an order may have been taken: version " +
                                              std::to_string(current.version) + " is in force");
  }
  if (order.base_version < current.version) return Conflict(current.version);
  const RefusalRecords refusals(committed, kRefusedPrefix);
  const std::string refusal_id = RefusalId(order, digest);
  if (order.base_version > current.version) {
    return refusals.Refuse(refusal_id, order.refusals_seen, Conflict(current.version));
  }
  if (*version <= current.version) {
    findings.push_back(
        {"configVersion", "expected a number above " + std::to_string(current.version)});
  }
  std::optional<std::string> document = order.body;
  if (order.method == ChangeMethod::kPatch) {
    document = ApplyPatch(current.document, order.body, findings);
  }
  if (!document) return Invalid(findings);
  if (document->size() > most_bytes) {
    return refusals.Refuse(refusal_id, order.refusals_seen, TooLarge(document->size(), most_bytes));
  }
  // VersionOf has checked the JSON of the order, and the document in force was checked before.
  const auto parsed = reader.Read(*document);
  if (!parsed) {
    findings.insert(findings.end(), parsed.error().begin(), parsed.error().end());
  }
  if (!findings.empty()) return Invalid(findings);
  return refusals.Accept(refusal_id, order.refusals_seen,
                         WritesOf(committed, *version, *document, std::move(digest)));
}

}  // namespace shelflink::configuration
