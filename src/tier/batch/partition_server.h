// One partition at its primary store: the job book on its log. Every answer that depends on a
// change waits until the change is durable; all changes that come while a commit is under way go
// into the next one.
//
// Lives as long as this store is the partition's primary without a break; when that ends it is
// destroyed, and every answer still owed becomes an error that promises nothing.
#ifndef SHELFLINK_TIER_BATCH_PARTITION_SERVER_H_
#define SHELFLINK_TIER_BATCH_PARTITION_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/batch/job_book.h"
#include "tier/batch/job_counters.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition_log.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

// The time of day as it was known when it was last corrected, moved on by the steady clock: no step
// of the machine's wall clock makes a job due or dead.
class JobClock {
 public:
  explicit JobClock(const net::Loop& loop)
      : loop_(loop), wall_(loop.WallMicros()), steady_(loop.Now()) {}
  Micros Now() const { return wall_ + SinceSteady(loop_.Now()); }
  net::Time SteadyAt(Micros at) const { return steady_ + std::chrono::microseconds(at - wall_); }
  // Takes that time of day where this one is far from it; returns by how much it has moved.
  Micros Correct(Micros wall) {
    constexpr Micros kFar = 1'000'000;
    const Micros ahead = wall - Now();
    if (ahead < kFar && ahead > -kFar) return 0;
    wall_ += ahead;
    return ahead;
  }

 private:
  Micros SinceSteady(net::Time now) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(now - steady_).count();
  }

  const net::Loop& loop_;
  Micros wall_;
  net::Time steady_;
};

class PartitionServer {
 public:
  using Reply = transport::Hub::Reply;
  struct Events {
    std::function<void()> work;    // Items may be waiting, or leases were revoked.
    std::function<void()> failed;  // A commit failed: destroy this, and load anew if still primary.
  };

  PartitionServer(net::Loop& loop, const JobClock& clock, std::uint32_t partition,
                  PartitionLog& log, const JobBook::Options& options, JobCounters& counters,
                  Events events);
  ~PartitionServer();
  PartitionServer(const PartitionServer&) = delete;
  PartitionServer& operator=(const PartitionServer&) = delete;

  // Reads the records; before anything else.
  Result<void> Load();
  void SetRoutes(const std::set<std::string>& names) { book_.SetRoutes(names); }

  void OnSubmit(const Submit& submit, Reply reply);
  void OnRead(const Read& read, Reply reply);
  void OnBody(const ItemRef& item, const Reply& reply);
  void OnEnd(const JobRef& job, Reply reply);
  void OnFinished(const Finished& finished, Reply reply);
  void OnProxy(const JobBook::Holder& holder) { book_.OnProxy(holder); }
  LeaseStatus OnHeld(const JobBook::Holder& holder, const HeldLease& held);
  LeaseStatus OnAdopt(const JobBook::Holder& holder, const Adoption& adoption);
  // Leases go on so much longer: the process stood still, or the clock was corrected.
  void OnStall(Micros span) { book_.OnStall(span); }

  // Leases the next item to that proxy, payload and all.
  std::optional<Assign> LeaseNext(const net::Address& proxy);
  // Items that LeaseNext would give now, about; 0: none.
  std::size_t Runnable() const;
  std::vector<JobBook::Revocation> TakeRevocations() { return book_.TakeRevocations(); }

  void OnTick();
  std::optional<net::Time> NextWake() const;
  const JobBook& book() const { return book_; }
  // Items that nobody runs although their job was due.
  std::size_t Overdue() const { return book_.overdue(clock_.Now()); }

 private:
  struct Owed {  // An answer that waits for durability.
    Revision revision = 0;
    Reply reply;
    std::string answer;
  };
  struct WaitingRead {
    Read read;
    std::string job_key;
    net::Time until;
    Reply reply;
  };

  // Answers at once if everything is durable, else when it is.
  void Answer(Reply reply, std::string answer);
  void Changed();
  void Flush();
  void OnCommitted(Revision revision, const Result<void>& result);
  // False: nothing to give yet.
  bool AnswerRead(const Read& read, const Reply& reply, bool even_if_empty);
  void WakeReads(const std::set<std::string>& job_keys);

  net::Loop& loop_;
  const JobClock& clock_;
  std::uint32_t partition_;
  PartitionLog& log_;
  JobBook book_;
  JobCounters& counters_;
  Events events_;
  Revision durable_ = 0;
  bool committing_ = false;
  bool flush_posted_ = false;
  std::deque<Owed> owed_;
  std::vector<WaitingRead> waiting_reads_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_PARTITION_SERVER_H_
