#include "fleet/office.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fleet {

using coordination::Answer;
using coordination::Compare;
using coordination::Done;
using coordination::Entry;
using coordination::Lease;
using coordination::Operation;
using coordination::Txn;
using ownership::Ask;
using ownership::Holding;

namespace {

// For the store to say that a key was given up; then it runs out by itself.
constexpr auto kLeaveSpan = std::chrono::milliseconds(500);

Operation Get(const std::string& key) { return {Operation::What::kRange, {key}}; }

// Who has the key, as the one range of a transaction has found it.
std::optional<Holding> HoldingOf(const Done& done) {
  if (done.found.empty() || done.found.front().empty()) return std::nullopt;
  const Entry& e = done.found.front().front();
  return Holding{e.value, e.lease, e.created};
}

}  // namespace

Office::Office(net::Loop& loop, coordination::Store& store, const coordination::View& view,
               std::string key, ownership::Terms terms, std::function<void(bool)> changed)
    : loop_(loop),
      store_(store),
      view_(view),
      key_(std::move(key)),
      terms_(terms),
      candidate_(std::move(terms)),
      changed_(std::move(changed)),
      timer_(loop.NewTimer([this] {
        candidate_.OnTimer(Now());
        Proceed();
      })),
      leave_timer_(loop.NewTimer([this] {
        if (left_) std::exchange(left_, nullptr)();
      })) {
  timer_->ArmAt(loop.Now());
}

void Office::OnView() {
  const Entry* entry = view_.Find(key_);
  const coordination::Revision stands = entry == nullptr ? 0 : entry->modified;
  if (std::exchange(seen_, stands) == stands) return;
  candidate_.OnChanged(Now());
  Proceed();
}

void Office::Leave(std::function<void()> done) {
  left_ = std::move(done);
  candidate_.Leave(Now());
  leave_timer_->ArmAt(loop_.Now() + kLeaveSpan);
  // Nothing to give up: nobody has to be asked.
  const auto requests = candidate_.TakeRequests();
  if (requests.empty()) leave_timer_->ArmAt(loop_.Now());
  for (const auto& request : requests) Carry(request);
  Proceed();
}

void Office::Proceed() {
  for (const auto& request : candidate_.TakeRequests()) Carry(request);
  const Micros next = candidate_.next();
  if (next == ownership::Candidate::kNever) {
    timer_->Cancel();
  } else {
    timer_->ArmAt(loop_.Now() + std::chrono::microseconds(std::max<Micros>(0, next - Now())));
  }
  const bool owns = Owns();
  if (std::exchange(told_, owns) != owns) changed_(owns);
}

void Office::Reply(const ownership::Reply& reply) {
  candidate_.OnReply(Now(), reply);
  Proceed();
}

// What is refused or unknown is no reply: the candidate gives it up in its time and reads.
void Office::Carry(const ownership::Request& request) {
  const std::weak_ptr<bool> alive = alive_;
  const auto on_lease = [this, alive, request](const Answer<Lease>& answer) {
    if (!alive.expired() && answer.done()) Reply({request.id, answer.value.id});
  };
  const auto on_key = [this, alive, request](const Answer<Done>& answer) {
    if (alive.expired() || !answer.done()) return;
    // Of a claim that won there is nothing to read: its revision is the key's.
    const bool won = request.ask == Ask::kClaim && answer.value.succeeded;
    Reply({request.id, 0,
           won ? Holding{terms_.name, request.lease, answer.value.revision}
               : HoldingOf(answer.value)});
  };
  Txn txn;
  switch (request.ask) {
    case Ask::kGrant:
      return store_.Grant(terms_.ttl, on_lease);
    case Ask::kKeepAlive:
      return store_.KeepAlive(request.lease, on_lease);
    case Ask::kClaim:
      txn.compares = {{key_, Compare::Of::kCreated, Compare::Is::kEqual, 0}};
      txn.then = {{Operation::What::kPut, {key_}, terms_.name, request.lease}};
      txn.otherwise = {Get(key_)};
      return store_.Commit(txn, on_key);
    case Ask::kRead:
      txn.then = {Get(key_)};
      return store_.Commit(txn, on_key);
    case Ask::kRelease:
      return Release(request);
  }
}

// The key, if it is still the own one, and the lease with all that may hang on it.
void Office::Release(const ownership::Request& request) {
  const std::weak_ptr<bool> alive = alive_;
  store_.Revoke(request.lease, [this, alive](const Answer<bool>&) {
    if (!alive.expired()) leave_timer_->ArmAt(loop_.Now());
  });
}

}  // namespace fleet
