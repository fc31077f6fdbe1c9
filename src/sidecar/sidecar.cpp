#include "sidecar/sidecar.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_set>

#include "sidecar/mutant.h"

namespace kelpspring {

namespace beast = boost::beast;
namespace http = beast::http;
using gaugecart::Availability;
using gaugecart::EndpointId;
using gaugecart::ListKind;
using gaugecart::OutcomeCode;

namespace {

// Descriptors that are neither clients' nor endpoints': listener, event loop, discovery, logs.
constexpr std::size_t kOwnSockets = 24;
// How long a process that takes over waits for the present list of endpoints; then the one that it
// was started with must do, as for any start.
constexpr auto kSettleSpan = std::chrono::milliseconds(1500);
constexpr std::int64_t kLongestMs = 3'600'000;
// An answer needs a moment to get out: all ends this much before the client's time does.
constexpr gaugecart::Micros kAnswerMargin = 10'000;
// The least silence that ends what goes in parts; else it is the longest that a caller waits.
constexpr net::Span kLeastSilence = std::chrono::seconds(2);

template <typename T>
std::optional<T> Number(beast::string_view word, int base = 10) {
  T value{};
  const char* end = word.data() + word.size();
  const auto r = std::from_chars(word.data(), end, value, base);
  if (r.ec != std::errc() || r.ptr != end) return std::nullopt;
  return value;
}

// The headers of a request that mean something to an endpoint. It goes on built anew from these, so
// that nothing else of what a client has sent reaches anyone.
constexpr std::array<const char*, 9> kPassedOn = {"Host",       "X-Txn",    "X-Lane",
                                                  "X-Org",      "X-Entity", "X-Resent",
                                                  "X-Estimate", "X-Labels", "Idempotency-Key"};

const char* WordOf(OutcomeCode code) {
  switch (code) {
    case OutcomeCode::kOk:
      return "ok";
    case OutcomeCode::kError:
      return "error";
    case OutcomeCode::kFull:
      return "full";
    case OutcomeCode::kTimeout:
      return "timeout";
    case OutcomeCode::kConnectFailed:
      return "connect_failed";
    case OutcomeCode::kReset:
      return "reset";
    case OutcomeCode::kCancelled:
      return "cancelled";
    case OutcomeCode::kNeverSent:
      return "never_sent";
  }
  return "unknown";
}

// Of the list that it starts with: how much of the time for which it may be used is left.
double FreshnessOf(const Config& config) {
  if (!config.known_age || !config.state) return 0;
  const auto age = static_cast<double>(config.known_age->count());
  return std::max(0.0, 1.0 - age / static_cast<double>(config.state->list_age.count()));
}

// What is pushed counts as told at once: of the time in which sends must end then, a dial and the
// pause before it may each take this part. 0 where lists are asked for.
gaugecart::Micros PushedWithin(const gaugecart::Settings& settings) {
  constexpr gaugecart::Micros kLeast = 20'000;
  return settings.discovery_by_ask ? 0 : std::max(kLeast, settings.drain_grace / 4);
}

// An endpoint's answer with its head built anew: framing and extras are between it and us.
HttpResponse FromEndpoint(const HttpResponse& answer) {
  HttpResponse response{http::status::ok, 11};
  if (const auto type = answer[http::field::content_type]; !type.empty()) {
    response.set(http::field::content_type, type);
  }
  return response;
}

}  // namespace

std::optional<gaugecart::LoadReport> ParseLoad(std::string_view text) {
  gaugecart::LoadReport report;
  bool any = false;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = part.substr(0, equals);
    const std::string_view word = part.substr(equals + 1);
    double value = 0;
    const auto r = std::from_chars(word.data(), word.data() + word.size(), value);
    if (r.ec != std::errc() || r.ptr != word.data() + word.size() || !(value >= 0)) continue;
    // Endpoints use either set of names.
    std::optional<double>* field = name == "inflight" || name == "active" ? &report.in_flight
                                   : name == "queue" || name == "waiting" ? &report.queued
                                   : name == "util" || name == "cpu"      ? &report.utilisation
                                                                          : nullptr;
    if (field == nullptr) continue;
    *field = value;
    any = true;
  }
  return any ? std::optional(report) : std::nullopt;
}

Sidecar::Sidecar(net::Loop& loop, Config config, Wiring wiring)
    : loop_(loop),
      log_(loop, std::move(wiring.sink), config.traced),
      config_(std::move(config)),
      start_(loop.Now()),
      // Unix time once, so that endpoints' start times compare; from then on a clock no step moves.
      epoch_(loop.WallMicros()),
      budget_{config_.sockets - kOwnSockets - wiring.set_aside, 0, nullptr, nullptr},
      most_sockets_(budget_.limit),
      settled_(wiring.inherited == nullptr),
      upstream_(loop, log_, budget_, std::chrono::microseconds(config_.setup.settings.keepalive),
                std::chrono::microseconds(config_.setup.connect_timeout), *this,
                [this] { return MostBody(); }),
      discovery_(
          loop, log_, config_.discovery,
          // One that takes over wants the whole present list, not the next change.
          settled_ && !config_.known.members.empty() ? std::optional(config_.known.seq)
                                                     : std::nullopt,
          {config_.setup.settings.me, config_.setup.settings.group_size,
           config_.setup.settings.ask_within, !config_.known.members.empty(), FreshnessOf(config_),
           config_.seed, PushedWithin(config_.setup.settings)},
          [this](const MemberList& list) { OnDiscovery(list); }, [this] { OnDiscoveryFailed(); }),
      observer_(wiring.observer),
      told_list_(std::move(wiring.on_list)),
      timer_(loop.NewTimer([this] { TimerFired(); })),
      settle_timer_(loop.NewTimer([this] { Settle(); })) {
  // An eighth of the places is left for those who are to be refused.
  if (!Mutated(Mutant::kHoldAll)) {
    config_.setup.settings.max_pending = Server::MostClients(budget_.limit) / 8 * 7;
  }
  if (Mutated(Mutant::kManyAttempts)) config_.setup.settings.max_attempts = 9;
  if (Mutated(Mutant::kNoBudget)) budget_.limit = 100'000;
  Run([this] {
    balancer_ = std::make_unique<gaugecart::Balancer>(
        config_.setup.settings, config_.seed, static_cast<gaugecart::Actions*>(this), Now());
  });
  log_.Trace([&] {
    const gaugecart::Settings& own = config_.setup.settings;
    return "start " + config_.name + " tier " + std::to_string(own.tier) + " number " +
           std::to_string(own.me) + " of " + std::to_string(own.group_size);
  });
  OnList(ListKind::kStale, config_.known);
  if (config_.lesson) Recall(*config_.lesson);
  server_ = std::make_unique<Server>(
      loop, log_, settled_ ? loop.Listen(config_.listen) : std::move(wiring.inherited), budget_,
      drain_, [this] { return CanServe(); }, [this] { return MostBody(); },
      [this](const std::shared_ptr<Client>& client, HttpRequest message, Arrival arrival) {
        OnRequest(client, std::move(message), arrival);
      });
  if (settled_) {
    server_->Open();
  } else {
    settle_timer_->ArmAt(loop.Now() + kSettleSpan);
  }
  if (config_.peers) OpenPeers();
  // One that takes over is alone in that; others may start with all of their group.
  settled_ ? discovery_.Begin() : discovery_.Watch();
}

Lesson Sidecar::Learned() const {
  const gaugecart::LearnedState learned = balancer_->Export(Now());
  Lesson lesson{learned.limit, {}};
  for (const auto& s : learned.ejections) {
    lesson.shunned.push_back({NameOf(s.endpoint), s.launched, s.remaining, s.strikes});
  }
  return lesson;
}

void Sidecar::Recall(const Lesson& lesson) {
  log_.Trace([&] { return "recall " + WordsOf(lesson); });
  gaugecart::LearnedState learned{lesson.limit, {}};
  for (const auto& s : lesson.shunned) {
    for (const auto& [id, host] : hosts_) {
      if (host == s.host) learned.ejections.push_back({id, s.born, s.left, s.strikes});
    }
  }
  Run([this, learned = std::move(learned)] { balancer_->Restore(Now(), learned); });
}

void Sidecar::OpenPeers() {
  const PeerSettings& own = *config_.peers;
  peers::Channel::Setup setup;
  setup.listen = own.listen;
  setup.others = own.others;
  setup.fleet = gaugecart::HashOfWord(own.fleet);
  setup.shared_address = !settled_;
  setup.terms.seed = config_.seed;
  setup.terms.list_age = own.list_age.count();
  setup.terms.ask_within = config_.setup.settings.ask_within;
  if (Mutated(Mutant::kHearAnyAge)) setup.terms.list_age *= 1000;
  peers_ = std::make_unique<peers::Channel>(
      loop_, std::move(setup), [this](const peers::Heard& heard) { return OnHeard(heard); });
  // Of a list of unknown age nothing is told to others.
  if (has_members_ && config_.known_age) {
    Offer(loop_.LastingMicros() - config_.known_age->count());
  }
  peers_->Begin(has_members_ ? std::optional(config_.known.seq) : std::nullopt);
}

void Sidecar::OnDiscovery(const MemberList& list) {
  if (peers_) peers_->OnDiscoveryAnswered(list.seq);
  if (!OlderThanPeers(list)) {
    OnList(list.whole ? ListKind::kFull : ListKind::kChanges, list);
    if (peers_) Offer(list.asked);
  }
  Settle();
  if (told_list_) told_list_(list);
}

void Sidecar::OnDiscoveryFailed() {
  if (peers_) peers_->OnDiscoveryFailed();
  Run([this] { balancer_->OnDiscoveryFailed(Now()); });
}

// An answer may have been on its way while others were told more. Discovery goes on from what it
// said, so that nothing is lost with it. If it says the same to a question asked since, it has gone
// back itself, and it is the one that numbers lists.
bool Sidecar::OlderThanPeers(const MemberList& list) {
  if (!heard_ || list.seq >= *heard_) {
    heard_.reset();
    return false;
  }
  if (list.whole && asked_anew_) {
    log_.Line("discovery has gone back to list " + std::to_string(list.seq));
    heard_.reset();
    peers_->Begin(list.seq);
    return false;
  }
  if (!std::exchange(asked_anew_, true)) discovery_.Fetch();
  return true;
}

bool Sidecar::OnHeard(const peers::Heard& heard) {
  MemberList list;
  try {
    list = ParseMembers(nlohmann::json::parse(heard.text));
  } catch (const std::exception& e) {
    log_.Line(std::string("a peer's list: ") + e.what());
    return false;
  }
  if (!list.whole || list.seq != heard.version || list.members.empty()) {
    log_.Line("a peer's list: expected a whole one of version " + std::to_string(heard.version));
    return false;
  }
  if (has_members_ && list.seq <= version_) return false;
  log_.Line("list " + std::to_string(list.seq) + " from " +
            config_.peers->others[heard.peer].Text());
  log_.Trace([&] {
    return "heard " + std::to_string(list.seq) + " held " +
           std::to_string(loop_.WallMicros() - (loop_.LastingMicros() - heard.held_at));
  });
  heard_ = list.seq;
  asked_anew_ = false;
  OnList(ListKind::kStale, list);
  Offer(heard.held_at);
  return true;
}

void Sidecar::Offer(gaugecart::Micros held_at) {
  if (Mutated(Mutant::kCallItFresh)) held_at = std::max(held_at, loop_.LastingMicros());
  if (version_ == std::exchange(offered_, version_)) return peers_->answerer().SetHeld(held_at);
  peers_->answerer().SetList(version_, held_at, [this] { return TextOf(book_.Whole()); });
}

std::optional<peers::Counts> Sidecar::peer_counts() const {
  return peers_ ? std::optional(peers_->counts()) : std::nullopt;
}

// Nobody is taken in before: until then the other process serves.
void Sidecar::Settle() {
  if (std::exchange(settled_, true)) return;
  settle_timer_->Cancel();
  server_->Open();
}

void Sidecar::Leave(bool succeeded, std::function<void()> done) {
  if (drain_.Leave(succeeded)) server_->Leave(succeeded, std::move(done));
}

void Sidecar::SetBeside(bool beside) {
  if (std::exchange(beside_, beside) == beside) return;
  log_.Line(beside ? "another process runs beside this one: half of the limits is for each"
                   : "the other process is gone: all of the limits is for this one");
  budget_.limit = beside ? most_sockets_ / 2 : most_sockets_;
  server_->Shrink();
}

bool Sidecar::StartDrain() {
  if (!drain_.Begin()) return false;
  log_.Line("draining, as an operator asked");
  server_->StartDrain();
  return true;
}

bool Sidecar::EndDrain() {
  if (drain_.End()) {
    log_.Line("serving again, as an operator asked");
    server_->EndDrain();
  }
  return drain_.serving();
}

Sidecar::Micros Sidecar::Now() const {
  return epoch_ +
         std::chrono::duration_cast<std::chrono::microseconds>(loop_.Now() - start_).count();
}

// The module's events and its actions, one after the other: an action may cause an event at once,
// and the module must have returned before it is told.
void Sidecar::Run(std::function<void()> step) {
  steps_.push_back(std::move(step));
  if (running_) return;
  running_ = true;
  struct Reset {
    bool& flag;
    ~Reset() { flag = false; }
  } reset{running_};
  while (!steps_.empty()) {
    const auto next = std::move(steps_.front());
    steps_.pop_front();
    next();
  }
}

void Sidecar::Send(RequestId request, EndpointId endpoint, Micros timeout,
                   std::optional<Micros> write_by) {
  Run([=, this] { StartAttempt(request, endpoint, timeout, write_by); });
}

void Sidecar::Refuse(RequestId request, Micros advice) {
  Run([=, this] {
    log_.Trace([&] { return "refused " + std::to_string(request); });
    HttpResponse response = PlainText(http::status::service_unavailable, "refused: try again\n");
    if (advice > 0) {
      std::array<char, 32> text{};
      const auto n =
          std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(advice) / 1e6);
      response.set(http::field::retry_after, std::string(text.data(), static_cast<std::size_t>(n)));
    }
    Finish(request, std::move(response), Ending::kRefused);
  });
}

void Sidecar::Fail(RequestId request) {
  if (Mutated(Mutant::kNoFailure)) return;
  if (Mutated(Mutant::kRefuseFailures)) return Refuse(request, 0);
  Run([=, this] {
    log_.Trace([&] { return "failed " + std::to_string(request); });
    Finish(request, PlainText(http::status::bad_gateway, "failed\n"), Ending::kFailed);
  });
}

void Sidecar::Cancel(RequestId request, std::uint32_t attempt) {
  Run([=, this] { upstream_.Cancel({request, attempt}); });
}

void Sidecar::SetTimer(Micros at, std::uint64_t mark) {
  timers_.push({at, mark});
  Run([this] { ArmTimer(); });
}

void Sidecar::Follow() {
  Run([this] { discovery_.Watch(); });
}

void Sidecar::Refresh() {
  Run([this] { discovery_.Fetch(); });
}

void Sidecar::Log(const std::string& text) { log_.Line(text); }

void Sidecar::ArmTimer() {
  if (timers_.empty() || timers_.top().at == timer_at_) return;
  timer_at_ = timers_.top().at;
  timer_->ArmAt(At(timer_at_));
}

void Sidecar::TimerFired() {
  timer_at_ = 0;
  while (!timers_.empty() && timers_.top().at <= Now()) {
    const std::uint64_t mark = timers_.top().mark;
    timers_.pop();
    Run([this, mark] { balancer_->OnTimer(Now(), mark); });
  }
  ArmTimer();
}

Sidecar::Holds Sidecar::holds() const {
  // An accept that is waited for holds a place for who comes.
  const std::size_t awaited = server_->accepting() ? 1 : 0;
  return {live_.size(), upstream_.attempts(), server_->clients(), budget_.open - awaited};
}

void Sidecar::OnList(ListKind kind, const MemberList& list) {
  if (Mutated(Mutant::kTrustOldList) && has_members_) return;
  std::vector<gaugecart::Endpoint> endpoints;
  std::unordered_set<EndpointId> named;
  for (const Member& m : list.members) {
    gaugecart::Endpoint e;
    e.id = words_.Intern(m.host);
    e.hash = gaugecart::HashOfWord(m.host);
    e.size = m.share;
    e.zone = gaugecart::Lookup(config_.setup.zones, m.site);
    e.cell = m.block;
    e.availability = m.health;
    e.launched = m.born;
    if (Mutated(Mutant::kDeafToDrains) && m.health == Availability::kDraining) {
      e.availability = Availability::kReady;
    }
    endpoints.push_back(e);
    named.insert(e.id);
    if (m.health == Availability::kGone) {
      Forget(m.host, e.id);
    } else {
      hosts_[e.id] = m.host;
      upstream_.SetEndpoint(e.id, m.dial, e.availability == Availability::kReady, m.born);
      if (Mutated(Mutant::kCrowdNewborn) && m.born > 0) {
        for (const auto& [id, host] : hosts_) upstream_.SetEndpoint(id, m.dial, true, 0);
      }
    }
  }
  if (kind != ListKind::kChanges) {
    // What a whole list leaves out is gone.
    for (auto it = hosts_.begin(); it != hosts_.end();) {
      const auto [id, host] = *it++;
      if (named.count(id) == 0) Forget(host, id);
    }
  }
  log_.Trace([&] {
    std::string text = "list " + std::to_string(list.seq) + (list.whole ? " whole" : " changes");
    for (const Member& m : list.members) {
      text += ' ' + m.host + '=' + std::to_string(static_cast<int>(m.health));
    }
    return text;
  });
  if (config_.peers) book_.Apply(list);
  has_members_ = has_members_ || !endpoints.empty();
  version_ = list.seq;
  Run([this, kind, endpoints = std::move(endpoints)] {
    balancer_->OnEndpoints(Now(), kind, endpoints);
  });
}

// Endpoints come and go for as long as the sidecar runs: of one that is gone nothing is kept. Its
// number is never given again, so that what is still out to it cannot be taken for another's.
void Sidecar::Forget(const std::string& host, EndpointId id) {
  upstream_.Forget(id);
  words_.Forget(host);
  hosts_.erase(id);
}

std::string Sidecar::NameOf(EndpointId id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? "gone" : it->second;
}

void Sidecar::Reload(const Config& config) { discovery_.Move(config.discovery); }

std::string Sidecar::Read(const HttpRequest& message, gaugecart::Request& request) const {
  // Two of one header would leave open which of them counts, here and at the endpoint.
  for (const char* name : kPassedOn) {
    if (message.count(name) > 1) return std::string(name) + ": expected once";
  }
  if (message.count("X-Remaining-Ms") > 1) return "X-Remaining-Ms: expected once";
  const auto txn = message["X-Txn"];
  const auto id = Number<RequestId>(txn, 16);
  if (txn.size() != 16 || !id) return "X-Txn: expected 16 hex digits";
  if (live_.count(*id) != 0) return "X-Txn: this request is here already";
  request.id = *id;
  const std::int32_t level = gaugecart::Lookup(config_.setup.classes, View(message["X-Lane"]));
  if (level < 0) return "X-Lane: expected a class that the settings name";
  request.priority_level = static_cast<std::uint32_t>(level);
  const gaugecart::ClassSettings& c = config_.setup.settings.classes[request.priority_level];
  // The method follows from the class. One that does not fit may have an effect that the class
  // knows nothing of, and then a repeat would do it twice.
  const bool safe = c.repeat == gaugecart::Repeat::kIdempotent;
  if (message.method() != (safe ? http::verb::get : http::verb::post)) {
    return "expected another method with this class";
  }
  const bool keyed = c.repeat == gaugecart::Repeat::kDeduplicated;
  if (message["Idempotency-Key"].empty() == keyed) {
    return std::string("Idempotency-Key: ") + (keyed ? "expected" : "not expected") +
           " with this class";
  }
  const std::int32_t tenant = gaugecart::Lookup(config_.setup.tenants, View(message["X-Org"]));
  if (tenant >= 0) request.tenant = static_cast<std::uint32_t>(tenant);
  Micros left = c.give_up;
  if (const auto word = message["X-Remaining-Ms"]; !word.empty()) {
    const auto ms = Number<std::int64_t>(word);
    if (!ms || *ms < 0 || *ms > kLongestMs) return "X-Remaining-Ms: expected milliseconds";
    left = c.give_up > 0 ? std::min(c.give_up, *ms * 1000) : *ms * 1000;
  }
  request.due = Now() + left - std::min(kAnswerMargin, left / 10);
  if (const auto word = message["X-Estimate"]; !word.empty()) {
    const auto work = Number<std::int64_t>(word);
    if (!work || *work < 0 || *work > kLongestMs * 1000) return "X-Estimate: expected microseconds";
    request.work = *work;
  }
  if (const auto key = message["X-Entity"]; !key.empty()) {
    request.key = gaugecart::HashOfWord(View(key));
  }
  return {};
}

HttpRequest Sidecar::Onward(HttpRequest message, Arrival arrival) {
  const Target target = Split(View(message.target()));
  HttpRequest onward{message.method(),
                     beast::string_view(target.origin.data(), target.origin.size()), 11};
  for (const char* name : kPassedOn) {
    if (const auto it = message.find(name); it != message.end()) onward.set(name, it->value());
  }
  // A target in absolute form names the host itself (RFC 9112, 3.2.2).
  if (!target.authority.empty()) {
    onward.set(http::field::host,
               beast::string_view(target.authority.data(), target.authority.size()));
  }
  onward.body() = std::move(message.body());
  if (arrival.whole) {
    onward.prepare_payload();
  } else if (arrival.length) {
    onward.content_length(*arrival.length);
  } else {
    onward.chunked(true);
  }
  return onward;
}

void Sidecar::OnRequest(const std::shared_ptr<Client>& client, HttpRequest message,
                        Arrival arrival) {
  gaugecart::Request request;
  const std::string wrong = Read(message, request);
  if (!wrong.empty()) {
    return client->Reject(400, wrong + '\n');
  }
  Live& live = live_[request.id];
  live.client = client;
  live.message = Onward(std::move(message), arrival);
  live.more = !arrival.whole;
  live.left = std::chrono::microseconds(request.due - Now());
  if (Mutated(Mutant::kWrongId)) live.message.set("X-Txn", "00000000000000ff");
  live.due = request.due;
  live.level = request.priority_level;
  if (observer_ != nullptr) observer_->OnTaken(live.level);
  client->OnGone([this, id = request.id] { Gone(id); });
  log_.Trace([&] {
    return "request " + std::to_string(request.id) + " tier " +
           std::to_string(config_.setup.settings.tier) + " level " +
           std::to_string(request.priority_level) + " left " + std::to_string(request.due - Now());
  });
  Run([this, request] { balancer_->OnRequest(Now(), request); });
}

void Sidecar::StartAttempt(RequestId id, EndpointId endpoint, Micros timeout,
                           std::optional<Micros> write_by) {
  const auto it = live_.find(id);
  if (it == live_.end()) return;
  Live& live = it->second;
  const std::uint32_t attempt = live.attempts++;
  ++live.out;
  const Micros now = Now();
  const Micros until = timeout > 0 ? std::min(live.due, now + timeout) : live.due;
  const auto done = [this, id, attempt, endpoint, now](Answer answer) {
    EndAttempt(id, attempt, endpoint, now, std::move(answer));
  };
  // What is not kept cannot be sent twice, and the rest of a body comes once.
  const bool spent = live.bound.has_value() || (live.more && live.out > 1);
  if (!live.client || live.client->HasLeft() || now >= until ||
      attempt >= config_.setup.settings.max_attempts || spent) {
    return done({OutcomeCode::kNeverSent, {}});
  }
  log_.Trace([&] {
    return "send " + std::to_string(id) + ' ' + std::to_string(attempt) + " to " +
           NameOf(endpoint) + " age " + std::to_string(upstream_.Age(endpoint, now)) + " version " +
           std::to_string(version_);
  });
  const auto silence =
      std::chrono::microseconds(config_.setup.settings.classes[live.level].give_up);
  upstream_.Send({id, attempt}, endpoint,
                 {live.message, live.more, write_by ? std::optional(At(*write_by)) : std::nullopt,
                  At(until), live.left, std::max<net::Span>(silence, kLeastSilence)},
                 done);
}

std::uint64_t Sidecar::MostBody() const {
  const std::size_t holders = server_->clients() + upstream_.attempts();
  return BodyBudget{config_.memory_mb * (1 << 20) / (beside_ ? 8 : 4), holders}.Each();
}

bool Sidecar::OnUp(AttemptKey key) {
  const auto it = live_.find(key.first);
  return it != live_.end() && it->second.client && !it->second.client->HasLeft();
}

void Sidecar::OnWhole(AttemptKey key) {
  const auto it = live_.find(key.first);
  if (observer_ != nullptr && it != live_.end()) observer_->OnSent(it->second.level);
}

bool Sidecar::Bind(Live& live, AttemptKey key) {
  if (live.bound) return *live.bound == key.second;
  live.bound = key.second;
  live.message.body() = {};
  Run([this, key] { balancer_->OnFirstByte(Now(), key.first, key.second); });
  return true;
}

void Sidecar::OnWantsMore(AttemptKey key) {
  const auto it = live_.find(key.first);
  if (it == live_.end() || !it->second.client || !Bind(it->second, key)) return;
  it->second.client->Pull([this, key](const std::string& part, bool last) {
    const auto live = live_.find(key.first);
    if (live == live_.end()) return;
    if (last) live->second.more = false;
    upstream_.Feed(key, part, last);
  });
}

bool Sidecar::OnAnswerBegun(AttemptKey key, HttpResponse head,
                            std::optional<std::uint64_t> length) {
  const auto it = live_.find(key.first);
  if (it == live_.end() || !it->second.client || !Bind(it->second, key)) return false;
  Live& live = it->second;
  live.passing = true;
  live.client->Begin(FromEndpoint(head), length, [this, key] { upstream_.Resume(key); });
  return true;
}

bool Sidecar::OnAnswerPart(AttemptKey key, std::string_view part) {
  const auto it = live_.find(key.first);
  if (it == live_.end() || !it->second.client) return true;
  const auto client = it->second.client;
  return client->Part(part);
}

void Sidecar::EndAttempt(RequestId id, std::uint32_t attempt, EndpointId endpoint, Micros sent,
                         Answer answer) {
  const auto it = live_.find(id);
  if (it == live_.end()) return;
  gaugecart::Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.endpoint = endpoint;
  outcome.code = answer.code;
  outcome.rtt = Now() - sent;
  log_.Trace([&] {
    return "outcome " + std::to_string(id) + ' ' + std::to_string(attempt) + " from " +
           NameOf(endpoint) + ' ' + WordOf(answer.code) + " after " + std::to_string(outcome.rtt);
  });
  outcome.report = ParseLoad(View(answer.message["X-Pressure"]));
  if (answer.took) {
    outcome.rtt = std::chrono::duration_cast<std::chrono::microseconds>(*answer.took).count();
  }
  if (it->second.passing && it->second.bound == attempt) {
    EndPassing(it->second, answer.code);
  } else if (answer.code == OutcomeCode::kOk) {
    HttpResponse response = FromEndpoint(answer.message);
    response.body() = std::move(answer.message.body());
    if (Mutated(Mutant::kForgeBody)) response.body() += '!';
    Finish(id, std::move(response), Ending::kAnswered);
  }
  --it->second.out;  // Not before: a request with nothing out and no client is forgotten.
  outcome.closed = it->second.client == nullptr;
  Run([this, outcome] {
    balancer_->OnOutcome(Now(), outcome);
    EraseIfOver(outcome.request);
  });
}

// The one final answer; what comes later for the request finds no client.
void Sidecar::Finish(RequestId id, HttpResponse response, Ending how) {
  const auto it = live_.find(id);
  // An answer that goes out in parts is the final one already.
  if (it == live_.end() || !it->second.client || it->second.passing) return;
  Release(it->second, how)->Respond(std::move(response));
  CancelParts(id);
  EraseIfOver(id);
}

void Sidecar::CancelParts(RequestId id) {
  const auto it = live_.find(id);
  if (it == live_.end() || it->second.out == 0) return;
  const Live& live = it->second;
  if (live.more || live.passing) upstream_.Cancel({id, live.bound.value_or(live.attempts - 1)});
}

void Sidecar::EndPassing(Live& live, OutcomeCode code) {
  if (!live.client) return;
  const bool whole = code == OutcomeCode::kOk;
  const auto client = Release(live, whole ? Ending::kAnswered : Ending::kFailed);
  whole ? client->EndBody() : client->Break();
}

std::shared_ptr<Client> Sidecar::Release(Live& live, Ending how) {
  if (observer_ != nullptr) observer_->OnEnded(live.level, how);
  return std::exchange(live.client, nullptr);
}

void Sidecar::Gone(RequestId id) {
  const auto it = live_.find(id);
  if (it == live_.end() || !it->second.client || Mutated(Mutant::kServeLeft)) return;
  Release(it->second, Ending::kAbandoned);
  Run([this, id] { balancer_->OnAbandoned(Now(), id); });
  Run([this, id] {
    const auto live = live_.find(id);
    if (live == live_.end()) return;
    // What an endpoint has begun goes on, as the module expects; what it has not seen need not.
    // What goes in parts has nobody to come from or to go to.
    if (live->second.out > 0) upstream_.Withdraw({id, live->second.attempts - 1});
    CancelParts(id);
    EraseIfOver(id);
  });
}

void Sidecar::EraseIfOver(RequestId id) {
  if (Mutated(Mutant::kLeakRequest)) return;
  const auto it = live_.find(id);
  if (it != live_.end() && !it->second.client && it->second.out == 0) live_.erase(it);
}

}  // namespace kelpspring
