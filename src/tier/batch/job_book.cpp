#include "tier/batch/job_book.h"

#include <algorithm>
#include <cmath>

namespace shelflink::batch {
namespace {

constexpr milliseconds kQuotaRetryAfter{500};
constexpr Micros kMicrosPerMilli = 1000;
// Collected writes beyond which no further job is looked at.
constexpr std::size_t kMostCheckedBytes = 32U << 10;
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

void JobBook::FinishLoading(Micros now) {
  loaded_items_from_ = now + options_.adoption_grace;
  for (auto& [number, job] : jobs_.all()) {
    AddTokens(job);
    job.durable = true;
    job.visible = job.listed.size();
    RunQueue::Job queued{job.owner, job.header.route, job.header.due,
                         job.header.due - job.header.first_sent, loaded_items_from_};
    queue_.AddJob(number, std::move(queued));
    for (std::uint32_t index = 0; index < job.items.size(); ++index) {
      if (job.items[index].state == ItemState::kListed || job.ended) {
        ReleaseTokens(job, index);
      } else {
        Requeue(number, index);
      }
    }
    ScheduleCheck(number, job, job.header.keep_until + options_.clock_skew);
  }
}

// --- Calls of clients ---------------------------------------------------------------------------

void JobBook::Store(std::string key, std::optional<std::string> value) {
  collected_bytes_ += key.size() + (value ? value->size() : 0);
  writes_.push_back({std::move(key), std::move(value)});
  ++revision_;
}

bool JobBook::Fits(const Submit& submit, const std::string& owner, std::uint64_t tokens) const {
  if (queued_.items() + submit.items.size() > options_.most_items) return false;
  if (submit.max_queued_tokens == 0) return true;
  const double most =
      static_cast<double>(submit.max_queued_tokens) * (1.0 + std::max(0.0, submit.quota_overage));
  // Every item that this book counts has been accepted by it, so its count is never below the
  // true one: the whole overage may be used.
  return static_cast<double>(queued_.Of(owner, submit.route) + tokens) <= std::floor(most);
}

SubmitAnswer JobBook::OnSubmit(Micros now, const Submit& submit) {
  const std::string owner = OwnerOf(submit.job);
  std::string key = JobKeyOf(owner, submit.job.job);
  if (const auto found = jobs_.FindKey(key)) {
    const bool same = jobs_.At(*found).header.content == ContentDigest(submit.items);
    return {same ? SubmitOutcome::kAccepted : SubmitOutcome::kConflict, milliseconds{0}};
  }
  if (!Fits(submit, owner, TokensOf(submit.items))) {
    return {SubmitOutcome::kExhausted, kQuotaRetryAfter};
  }
  const JobNumber number = jobs_.Add(key, HeaderOf(now, submit));
  JobEntry& job = jobs_.At(number);
  AddTokens(job);
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
  const std::optional<JobNumber> number = jobs_.Find(ref);
  if (!number) return MakeError(ErrorCode::kNotFound, "no such batch job");
  JobEntry& job = jobs_.At(*number);
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
    ReleaseTokens(job, index);
    Store(RecordKey(RecordKind::kPayload, job.key, index), std::nullopt);
    if (!item.attempts.failed.empty()) {
      Store(RecordKey(RecordKind::kAttempts, job.key, index), std::nullopt);
    }
  }
  queue_.RemoveJob(number);
}

void JobBook::AddTokens(const JobEntry& job) {
  for (const JobHeader::ItemHeader& item : job.header.items) {
    queued_.Add(job.owner, job.header.route, item.tokens);
  }
}

void JobBook::ReleaseTokens(const JobEntry& job, std::uint32_t item) {
  queued_.Release(job.owner, job.header.route, job.header.items[item].tokens);
}

Result<JobBook::Listing> JobBook::List(const JobRef& ref, std::uint64_t after) const {
  const std::optional<JobNumber> number = jobs_.Find(ref);
  if (!number) return MakeError(ErrorCode::kNotFound, "no such batch job");
  const JobEntry& job = jobs_.At(*number);
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
  const std::optional<JobNumber> number = jobs_.Find(ref);
  if (number) jobs_.At(*number).read_to_end = true;
}

Result<std::string> JobBook::PayloadKey(const ItemRef& ref) {
  const std::optional<Located> at = jobs_.Find(ref);
  if (!at) return MakeError(ErrorCode::kNotFound, "no such item");
  if (!at->job->durable) return MakeError(ErrorCode::kUnavailable, "batch job is not stored yet");
  if (at->job->ended || at->job->items[at->item].state == ItemState::kListed) {
    return MakeError(ErrorCode::kNotFound, "the item is listed or its job has ended");
  }
  return RecordKey(RecordKind::kPayload, at->job->key, at->item);
}

// --- Time ---------------------------------------------------------------------------------------

void JobBook::OnTick(Micros now) {
  RequeueItemsOf(leases_.DropExpired(now));
  // The rest follows with the next commit: what removes a lot is noted in parts, each of which also
  // a full disk has room for.
  while (!checks_.empty() && checks_.begin()->first <= now &&
         collected_bytes_ < kMostCheckedBytes) {
    const JobNumber number = checks_.begin()->second;
    Check(now, number, jobs_.At(number));
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
  if (!job.ended && !job.AllListed() && now >= job.header.keep_until + options_.clock_skew) {
    GiveUp(number, job);
  }
  const bool unread_too_long =
      now >= job.header.first_sent + kUnreadSpans * options_.status + options_.clock_skew;
  const bool over = job.ended || (job.AllListed() && (job.read_to_end || unread_too_long));
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
  const JobEntry& job = jobs_.At(number);
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
  jobs_.Erase(number);
}

std::optional<Micros> JobBook::NextWake(Micros now) const {
  std::optional<Micros> wake;
  const auto consider = [&wake](Micros at) {
    if (!wake || at < *wake) wake = at;
  };
  if (HasWaiting() && now < loaded_items_from_) consider(loaded_items_from_);
  if (const std::optional<Micros> expiry = leases_.NextExpiry()) consider(*expiry);
  if (!checks_.empty() && collected_bytes_ < kMostCheckedBytes) consider(checks_.begin()->first);
  return wake;
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
    JobEntry& job = jobs_.At(change.job);
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

}  // namespace shelflink::batch
