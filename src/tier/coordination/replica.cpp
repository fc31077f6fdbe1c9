#include "tier/coordination/replica.h"

#include <algorithm>

namespace shelflink::coordination {

namespace {

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
    : options_(std::move(options)), told_(options_.told), patience_(options_.catch_up_patience) {
  Load(storage);
}

void Replica::Load(const storage::Storage& storage) {
  const auto state = storage.Get(StateKeyOf(options_.prefix));
  if (!state) return;
  cbor::Reader in(*state);
  if (in.Array() < 3) in.Fail();
  applied_.epoch = in.Uint();
  applied_.sequence = in.Uint();
  complete_ = in.Bool() && in.ok();
  reset_due_ = complete_ && applied_.sequence < told_;
  if (complete_) told_ = std::max(told_, applied_.sequence);
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

// ---- What comes from the primary.

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

PrefixView Replica::StoredMap(const storage::Storage& storage) const {
  return {storage, MapKey("")};
}

void Replica::PutState(storage::Batch& batch) const {
  cbor::Writer state;
  state.Array(3).Uint(applied_.epoch).Uint(applied_.sequence).Bool(complete_);
  batch.Put(StateKeyOf(options_.prefix), state.Take());
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
