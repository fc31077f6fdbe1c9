// The replica as learner: its session with the primary until the map is whole.
#include <algorithm>

#include "tier/coordination/replica.h"

namespace shelflink::coordination {

namespace {

constexpr int kMostPatience = 16;  // Times what the options say.

std::size_t SizeOf(const storage::Batch& batch) {
  std::size_t bytes = 0;
  for (const storage::Batch::Change& change : batch.changes()) {
    bytes += change.key.size() + (change.value ? change.value->size() : 0);
  }
  return bytes;
}

}  // namespace

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
    if (!session_->repair.IsPending(contents.range, true)) return;
    // Overtaken by entries that are in the map by now: what was read before them is too old.
    if (message.at.sequence < applied_.sequence) {
      AskOn(step, out);
      return;
    }
    TakeContents(step, contents);
  } else {
    if (message.digests.empty()) return;
    if (!session_->repair.IsPending(message.digests.front().range, false)) return;
    session_->repair.PopPending();
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

void Replica::TakeContents(Step& step, RangeContents contents) {
  const KeyRange asked = session_->repair.first_pending();
  LimitStoredBytes(StoredMap(step.storage), options_.most_replaced_bytes, contents);
  storage::Batch batch;
  ReplaceRange(StoredMap(step.storage), MapKey(""), contents, batch);
  if (!batch.empty()) step.storage.Apply(batch);
  session_->unsynced_bytes += SizeOf(batch);
  if (session_->unsynced_bytes >= options_.copied_bytes_a_sync) {
    session_->unsynced_bytes = 0;
    WantSync(step);
  }
  session_->repair.PopPending();
  session_->repair.OnContents(asked, contents.range);
}

void Replica::AskOn(Step& step, ReplicaOutput& out) {
  if (session_->repair.done()) {
    session_->fetched = true;
    FinishIfWhole(step, out);
    return;
  }
  RangeRepair::Request wanted = session_->repair.NextRequest();
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

}  // namespace shelflink::coordination
