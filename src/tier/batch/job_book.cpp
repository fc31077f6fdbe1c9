#include "tier/batch/job_book.h"

#include <algorithm>
#include <cmath>

namespace shelflink::batch {
namespace {

constexpr milliseconds kQuotaRetryAfter{500};
constexpr Micros kMicrosPerMilli = 1000;
// Results that nobody read to the end stay for so many times the status span.
constexpr Micros kUnreadSpans = 4;

Micros InMicros(milliseconds span) { return span.count() * kMicrosPerMilli; }

std::uint64_t TokensOf(const std::vector<Item>& items) {
  std::uint64_t tokens = 0;
  for (const Item& item : items) tokens += item.tokens;
  return tokens;
}

JobHeader HeaderOf(Micros now, const Submit& submit) {
  JobHeader header;
  header.tenant = submit.job.tenant;
  header.host = submit.job.host;
  header.job = submit.job.job;
  header.route = submit.route;
  header.content = ContentDigest(submit.items);
  header.first_sent = now - InMicros(submit.age);
  header.due = header.first_sent + InMicros(submit.run_aim);
  header.keep_until = header.first_sent + InMicros(submit.keep);
  header.max_attempts = submit.max_attempts;
  for (const Item& item : submit.items) header.items.push_back({item.id, item.tokens});
  return header;
}

}  // namespace

// --- Loading ------------------------------------------------------------------------------------

Result<void> JobBook::Load(std::string_view key, std::string_view value) {
  const std::optional<ParsedKey> parsed = ParseRecordKey(key);
  if (!parsed) return MakeError(ErrorCode::kStorage, "unknown key among the batch records");
  if (parsed->kind == RecordKind::kJob) {
    Result<JobHeader> header = DecodeRecord<JobHeader>(value);
    if (!header) return header.error();
    AddJob(parsed->job_key, std::move(header.value()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  const auto found = numbers_.find(parsed->job_key);
  if (found == numbers_.end()) return MakeError(ErrorCode::kStorage, "batch record of no job");
  JobEntry& job = jobs_.at(found->second);
  switch (parsed->kind) {
    case RecordKind::kEnded:
      job.ended = true;
      break;
    case RecordKind::kAttempts: {
      Result<Attempts> attempts = DecodeRecord<Attempts>(value);
      if (!attempts) return attempts.error();
      if (parsed->number >= job.items.size()) {
        return MakeError(ErrorCode::kStorage, "attempts of an item that its job does not have");
      }
      job.items[parsed->number].attempts = std::move(attempts.value());
      break;
    }
    case RecordKind::kListed: {
      const Result<Listed> listed = DecodeRecord<Listed>(value);
      if (!listed) return listed.error();
      if (parsed->number != job.listed.size() || listed.value().item >= job.items.size()) {
        return MakeError(ErrorCode::kStorage, "results of a batch job with a gap");
      }
      job.listed.push_back(listed.value());
      job.items[listed.value().item].state = ItemState::kListed;
      break;
    }
    default:
      break;  // Payloads and texts stay where they are.
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void JobBook::FinishLoading(Micros now) {
  loaded_items_from_ = now + options_.adoption_grace;
  for (auto& [number, job] : jobs_) {
    job.durable = true;
    job.visible = job.listed.size();
    RunQueue::Job queued{job.owner, job.header.route, job.header.due,
                         job.header.due - job.header.first_sent, loaded_items_from_};
    queue_.AddJob(number, std::move(queued));
    for (std::uint32_t index = 0; index < job.items.size(); ++index) {
      if (job.items[index].state == ItemState::kListed || job.ended) {
        ReleaseTokens(job, job.header.items[index].tokens);
        --unlisted_;
      } else {
        Requeue(number, index);
      }
    }
    ScheduleCheck(number, job, job.header.keep_until + options_.clock_skew);
  }
}

// --- Calls of clients ---------------------------------------------------------------------------

std::optional<JobBook::JobNumber> JobBook::Find(const JobRef& job) const {
  const auto found = numbers_.find(JobKeyOf(OwnerOf(job), job.job));
  if (found == numbers_.end()) return {};
  return found->second;
}

std::optional<JobBook::Located> JobBook::Find(const ItemRef& item) {
  const std::optional<JobNumber> number = Find(item.job);
  if (!number) return {};
  JobEntry& job = jobs_.at(*number);
  const auto& items = job.header.items;
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&](const auto& known) { return known.id == item.item; });
  if (found == items.end()) return {};
  return Located{*number, &job, static_cast<std::uint32_t>(found - items.begin())};
}

bool JobBook::Has(const JobRef& job) const { return Find(job).has_value(); }

JobBook::JobNumber JobBook::AddJob(std::string key, JobHeader header) {
  const JobNumber number = next_number_++;
  JobEntry& job = jobs_[number];
  job.key = key;
  job.owner = OwnerOf({0, 0, header.tenant, header.host, header.job});
  job.items.resize(header.items.size());
  for (const JobHeader::ItemHeader& item : header.items) {
    queued_[{job.owner, header.route}] += item.tokens;
    queued_total_ += item.tokens;
  }
  unlisted_ += header.items.size();
  job.header = std::move(header);
  numbers_.emplace(std::move(key), number);
  return number;
}

void JobBook::Store(std::string key, std::optional<std::string> value) {
  collected_bytes_ += key.size() + (value ? value->size() : 0);
  writes_.push_back({std::move(key), std::move(value)});
  ++revision_;
}

bool JobBook::Fits(const Submit& submit, const std::string& owner, std::uint64_t tokens) const {
  if (unlisted_ + submit.items.size() > options_.most_items) return false;
  if (submit.max_queued_tokens == 0) return true;
  const double most =
      static_cast<double>(submit.max_queued_tokens) * (1.0 + std::max(0.0, submit.quota_overage));
  // Every item that this book counts has been accepted by it, so its count is never below the
  // true one: the whole overage may be used.
  return static_cast<double>(QueuedTokens(owner, submit.route) + tokens) <= std::floor(most);
}

SubmitAnswer JobBook::OnSubmit(Micros now, const Submit& submit) {
  const std::string owner = OwnerOf(submit.job);
  std::string key = JobKeyOf(owner, submit.job.job);
  if (const auto found = numbers_.find(key); found != numbers_.end()) {
    const bool same = jobs_.at(found->second).header.content == ContentDigest(submit.items);
    return {same ? SubmitOutcome::kAccepted : SubmitOutcome::kConflict, milliseconds{0}};
  }
  if (!Fits(submit, owner, TokensOf(submit.items))) {
    return {SubmitOutcome::kExhausted, kQuotaRetryAfter};
  }
  const JobNumber number = AddJob(key, HeaderOf(now, submit));
  JobEntry& job = jobs_.at(number);
  Store(RecordKey(RecordKind::kJob, key), EncodeRecord(job.header));
  for (std::uint32_t index = 0; index < submit.items.size(); ++index) {
    const Item& item = submit.items[index];
    Store(RecordKey(RecordKind::kPayload, key, index),
          EncodeRecord(Payload{item.path, item.headers, item.body}));
  }
  pending_.push_back({revision_, number, Pending::Kind::kAccepted});
  ScheduleCheck(number, job, job.header.keep_until + options_.clock_skew);
  return {SubmitOutcome::kAccepted, milliseconds{0}};
}

Result<void> JobBook::OnEnd(Micros /*now*/, const JobRef& ref) {
  const std::optional<JobNumber> number = Find(ref);
  if (!number) return MakeError(ErrorCode::kNotFound, "no such batch job");
  JobEntry& job = jobs_.at(*number);
  if (!job.ended) EndJob(*number, job);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void JobBook::EndJob(JobNumber number, JobEntry& job) {
  job.ended = true;
  Store(RecordKey(RecordKind::kEnded, job.key), std::string());
  for (std::uint32_t index = 0; index < job.items.size(); ++index) {
    ItemEntry& item = job.items[index];
    if (item.state == ItemState::kListed) continue;
    if (item.state == ItemState::kLeased) Revoke(item.lease);
    SetOutput(item, {});
    ReleaseTokens(job, job.header.items[index].tokens);
    --unlisted_;
    Store(RecordKey(RecordKind::kPayload, job.key, index), std::nullopt);
    if (!item.attempts.failed.empty()) {
      Store(RecordKey(RecordKind::kAttempts, job.key, index), std::nullopt);
    }
  }
  queue_.RemoveJob(number);
}

void JobBook::ReleaseTokens(const JobEntry& job, std::uint64_t tokens) {
  const auto found = queued_.find({job.owner, job.header.route});
  if (found == queued_.end()) return;
  found->second -= std::min(found->second, tokens);
  queued_total_ -= std::min(queued_total_, tokens);
  if (found->second == 0) queued_.erase(found);
}

Result<JobBook::Listing> JobBook::List(const JobRef& ref, std::uint64_t after) const {
  const std::optional<JobNumber> number = Find(ref);
  if (!number) return MakeError(ErrorCode::kNotFound, "no such batch job");
  const JobEntry& job = jobs_.at(*number);
  if (!job.durable) return MakeError(ErrorCode::kUnavailable, "batch job is not stored yet");
  Listing listing;
  listing.total = job.items.size();
  for (std::size_t position = after; position < job.visible; ++position) {
    const Listed& listed = job.listed[position];
    std::string text_key;
    if (listed.state == ResultState::kCompleted) {
      text_key = RecordKey(RecordKind::kText, job.key, static_cast<std::uint32_t>(position));
    }
    listing.entries.push_back(
        {job.header.items[listed.item].id, listed.state, std::move(text_key)});
  }
  return listing;
}

void JobBook::OnReadToEnd(const JobRef& ref) {
  const std::optional<JobNumber> number = Find(ref);
  if (number) jobs_.at(*number).read_to_end = true;
}

Result<std::string> JobBook::PayloadKey(const ItemRef& ref) const {
  const std::optional<Located> at = const_cast<JobBook*>(this)->Find(ref);
  if (!at) return MakeError(ErrorCode::kNotFound, "no such item");
  if (!at->job->durable) return MakeError(ErrorCode::kUnavailable, "batch job is not stored yet");
  if (at->job->ended || at->job->items[at->item].state == ItemState::kListed) {
    return MakeError(ErrorCode::kNotFound, "the item is listed or its job has ended");
  }
  return RecordKey(RecordKind::kPayload, at->job->key, at->item);
}

// --- Leases -------------------------------------------------------------------------------------

void JobBook::OnProxy(const Holder& holder) {
  HolderEntry& entry = holders_[holder.address];
  if (entry.incarnation == holder.incarnation) return;
  // The process that held these is gone, and its runs with it.
  const std::set<LeaseId> orphans = std::exchange(entry.leases, {});
  for (const LeaseId lease : orphans) {
    const LeaseEntry at = leases_.at(lease);
    DropLease(lease);
    Requeue(at.job, at.item);
  }
  entry.incarnation = holder.incarnation;
}

void JobBook::GiveLease(LeaseId lease, LeaseEntry entry) {
  ItemEntry& item = jobs_.at(entry.job).items[entry.item];
  item.state = ItemState::kLeased;
  item.lease = lease;
  holders_[entry.holder].leases.insert(lease);
  no_expiry_before_ = leases_.empty() ? entry.until : std::min(no_expiry_before_, entry.until);
  leases_.emplace(lease, entry);
}

void JobBook::DropLease(LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return;
  holders_[found->second.holder].leases.erase(lease);
  jobs_.at(found->second.job).items[found->second.item].state = ItemState::kWaiting;
  leases_.erase(found);
}

void JobBook::Revoke(LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return;
  revocations_.push_back({found->second.holder, lease});
  DropLease(lease);
}

void JobBook::Requeue(JobNumber number, std::uint32_t item) {
  const JobEntry& job = jobs_.at(number);
  if (job.ended || !job.durable || job.items[item].state != ItemState::kWaiting) return;
  queue_.Add(number, item, job.header.items[item].tokens);
}

void JobBook::SetOutput(ItemEntry& item, Output output) {
  output_bytes_ -= item.output.text.size();
  if (output_bytes_ + output.text.size() > options_.most_output_bytes) output = {};
  output_bytes_ += output.text.size();
  item.output = std::move(output);
}

void JobBook::Renew(Micros now, LeaseEntry& lease, const std::optional<OutputPart>& more) {
  lease.until = now + options_.lease_span;
  if (!more) return;
  ItemEntry& item = jobs_.at(lease.job).items[lease.item];
  if (more->offset > item.output.text.size()) return;  // A part before it was lost or not kept.
  if (more->events < item.output.events) return;       // Old news.
  Output output;
  output.text = item.output.text.substr(0, more->offset) + more->text;
  output.events = more->events;
  output.last_event_id = more->last_event_id;
  SetOutput(item, std::move(output));
}

LeaseStatus JobBook::OnHeld(Micros now, const Holder& holder, const HeldLease& held) {
  OnProxy(holder);
  const auto found = leases_.find(held.lease);
  if (found == leases_.end() || found->second.holder != holder.address) {
    return LeaseStatus::kUnknown;
  }
  Renew(now, found->second, held.more);
  return LeaseStatus::kRenewed;
}

LeaseStatus JobBook::OnAdopt(Micros now, const Holder& holder, const Adoption& adoption) {
  OnProxy(holder);
  const std::optional<Located> at = Find(adoption.item);
  if (!at || at->job->ended || !at->job->durable) return LeaseStatus::kRevoked;
  ItemEntry& item = at->job->items[at->item];
  if (item.state == ItemState::kListed) return LeaseStatus::kRevoked;
  const auto& failed = item.attempts.failed;
  if (std::find(failed.begin(), failed.end(), adoption.lease) != failed.end()) {
    return LeaseStatus::kRevoked;
  }
  if (item.state == ItemState::kLeased) {
    LeaseEntry& current = leases_.at(item.lease);
    if (item.lease != adoption.lease || current.holder != holder.address) {
      return LeaseStatus::kRevoked;
    }
    current.until = now + options_.lease_span;
  } else if (leases_.contains(adoption.lease)) {
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
  for (auto& [id, lease] : leases_) lease.until += span;
  no_expiry_before_ += span;
}

void JobBook::ExpireLeases(Micros now) {
  if (leases_.empty() || now < no_expiry_before_) return;
  std::vector<LeaseId> expired;
  no_expiry_before_ = now + options_.lease_span;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) {
      expired.push_back(id);
    } else {
      no_expiry_before_ = std::min(no_expiry_before_, lease.until);
    }
  }
  for (const LeaseId id : expired) {
    const LeaseEntry lease = leases_.at(id);
    DropLease(id);
    Requeue(lease.job, lease.item);
  }
}

// --- Ends of runs -------------------------------------------------------------------------------

void JobBook::OnFinished(Micros now, const Finished& finished) {
  const std::optional<Located> at = Find(finished.item);
  if (!at || at->job->ended) return;
  ItemEntry& item = at->job->items[at->item];
  if (item.state == ItemState::kListed) return;
  const auto lease = leases_.find(finished.lease);
  const bool current = item.state == ItemState::kLeased && item.lease == finished.lease;
  switch (finished.outcome) {
    case RunOutcome::kComplete:
      // A whole output is one whoever brings it: also a proxy whose lease has passed to another.
      if (current && lease->second.given && item.output.events <= finished.output.events) {
        queue_.LearnPace(at->job->header.route, at->job->header.items[at->item].tokens,
                         now - *lease->second.given);
      }
      if (current) DropLease(finished.lease);
      ListItem(*at, ResultState::kCompleted, finished.output.text);
      return;
    case RunOutcome::kImpossible:
      if (current) DropLease(finished.lease);
      ListItem(*at, ResultState::kDeadLetter, {});
      return;
    case RunOutcome::kError:
      if (current) DropLease(finished.lease);
      CountFailure(*at, finished.lease);
      break;
    case RunOutcome::kInterrupted:
      if (current) DropLease(finished.lease);
      if (item.state == ItemState::kWaiting && finished.output.events >= item.output.events) {
        SetOutput(item, finished.output);
      }
      break;
    case RunOutcome::kReturned:
      if (current) DropLease(finished.lease);
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
  ReleaseTokens(job, job.header.items[at.item].tokens);
  --unlisted_;
  pending_.push_back({revision_, at.number, Pending::Kind::kListed});
}

// --- Time ---------------------------------------------------------------------------------------

void JobBook::OnTick(Micros now) {
  ExpireLeases(now);
  while (!checks_.empty() && checks_.begin()->first <= now) {
    const JobNumber number = checks_.begin()->second;
    Check(now, number, jobs_.at(number));
  }
}

void JobBook::ScheduleCheck(JobNumber number, JobEntry& job, Micros at) {
  checks_.erase({job.next_check, number});
  job.next_check = at;
  checks_.emplace(at, number);
}

void JobBook::Check(Micros now, JobNumber number, JobEntry& job) {
  const Micros gone_at = job.header.first_sent + options_.status + options_.clock_skew;
  const bool pending = job.visible != job.listed.size() || !job.durable;
  if (!job.ended && !Complete(job) && now >= job.header.keep_until + options_.clock_skew) {
    GiveUp(number, job);
  }
  const bool unread_too_long =
      now >= job.header.first_sent + kUnreadSpans * options_.status + options_.clock_skew;
  const bool over = job.ended || (Complete(job) && (job.read_to_end || unread_too_long));
  if (now >= gone_at && over && !pending) {
    Forget(number);
    return;
  }
  const Micros again = std::max<Micros>(options_.status / 8, 1'000'000);
  ScheduleCheck(number, job, now < gone_at ? gone_at : now + again);
}

void JobBook::GiveUp(JobNumber number, JobEntry& job) {
  if (!job.durable) return;
  for (std::uint32_t index = 0; index < job.items.size(); ++index) {
    if (job.items[index].state == ItemState::kListed) continue;
    ListItem({number, &job, index}, ResultState::kDeadLetter, {});
  }
}

void JobBook::Forget(JobNumber number) {
  const JobEntry& job = jobs_.at(number);
  for (std::uint32_t position = 0; position < job.listed.size(); ++position) {
    Store(RecordKey(RecordKind::kListed, job.key, position), std::nullopt);
    if (job.listed[position].state == ResultState::kCompleted) {
      Store(RecordKey(RecordKind::kText, job.key, position), std::nullopt);
    }
  }
  if (job.ended) Store(RecordKey(RecordKind::kEnded, job.key), std::nullopt);
  Store(RecordKey(RecordKind::kJob, job.key), std::nullopt);
  queue_.RemoveJob(number);
  checks_.erase({job.next_check, number});
  numbers_.erase(job.key);
  jobs_.erase(number);
}

std::optional<Micros> JobBook::NextWake(Micros now) const {
  std::optional<Micros> wake;
  const auto consider = [&wake](Micros at) {
    if (!wake || at < *wake) wake = at;
  };
  if (HasWaiting() && now < loaded_items_from_) consider(loaded_items_from_);
  if (!leases_.empty()) consider(no_expiry_before_);
  if (!checks_.empty()) consider(checks_.begin()->first);
  return wake;
}

// --- Hand-out -----------------------------------------------------------------------------------

std::optional<JobBook::Assignment> JobBook::NextAssignment(Micros now, const net::Address& proxy) {
  if (queue_.size() == 0) return {};
  const auto open = [this](const std::string& route) { return routes_.count(route) != 0; };
  const std::optional<RunQueue::Waiting> waiting = queue_.Take(now, open);
  if (!waiting) return {};

  const JobEntry& job = jobs_.at(waiting->job);
  const ItemEntry& item = job.items[waiting->item];
  const JobHeader::ItemHeader& header = job.header.items[waiting->item];
  const LeaseId lease{options_.issuer, next_lease_++};
  GiveLease(lease, {waiting->job, waiting->item, proxy, now + options_.lease_span, now});

  Assignment assignment;
  assignment.payload_key = RecordKey(RecordKind::kPayload, job.key, waiting->item);
  Assign& message = assignment.message;
  message.item = {{0, 0, job.header.tenant, job.header.host, job.header.job}, header.id};
  message.lease = lease;
  message.route = job.header.route;
  message.tokens = header.tokens;
  message.failed_attempts = static_cast<std::uint32_t>(item.attempts.failed.size());
  message.max_attempts = job.header.max_attempts;
  message.due_in = milliseconds((job.header.due - now) / kMicrosPerMilli);
  // Without an id of its last event an output cannot be continued.
  if (item.output.last_event_id) message.output = item.output;
  return assignment;
}

void JobBook::CountLeases(std::map<net::Address, std::size_t>& held) const {
  for (const auto& [proxy, entry] : holders_) held[proxy] += entry.leases.size();
}

std::vector<JobBook::Revocation> JobBook::TakeRevocations() {
  return std::exchange(revocations_, {});
}

// --- Durability ---------------------------------------------------------------------------------

std::vector<coordination::Write> JobBook::TakeWrites() {
  collected_bytes_ = 0;
  return std::exchange(writes_, {});
}

std::vector<std::string> JobBook::OnDurable(Revision revision) {
  std::vector<std::string> listed;
  while (!pending_.empty() && pending_.front().revision <= revision) {
    const Pending change = pending_.front();
    pending_.pop_front();
    JobEntry& job = jobs_.at(change.job);
    if (change.kind == Pending::Kind::kListed) {
      ++job.visible;
      listed.push_back(job.key);
      continue;
    }
    job.durable = true;
    queue_.AddJob(change.job, {job.owner, job.header.route, job.header.due,
                               job.header.due - job.header.first_sent, 0});
    for (std::uint32_t index = 0; index < job.items.size(); ++index) Requeue(change.job, index);
  }
  return listed;
}

std::uint64_t JobBook::QueuedTokens(const std::string& owner, const std::string& route) const {
  const auto found = queued_.find({owner, route});
  return found == queued_.end() ? 0 : found->second;
}

}  // namespace shelflink::batch
