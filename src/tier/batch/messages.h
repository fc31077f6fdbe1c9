// Messages between the proxies and the stores of batch jobs, as typed values with their CBOR form.
//
// A job belongs to the partition of its owner (batch/partition.h); the primary store of that
// partition decides everything about it. Proxies ask by hub calls (Submit, Read, Body, End), offer
// to run items (Offer), and tell how runs ended (Finished); a store hands items out (Assign) and
// takes them back (Revoke). Errors travel as codes of tier/foundation/result.h:
//   kNotFound     certain: the store is the partition's primary and has no such job or item.
//   kUnavailable  this store cannot decide (not the primary, out of touch, disk trouble); nothing
//                 has happened and nothing will.
//   kUnknown      it may or may not have happened.
#ifndef SHELFLINK_TIER_BATCH_MESSAGES_H_
#define SHELFLINK_TIER_BATCH_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/foundation/settings.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

using std::chrono::milliseconds;

enum MessageKind : transport::MessageKind {
  kSubmit = transport::kBatchKinds,          // Call: Submit, SubmitAnswer.
  kRead = transport::kBatchKinds + 1,        // Call: Read, ReadAnswer.
  kBody = transport::kBatchKinds + 2,        // Call: ItemRef, the bytes of the body.
  kEnd = transport::kBatchKinds + 3,         // Call: JobRef, empty answer.
  kOffer = transport::kBatchKinds + 4,       // Call: Offer, OfferAnswer.
  kAdopt = transport::kBatchKinds + 5,       // Call: Adopt, AdoptAnswer.
  kFinished = transport::kBatchKinds + 6,    // Call: Finished, empty answer.
  kAssign = transport::kBatchKinds + 7,      // One-way, store to proxy: Assign.
  kRevoke = transport::kBatchKinds + 8,      // One-way, store to proxy: Revoke.
  kWorkWaits = transport::kBatchKinds + 9,   // One-way, store to proxy: WorkWaits.
  kReplicate = transport::kBatchKinds + 20,  // From here on between stores: see replica messages.
};

constexpr std::size_t kMostItems = 200;                 // Of one job.
constexpr std::size_t kMostResultBytes = 1U << 20;      // Of one page of results.
constexpr std::uint64_t kLargestResultText = 8U << 20;  // Of one item.

// How long a lease of an item holds after the proxy sent the offer that named it. After that the
// proxy sends the item to no endpoint any more (a run under way goes on); the store hands it to
// another. Short enough that an acknowledged end of a job binds every proxy within `cancel`.
milliseconds LeaseSpan(const Bounds& bounds);

struct JobRef {
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;  // Of the partition's row, as the sender knows it.
  std::string tenant;       // Empty where there are no tenants; then `host` is the owner.
  std::string host;
  std::string job;
};

struct ItemRef {
  JobRef job;
  std::string item;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Item {
  std::string id;
  std::string path;
  Headers headers;
  std::string body;  // Decoded.
  std::uint64_t tokens = 0;
};

struct Submit {
  JobRef job;
  std::string route;                    // Its name.
  milliseconds age{0};                  // Since the proxy took the submission in.
  std::uint64_t max_queued_tokens = 0;  // Of this tenant on this route; 0: no limit.
  double quota_overage = 0;
  milliseconds run_aim{0};
  milliseconds keep{0};
  std::uint32_t max_attempts = 1;
  std::vector<Item> items;
};

enum class SubmitOutcome : std::uint8_t {
  kAccepted,   // Durable. Also for a job that was accepted before.
  kExhausted,  // The quota; none of it runs.
  kConflict,   // Another job with this id is there.
};
struct SubmitAnswer {
  SubmitOutcome outcome = SubmitOutcome::kAccepted;
  milliseconds retry_after{0};  // Advice with kExhausted.
};

struct Read {
  JobRef job;
  std::uint64_t after = 0;                      // Position from which to list.
  milliseconds wait{0};                         // Hold the answer so long while there is nothing.
  std::uint64_t most_bytes = kMostResultBytes;  // At least one result is given if there is one.
};

enum class ResultState : std::uint8_t { kCompleted, kDeadLetter };
struct ItemResult {
  std::string id;
  ResultState state = ResultState::kCompleted;
  std::string text;
};
struct ReadAnswer {
  std::uint64_t total = 0;  // Items of the job.
  std::uint64_t next = 0;   // Position behind the last result given.
  std::vector<ItemResult> results;
};

// Drawn by the store that gave the lease; unique for ever, and kept when another store adopts it.
struct LeaseId {
  std::uint64_t issuer = 0;  // Drawn anew whenever a store becomes a partition's primary.
  std::uint64_t number = 0;
  auto operator<=>(const LeaseId&) const = default;  // NOLINT(modernize-use-nullptr): its error.
};

// What is known of an item's output: the text is the data of the first `events` events, joined by
// line feeds; a run may continue behind `last_event_id`.
struct Output {
  std::string text;
  std::uint64_t events = 0;
  std::optional<std::uint64_t> last_event_id;
};

// More of an item's output: the bytes of its text from `offset` on; the rest as in Output, for the
// whole text so far.
struct OutputPart {
  std::uint64_t offset = 0;
  std::string text;
  std::uint64_t events = 0;
  std::optional<std::uint64_t> last_event_id;
};

struct HeldLease {
  std::uint32_t partition = 0;
  LeaseId lease;
  std::optional<OutputPart> more;  // None: nothing new since what the store has confirmed.
};

// From a proxy to a store, for all partitions of which that store is the primary: renews the leases
// named, and takes new items. The store hands them out in answer to this offer or not at all, so
// room that one store does not use is free for the others at once.
struct Offer {
  std::uint32_t items = 0;  // New ones that the proxy takes, at most.
  std::uint32_t room = 0;   // New ones that it has room for, over all stores.
  std::vector<HeldLease> held;
};

enum class LeaseStatus : std::uint8_t {
  kRenewed,     // Holds for LeaseSpan from when the offer was sent; `more` is taken.
  kRevoked,     // Ended, finished or given to another: stop the run and forget it.
  kUnknown,     // The store is the primary but has not given it: adopt it.
  kNotPrimary,  // Ask the partition's primary; not renewed.
};
struct OfferAnswer {
  std::vector<LeaseStatus> held;  // In the order of the offer.
  std::uint32_t assigned = 0;     // New items, which follow this answer (Assign).
  std::uint32_t waiting = 0;      // Items that others may still take now.
};

// Items wait at a store whose last answer to this proxy told of none.
struct WorkWaits {
  std::uint32_t items = 0;
};

// To a new primary of a partition (or a restarted one): the leases that the proxy holds, with all
// of their output so far. Each must be adopted before it can be renewed.
struct Adoption {
  ItemRef item;
  LeaseId lease;
  Output output;
};
struct Adopt {
  std::vector<Adoption> leases;
};
struct AdoptAnswer {
  std::vector<LeaseStatus> leases;  // In the order of the call; kRenewed: adopted.
};

enum class RunOutcome : std::uint8_t {
  kComplete,     // The answer was whole; `output` is all of it.
  kError,        // An endpoint answered 500: a failed attempt.
  kImpossible,   // An endpoint answered 422: it can never be done.
  kInterrupted,  // The run is over without an end; another may continue behind `output`.
  kReturned,     // Not run since the lease was given.
};
struct Finished {
  ItemRef item;
  LeaseId lease;
  RunOutcome outcome = RunOutcome::kReturned;
  Output output;  // All of it from the first event on, what Assign brought included.
};

// An item to run. `output.last_event_id` set: continue behind it, and keep `output` in front.
struct Assign {
  ItemRef item;
  LeaseId lease;
  std::string route;
  std::string path;
  Headers headers;
  std::string body;
  std::uint64_t tokens = 0;
  std::uint32_t failed_attempts = 0;  // Answers of 500 so far.
  std::uint32_t max_attempts = 1;
  milliseconds due_in{0};  // To when the job's results are due; below 0: late.
  Output output;
};

struct Revoke {
  std::uint32_t partition = 0;
  LeaseId lease;
};

// Encode never fails; Decode gives kInvalid for what is malformed or beyond the limits above.
std::string Encode(const Submit& message);
std::string Encode(const SubmitAnswer& message);
std::string Encode(const Read& message);
std::string Encode(const ReadAnswer& message);
std::string Encode(const JobRef& message);
std::string Encode(const ItemRef& message);
std::string Encode(const Offer& message);
std::string Encode(const OfferAnswer& message);
std::string Encode(const WorkWaits& message);
std::string Encode(const Adopt& message);
std::string Encode(const AdoptAnswer& message);
std::string Encode(const Finished& message);
std::string Encode(const Assign& message);
std::string Encode(const Revoke& message);

// Defined for each of the types above.
template <typename Message>
Result<Message> Decode(std::string_view body);

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_MESSAGES_H_
