#include "tier/coordination/replica.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

constexpr std::size_t kDigestParts = 16;
constexpr std::size_t kMostRangesAnswered = 4;
constexpr std::size_t kEntryOverhead = 64;
constexpr int kMostPatience = 16;  // Times what the options say.
constexpr int kMostResendDoublings = 3;
constexpr int kJoinWaitsApart = 4;  // Waits for a learner begin so many of their length apart.

std::size_t SizeOf(const Entry& entry) {
  std::size_t bytes = kEntryOverhead;
  for (const Write& write : entry.writes) {
    bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes;
}

std::size_t SizeOf(const storage::Batch& batch) {
  std::size_t bytes = 0;
  for (const storage::Batch::Change& change : batch.changes()) {
    bytes += change.key.size() + (change.value ? change.value->size() : 0);
  }
  return bytes;
}

// Entries of a message have the places behind `previous`, one after another.
bool FollowEachOther(const Append& message) {
  std::uint64_t sequence = message.previous.sequence;
  return std::all_of(message.entries.begin(), message.entries.end(),
                     [&](const Entry& entry) { return entry.position.sequence == ++sequence; });
}

// Big-endian, so that the order of keys is the order of numbers.
std::string SortableBytes(std::uint64_t number) {
  std::string bytes(8, '\0');
  for (std::size_t i = bytes.size(); i > 0; --i) {
    bytes[i - 1] = static_cast<char>(number & 0xffU);
    number >>= 8U;
  }
  return bytes;
}

}  // namespace

Replica::Replica(Options options, const storage::Storage& storage)
    : options_(std::move(options)), patience_(options_.catch_up_patience) {
  Load(storage);
}

void Replica::Load(const storage::Storage& storage) {
  const auto state = storage.Get(options_.prefix + "s");
  if (!state) return;
  cbor::Reader in(*state);
  if (in.Array() < 3) in.Fail();
  applied_.epoch = in.Uint();
  applied_.sequence = in.Uint();
  complete_ = in.Bool() && in.ok();
  told_ = complete_ ? applied_.sequence : 0;
  storage.Scan(options_.prefix + "t", "", [&](std::string_view, std::string_view value) {
    std::optional<Entry> entry = DecodeEntry(value);
    if (!entry || entry->position.sequence != LastSequence() + 1) {
      complete_ = false;  // Never vouch for a gap.
      return false;
    }
    tail_bytes_ += SizeOf(*entry);
    tail_.push_back(std::move(*entry));
    return true;
  });
}

void Replica::Found(Step& step) {
  complete_ = true;
  storage::Batch batch;
  PutState(batch);
  step.storage.Apply(batch);
  WantSync(step);
}

void Replica::Assign(Step& step, ReplicaOutput& out, const Assignment& assignment, bool acting) {
  if (assignment.epoch <= assignment_.epoch) return;
  assignment_ = assignment;
  acting_ = acting && complete_;
  followers_.clear();
  required_.clear();
  own_syncs_.clear();
  held_.clear();
  session_.reset();
  patience_ = options_.catch_up_patience;
  verified_ = 0;
  if (!acting_) return;
  barrier_ = LastSequence();
  own_match_ = LastSequence();
  if (last_wanted_ > last_synced_) {
    own_match_ = applied_.sequence;
    own_syncs_.emplace_back(last_wanted_, LastSequence());
  }
  for (const std::string& disk : assignment_.replicas) {
    if (disk == options_.disk) continue;
    Follower& follower = followers_[disk];
    follower.next = applied_.sequence + 1;
    SendEntries(step, out, disk, follower);
  }
  AdvanceCommitted(step, out);
}

// ---- As primary.

Result<Position> Replica::Propose(Step& step, ReplicaOutput& out, std::vector<Write> writes) {
  if (!acting_) return MakeError(ErrorCode::kUnavailable, "not the primary");
  for (const Write& write : writes) {
    if (MapKey(write.key).size() > storage::kLongestKey) {
      return MakeError(ErrorCode::kInvalid, "a key is too long");
    }
  }
  if (tail_.size() >= options_.most_unacknowledged_entries ||
      tail_bytes_ >= options_.most_unacknowledged_bytes) {
    return MakeError(ErrorCode::kExhausted, "too many writes are unacknowledged");
  }
  const Position position{assignment_.epoch, LastSequence() + 1};
  storage::Batch batch;
  AppendOne(batch, {position, std::move(writes)});
  step.storage.Apply(batch);
  WantSync(step);
  own_syncs_.emplace_back(step.ticket, position.sequence);
  for (auto& [disk, follower] : followers_) {
    if (follower.next == position.sequence) SendEntries(step, out, disk, follower);
  }
  return position;
}

bool Replica::Serving() const { return acting_ && applied_.sequence >= barrier_; }

void Replica::Require(const std::set<std::string>& learners) { required_ = learners; }

bool Replica::Joined(const std::string& disk) const {
  const auto found = followers_.find(disk);
  return found != followers_.end() && found->second.joined &&
         found->second.synced >= applied_.sequence;
}

std::optional<net::Time> Replica::Owing(const std::string& disk) const {
  const auto found = followers_.find(disk);
  if (found == followers_.end()) return std::nullopt;
  return found->second.owing_since;
}

bool Replica::HasAll(const std::string& disk) const {
  const auto found = followers_.find(disk);
  return found != followers_.end() && found->second.synced >= LastSequence();
}

void Replica::TellAgain(const std::string& disk) {
  const auto found = followers_.find(disk);
  if (found == followers_.end()) return;
  found->second.told_committed = 0;
  found->second.resends = 0;
}

void Replica::SendEntries(Step& step, ReplicaOutput& out, const std::string& to,
                          Follower& follower) {
  Append message;
  message.epoch = assignment_.epoch;
  message.previous = PositionOf(follower.next - 1);
  message.committed = applied_.sequence;
  std::size_t bytes = 0;
  while (follower.next <= LastSequence() && bytes < options_.most_message_bytes) {
    const Entry& entry = At(follower.next);
    bytes += SizeOf(entry);
    message.entries.push_back(entry);
    ++follower.next;
  }
  follower.sent_at = step.now;
  follower.told_committed = applied_.sequence;
  if (follower.match < LastSequence() && !follower.owing_since) follower.owing_since = step.now;
  Send(out, to, std::move(message));
}

void Replica::AdvanceCommitted(Step& step, ReplicaOutput& out) {
  if (!acting_ || assignment_.replicas.size() < options_.least_replicas) return;
  std::uint64_t everywhere = own_match_;
  const auto limit_by = [&](const std::string& disk) {
    const auto found = followers_.find(disk);
    everywhere = std::min(everywhere, found == followers_.end() ? 0 : found->second.synced);
  };
  for (const std::string& disk : assignment_.replicas) {
    if (disk != options_.disk) limit_by(disk);
  }
  for (const std::string& disk : required_) limit_by(disk);
  for (const auto& [disk, follower] : followers_) {
    if (follower.waited_for_until && step.now < *follower.waited_for_until) limit_by(disk);
  }
  if (everywhere <= applied_.sequence) return;
  ApplyUpTo(step, out, everywhere);
  TellCommitted(step, out);
}

net::Span Replica::ResendPause(const Follower& follower) const {
  return options_.resend * (1 << std::min(follower.resends, kMostResendDoublings));
}

void Replica::WaitForLearner(const Step& step, Follower& follower) const {
  if (!follower.joined || follower.synced >= applied_.sequence) return;
  const net::Span pause = options_.join_wait * (kJoinWaitsApart - 1);
  if (follower.waited_for_until && step.now < *follower.waited_for_until + pause) return;
  follower.waited_for_until = step.now + options_.join_wait;
}

void Replica::TellCommitted(Step& step, ReplicaOutput& out) {
  if (!tail_.empty()) return;  // The next entries carry it.
  for (auto& [disk, follower] : followers_) {
    if (follower.next == LastSequence() + 1) SendEntries(step, out, disk, follower);
  }
}

void Replica::On(Step& step, ReplicaOutput& out, const std::string& from,
                 const AppendReply& message) {
  const auto found = followers_.find(from);
  if (!acting_ || message.epoch != assignment_.epoch || found == followers_.end()) return;
  Follower& follower = found->second;
  if (message.matched) {
    const std::uint64_t match = std::min(message.match, LastSequence());
    if (match > follower.match) {
      follower.match = match;
      follower.owing_since = step.now;
      follower.resends = 0;
    }
    follower.next = std::max(follower.next, follower.match + 1);
    if (follower.match >= LastSequence()) follower.owing_since.reset();
    // Replies of a learner's earlier process tell nothing about what its disk holds now.
    if (message.session == follower.session) {
      follower.synced = std::max(follower.synced, match);
      follower.joined = follower.session != 0;
    }
    WaitForLearner(step, follower);
    if (follower.next <= LastSequence()) SendEntries(step, out, from, follower);
    AdvanceCommitted(step, out);
    return;
  }
  if (message.resend_from <= applied_.sequence && follower.session != 0) {
    if (required_.count(from) > 0) return;
    followers_.erase(found);  // What it lacks is no longer here: it begins anew.
    return;
  }
  const std::uint64_t resend_from =
      std::clamp(message.resend_from, applied_.sequence + 1, LastSequence() + 1);
  const bool tried = follower.tried_from == resend_from;
  if (tried && step.now - follower.sent_at < options_.resend) return;
  follower.tried_from = resend_from;
  follower.next = resend_from;
  SendEntries(step, out, from, follower);
}

void Replica::On(Step& step, ReplicaOutput& out, const std::string& from,
                 const CatchUpRequest& message) {
  if (!acting_ || message.epoch != assignment_.epoch || message.session == 0) return;
  // One that is about to be named, or is, must not be seen to start with nothing.
  if (IsReplica(from) || required_.count(from) > 0) return;
  const KeyValues map = StoredMap(step.storage);
  CatchUpReply reply;
  reply.epoch = message.epoch;
  reply.session = message.session;
  reply.at = applied_;
  if (message.start) {
    Follower& follower = followers_[from] = Follower{};
    follower.session = message.session;
    follower.next = applied_.sequence + 1;
    reply.start = true;
    reply.digests = SplitDigests(map, {}, kDigestParts);
    Send(out, from, std::move(reply));
    SendEntries(step, out, from, follower);
    return;
  }
  const auto found = followers_.find(from);
  if (found == followers_.end() || found->second.session != message.session) return;
  for (std::size_t i = 0; i < std::min(message.digests.size(), kMostRangesAnswered); ++i) {
    const auto digests = SplitDigests(map, message.digests[i], kDigestParts);
    reply.digests.insert(reply.digests.end(), digests.begin(), digests.end());
  }
  if (!message.contents.empty()) {
    reply.contents.push_back(ContentsOf(map, message.contents.front(), options_.most_copied_bytes));
  }
  Send(out, from, std::move(reply));
}

// ---- As replica or learner.

std::optional<std::uint64_t> Replica::Mismatch(const Append& message) const {
  const std::uint64_t before = message.previous.sequence;
  if (before > LastSequence()) return LastSequence() + 1;
  if (before >= applied_.sequence && PositionOf(before) != message.previous) {
    return applied_.sequence + 1;
  }
  return std::nullopt;
}

void Replica::On(Step& step, ReplicaOutput& out, const std::string& from, const Append& message) {
  if (acting_ || message.epoch != assignment_.epoch || from != assignment_.primary) return;
  const bool follows = IsReplica(options_.disk) ? complete_ : IsLearning();
  if (!follows) return;
  AppendReply reply;
  reply.epoch = assignment_.epoch;
  if (!FollowEachOther(message)) return;  // Malformed.
  if (const auto resend_from = Mismatch(message)) {
    if (session_) session_->lost_entries = true;
    reply.resend_from = *resend_from;
    Send(out, from, reply);
    return;
  }
  if (session_) {
    session_->heard_at = step.now;
    session_->lost_entries = false;
  }
  Take(step, message);
  ApplyUpTo(step, out, std::min(message.committed, verified_));
  FinishIfWhole(step, out);
  reply.matched = true;
  Reply(out, reply);
}

void Replica::Take(Step& step, const Append& message) {
  storage::Batch batch;
  for (const Entry& entry : message.entries) {
    const std::uint64_t sequence = entry.position.sequence;
    if (sequence <= applied_.sequence) continue;
    if (sequence <= LastSequence()) {
      if (At(sequence).position == entry.position) continue;
      Truncate(batch, sequence);
    }
    AppendOne(batch, entry);
  }
  verified_ = std::max(verified_, message.previous.sequence + message.entries.size());
  if (batch.empty()) return;
  step.storage.Apply(batch);
  WantSync(step);
}

void Replica::Reply(ReplicaOutput& out, AppendReply reply) {
  reply.match = verified_;
  if (session_ && complete_) reply.session = session_->id;
  if (last_wanted_ <= last_synced_) {
    Send(out, assignment_.primary, reply);
    return;
  }
  if (!held_.empty() && held_.back().ticket == last_wanted_) held_.pop_back();
  held_.push_back({last_wanted_, reply});
}

// ---- As learner.

void Replica::CatchUp(Step& step, ReplicaOutput& out) {
  if (acting_ || assignment_.epoch == 0 || IsReplica(options_.disk)) return;
  if (session_ && step.now - session_->heard_at < patience_) return;
  StartSession(step, out);
}

void Replica::StartSession(Step& step, ReplicaOutput& out) {
  // Unlike the sessions of earlier processes on this machine too: its clock goes on.
  const auto by_clock = static_cast<std::uint64_t>(step.now.time_since_epoch().count());
  sessions_ = std::max(sessions_ + 1, by_clock);
  Session session;
  session.id = sessions_;
  session.heard_at = step.now;
  session_ = std::move(session);
  CatchUpRequest request;
  request.epoch = assignment_.epoch;
  request.session = session_->id;
  request.start = true;
  Send(out, assignment_.primary, std::move(request));
}

void Replica::On(Step& step, ReplicaOutput& out, const std::string& from,
                 const CatchUpReply& message) {
  if (!session_ || from != assignment_.primary || message.epoch != assignment_.epoch) return;
  if (message.session != session_->id) {
    BeMorePatient();
    return;
  }
  if (session_->started == message.start) return;
  if (message.start) {
    TakeStart(step, message);
  } else if (!message.contents.empty()) {
    const RangeContents& contents = message.contents.front();
    if (!session_->repair.Asked(contents.range, true)) return;
    // Overtaken by entries that are in the map by now: what was read before them is too old.
    if (message.at.sequence < applied_.sequence) {
      AskOn(step, out);
      return;
    }
    TakeContents(step, contents);
  } else {
    if (message.digests.empty()) return;
    if (!session_->repair.Asked(message.digests.front().range, false)) return;
    session_->repair.TakeNext();
    session_->repair.OnDigests(StoredMap(step.storage), message.digests);
  }
  session_->heard_at = step.now;
  session_->newest = std::max(session_->newest, message.at);
  AskOn(step, out);
}

// An answer to a session that was given up for silence: it was only slow, and so will others be.
void Replica::BeMorePatient() {
  patience_ = std::min(2 * patience_, kMostPatience * options_.catch_up_patience);
}

void Replica::TakeStart(Step& step, const CatchUpReply& message) {
  session_->started = true;
  complete_ = false;
  reset_due_ = false;
  storage::Batch batch;
  Truncate(batch, applied_.sequence + 1);
  applied_ = message.at;
  PutState(batch);
  step.storage.Apply(batch);
  WantSync(step);
  session_->repair.OnDigests(StoredMap(step.storage), message.digests);
}

void Replica::TakeContents(Step& step, const RangeContents& contents) {
  const KeyRange asked = session_->repair.first();
  storage::Batch batch;
  Replace(StoredMap(step.storage), MapKey(""), contents, batch);
  if (!batch.empty()) step.storage.Apply(batch);
  session_->unsynced_bytes += SizeOf(batch);
  if (session_->unsynced_bytes >= options_.copied_bytes_a_sync) {
    session_->unsynced_bytes = 0;
    WantSync(step);
  }
  session_->repair.TakeNext();
  session_->repair.OnContents(asked, contents.range);
}

void Replica::AskOn(Step& step, ReplicaOutput& out) {
  if (session_->repair.done()) {
    session_->fetched = true;
    FinishIfWhole(step, out);
    return;
  }
  RangeRepair::Wanted wanted = session_->repair.Next();
  CatchUpRequest request;
  request.epoch = assignment_.epoch;
  request.session = session_->id;
  request.digests = std::move(wanted.digests);
  request.contents = std::move(wanted.contents);
  Send(out, assignment_.primary, std::move(request));
}

void Replica::FinishIfWhole(Step& step, ReplicaOutput& out) {
  // Ranges that were read later hold later entries: the map is one state only behind all of them.
  if (!session_ || !session_->fetched || complete_) return;
  if (applied_.sequence < session_->newest.sequence) return;
  complete_ = true;
  storage::Batch batch;
  PutState(batch);
  step.storage.Apply(batch);
  WantSync(step);
  reset_due_ = true;
  TellReset(out);
  AppendReply reply;
  reply.epoch = assignment_.epoch;
  reply.matched = true;
  Reply(out, reply);
}

// ---- All.

void Replica::OnMessage(Step& step, ReplicaOutput& out, const std::string& from,
                        const ReplicaMessage& message) {
  std::visit([&](const auto& one) { On(step, out, from, one); }, message);
}

void Replica::OnSynced(Step& step, ReplicaOutput& out, Ticket ticket) {
  last_synced_ = std::max(last_synced_, ticket);
  while (!held_.empty() && held_.front().ticket <= ticket) {
    Send(out, assignment_.primary, held_.front().reply);
    held_.pop_front();
  }
  while (!own_syncs_.empty() && own_syncs_.front().first <= ticket) {
    own_match_ = own_syncs_.front().second;
    own_syncs_.pop_front();
  }
  AdvanceCommitted(step, out);
}

void Replica::OnTimer(Step& step, ReplicaOutput& out) {
  if (!acting_) return;
  for (auto& [disk, follower] : followers_) {
    const bool owes = follower.match < LastSequence();
    if (!owes && follower.told_committed == applied_.sequence) continue;
    if (step.now - follower.sent_at < ResendPause(follower)) continue;
    if (owes) {
      follower.next = std::max(follower.match, applied_.sequence) + 1;
      ++follower.resends;
    }
    SendEntries(step, out, disk, follower);
  }
  AdvanceCommitted(step, out);  // A wait for a learner may be over.
}

Position Replica::last() const { return PositionOf(LastSequence()); }

void Replica::ForEach(const storage::Storage& storage,
                      const std::function<bool(std::string_view, std::string_view)>& visit) const {
  StoredMap(storage).Visit({}, visit);
}

std::optional<std::string> Replica::Get(const storage::Storage& storage,
                                        std::string_view key) const {
  return storage.Get(MapKey(key));
}

const Entry& Replica::At(std::uint64_t sequence) const {
  return tail_[static_cast<std::size_t>(sequence - applied_.sequence - 1)];
}

Position Replica::PositionOf(std::uint64_t sequence) const {
  return sequence == applied_.sequence ? applied_ : At(sequence).position;
}

bool Replica::IsReplica(const std::string& disk) const {
  const auto& all = assignment_.replicas;
  return std::find(all.begin(), all.end(), disk) != all.end();
}

std::string Replica::TailKey(std::uint64_t sequence) const {
  return options_.prefix + "t" + SortableBytes(sequence);
}

std::string Replica::MapKey(std::string_view key) const {
  return options_.prefix + "m" + std::string(key);
}

KeyValues Replica::StoredMap(const storage::Storage& storage) const {
  return {storage, MapKey("")};
}

void Replica::PutState(storage::Batch& batch) const {
  cbor::Writer state;
  state.Array(3).Uint(applied_.epoch).Uint(applied_.sequence).Bool(complete_);
  batch.Put(options_.prefix + "s", state.Take());
}

void Replica::Truncate(storage::Batch& batch, std::uint64_t from) {
  while (LastSequence() >= from) {
    batch.Remove(TailKey(LastSequence()));
    tail_bytes_ -= SizeOf(tail_.back());
    tail_.pop_back();
  }
}

void Replica::AppendOne(storage::Batch& batch, Entry entry) {
  batch.Put(TailKey(entry.position.sequence), EncodeEntry(entry));
  tail_bytes_ += SizeOf(entry);
  tail_.push_back(std::move(entry));
}

// No sync is asked for: what a crash forgets of this is told committed again.
void Replica::ApplyUpTo(Step& step, ReplicaOutput& out, std::uint64_t sequence) {
  if (tail_.empty() || tail_.front().position.sequence > sequence) return;
  storage::Batch batch;
  while (!tail_.empty() && tail_.front().position.sequence <= sequence) {
    Entry entry = std::move(tail_.front());
    tail_.pop_front();
    tail_bytes_ -= SizeOf(entry);
    applied_ = entry.position;
    for (const Write& write : entry.writes) {
      if (write.value) {
        batch.Put(MapKey(write.key), *write.value);
      } else {
        batch.Remove(MapKey(write.key));
      }
    }
    batch.Remove(TailKey(entry.position.sequence));
    if (!complete_ || reset_due_) continue;
    out.committed.push_back(std::move(entry));
    told_ = applied_.sequence;
  }
  PutState(batch);
  step.storage.Apply(batch);
  TellReset(out);
}

// A new primary may learn late what was committed before it: whoever follows it must not be told an
// older map than it was told before.
void Replica::TellReset(ReplicaOutput& out) {
  if (!reset_due_ || applied_.sequence < told_) return;
  reset_due_ = false;
  told_ = applied_.sequence;
  out.reset = true;
}

void Replica::WantSync(Step& step) {
  step.wants_sync = true;
  last_wanted_ = step.ticket;
}

void Replica::Send(ReplicaOutput& out, const std::string& to, ReplicaMessage message) const {
  out.messages.emplace_back(to, std::move(message));
}

void Replica::Fingerprint(cbor::Writer& out, net::Time now) const {
  out.Uint(assignment_.epoch).Bool(acting_).Bool(complete_);
  out.Uint(applied_.epoch).Uint(applied_.sequence);
  for (const Entry& entry : tail_) out.Uint(entry.position.epoch).Uint(entry.position.sequence);
  for (const auto& [disk, follower] : followers_) {
    out.Text(disk)
        .Uint(follower.match)
        .Uint(follower.synced)
        .Uint(follower.next)
        .Uint(follower.told_committed);
    out.Bool(follower.session != 0).Bool(follower.joined).Bool(follower.owing_since.has_value());
    out.Bool(now - follower.sent_at >= ResendPause(follower))
        .Bool(follower.waited_for_until && now < *follower.waited_for_until);
  }
  for (const std::string& disk : required_) out.Text(disk);
  out.Uint(told_).Bool(reset_due_);
  out.Uint(own_match_).Uint(own_syncs_.size()).Uint(barrier_).Uint(verified_).Uint(held_.size());
  if (!session_) return;
  out.Bool(session_->started)
      .Bool(session_->fetched)
      .Bool(session_->lost_entries)
      .Uint(session_->newest.sequence);
  out.Bool(now - session_->heard_at >= patience_);
  session_->repair.Fingerprint(out);
}

}  // namespace shelflink::coordination
