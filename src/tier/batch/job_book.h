// All that the primary of a partition decides about batch jobs: what is accepted, who runs an item,
// which position a result gets, and when a job is forgotten.
//
// Pure: no clock, disk or network. Events come with the present time and the book answers at once;
// what must be stored collects until TakeWrites, in the order in which it was decided, and the
// owner commits it as one transaction. Nothing that depends on a change may be told to anybody
// before OnDurable has been called for its revision; the book itself lists only durable results and
// leases only items of durable jobs. A book whose writes failed is thrown away and loaded anew.
//
// Leases are kept in memory only. A proxy holds all output of what it runs, so a new primary learns
// of runs under way by adoption, and waits `adoption_grace` for it before it gives loaded items
// out.
//
// Limits: kMostItems items a job, Options::most_items unlisted items a partition (a submission
// beyond is exhausted), Options::most_output_bytes of output of runs under way (more is not kept:
// such an item starts anew when its proxy dies).
#ifndef SHELFLINK_TIER_BATCH_JOB_BOOK_H_
#define SHELFLINK_TIER_BATCH_JOB_BOOK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/address.h"
#include "tier/batch/job_records.h"
#include "tier/batch/job_table.h"
#include "tier/batch/lease_table.h"
#include "tier/batch/messages.h"
#include "tier/batch/queued_tokens.h"
#include "tier/batch/run_queue.h"
#include "tier/coordination/replicator.h"

namespace shelflink::batch {

using Revision = std::uint64_t;

class JobBook {
 public:
  struct Options {
    Micros lease_span = 2'500'000;  // As the store counts it: longer than the proxies' own.
    Micros adoption_grace = 1'000'000;
    Micros status = 120'000'000;    // Results stay so long after the first send.
    Micros clock_skew = 5'000'000;  // Wall clocks of two machines differ by no more.
    std::uint64_t issuer = 0;       // Of leases; no other book ever has it.
    std::size_t most_items = 100'000;
    std::size_t most_output_bytes = 32U << 20;
  };
  // A start of a proxy process.
  struct Holder {
    net::Address address;
    std::uint64_t incarnation = 0;
    bool operator==(const Holder&) const = default;
  };
  struct Assignment {
    std::string payload_key;  // Of the stored path, headers and body.
    Assign message;           // All but these and the partition.
    Micros waited = 0;        // Since its job was first sent.
  };
  struct Revocation {
    net::Address to;
    LeaseId lease;
  };
  struct Listing {
    struct Entry {
      std::string item;
      ResultState state = ResultState::kCompleted;
      std::string text_key;  // Where the text is stored; there is none for a dead letter.
    };
    std::uint64_t total = 0;
    std::vector<Entry> entries;  // Durable ones, from the position asked for on.
  };

  explicit JobBook(const Options& options)
      : options_(options), leases_(options.issuer, options.lease_span) {}

  // Before all else: every stored record of the loaded kinds, in the order of keys.
  Result<void> Load(std::string_view key, std::string_view value) { return jobs_.Load(key, value); }
  void FinishLoading(Micros now);

  // Calls of clients. The answers to the first two hold once revision() is durable.
  SubmitAnswer OnSubmit(Micros now, const Submit& submit);
  Result<void> OnEnd(Micros now, const JobRef& job);
  Result<Listing> List(const JobRef& job, std::uint64_t after) const;
  // A client was given the last result of the job.
  void OnReadToEnd(const JobRef& job);
  // The key of the payload of an item that is not listed.
  Result<std::string> PayloadKey(const ItemRef& item);
  // A job with this id is there, whatever its content.
  bool Has(const JobRef& job) const { return jobs_.Find(job).has_value(); }

  // Events of proxies. What OnFinished answers holds once revision() is durable.
  // Leases of an earlier start of the same proxy are over.
  void OnProxy(const Holder& holder);
  LeaseStatus OnHeld(Micros now, const Holder& holder, const HeldLease& held);
  LeaseStatus OnAdopt(Micros now, const Holder& holder, const Adoption& adoption);
  void OnFinished(Micros now, const Finished& finished);
  // The process stood still for so long, or its time of day was corrected by so much: leases and
  // the wait for adoptions go on so much longer.
  void OnStall(Micros span);
  // Routes of batch jobs in force; items of others wait.
  void SetRoutes(std::set<std::string> names) { routes_ = std::move(names); }

  // Whatever is due. Call at NextWake and whenever convenient.
  void OnTick(Micros now);
  std::optional<Micros> NextWake(Micros now) const;
  bool HasWaiting() const { return queue_.size() > 0; }
  // Whether NextAssignment would give an item.
  bool HasRunnable(Micros now) const;
  // Leases the next item to that proxy, which must have room for it; none: no item may run now.
  std::optional<Assignment> NextAssignment(Micros now, const net::Address& proxy);
  std::vector<Revocation> TakeRevocations();

  std::vector<coordination::Write> TakeWrites();
  // Bytes of what TakeWrites would give.
  std::size_t collected_bytes() const { return collected_bytes_; }
  Revision revision() const { return revision_; }  // Of the newest change.
  // Everything up to there is stored for good. Tells the jobs that have new results to read.
  std::vector<std::string> OnDurable(Revision revision);

  std::uint64_t queued_tokens() const { return queued_.total(); }
  std::size_t jobs() const { return jobs_.size(); }
  std::size_t leases() const { return leases_.size(); }
  std::size_t waiting() const { return queue_.size(); }  // Items that nobody runs.
  // Those of them whose job was due before.
  std::size_t overdue(Micros now) const { return queue_.Overdue(now); }

 private:
  struct Pending {  // A change that becomes visible when durable.
    enum class Kind { kAccepted, kListed };
    Revision revision = 0;
    JobNumber job = 0;
    Kind kind = Kind::kAccepted;
  };
  void Store(std::string key, std::optional<std::string> value);
  bool Fits(const Submit& submit, const std::string& owner, std::uint64_t tokens) const;

  void GiveLease(LeaseId id, const Lease& lease);
  // Its item waits, and is not in the queue; none: there is no such lease.
  std::optional<Lease> DropLease(LeaseId id);
  void RequeueItemsOf(const std::vector<Lease>& dropped);
  void Revoke(LeaseId lease);
  void Requeue(JobNumber number, std::uint32_t item);
  void TakeOutput(ItemEntry& item, const OutputPart& more);
  void SetOutput(ItemEntry& item, Output output);

  void CountFailure(const Located& at, LeaseId lease);
  void ListItem(const Located& at, ResultState state, std::string text);
  void LeaveQueue(const Located& at);
  void EndJob(JobNumber number, JobEntry& job);
  void AddTokens(const JobEntry& job);
  void ReleaseTokens(const JobEntry& job, std::uint32_t item);

  void Check(Micros now, JobNumber number, JobEntry& job);
  void ScheduleCheck(JobNumber number, JobEntry& job, Micros at);
  void GiveUp(JobNumber number, JobEntry& job);
  void Forget(JobNumber number);

  Options options_;
  std::set<std::string> routes_;
  JobTable jobs_;
  QueuedTokens queued_;
  std::size_t output_bytes_ = 0;
  RunQueue queue_;
  LeaseTable leases_;
  Micros loaded_items_from_ = 0;
  std::vector<Revocation> revocations_;
  std::set<std::pair<Micros, JobNumber>> checks_;
  std::vector<coordination::Write> writes_;
  std::size_t collected_bytes_ = 0;
  Revision revision_ = 0;
  std::deque<Pending> pending_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_JOB_BOOK_H_
