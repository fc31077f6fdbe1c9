// The job book's part in runs: hand-out, leases, and how runs end.
#include <algorithm>

#include "tier/batch/job_book.h"

namespace shelflink::batch {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

}  // namespace

// --- Hand-out -----------------------------------------------------------------------------------

std::optional<JobBook::Assignment> JobBook::NextAssignment(Micros now, const net::Address& proxy) {
  if (queue_.size() == 0) return {};
  const auto open = [this](const std::string& route) { return routes_.count(route) != 0; };
  const std::optional<RunQueue::Waiting> waiting = queue_.Take(now, open);
  if (!waiting) return {};

  const JobEntry& job = jobs_.At(waiting->job);
  const ItemEntry& item = job.items[waiting->item];
  const JobHeader::ItemHeader& header = job.header.items[waiting->item];
  const LeaseId lease = leases_.NewId();
  GiveLease(lease, {waiting->job, waiting->item, proxy, now + options_.lease_span, now});

  Assignment assignment;
  assignment.payload_key = RecordKey(RecordKind::kPayload, job.key, waiting->item);
  Assign& message = assignment.message;
  message.item.job.tenant = job.header.tenant;
  message.item.job.host = job.header.host;
  message.item.job.job = job.header.job;
  message.item.item = header.id;
  message.lease = lease;
  message.route = job.header.route;
  message.tokens = header.tokens;
  message.failed_attempts = static_cast<std::uint32_t>(item.attempts.failed.size());
  message.max_attempts = job.header.max_attempts;
  assignment.waited = now - job.header.first_sent;
  message.due_in = milliseconds((job.header.due - now) / kMicrosPerMilli);
  // Without an id of its last event an output cannot be continued.
  if (item.output.last_event_id) message.output = item.output;
  return assignment;
}

bool JobBook::HasRunnable(Micros now) const {
  return queue_.HasRunnable(now,
                            [this](const std::string& route) { return routes_.count(route) != 0; });
}

std::vector<JobBook::Revocation> JobBook::TakeRevocations() {
  return std::exchange(revocations_, {});
}

// --- Leases -------------------------------------------------------------------------------------

void JobBook::OnProxy(const Holder& holder) {
  // The process that held these is gone, and its runs with it.
  RequeueItemsOf(leases_.DropOfEarlierStart(holder.address, holder.incarnation));
}

void JobBook::RequeueItemsOf(const std::vector<Lease>& dropped) {
  for (const Lease& lease : dropped) {
    jobs_.At(lease.job).items[lease.item].state = ItemState::kWaiting;
    Requeue(lease.job, lease.item);
  }
}

void JobBook::GiveLease(LeaseId id, const Lease& lease) {
  ItemEntry& item = jobs_.At(lease.job).items[lease.item];
  item.state = ItemState::kLeased;
  item.lease = id;
  leases_.Give(id, lease);
}

std::optional<Lease> JobBook::DropLease(LeaseId id) {
  std::optional<Lease> lease = leases_.Drop(id);
  if (lease) jobs_.At(lease->job).items[lease->item].state = ItemState::kWaiting;
  return lease;
}

void JobBook::Revoke(LeaseId id) {
  const std::optional<Lease> lease = DropLease(id);
  if (lease) revocations_.push_back({lease->holder, id});
}

void JobBook::Requeue(JobNumber number, std::uint32_t item) {
  const JobEntry& job = jobs_.At(number);
  if (job.ended || !job.durable || job.items[item].state != ItemState::kWaiting) return;
  queue_.Add(number, item, job.header.items[item].tokens);
}

void JobBook::SetOutput(ItemEntry& item, Output output) {
  output_bytes_ -= item.output.text.size();
  if (output_bytes_ + output.text.size() > options_.most_output_bytes) output = {};
  output_bytes_ += output.text.size();
  item.output = std::move(output);
}

void JobBook::TakeOutput(ItemEntry& item, const OutputPart& more) {
  if (more.offset > item.output.text.size()) return;  // A part before it was lost or not kept.
  if (more.events < item.output.events) return;       // Old news.
  Output output;
  output.text = item.output.text.substr(0, more.offset) + more.text;
  output.events = more.events;
  output.last_event_id = more.last_event_id;
  SetOutput(item, std::move(output));
}

LeaseStatus JobBook::OnHeld(Micros now, const Holder& holder, const HeldLease& held) {
  OnProxy(holder);
  const Lease* const lease = leases_.Find(held.lease);
  if (lease == nullptr || lease->holder != holder.address) return LeaseStatus::kUnknown;
  leases_.Renew(now, held.lease);
  if (held.more) TakeOutput(jobs_.At(lease->job).items[lease->item], *held.more);
  return LeaseStatus::kRenewed;
}

LeaseStatus JobBook::OnAdopt(Micros now, const Holder& holder, const Adoption& adoption) {
  OnProxy(holder);
  const std::optional<Located> at = jobs_.Find(adoption.item);
  if (!at || at->job->ended || !at->job->durable) return LeaseStatus::kRevoked;
  ItemEntry& item = at->job->items[at->item];
  if (item.state == ItemState::kListed) return LeaseStatus::kRevoked;
  const auto& failed = item.attempts.failed;
  if (std::find(failed.begin(), failed.end(), adoption.lease) != failed.end()) {
    return LeaseStatus::kRevoked;
  }
  if (item.state == ItemState::kLeased) {
    const bool same = item.lease == adoption.lease;
    if (!same || leases_.Find(item.lease)->holder != holder.address) return LeaseStatus::kRevoked;
    leases_.Renew(now, item.lease);
  } else if (leases_.Find(adoption.lease) != nullptr) {
    return LeaseStatus::kRevoked;  // It is another item's: no store has given it for this one.
  } else {
    LeaveQueue(*at);
    GiveLease(adoption.lease,
              {at->number, at->item, holder.address, now + options_.lease_span, std::nullopt});
  }
  SetOutput(item, adoption.output);
  return LeaseStatus::kRenewed;
}

void JobBook::LeaveQueue(const Located& at) {
  queue_.Remove(at.number, at.item, at.job->header.items[at.item].tokens);
}

void JobBook::OnStall(Micros span) {
  leases_.Extend(span);
  loaded_items_from_ += span;
  queue_.Postpone(span);
}

// --- Ends of runs -------------------------------------------------------------------------------

void JobBook::OnFinished(Micros now, const Finished& finished) {
  const std::optional<Located> at = jobs_.Find(finished.item);
  if (!at || at->job->ended) return;
  ItemEntry& item = at->job->items[at->item];
  if (item.state == ItemState::kListed) return;
  const bool current = item.state == ItemState::kLeased && item.lease == finished.lease;
  const std::optional<Lease> lease = current ? DropLease(finished.lease) : std::nullopt;
  switch (finished.outcome) {
    case RunOutcome::kComplete:
      // A whole output is one whoever brings it: also a proxy whose lease has passed to another.
      if (lease && lease->given && item.output.events <= finished.output.events) {
        queue_.LearnPace(at->job->header.route, at->job->header.items[at->item].tokens,
                         now - *lease->given);
      }
      ListItem(*at, ResultState::kCompleted, finished.output.text);
      return;
    case RunOutcome::kImpossible:
      ListItem(*at, ResultState::kDeadLetter, {});
      return;
    case RunOutcome::kError:
      CountFailure(*at, finished.lease);
      break;
    case RunOutcome::kInterrupted:
      if (item.state == ItemState::kWaiting && finished.output.events >= item.output.events) {
        SetOutput(item, finished.output);
      }
      break;
    case RunOutcome::kReturned:
      break;
  }
  Requeue(at->number, at->item);
}

void JobBook::CountFailure(const Located& at, LeaseId lease) {
  ItemEntry& item = at.job->items[at.item];
  auto& failed = item.attempts.failed;
  if (std::find(failed.begin(), failed.end(), lease) != failed.end()) return;
  failed.push_back(lease);
  if (failed.size() >= at.job->header.max_attempts) {
    ListItem(at, ResultState::kDeadLetter, {});
    return;
  }
  Store(RecordKey(RecordKind::kAttempts, at.job->key, at.item), EncodeRecord(item.attempts));
}

void JobBook::ListItem(const Located& at, ResultState state, std::string text) {
  JobEntry& job = *at.job;
  ItemEntry& item = job.items[at.item];
  if (item.state == ItemState::kLeased) Revoke(item.lease);
  LeaveQueue(at);
  SetOutput(item, {});
  item.state = ItemState::kListed;
  const auto position = static_cast<std::uint32_t>(job.listed.size());
  job.listed.push_back({at.item, state});
  Store(RecordKey(RecordKind::kListed, job.key, position), EncodeRecord(job.listed.back()));
  if (state == ResultState::kCompleted) {
    Store(RecordKey(RecordKind::kText, job.key, position), std::move(text));
  }
  Store(RecordKey(RecordKind::kPayload, job.key, at.item), std::nullopt);
  if (!item.attempts.failed.empty()) {
    Store(RecordKey(RecordKind::kAttempts, job.key, at.item), std::nullopt);
    item.attempts.failed.clear();
  }
  ReleaseTokens(job, at.item);
  pending_.push_back({revision_, at.number, Pending::Kind::kListed});
}

}  // namespace shelflink::batch
