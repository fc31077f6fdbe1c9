#include "tier/coordination/witness.h"

#include <algorithm>
#include <chrono>

namespace shelflink::coordination {

namespace {
constexpr char kStateKey[] = "witness";

std::uint64_t CeilMilliseconds(net::Span span) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(std::max(span, net::Span::zero())).count());
}
}  // namespace

Witness::Witness(Options options, const storage::Storage& storage, net::Time now)
    : options_(std::move(options)) {
  LoadState(storage);
  lease_until_ = now + options_.lease;
}

void Witness::Bootstrap(Step& step, std::vector<CoreMember> seeds) {
  state_.founder = true;
  lease_until_ = {};
  state_.record.witnesses = std::move(seeds);
  SaveState(step);
}

bool Witness::HasStored(const storage::Storage& storage) {
  return storage.Get(kStateKey).has_value();
}

bool Witness::Learn(Step& step, const Record& decided) {
  if (decided.epoch <= state_.record.epoch) return false;
  state_.record = decided;
  state_.promised = {};
  state_.accepted = {};
  state_.value.reset();
  SaveState(step);
  return true;
}

bool Witness::MayVote() const {
  if (state_.record.epoch == 0 && !state_.founder) return false;
  return IsWitnessOf(state_.record, options_.self);
}

net::Span Witness::BlockingLease(net::Time now, const Ballot& ballot) const {
  if (ballot.disk == state_.record.primary) return {};  // The lease is its own.
  return std::max(lease_until_ - now, net::Span::zero());
}

template <typename Request, typename Reply>
bool Witness::MayAgree(net::Time now, const Request& request, Reply& reply) const {
  if (request.base.epoch != state_.record.epoch || !MayVote()) return false;
  const net::Span remaining = BlockingLease(now, request.ballot);
  if (remaining > net::Span::zero()) {
    reply.lease_remaining_ms = CeilMilliseconds(remaining);
    return false;
  }
  if (request.ballot < state_.promised) {
    reply.blocking = state_.promised;
    return false;
  }
  return true;
}

PrepareReply Witness::OnPrepare(Step& step, const Prepare& request) {
  PrepareReply reply;
  reply.epoch = request.base.epoch + 1;
  reply.ballot = request.ballot;
  if (!MayAgree(step.now, request, reply)) return reply;
  if (request.ballot > state_.promised) {
    state_.promised = request.ballot;
    SaveState(step);
  }
  reply.promised = true;
  reply.accepted = state_.accepted;
  reply.value = state_.value;
  return reply;
}

AcceptReply Witness::OnAccept(Step& step, const Accept& request) {
  AcceptReply reply;
  reply.epoch = request.base.epoch + 1;
  reply.ballot = request.ballot;
  if (!MayAgree(step.now, request, reply)) return reply;
  if (request.ballot != state_.accepted) {
    state_.promised = request.ballot;
    state_.accepted = request.ballot;
    state_.value = request.value;
    SaveState(step);
  }
  reply.accepted = true;
  return reply;
}

bool Witness::GrantLease(net::Time now, const std::string& primary, std::uint64_t epoch) {
  if (epoch == 0 || epoch != state_.record.epoch) return false;
  if (primary != state_.record.primary) return false;
  // An accepted vote for another primary may have been counted already. A vote that was only
  // promised will not be given while this lease is valid.
  if (state_.value && state_.value->primary != primary) return false;
  lease_until_ = std::max(lease_until_, now + options_.lease);
  return true;
}

void Witness::SaveState(Step& step) {
  cbor::Writer out;
  out.Array(5);
  Put(out, state_.record);
  Put(out, state_.promised);
  Put(out, state_.accepted);
  if (state_.value) {
    Put(out, *state_.value);
  } else {
    out.Null();
  }
  out.Bool(state_.founder);
  storage::Batch batch;
  batch.Put(kStateKey, out.Take());
  step.storage.Apply(batch);
  step.wants_sync = true;
}

void Witness::LoadState(const storage::Storage& storage) {
  const auto stored = storage.Get(kStateKey);
  if (!stored) return;
  cbor::Reader in(*stored);
  State state;
  if (in.Array() < 5) in.Fail();
  state.record = ReadRecord(in);
  state.promised = ReadBallot(in);
  state.accepted = ReadBallot(in);
  if (!in.TakeNull()) state.value = ReadRecord(in);
  state.founder = in.Bool();
  if (in.ok()) state_ = std::move(state);
}

void Witness::Fingerprint(cbor::Writer& out, net::Time now) const {
  Put(out, state_.record);
  Put(out, state_.promised);
  Put(out, state_.accepted);
  if (state_.value) Put(out, *state_.value);
  out.Bool(state_.founder).Int(std::max(lease_until_ - now, net::Span::zero()).count());
}

}  // namespace shelflink::coordination
