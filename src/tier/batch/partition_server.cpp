#include "tier/batch/partition_server.h"

#include <algorithm>
#include <utility>

#include "tier/foundation/log.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.store";
// Beside the text of a result on the wire: its id and framing.
constexpr std::size_t kResultOverhead = 64;
// Collected while a commit is under way. Beyond, results are not taken until it is over: a replica
// that stands still must not fill this process's memory.
constexpr std::size_t kMostCollected = 2U << 20;

}  // namespace

PartitionServer::PartitionServer(net::Loop& loop, const JobClock& clock, std::uint32_t partition,
                                 PartitionLog& log, const JobBook::Options& options,
                                 JobCounters& counters, Events events)
    : loop_(loop),
      clock_(clock),
      partition_(partition),
      log_(log),
      book_(options),
      counters_(counters),
      events_(std::move(events)) {}

PartitionServer::~PartitionServer() {
  *alive_ = false;
  for (Owed& owed : owed_) {
    owed.reply(MakeError(ErrorCode::kUnknown, "the store lost its place before it was durable"));
  }
  for (WaitingRead& waiting : waiting_reads_) {
    waiting.reply(MakeError(ErrorCode::kUnavailable, "the store is no longer the primary"));
  }
}

Result<void> PartitionServer::Load() {
  Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
  for (auto kind = static_cast<char>(kFirstLoaded); kind <= static_cast<char>(kLastLoaded);
       ++kind) {
    log_.Scan(std::string(1, kind), [&](std::string_view key, std::string_view value) {
      result = book_.Load(key, value);
      return result.has_value();
    });
    if (!result) return result;
  }
  book_.FinishLoading(clock_.Now());
  return result;
}

// --- Commits ------------------------------------------------------------------------------------

void PartitionServer::Answer(Reply reply, std::string answer) {
  if (book_.revision() <= durable_) {
    reply(std::move(answer));
    return;
  }
  owed_.push_back({book_.revision(), std::move(reply), std::move(answer)});
  Changed();
}

void PartitionServer::Changed() {
  if (committing_ || flush_posted_ || book_.revision() <= durable_) return;
  flush_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (*alive) Flush();
  });
}

void PartitionServer::Flush() {
  flush_posted_ = false;
  std::vector<coordination::Write> writes = book_.TakeWrites();
  if (writes.empty()) return;
  committing_ = true;
  log_.Commit(std::move(writes),
              [this, alive = alive_, revision = book_.revision()](const Result<void>& result) {
                if (*alive) OnCommitted(revision, result);
              });
}

void PartitionServer::OnCommitted(Revision revision, const Result<void>& result) {
  if (!result) {
    log::Warning(kLogName, "partition " + std::to_string(partition_) +
                               ": commit failed: " + result.error().text);
    events_.failed();  // Destroys this.
    return;
  }
  committing_ = false;
  durable_ = revision;
  const std::vector<std::string> listed = book_.OnDurable(revision);
  while (!owed_.empty() && owed_.front().revision <= revision) {
    Owed owed = std::move(owed_.front());
    owed_.pop_front();
    owed.reply(std::move(owed.answer));
  }
  if (!listed.empty()) WakeReads({listed.begin(), listed.end()});
  Changed();
  events_.work();
}

// --- Calls of clients ---------------------------------------------------------------------------

void PartitionServer::OnSubmit(const Submit& submit, Reply reply) {
  if (!log_.has_room() && !book_.Has(submit.job)) {
    ++counters_.without_room;
    reply(MakeError(ErrorCode::kUnavailable, "no room on the disks of the stores"));
    return;
  }
  const SubmitAnswer answer = book_.OnSubmit(clock_.Now(), submit);
  if (answer.outcome == SubmitOutcome::kExhausted) ++counters_.over_quota;
  if (answer.outcome == SubmitOutcome::kAccepted) {
    ++counters_.accepted;
    Answer(std::move(reply), Encode(answer));
  } else {
    reply(Encode(answer));
  }
}

void PartitionServer::OnEnd(const JobRef& job, Reply reply) {
  const Result<void> ended = book_.OnEnd(clock_.Now(), job);
  if (!ended) {
    reply(ended.error());
    return;
  }
  Answer(std::move(reply), {});
  events_.work();
}

void PartitionServer::OnBody(const ItemRef& item, const Reply& reply) {
  const Result<std::string> key = book_.PayloadKey(item);
  if (!key) {
    reply(key.error());
    return;
  }
  const std::optional<std::string> stored = log_.Get(key.value());
  if (!stored) {
    reply(MakeError(ErrorCode::kUnavailable, "the stored body cannot be read"));
    return;
  }
  Result<Payload> payload = DecodeRecord<Payload>(*stored);
  if (!payload) {
    reply(MakeError(ErrorCode::kUnavailable, "the stored body cannot be read"));
    return;
  }
  reply(std::move(payload.value().body));
}

void PartitionServer::OnRead(const Read& read, Reply reply) {
  const bool wait = read.wait > milliseconds{0};
  if (AnswerRead(read, reply, !wait)) return;
  waiting_reads_.push_back(
      {read, JobKeyOf(OwnerOf(read.job), read.job.job), loop_.Now() + read.wait, std::move(reply)});
  events_.work();  // There is something to wake for.
}

bool PartitionServer::AnswerRead(const Read& read, const Reply& reply, bool even_if_empty) {
  const Result<JobBook::Listing> listing = book_.List(read.job, read.after);
  if (!listing) {
    reply(listing.error());
    return true;
  }
  if (listing.value().entries.empty() && !even_if_empty) return false;
  ReadAnswer answer;
  answer.total = listing.value().total;
  answer.next = read.after;
  std::uint64_t bytes = 0;
  for (const JobBook::Listing::Entry& entry : listing.value().entries) {
    std::optional<std::string> text = std::string();
    if (!entry.text_key.empty()) text = log_.Get(entry.text_key);
    if (!text) {
      reply(MakeError(ErrorCode::kUnavailable, "a stored result cannot be read"));
      return true;
    }
    bytes += text->size() + entry.item.size() + kResultOverhead;
    if (!answer.results.empty() && bytes > read.most_bytes) break;
    answer.results.push_back({entry.item, entry.state, std::move(*text)});
    ++answer.next;
  }
  if (answer.next >= answer.total) book_.OnReadToEnd(read.job);
  reply(Encode(answer));
  return true;
}

void PartitionServer::WakeReads(const std::set<std::string>& job_keys) {
  std::vector<WaitingRead> woken;
  const auto first_woken =
      std::stable_partition(waiting_reads_.begin(), waiting_reads_.end(),
                            [&](const auto& waiting) { return !job_keys.count(waiting.job_key); });
  std::move(first_woken, waiting_reads_.end(), std::back_inserter(woken));
  waiting_reads_.erase(first_woken, waiting_reads_.end());
  for (WaitingRead& waiting : woken) {
    if (!log_.serving()) {
      waiting.reply(MakeError(ErrorCode::kUnavailable, "the store is out of touch"));
    } else if (!AnswerRead(waiting.read, waiting.reply, false)) {
      waiting_reads_.push_back(std::move(waiting));  // It asks for a later position.
    }
  }
}

// --- Proxies ------------------------------------------------------------------------------------

void PartitionServer::OnFinished(const Finished& finished, Reply reply) {
  if (book_.collected_bytes() > kMostCollected) {
    reply(MakeError(ErrorCode::kUnavailable, "too much waits for the commit under way"));
    return;
  }
  if (finished.outcome == RunOutcome::kComplete && !log_.takes_results()) {
    reply(MakeError(ErrorCode::kUnavailable, "no room for results on the disks of the stores"));
    return;
  }
  book_.OnFinished(clock_.Now(), finished);
  Answer(std::move(reply), {});
  events_.work();
}

LeaseStatus PartitionServer::OnHeld(const JobBook::Holder& holder, const HeldLease& held) {
  return book_.OnHeld(clock_.Now(), holder, held);
}

LeaseStatus PartitionServer::OnAdopt(const JobBook::Holder& holder, const Adoption& adoption) {
  return book_.OnAdopt(clock_.Now(), holder, adoption);
}

std::optional<Assign> PartitionServer::LeaseNext(const net::Address& proxy) {
  if (!log_.takes_results()) return {};
  std::optional<JobBook::Assignment> assignment = book_.NextAssignment(clock_.Now(), proxy);
  if (!assignment) return {};
  Assign message = std::move(assignment->message);
  message.item.job.partition = partition_;
  message.item.job.epoch = log_.epoch();
  const std::optional<std::string> stored = log_.Get(assignment->payload_key);
  if (!stored) {
    log::Warning(kLogName, "the payload of a waiting item cannot be read");
    return {};  // The lease runs out and it is tried again.
  }
  Result<Payload> payload = DecodeRecord<Payload>(*stored);
  if (!payload) {
    log::Warning(kLogName, "the payload of a waiting item is malformed");
    return {};
  }
  message.path = std::move(payload.value().path);
  message.headers = std::move(payload.value().headers);
  message.body = std::move(payload.value().body);
  ++counters_.leases;
  const std::chrono::microseconds waited(std::max<Micros>(0, assignment->waited));
  counters_.lease_wait += std::chrono::duration_cast<milliseconds>(waited);
  return message;
}

std::size_t PartitionServer::Runnable() const {
  if (!log_.takes_results() || !book_.HasRunnable(clock_.Now())) return 0;
  return book_.waiting();
}

// --- Time ---------------------------------------------------------------------------------------

void PartitionServer::OnTick() {
  book_.OnTick(clock_.Now());
  Changed();
  const net::Time now = loop_.Now();
  std::vector<WaitingRead> over;
  const auto first_over =
      std::stable_partition(waiting_reads_.begin(), waiting_reads_.end(),
                            [&](const auto& waiting) { return waiting.until > now; });
  std::move(first_over, waiting_reads_.end(), std::back_inserter(over));
  waiting_reads_.erase(first_over, waiting_reads_.end());
  for (const WaitingRead& waiting : over) {
    if (log_.serving()) {
      AnswerRead(waiting.read, waiting.reply, true);
    } else {
      waiting.reply(MakeError(ErrorCode::kUnavailable, "the store is out of touch"));
    }
  }
}

std::optional<net::Time> PartitionServer::NextWake() const {
  std::optional<net::Time> wake;
  if (const std::optional<Micros> at = book_.NextWake(clock_.Now())) wake = clock_.SteadyAt(*at);
  for (const WaitingRead& waiting : waiting_reads_) {
    if (!wake || waiting.until < *wake) wake = waiting.until;
  }
  return wake;
}

}  // namespace shelflink::batch
