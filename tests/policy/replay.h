// Random event sequences for gaugecart's decision module, generated from a seed, and a digest of
// every resulting action. Two builds of the module decide alike if their digests are equal.
#ifndef GAUGECART_TESTS_POLICY_REPLAY_H_
#define GAUGECART_TESTS_POLICY_REPLAY_H_

#include <array>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

#include "draws.h"
#include "gaugecart/choice.h"

namespace gaugecart::testing {

// FNV-1a over 64-bit words.
class Digest {
 public:
  void Add(std::uint64_t word) {
    for (int byte = 0; byte < 8; ++byte) {
      value_ = (value_ ^ ((word >> (8 * byte)) & 0xff)) * 0x100000001b3ULL;
    }
  }
  void AddDouble(double number) {
    std::uint64_t word = 0;
    std::memcpy(&word, &number, sizeof word);
    Add(word);
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

class Replay : public Actions {
 public:
  explicit Replay(std::uint64_t seed)
      : draws_(Mix(seed)),
        settings_(RandomSettings()),
        answer_time_(2'000 + Below(400'000)),
        balancer_(settings_, seed, this, now_) {
    for (std::size_t i = 0; i < 2 + Below(30); ++i) endpoints_.push_back(NewEndpoint());
    balancer_.OnEndpoints(now_, ListKind::kFull, endpoints_);
  }

  std::uint64_t Run(int events) {
    for (int i = 0; i < events; ++i) Step();
    const LearnedState state = balancer_.Export(now_);
    digest_.AddDouble(state.limit);
    for (const LearnedState::Ejection& ejection : state.ejections) digest_.Add(ejection.endpoint);
    return digest_.value();
  }

  void Send(RequestId request, EndpointId endpoint, Micros timeout,
            std::optional<Micros> write_by) override {
    Note(1, request, endpoint, timeout);
    digest_.Add(static_cast<std::uint64_t>(write_by.value_or(-1)));
    const auto attempt = static_cast<std::uint32_t>(attempts_[request]++);
    const bool slow = endpoint % 7 == 3 && phase_ % 2 == 1;
    const auto span = static_cast<Micros>(static_cast<double>(answer_time_) *
                                          (0.4 + 1.2 * draws_.Unit()) * (slow ? 6.0 : 1.0));
    in_flight_.emplace(now_ + std::min(span, timeout),
                       InFlight{request, attempt, endpoint, now_, span >= timeout});
  }
  void Refuse(RequestId request, Micros advice) override { Note(2, request, 0, advice); }
  void Fail(RequestId request) override { Note(3, request, 0, 0); }
  void Cancel(RequestId request, std::uint32_t attempt) override { Note(4, request, attempt, 0); }
  void SetTimer(Micros at, std::uint64_t mark) override {
    Note(5, mark, 0, at);
    timer_ = at;
  }
  void Follow() override { Note(6, 0, 0, 0); }
  void Refresh() override { Note(7, 0, 0, 0); }
  void Log(const std::string&) override {}

 private:
  struct InFlight {
    RequestId request;
    std::uint32_t attempt;
    EndpointId endpoint;
    Micros sent;
    bool timed_out;
  };

  std::uint64_t Below(std::uint64_t bound) { return draws_.Word() % bound; }
  bool Chance(double part) { return draws_.Unit() < part; }

  void Note(std::uint64_t kind, std::uint64_t a, std::uint64_t b, Micros span) {
    digest_.Add(kind);
    digest_.Add(a);
    digest_.Add(b);
    digest_.Add(static_cast<std::uint64_t>(span));
  }

  Settings RandomSettings() {
    Settings s;
    for (std::size_t i = 0; i < 1 + Below(3); ++i) {
      ClassSettings c;
      c.aim = static_cast<Micros>(20'000 + Below(600'000));
      c.give_up = c.aim * static_cast<Micros>(2 + Below(8));
      c.repeat =
          std::array{Repeat::kIdempotent, Repeat::kDeduplicated, Repeat::kAtMostOnce}[Below(3)];
      c.group = std::array{DedupGroup::kAll, DedupGroup::kZone, DedupGroup::kCell}[Below(3)];
      c.dedup_window = static_cast<Micros>(Below(2'000'000));
      s.classes.push_back(c);
    }
    for (std::size_t i = 0; i < Below(6); ++i) {
      s.tenants.push_back({Chance(0.5) ? 5.0 + 200.0 * draws_.Unit() : 0.0, draws_.Unit()});
    }
    s.group_size = 1 + static_cast<std::uint32_t>(Below(20));
    s.me = static_cast<std::uint32_t>(Below(s.group_size));
    s.zone = static_cast<std::int32_t>(Below(4)) - 1;
    s.tier = static_cast<std::uint32_t>(Below(3));
    s.discovery_by_ask = Chance(0.5);
    s.weights_are_sizes = Chance(0.3);
    s.tail_counts = Chance(0.5);
    s.may_duplicate = Chance(0.2);
    s.may_advise = Chance(0.7);
    s.max_attempts = 1 + static_cast<std::uint32_t>(Below(4));
    if (Chance(0.2)) s.max_pending = 8 + Below(60);
    s.max_advice = static_cast<Micros>(Below(500'000));
    s.keepalive = Chance(0.5) ? 500'000 : 0;
    s.cold_from = 0.1 + 0.9 * draws_.Unit();
    s.warm_up = Chance(0.7) ? static_cast<Micros>(Below(8'000'000)) : 0;
    s.fall_multiple = 0.5 + 3.0 * draws_.Unit();
    return s;
  }

  Endpoint NewEndpoint() {
    Endpoint e;
    e.id = next_endpoint_++;
    e.hash = Mix(draws_.Word());
    e.size = 0.5 + 2.0 * draws_.Unit();
    e.zone = static_cast<std::int32_t>(Below(3));
    e.cell = static_cast<std::int64_t>(Below(5));
    e.launched = now_ > 0 && Chance(0.6) ? now_ : 0;
    return e;
  }

  void Step() {
    if (Below(400) == 0) ++phase_;  // Phases with and without faults alternate.
    const Micros until = now_ + static_cast<Micros>(Below(phase_ % 3 == 2 ? 4'000 : 60'000));
    RunUntil(until);
    const std::uint64_t choice = Below(100);
    if (choice < 88) return SendRequest();
    if (choice < 91) return ChangeList();
    if (choice < 94) return ReceiveFirstByte();
    if (choice < 97) return balancer_.OnAbandoned(now_, 1 + Below(last_request_ + 1));
    if (choice < 98) return balancer_.OnDiscoveryFailed(now_);
    if (choice < 99) return RestoreState();
    digest_.Add(balancer_.CountAvoided(now_));
  }

  // Delivers the answers and timers due by then, in order of time.
  void RunUntil(Micros until) {
    for (;;) {
      const Micros answer = in_flight_.empty() ? until + 1 : in_flight_.begin()->first;
      const Micros next = std::min(answer, timer_);
      if (next > until) break;
      now_ = std::max(now_, next);
      if (timer_ <= answer) {
        timer_ = kNever;
        balancer_.OnTimer(now_, 0);
      } else {
        const InFlight attempt = in_flight_.begin()->second;
        in_flight_.erase(in_flight_.begin());
        balancer_.OnOutcome(now_, OutcomeOf(attempt));
      }
    }
    now_ = until;
  }

  gaugecart::Outcome OutcomeOf(const InFlight& attempt) {
    gaugecart::Outcome o;
    o.request = attempt.request;
    o.attempt = attempt.attempt;
    o.endpoint = attempt.endpoint;
    o.rtt = now_ - attempt.sent;
    const bool failing = attempt.endpoint % 5 == 1 && phase_ % 4 == 3;
    o.code = OutcomeCode::kOk;
    if (attempt.timed_out) {
      o.code = OutcomeCode::kTimeout;
    } else if (Chance(failing ? 0.8 : 0.04)) {
      o.code = std::array{OutcomeCode::kError,     OutcomeCode::kFull, OutcomeCode::kConnectFailed,
                          OutcomeCode::kReset,     OutcomeCode::kFull, OutcomeCode::kNeverSent,
                          OutcomeCode::kCancelled, OutcomeCode::kError}[Below(8)];
    }
    o.closed = o.code == OutcomeCode::kOk || Chance(0.1);
    return o;
  }

  void SendRequest() {
    Request r;
    r.id = Chance(0.01) && last_request_ > 0 ? last_request_ : ++last_request_;
    r.priority_level = static_cast<std::uint32_t>(Below(settings_.classes.size()));
    if (!settings_.tenants.empty() && Chance(0.9)) {
      // A few tenants send most requests.
      const double place = draws_.Unit();
      r.tenant =
          static_cast<std::uint32_t>(place * place * static_cast<double>(settings_.tenants.size()));
    }
    const Micros give_up = settings_.classes[r.priority_level].give_up;
    r.due = now_ + give_up / 8 + static_cast<Micros>(Below(static_cast<std::uint64_t>(give_up)));
    balancer_.OnRequest(now_, r);
  }

  void ChangeList() {
    const std::uint64_t choice = Below(6);
    if (choice == 0 && endpoints_.size() < 60) endpoints_.push_back(NewEndpoint());
    Endpoint& e = endpoints_[Below(endpoints_.size())];
    if (choice == 1) e.launched = now_;
    if (choice == 2) e.availability = Availability::kDraining;
    if (choice == 3) e.availability = Availability::kGone;
    if (choice == 4) e.availability = Availability::kReady;
    if (Chance(0.5)) return balancer_.OnEndpoints(now_, ListKind::kChanges, {e});
    balancer_.OnEndpoints(now_, Chance(0.8) ? ListKind::kFull : ListKind::kStale, endpoints_);
  }

  void ReceiveFirstByte() {
    if (in_flight_.empty()) return;
    const InFlight& attempt =
        std::next(in_flight_.begin(), static_cast<std::ptrdiff_t>(Below(in_flight_.size())))
            ->second;
    balancer_.OnFirstByte(now_, attempt.request, attempt.attempt);
  }

  void RestoreState() {
    LearnedState state;
    state.limit = 40.0 * draws_.Unit();
    const Endpoint& e = endpoints_[Below(endpoints_.size())];
    state.ejections.push_back({e.id, e.launched, static_cast<Micros>(Below(5'000'000)), 2});
    balancer_.Restore(now_, state);
  }

  static constexpr Micros kNever = std::numeric_limits<Micros>::max();

  Draws draws_;
  Settings settings_;
  Micros answer_time_;
  Micros now_ = 0;
  Micros timer_ = kNever;
  Digest digest_;
  std::uint64_t phase_ = 0;
  RequestId last_request_ = 0;
  EndpointId next_endpoint_ = 0;
  std::vector<Endpoint> endpoints_;
  std::multimap<Micros, InFlight> in_flight_;
  std::map<RequestId, int> attempts_;
  Balancer balancer_;
};

}  // namespace gaugecart::testing

#endif  // GAUGECART_TESTS_POLICY_REPLAY_H_
