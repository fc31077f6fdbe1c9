#include "lab/loadrun.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <utility>

#include "lab/clock.h"

namespace shelflab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Micros kLeftOut = kSecond;

}  // namespace

std::optional<Caller::Endpoint> Front::Next(Micros now) {
  if (targets_.empty()) return std::nullopt;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const std::size_t n = turn_++ % targets_.size();
    if (out_until_[n] <= now) return targets_[n];
  }
  return targets_[turn_++ % targets_.size()];
}

void Front::Tell(std::size_t target, bool in) {
  told_ = true;
  out_until_[target] = in ? 0 : kNever;
}

void Front::Unreached(const Caller::Endpoint& target, Micros now) {
  if (told_) return;
  for (std::size_t n = 0; n < targets_.size(); ++n) {
    if (targets_[n] == target) out_until_[n] = now + kLeftOut;
  }
}

std::uint32_t Front::PlaceOf(const Caller::Endpoint& target) const {
  const auto it = std::find(targets_.begin(), targets_.end(), target);
  return static_cast<std::uint32_t>(it - targets_.begin());
}

struct LoadRun::Client {
  Client(asio::io_context& io, const ClientHabits& h) : habits(h), timer(io) {}
  ClientHabits habits;
  asio::steady_timer timer;
  std::shared_ptr<Caller> caller;
  Caller::Endpoint target;
  Arrival arrival;
  std::uint32_t tries = 0;
  std::uint32_t refusals = 0;
};

LoadRun::LoadRun(asio::io_context& io, const Plan& plan, std::vector<Caller::Endpoint> targets,
                 std::uint64_t seed, const SeenSink& seen)
    : io_(io),
      plan_(plan),
      front_(std::move(targets)),
      arrivals_(plan_.load, plan_.fleet, seed),
      random_(seed, 0x10ad),
      tally_(plan_.experiment.window, plan_.load.Length(), plan_.fleet),
      timer_(io) {
  for (std::uint32_t i = 0; i < plan_.load.client.clients; ++i) {
    Client& c = *clients_.emplace_back(
        std::make_unique<Client>(io_, ClientHabits(plan_.load.client, random_)));
    c.caller = std::make_shared<Caller>(
        io_,
        [this, &c]() -> std::optional<Caller::Endpoint> {
          auto target = front_.Next(Now());
          if (target) c.target = *target;
          return target;
        },
        // Who it is that the client speaks to is known here alone.
        [this, &c, seen](const Seen& s) {
          Seen told = s;
          told.sidecar = front_.PlaceOf(c.target);
          seen(told);
        });
    idle_.push_back(&c);
  }
}

LoadRun::~LoadRun() {
  try {
    for (auto& c : clients_) c->caller->Stop();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "shelflab: stopping the load: %s\n", e.what());
  }
}

void LoadRun::Start(Micros start, std::function<void()> done) {
  start_ = start;
  done_ = std::move(done);
  next_ = arrivals_.Next();
  Next();
}

void LoadRun::Connect() {
  for (const auto& c : clients_) c->caller->Connect();
}

void LoadRun::Stop() {
  stopped_ = true;
  next_.reset();
  waiting_.clear();
  timer_.cancel();
  CheckDone();
}

void LoadRun::Next() {
  if (!next_ || stopped_) return CheckDone();
  timer_.expires_at(At(start_ + next_->at));
  timer_.async_wait([this](error_code ec) {
    if (ec || stopped_) return;
    // All that is due by now: one wake-up may find several.
    while (next_ && start_ + next_->at <= Now()) {
      Arrive(*next_);
      next_ = arrivals_.Next();
    }
    Next();
  });
}

void LoadRun::Arrive(const Arrival& arrival) {
  ++arrived_;
  if (idle_.empty()) {
    ++starved_;
    waiting_.push_back(arrival);
    return;
  }
  Client* client = idle_.front();
  idle_.pop_front();
  late_.Add(Now() - start_ - arrival.at);
  Begin(*client, arrival);
}

void LoadRun::Begin(Client& client, const Arrival& arrival) {
  client.arrival = arrival;
  client.tries = client.refusals = 0;
  Try(client);
}

void LoadRun::Try(Client& client) {
  const Micros now = Now();
  const ClassSpec& cls = plan_.fleet.classes[client.arrival.cls];
  const Micros left = start_ + client.arrival.at + cls.give_up - now;
  if (left <= 0) return End(client, TryEnd::kTimedOut, now);
  ++client.tries;
  CallRequest request;
  request.txn = random_.Bits();
  request.cls = &cls;
  request.cls_index = client.arrival.cls;
  if (!plan_.fleet.tenants.empty())
    request.tenant = plan_.fleet.tenants[client.arrival.tenant].name;
  request.due = now + client.habits.Patience(cls, left);
  client.caller->Call(request, [this, &client](const CallResult& r) { Tried(client, r); });
}

void LoadRun::Tried(Client& client, const CallResult& result) {
  const Micros now = Now();
  if (result.end == TryEnd::kUnreached) front_.Unreached(client.target, now);
  if (result.end == TryEnd::kRefused) ++client.refusals;
  const ClassSpec& cls = plan_.fleet.classes[client.arrival.cls];
  const Micros left = start_ + client.arrival.at + cls.give_up - now;
  const auto pause = client.habits.Retry(cls, result.end, client.tries, left, result.advice);
  if (!pause || stopped_) return End(client, result.end, result.at);
  client.timer.expires_at(At(now + *pause));
  client.timer.async_wait([this, &client](error_code ec) {
    if (!ec) Try(client);
  });
}

void LoadRun::End(Client& client, TryEnd end, Micros at) {
  ++ended_;
  tally_.Add({client.arrival, at - start_ - client.arrival.at, end, client.tries, client.refusals});
  if (!waiting_.empty()) {
    const Arrival next = waiting_.front();
    waiting_.pop_front();
    return Begin(client, next);
  }
  idle_.push_back(&client);
  CheckDone();
}

void LoadRun::CheckDone() {
  if (next_ || !waiting_.empty() || idle_.size() != clients_.size() || !done_) return;
  std::exchange(done_, nullptr)();
}

std::uint64_t LoadRun::connections() const {
  std::uint64_t sum = 0;
  for (const auto& c : clients_) sum += c->caller->connections();
  return sum;
}

}  // namespace shelflab
