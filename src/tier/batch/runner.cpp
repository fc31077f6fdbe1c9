#include "tier/batch/runner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tier/batch/item_run.h"
#include "tier/batch/offer_schedule.h"
#include "tier/batch/partition.h"
#include "tier/batch/primaries.h"
#include "tier/batch/run_table.h"
#include "tier/foundation/log.h"

namespace shelflink::batch {
namespace {

// Between offers to a store with leases to renew.
constexpr milliseconds kBusyInterval{400};
constexpr milliseconds kAnswerTimeout{1000};
// After an endpoint's or the policy's refusal no new items are asked for, for so long at least.
constexpr milliseconds kRefusalPause{200};
constexpr milliseconds kLongestRefusalPause{2000};
// Of the output that one offer carries; the rest goes with the next.
constexpr std::size_t kMostOfferedOutput = 4U << 20;
// What an item is taken to need before any has been seen.
constexpr std::size_t kLeastItemBytes = 4096;
// Items over which the size of a large one is forgotten.
constexpr std::size_t kBytesMemory = 16;

// What an offer named, to read its answer by.
struct NamedLease {
  LeaseId lease;
  std::uint64_t events = 0;  // Of the output that the store has if it answers kRenewed.
  std::uint64_t bytes = 0;
};

}  // namespace

class Runner::Impl : public std::enable_shared_from_this<Runner::Impl> {
 public:
  Impl(net::Loop& loop, transport::Hub& hub, proxy::Calls& calls, ViewSource view,
       const Bounds& bounds)
      : loop_(loop),
        hub_(hub),
        calls_(calls),
        view_(view),
        primaries_(view),
        span_(LeaseSpan(bounds)),
        reports_(loop, hub, std::move(view)),
        offers_(StableHash(hub.self().address.Text())) {
    timer_ = loop_.NewTimer([this] { OfferToDue(); });
  }

  void Begin() {
    hub_.Handle(kAssign, [weak = weak_from_this()](const transport::PeerIdentity& from,
                                                   std::string_view body) {
      if (const auto self = weak.lock()) self->OnAssign(from.address, body);
    });
    hub_.Handle(kRevoke,
                [weak = weak_from_this()](const transport::PeerIdentity&, std::string_view body) {
                  if (const auto self = weak.lock()) self->OnRevoke(body);
                });
    hub_.Handle(kWorkWaits, [weak = weak_from_this()](const transport::PeerIdentity& from,
                                                      std::string_view body) {
      if (const auto self = weak.lock()) self->OnWorkWaits(from.address, body);
    });
    OnPlacement();
  }

  void OnPlacement() {
    reports_.OnPlacement();
    offers_.SetStores(primaries_.All(), loop_.Now() + primaries_.FirstDelay(hub_.self().address));
    for (const auto& [lease, run] : runs_.all()) {
      const auto known = renewed_by_.find(lease);
      if (known != renewed_by_.end() && known->second != primaries_.Of(run->partition())) {
        run->output().ForgetConfirmed();
        renewed_by_.erase(known);
      }
      // The new primary gives an item to another proxy soon, unless it hears of the run.
      if (const auto primary = primaries_.Of(run->partition())) WantOffer(*primary, loop_.Now());
    }
    ArmTimer();
  }

  void OnConfiguration() {
    const auto& configuration = view_().configuration;
    if (configuration == nullptr) return;
    for (ItemRun* run : runs_.Snapshot()) run->OnConfiguration(*configuration);
  }

  void Drain(std::function<void()> done) {
    draining_ = true;
    drained_ = std::move(done);
    // First the word that no more is wanted, so that what is handed back doesn't return.
    for (const net::Address& store : offers_.stores()) SendOffer({store, 0}, 0);
    for (ItemRun* run : runs_.Snapshot()) run->HandBack();
    drain_timer_ = loop_.NewTimer([this] { TellDrained(); });
    drain_timer_->ArmAt(loop_.Now() + kDrainTimeout);
    TellIfDrained();
  }

  std::size_t runs() const { return runs_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  // --- Offers ---

  // New items that may be asked for now, of all stores together.
  std::uint32_t Room() const {
    if (draining_) return 0;
    if (loop_.Now() < refused_until_) return 0;
    std::size_t room = calls_.BatchCapacity();
    room -= std::min(room, runs_.awaiting_lease());
    room = std::min(room, kMostRuns - std::min(kMostRuns, runs_.size()));
    const std::size_t free_bytes = kMostHeldBytes - std::min(kMostHeldBytes, runs_.bytes());
    return static_cast<std::uint32_t>(std::min(room, free_bytes / typical_bytes_));
  }

  void OfferToDue() {
    const std::uint32_t room = Room();
    const std::vector<OfferSchedule::Grant> grants = offers_.Round(loop_.Now(), room);
    for (const OfferSchedule::Grant& grant : grants) SendOffer(grant, room);
    ArmTimer();
  }

  void SendOffer(const OfferSchedule::Grant& grant, std::uint32_t room) {
    const net::Address& address = grant.store;
    const net::Time now = loop_.Now();
    Offer offer;
    std::vector<NamedLease> named;
    std::size_t output_bytes = 0;
    for (const auto& [lease, run] : runs_.all()) {
      if (primaries_.Of(run->partition()) != address) continue;
      HeldLease held{run->partition(), lease, std::nullopt};
      if (output_bytes < kMostOfferedOutput) held.more = run->output().Unconfirmed();
      NamedLease name{lease, 0, 0};
      if (held.more) {
        output_bytes += held.more->text.size();
        name.events = held.more->events;
        name.bytes = held.more->offset + held.more->text.size();
      }
      named.push_back(name);
      offer.held.push_back(std::move(held));
    }
    offer.items = grant.items;
    counters_.offered += grant.items;
    offer.room = room;
    offers_.OnSent(grant, now + (named.empty() ? primaries_.IdleInterval() : kBusyInterval));
    hub_.Call(address, kOffer, Encode(offer), kAnswerTimeout,
              [weak = weak_from_this(), address, now,
               named = std::move(named)](const Result<std::string>& answer) {
                if (const auto self = weak.lock()) {
                  self->OnOfferAnswer(address, now, named, answer);
                }
              });
  }

  void OnOfferAnswer(const net::Address& address, net::Time sent,
                     const std::vector<NamedLease>& named, const Result<std::string>& answer) {
    offers_.OnAnswered(address);
    if (answer) TakeOfferAnswer(address, sent, named, answer.value());
    ArmTimer();
  }

  void TakeOfferAnswer(const net::Address& address, net::Time sent,
                       const std::vector<NamedLease>& named, std::string_view answer) {
    const Result<OfferAnswer> decoded = Decode<OfferAnswer>(answer);
    if (!decoded || decoded.value().held.size() != named.size()) return;
    offers_.OnTaken(address, sent, decoded.value().assigned, decoded.value().waiting);
    std::vector<ItemRun*> unknown;
    for (std::size_t i = 0; i < named.size(); ++i) {
      ItemRun* run = runs_.Find(named[i].lease);
      if (run == nullptr) continue;
      switch (decoded.value().held[i]) {
        case LeaseStatus::kRenewed:
          run->output().Confirm(named[i].events, named[i].bytes);
          OnRenewed(address, *run, sent);
          break;
        case LeaseStatus::kRevoked:
          OnRevoked(named[i].lease);
          break;
        case LeaseStatus::kUnknown:
          if (!run->adopting) unknown.push_back(run);
          break;
        case LeaseStatus::kNotPrimary:
          break;
      }
    }
    if (!unknown.empty()) SendAdopt(address, unknown);
  }

  void SendAdopt(const net::Address& address, const std::vector<ItemRun*>& runs) {
    Adopt adopt;
    std::vector<NamedLease> named;
    for (ItemRun* run : runs) {
      run->adopting = true;
      const Output& output = run->output().all();
      adopt.leases.push_back({run->item(), run->lease(), output});
      named.push_back({run->lease(), output.events, output.text.size()});
    }
    const net::Time now = loop_.Now();
    hub_.Call(address, kAdopt, Encode(adopt), kAnswerTimeout,
              [weak = weak_from_this(), address, now,
               named = std::move(named)](const Result<std::string>& answer) {
                if (const auto self = weak.lock()) {
                  self->OnAdoptAnswer(address, now, named, answer);
                }
              });
  }

  void OnAdoptAnswer(const net::Address& address, net::Time sent,
                     const std::vector<NamedLease>& named, const Result<std::string>& answer) {
    for (const NamedLease& name : named) {
      if (ItemRun* run = runs_.Find(name.lease)) run->adopting = false;
    }
    if (!answer) return;
    const Result<AdoptAnswer> decoded = Decode<AdoptAnswer>(answer.value());
    if (!decoded || decoded.value().leases.size() != named.size()) return;
    for (std::size_t i = 0; i < named.size(); ++i) {
      ItemRun* run = runs_.Find(named[i].lease);
      if (run == nullptr) continue;
      if (decoded.value().leases[i] == LeaseStatus::kRenewed) {
        ++counters_.adopted;
        run->output().Confirm(named[i].events, named[i].bytes);
        OnRenewed(address, *run, sent);
      } else if (decoded.value().leases[i] == LeaseStatus::kRevoked) {
        OnRevoked(named[i].lease);
      }
    }
  }

  void OnRenewed(const net::Address& store, ItemRun& run, net::Time sent) {
    renewed_by_[run.lease()] = store;
    run.Extend(sent + span_);
    StartIfLeased(run);
  }

  void ArmTimer() {
    // None: an answer or another placement arms it.
    if (const std::optional<net::Time> next = offers_.NextRound()) timer_->ArmAt(*next);
  }

  // The next offer to that store goes out by then.
  void WantOffer(const net::Address& address, net::Time by) {
    offers_.Want(address, by);
    ArmTimer();
  }

  // --- Items ---

  void OnAssign(const net::Address& from, std::string_view body) {
    Result<Assign> decoded = Decode<Assign>(body);
    if (!decoded) return;
    Assign& assign = decoded.value();
    const LeaseId lease = assign.lease;
    if (runs_.Find(lease) != nullptr) return;
    ++counters_.assigned;
    DropOlderRun(assign.item);
    offers_.OnAssigned(from, loop_.Now() + kBusyInterval);
    ArmTimer();
    auto run =
        std::make_unique<ItemRun>(loop_, calls_, std::move(assign),
                                  [this](ItemRun& over, const RunEnd& end) { OnOver(over, end); });
    // The largest of late counts: it is forgotten over the next some ten items.
    typical_bytes_ = std::max(
        {kLeastItemBytes, run->body_bytes(), typical_bytes_ - typical_bytes_ / kBytesMemory});
    ItemRun& added = runs_.Add(std::move(run));
    if (draining_ || runs_.size() > kMostRuns) {
      added.HandBack();
      return;
    }
    // The store gave the lease after it had taken the newest offer that it has answered, since
    // messages of one connection keep their order.
    if (const std::optional<net::Time> offer_taken = offers_.LastOfferTaken(from)) {
      renewed_by_[lease] = from;
      added.Extend(*offer_taken + span_);
    }
    StartIfLeased(added);
    if (added.state() == ItemRun::State::kAwaitingLease) WantOffer(from, loop_.Now());
  }

  // A store gives an item again only if an older lease of it is over.
  void DropOlderRun(const ItemRef& item) {
    if (const std::optional<LeaseId> older = runs_.UnfinishedOf(item)) OnRevoked(*older);
  }

  void StartIfLeased(ItemRun& run) {
    if (run.state() == ItemRun::State::kAwaitingLease && run.lease_valid()) {
      run.Start(view_().configuration);
    }
  }

  void OnWorkWaits(const net::Address& from, std::string_view body) {
    const Result<WorkWaits> decoded = Decode<WorkWaits>(body);
    if (!decoded) return;
    offers_.OnWaiting(from, decoded.value().items);
    ArmTimer();
  }

  void OnRevoke(std::string_view body) {
    const Result<Revoke> decoded = Decode<Revoke>(body);
    if (decoded) OnRevoked(decoded.value().lease);
  }

  void OnRevoked(const LeaseId& lease) {
    const ItemRun* run = runs_.Find(lease);
    // What is over is still reported: a whole output is one whoever brings it.
    if (run == nullptr || run->state() == ItemRun::State::kReporting) return;
    ++counters_.revoked;
    Forget(lease);
  }

  // Cancels its call where there is one.
  void Forget(const LeaseId& lease) {
    runs_.Erase(lease);
    renewed_by_.erase(lease);
    TellIfDrained();
  }

  // Perhaps from inside an event of the run's call: the run must stay until the report is taken.
  void OnOver(ItemRun& run, const RunEnd& end) {
    Count(end.outcome);
    CountFirstEvent(run);
    if (end.refused) PauseAfterRefusal(end);
    StoreCaller::Question question;
    question.kind = kFinished;
    question.job = run.item().job;
    question.until = loop_.Now() + kRunReportTimeout;
    // The table keeps the run until `done`, and `reports_` lives no longer than this.
    question.encode = [this, lease = run.lease()](const JobRef& job) {
      Finished report = runs_.Find(lease)->Report();
      report.item.job = job;
      return Encode(report);
    };
    question.done = [this, lease = run.lease()](const Result<std::string>& answer) {
      OnReported(lease, answer);
    };
    reports_.Ask(std::move(question));
  }

  void OnReported(const LeaseId& lease, const Result<std::string>& answer) {
    const bool lost = !answer && (answer.error().code == ErrorCode::kUnknown ||
                                  answer.error().code == ErrorCode::kUnavailable);
    if (lost) {
      ++counters_.reports_lost;
      log::Warning("batch.run",
                   "no store took the report of a run in time: " + answer.error().text);
    } else if (answer) {
      ++counters_.reported;
      counters_.report_wait += runs_.Find(lease)->since_over();
    }
    Forget(lease);
  }

  void PauseAfterRefusal(const RunEnd& end) {
    milliseconds pause = kRefusalPause;
    if (end.retry_after_s) {
      const double asked_ms = std::clamp(*end.retry_after_s * 1000.0, 0.0,
                                         static_cast<double>(kLongestRefusalPause.count()));
      pause = std::max(pause, milliseconds(static_cast<std::int64_t>(asked_ms)));
    }
    refused_until_ = std::max(refused_until_, loop_.Now() + pause);
  }

  void Count(RunOutcome outcome) {
    switch (outcome) {
      case RunOutcome::kComplete:
        ++counters_.completed;
        return;
      case RunOutcome::kError:
        ++counters_.errors;
        return;
      case RunOutcome::kImpossible:
        ++counters_.impossible;
        return;
      case RunOutcome::kInterrupted:
        ++counters_.interrupted;
        return;
      case RunOutcome::kReturned:
        ++counters_.returned;
        return;
    }
  }

  void CountFirstEvent(const ItemRun& run) {
    const std::optional<net::Span> wait = run.first_event_wait();
    if (!wait) return;
    ++counters_.begun;
    counters_.first_event_wait += *wait;
  }

  void TellIfDrained() {
    if (draining_ && runs_.empty()) TellDrained();
  }
  void TellDrained() {
    if (drained_) loop_.Post(std::exchange(drained_, nullptr));
  }

  net::Loop& loop_;
  transport::Hub& hub_;
  proxy::Calls& calls_;
  ViewSource view_;
  Primaries primaries_;
  net::Span span_;
  StoreCaller reports_;
  net::TimerPtr timer_;
  OfferSchedule offers_;
  RunTable runs_;
  std::map<LeaseId, net::Address> renewed_by_;  // Which store renewed a lease last.
  net::Time refused_until_ = net::Time::min();
  std::size_t typical_bytes_ = kLeastItemBytes;  // Of the largest items seen lately.
  bool draining_ = false;
  net::TimerPtr drain_timer_;
  std::function<void()> drained_;
  Counters counters_;
};

Runner::Runner(net::Loop& loop, transport::Hub& hub, proxy::Calls& calls, ViewSource view,
               const Bounds& bounds)
    : impl_(std::make_shared<Impl>(loop, hub, calls, std::move(view), bounds)) {
  impl_->Begin();
}
Runner::~Runner() = default;
void Runner::OnPlacement() { impl_->OnPlacement(); }
void Runner::OnConfiguration() { impl_->OnConfiguration(); }
void Runner::Drain(std::function<void()> done) { impl_->Drain(std::move(done)); }
std::size_t Runner::runs() const { return impl_->runs(); }
const Runner::Counters& Runner::counters() const { return impl_->counters(); }

}  // namespace shelflink::batch
