// The replica as primary: what it proposes, sends and commits, and how learners are answered.
#include <algorithm>

#include "tier/coordination/replica.h"

namespace shelflink::coordination {

namespace {

constexpr int kMostResendDoublings = 3;
constexpr int kJoinWaitsApart = 4;  // Waits for a learner begin so many of their length apart.

std::uint64_t SizeOf(const RangeContents& contents) {
  std::uint64_t bytes = 0;
  for (const auto& [key, value] : contents.items) bytes += key.size() + value.size();
  return bytes;
}

}  // namespace

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

std::vector<LearnerProgress> Replica::learners() const {
  std::vector<LearnerProgress> learners;
  for (const auto& [disk, follower] : followers_) {
    if (follower.session == 0) continue;
    learners.push_back({disk, follower.copied_bytes, BytesLeft(follower)});
  }
  return learners;
}

std::optional<std::uint64_t> Replica::BytesLeft(const Follower& learner) {
  if (learner.joined) return 0;
  const std::optional<std::uint64_t> total = learner.map_size.total();
  if (!total) return std::nullopt;
  return *total - std::min(learner.copied_bytes, *total);
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
  follower.sent_at = LeavesAt(step.now, bytes);
  follower.told_committed = applied_.sequence;
  if (follower.match < LastSequence() && !follower.owing_since) {
    follower.owing_since = follower.sent_at;
  }
  Send(out, to, std::move(message));
}

net::Time Replica::LeavesAt(net::Time now, std::size_t bytes) {
  link_free_at_ = std::max(link_free_at_, now);
  if (options_.link_bytes_per_second > 0) {
    const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                              static_cast<double>(options_.link_bytes_per_second));
    link_free_at_ += std::chrono::duration_cast<net::Span>(takes);
  }
  return link_free_at_;
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
      follower.owing_since = std::max(step.now, follower.sent_at);
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
  const PrefixView map = StoredMap(step.storage);
  CatchUpReply reply;
  reply.epoch = message.epoch;
  reply.session = message.session;
  reply.at = applied_;
  if (message.start) {
    Follower& follower = followers_[from] = Follower{};
    follower.session = message.session;
    follower.next = applied_.sequence + 1;
    reply.start = true;
    reply.digests = SplitDigests(map, {}, options_.digests);
    follower.map_size.Advance(map, options_.most_counted_bytes);
    Send(out, from, std::move(reply));
    SendEntries(step, out, from, follower);
    return;
  }
  const auto found = followers_.find(from);
  if (found == followers_.end() || found->second.session != message.session) return;
  Follower& learner = found->second;
  learner.map_size.Advance(map, options_.most_counted_bytes);
  if (!message.digests.empty()) {
    reply.digests = SplitDigests(map, message.digests.front(), options_.digests);
  }
  if (!message.contents.empty()) {
    reply.contents.push_back(ContentsOf(map, message.contents.front(), options_.most_copied_bytes));
    const std::uint64_t bytes = SizeOf(reply.contents.back());
    learner.copied_bytes += bytes;
    copied_bytes_ += bytes;
  }
  Send(out, from, std::move(reply));
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

}  // namespace shelflink::coordination
