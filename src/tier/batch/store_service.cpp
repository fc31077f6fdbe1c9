#include "tier/batch/store_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tier/foundation/log.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.store";
// The store counts a lease from when the offer came, the proxy from before it sent it; the store
// waits a little longer still before it hands the item to another.
constexpr milliseconds kLeaseMargin{500};
// Timers later than this: the process stood still.
constexpr milliseconds kStall{300};
// Between two rounds in which proxies are told that items wait.
constexpr milliseconds kTellInterval{20};
// Due times that lie closer together than this are handled in one wake-up.
constexpr milliseconds kWakeGrain{20};

Micros InMicros(milliseconds span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

JobBook::Options BookOptions(const Bounds& bounds, std::uint64_t issuer) {
  JobBook::Options options;
  options.lease_span = InMicros(LeaseSpan(bounds) + kLeaseMargin);
  options.status = InMicros(bounds.status);
  options.clock_skew = InMicros(bounds.max_skew);
  options.issuer = issuer;
  return options;
}

Error NotServing() { return MakeError(ErrorCode::kUnavailable, "not the partition's primary now"); }

const JobRef& JobOf(const Read& message) { return message.job; }
const JobRef& JobOf(const JobRef& message) { return message; }
const JobRef& JobOf(const ItemRef& message) { return message.job; }
const JobRef& JobOf(const Finished& message) { return message.item.job; }

}  // namespace

StoreService::StoreService(net::Loop& loop, transport::Hub& hub, PartitionReplicas& replicas,
                           Options options)
    : loop_(loop),
      hub_(hub),
      replicas_(replicas),
      options_(std::move(options)),
      clock_(loop),
      book_options_(BookOptions(options_.bounds, options_.issuer)),
      timer_(loop.NewTimer([this] { OnTimer(); })) {
  RegisterCalls();
  hub_.Watch([this](const transport::PeerIdentity& peer, bool up) {
    if (!up) room_.Close(peer.address);
  });
  replicas_.SetEvents(
      {[this](std::uint32_t partition, PartitionLog& log) { OnPrimary(partition, log); },
       [this](std::uint32_t partition) { OnLost(partition); }});
}

StoreService::~StoreService() {
  *alive_ = false;
  replicas_.SetEvents({});
}

// --- Calls --------------------------------------------------------------------------------------

template <typename Message>
void StoreService::HandleJobCall(
    MessageKind kind, std::function<void(PartitionServer&, const Message&, Reply)> handler) {
  hub_.HandleCall(kind, [this, handler = std::move(handler)](const transport::PeerIdentity&,
                                                             std::string_view body, Reply reply) {
    const Result<Message> message = Decode<Message>(body);
    if (!message) {
      reply(message.error());
      return;
    }
    const JobRef& job = JobOf(message.value());
    PartitionServer* server = Serving(job.partition, job.epoch);
    if (server == nullptr) {
      reply(NotServing());
      return;
    }
    handler(*server, message.value(), std::move(reply));
  });
}

void StoreService::RegisterCalls() {
  hub_.HandleCall(kSubmit, [this](const transport::PeerIdentity&, std::string_view body,
                                  const Reply& reply) { OnSubmit(body, reply); });
  HandleJobCall<Read>(kRead, [](PartitionServer& server, const Read& read, Reply reply) {
    server.OnRead(read, std::move(reply));
  });
  HandleJobCall<ItemRef>(kBody, [](PartitionServer& server, const ItemRef& item,
                                   const Reply& reply) { server.OnBody(item, reply); });
  HandleJobCall<JobRef>(kEnd, [](PartitionServer& server, const JobRef& job, Reply reply) {
    server.OnEnd(job, std::move(reply));
  });
  HandleJobCall<Finished>(kFinished,
                          [](PartitionServer& server, const Finished& finished, Reply reply) {
                            server.OnFinished(finished, std::move(reply));
                          });
  hub_.HandleCall(kOffer, [this](const transport::PeerIdentity& from, std::string_view body,
                                 const Reply& reply) {
    const Result<Offer> offer = Decode<Offer>(body);
    if (offer) {
      OnOffer(from, offer.value(), reply);
    } else {
      reply(offer.error());
    }
  });
  hub_.HandleCall(kAdopt, [this](const transport::PeerIdentity& from, std::string_view body,
                                 const Reply& reply) {
    const Result<Adopt> adopt = Decode<Adopt>(body);
    if (adopt) {
      OnAdopt(from, adopt.value(), reply);
    } else {
      reply(adopt.error());
    }
  });
}

void StoreService::OnSubmit(std::string_view body, const Reply& reply) {
  const bool entered = gate_.Enter(
      std::string(body), [this, reply](const std::string& begun) { BeginSubmit(begun, reply); });
  if (entered) return;
  ++counters_.busy;
  reply(MakeError(ErrorCode::kUnavailable, "too many submissions are under way"));
}

void StoreService::BeginSubmit(const std::string& body, const Reply& reply) {
  Reply leave_and_reply = [this, reply, size = body.size(),
                           alive = alive_](Result<std::string> answer) {
    reply(std::move(answer));
    if (!*alive) return;
    loop_.Post([this, size, alive] {
      if (*alive) gate_.Leave(size);
    });
  };
  const Result<Submit> submit = Decode<Submit>(body);
  if (!submit) {
    leave_and_reply(submit.error());
    return;
  }
  const JobRef& job = submit.value().job;
  PartitionServer* server = Serving(job.partition, job.epoch);
  if (server == nullptr) {
    leave_and_reply(NotServing());
    return;
  }
  server->OnSubmit(submit.value(), std::move(leave_and_reply));
}

PartitionServer* StoreService::Serving(std::uint32_t partition, std::uint64_t epoch) {
  const auto found = served_.find(partition);
  if (found == served_.end()) return nullptr;
  const Served& served = found->second;
  if (!served.log->serving() || epoch > served.log->epoch()) return nullptr;
  return served.server.get();
}

void StoreService::OnOffer(const transport::PeerIdentity& from, const Offer& offer,
                           const Reply& reply) {
  const JobBook::Holder holder{from.address, from.incarnation};
  for (auto& [partition, served] : served_) served.server->OnProxy(holder);
  OfferAnswer answer;
  for (const HeldLease& held : offer.held) {
    PartitionServer* server = Serving(held.partition, 0);
    answer.held.push_back(server == nullptr ? LeaseStatus::kNotPrimary
                                            : server->OnHeld(holder, held));
  }
  const std::vector<Assign> assigned = Lease(from.address, offer.items);
  answer.assigned = static_cast<std::uint32_t>(assigned.size());
  answer.waiting = static_cast<std::uint32_t>(Runnable());
  room_.OnOffer(from.address, offer.room, answer.waiting);
  reply(Encode(answer));
  // Behind the answer: it is what vouches for their leases (Runner::OnAssign).
  for (const Assign& assign : assigned) hub_.Send(from.address, kAssign, Encode(assign));
  ScheduleWork();
}

void StoreService::OnAdopt(const transport::PeerIdentity& from, const Adopt& adopt,
                           const Reply& reply) {
  const JobBook::Holder holder{from.address, from.incarnation};
  AdoptAnswer answer;
  for (const Adoption& adoption : adopt.leases) {
    const JobRef& job = adoption.item.job;
    PartitionServer* server = Serving(job.partition, job.epoch);
    answer.leases.push_back(server == nullptr ? LeaseStatus::kNotPrimary
                                              : server->OnAdopt(holder, adoption));
  }
  reply(Encode(answer));
  ScheduleWork();
}

// --- Partitions ---------------------------------------------------------------------------------

void StoreService::OnPrimary(std::uint32_t partition, PartitionLog& log) {
  OnLost(partition);
  CorrectClock();
  PartitionServer::Events events;
  events.work = [this] { ScheduleWork(); };
  events.failed = [this, partition, issuer = book_options_.issuer + 1] {
    LoadLater(partition, issuer);
  };
  ++book_options_.issuer;  // Each book counts its leases from the start.
  auto server = std::make_unique<PartitionServer>(loop_, clock_, partition, log, book_options_,
                                                  counters_, std::move(events));
  const Result<void> loaded = server->Load();
  if (!loaded) {
    log::Line(
        log::Level::kError, kLogName,
        "partition " + std::to_string(partition) + " cannot be served: " + loaded.error().text);
    return;
  }
  server->SetRoutes(routes_);
  log::Info(kLogName, "partition " + std::to_string(partition) + ": primary under row " +
                          std::to_string(log.epoch()) + ", " +
                          std::to_string(server->book().jobs()) + " jobs");
  served_[partition] = {&log, std::move(server), book_options_.issuer};
  ScheduleWork();
}

void StoreService::OnLost(std::uint32_t partition) {
  if (served_.erase(partition) == 0) return;
  log::Info(kLogName, "partition " + std::to_string(partition) + ": no longer the primary");
}

void StoreService::LoadLater(std::uint32_t partition, std::uint64_t issuer) {
  loop_.Post([this, partition, issuer, alive = alive_] {
    if (!*alive) return;
    const auto found = served_.find(partition);
    if (found != served_.end() && found->second.issuer == issuer) replicas_.LeadAnew(partition);
  });
}

void StoreService::OnConfiguration(const configuration::Configuration& configuration) {
  routes_.clear();
  for (const configuration::Route& route : configuration.routes) {
    if (route.kind == configuration::RouteKind::kBatch) routes_.insert(route.name);
  }
  for (auto& [partition, served] : served_) served.server->SetRoutes(routes_);
  ScheduleWork();
}

StoreService::Counts StoreService::counts() const {
  Counts counts;
  for (const auto& [partition, served] : served_) {
    const JobBook& book = served.server->book();
    counts.jobs += book.jobs();
    counts.items_waiting += book.waiting();
    counts.items_overdue += served.server->Overdue();
    counts.items_leased += book.leases();
  }
  return counts;
}

std::uint64_t StoreService::queued_tokens() const {
  std::uint64_t tokens = 0;
  for (const auto& [partition, served] : served_) tokens += served.server->book().queued_tokens();
  return tokens;
}

// --- Hand-out -----------------------------------------------------------------------------------

void StoreService::ScheduleWork() {
  if (work_posted_) return;
  work_posted_ = true;
  loop_.Post([this, alive = alive_] {
    if (*alive) Work();
  });
}

void StoreService::Work() {
  work_posted_ = false;
  SendRevocations();
  TellOfWaiting();
  ArmTimer();
}

void StoreService::TellOfWaiting() {
  const net::Time now = loop_.Now();
  if (tell_at_ && now < *tell_at_) return;
  tell_at_.reset();
  const std::size_t waiting = Runnable();
  if (waiting == 0) return;
  const std::string message = Encode(WorkWaits{static_cast<std::uint32_t>(waiting)});
  const std::vector<net::Address> told = room_.Tell(waiting);
  for (const net::Address& proxy : told) hub_.Send(proxy, kWorkWaits, message);
  // Those told may have no room; then others hear of it soon.
  if (!told.empty()) tell_at_ = now + kTellInterval;
}

void StoreService::SendRevocations() {
  for (auto& [partition, served] : served_) {
    for (const JobBook::Revocation& revocation : served.server->TakeRevocations()) {
      hub_.Send(revocation.to, kRevoke, Encode(Revoke{partition, revocation.lease}));
    }
  }
}

std::vector<Assign> StoreService::Lease(const net::Address& proxy, std::uint32_t most) {
  std::vector<Assign> leased;
  if (most == 0) return leased;
  most = std::min(most, room_.MostOfOneOffer(Runnable()));
  while (leased.size() < most) {
    std::optional<Assign> assign = LeaseOne(proxy);
    if (!assign) break;
    leased.push_back(std::move(*assign));
  }
  return leased;
}

std::optional<Assign> StoreService::LeaseOne(const net::Address& proxy) {
  auto next = served_.upper_bound(last_lent_);
  for (std::size_t tried = 0; tried < served_.size(); ++tried) {
    if (next == served_.end()) next = served_.begin();
    Served& served = next->second;
    if (served.log->serving()) {
      if (std::optional<Assign> assign = served.server->LeaseNext(proxy)) {
        last_lent_ = next->first;
        return assign;
      }
    }
    ++next;
  }
  return std::nullopt;
}

std::size_t StoreService::Runnable() const {
  std::size_t runnable = 0;
  for (const auto& [partition, served] : served_) {
    if (served.log->serving()) runnable += served.server->Runnable();
  }
  return runnable;
}

// --- Time ---------------------------------------------------------------------------------------

void StoreService::CorrectClock() {
  const Micros moved = clock_.Correct(options_.time_of_day());
  if (moved == 0) return;
  for (auto& [partition, served] : served_) served.server->OnStall(moved);
}

void StoreService::OnTimer() {
  armed_ = false;
  const net::Span late = loop_.Now() - armed_for_;
  CorrectClock();
  for (auto& [partition, served] : served_) {
    if (late > kStall) {
      served.server->OnStall(std::chrono::duration_cast<std::chrono::microseconds>(late).count());
    }
    served.server->OnTick();
  }
  ScheduleWork();
}

void StoreService::ArmTimer() {
  std::optional<net::Time> wake;
  for (const auto& [partition, served] : served_) {
    const std::optional<net::Time> at = served.server->NextWake();
    if (at && (!wake || *at < *wake)) wake = at;
  }
  if (tell_at_ && (!wake || *tell_at_ < *wake)) wake = tell_at_;
  if (!wake) return;
  const net::Time at = std::max(*wake, loop_.Now()) + kWakeGrain;
  if (armed_ && armed_for_ <= at) return;
  armed_ = true;
  armed_for_ = at;
  timer_->ArmAt(at);
}

}  // namespace shelflink::batch
