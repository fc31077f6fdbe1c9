#include "tier/proxy/endpoint_calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tier/foundation/invariants.h"
#include "tier/foundation/steady_time.h"
#include "tier/proxy/answer_reading.h"
#include "tier/proxy/event_stream.h"
#include "tier/proxy/headers.h"
#include "tier/proxy/names.h"
#include "tier/proxy/outgoing_request.h"

namespace shelflink::proxy {

using configuration::Route;
using gaugecart::OutcomeCode;
using kelpspring::AttemptKey;
using kelpspring::HttpResponse;
using kelpspring::View;
using policy::CallId;
using policy::Micros;
using policy::Outcome;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kHeldAnswer = 65536;  // A longer answer goes on in parts.
constexpr auto kConnectSpan = milliseconds(250);
// How often one that is late is looked at again, while its endpoint answers others.
constexpr auto kLookAgain = milliseconds(250);

}  // namespace

EndpointCalls::EndpointCalls(net::Loop& loop, kelpspring::Log& log,
                             kelpspring::SocketBudget& budget, Options options)
    : loop_(loop),
      log_(log),
      options_(std::move(options)),
      upstream_(loop, log, budget, std::chrono::microseconds(0), kConnectSpan, *this,
                [] { return kHeldAnswer; },
                {kDeadlineHeader, kRequestIdHeader,
                 [this](AttemptKey key, const HttpResponse& head) { return ReadHead(key, head); },
                 milliseconds(0), true, true, true}),
      registry_(upstream_),
      module_(options_.seed, *this),
      feed_(module_, registry_, {options_.node, options_.zone, options_.most_held}),
      timer_(loop.NewTimer([this] {
        module_.OnTimer(Now());
        CarryOut();
      })) {}

EndpointCalls::~EndpointCalls() = default;

Micros EndpointCalls::Now() const { return SteadyMicros(loop_.Now()); }

void EndpointCalls::OnView(const cluster::View& view) {
  feed_.OnView(Now(), view);
  CarryOut();
}

// ---- Calls ----

CallId EndpointCalls::Start(CallRequest request, CallUser& user) {
  if (request.batch) request.level = feed_.levels().batch();
  const auto live = std::make_shared<LiveCall>(++last_call_, std::move(request), user, loop_.Now());
  calls_[live->id] = live;
  if (IsTarget(live->request.target)) {
    module_.OnCall(Now(), DescriptionOf(*live, live->id));
    CarryOut();
  } else {
    Finish(live, CallEnd::kFailed);
  }
  live->starting = false;
  return live->id;
}

policy::Call EndpointCalls::DescriptionOf(const LiveCall& live, CallId id) const {
  const CallRequest& request = live.request;
  const Route& route = *request.route;
  policy::Call call;
  call.id = id;
  call.level = request.level;
  call.flow = HashOf(request.tenant.empty() ? route.name : request.tenant);
  call.service = live.service;
  if (!request.batch || request.due) call.due = SteadyMicros(live.deadline);
  call.timeout = std::chrono::duration_cast<std::chrono::microseconds>(route.timeout).count();
  call.objective = std::chrono::duration_cast<std::chrono::microseconds>(route.slo).count();
  call.max_attempts = live.max_attempts();
  call.repeatable = live.repeatable;
  call.batch = request.batch;
  call.prompt_tokens = live.tokens.prompt;
  call.output_tokens = live.tokens.most_out;
  call.prompt = ParsePromptPrefix(ValueOf(request.headers, kPromptPrefixHeader));
  return call;
}

void EndpointCalls::Resume(CallId call) {
  const LivePtr live = Find(call);
  if (live && live->out) upstream_.Resume({call, live->attempt});
}

void EndpointCalls::Cancel(CallId call) {
  const LivePtr live = Find(call);
  if (!live) return;
  calls_.erase(call);
  if (live->out) upstream_.Cancel({call, live->attempt});
  module_.OnAbandoned(Now(), call);
  CarryOut();
}

std::uint32_t EndpointCalls::BatchRoom() const {
  return module_.Room(Now(), feed_.levels().batch());
}

std::map<std::string, EndpointCalls::Load> EndpointCalls::Loads() const {
  std::map<std::string, Load> loads;
  for (const auto& [id, live] : calls_) {
    Load& load = loads[live->service];
    (live->out ? load.running : load.waiting) +=
        std::uint64_t{live->tokens.prompt} + live->tokens.most_out;
  }
  return loads;
}

EndpointCalls::LivePtr EndpointCalls::Find(CallId call) const {
  const auto it = calls_.find(call);
  return it == calls_.end() ? nullptr : it->second;
}

EndpointCalls::LivePtr EndpointCalls::FindAttempt(AttemptKey key) const {
  LivePtr live = Find(key.first);
  return live && live->out && live->attempt == key.second ? live : nullptr;
}

// ---- Decisions of the module ----

void EndpointCalls::Send(CallId call, std::uint32_t attempt, const std::string& endpoint) {
  decisions_.push_back({Decision::Kind::kSend, call, attempt, endpoint, 0});
}

void EndpointCalls::Refuse(CallId call, Micros retry_after) {
  decisions_.push_back({Decision::Kind::kRefuse, call, 0, {}, retry_after});
}

void EndpointCalls::Fail(CallId call) {
  decisions_.push_back({Decision::Kind::kFail, call, 0, {}, 0});
}

void EndpointCalls::SetTimer(Micros at) { timer_->ArmAt(net::Time(std::chrono::microseconds(at))); }

void EndpointCalls::CarryOut() {
  if (std::exchange(carrying_out_, true)) return;
  while (!decisions_.empty()) {
    const Decision decision = std::move(decisions_.front());
    decisions_.pop_front();
    if (decision.kind == Decision::Kind::kSend) {
      StartAttempt(decision);
    } else if (const LivePtr live = Find(decision.call)) {
      // What never ran is told so, whatever the module calls it.
      Finish(live, live->ran == 0 ? CallEnd::kRefused : CallEnd::kFailed, decision.retry_after);
    }
  }
  carrying_out_ = false;
}

void EndpointCalls::StartAttempt(const Decision& decision) {
  const LivePtr live = Find(decision.call);
  if (!live) return;
  const AttemptKey key{decision.call, decision.attempt};
  live->Begin(decision.attempt, decision.endpoint);
  live->forbidden = IsForbidden(*live);
  if (!Find(decision.call)) return;  // Cancelled by its user.
  const KnownEndpoint* known = registry_.Find(decision.endpoint);
  const net::Time now = loop_.Now();
  if (live->forbidden || known == nullptr || !live->MaySendMore(now)) {
    return EndUnsent(live, key, Outcome::kNeverSent);
  }
  CheckList(*live, *known);
  ++live->sends;
  live->message.set(kExpectInstanceHeader, decision.endpoint);
  if (live->events.events() > 0 && live->events.last_id()) {
    live->message.set(kLastEventIdHeader, std::to_string(*live->events.last_id()));
  }
  live->moved = now;
  live->SetSilences(now);
  const net::Time until = std::min(live->end, now + live->first_silence);
  kelpspring::Outbound outbound{live->message, false, std::nullopt, until, {}};
  outbound.silence = live->later_silence;
  outbound.end = live->end;
  outbound.deadline = live->deadline;
  outbound.repeatable = live->repeatable;
  upstream_.Send(key, known->number, outbound,
                 [this, key](kelpspring::Answer answer) { EndAttempt(key, std::move(answer)); });
  if (FindAttempt(key)) CheckDraining(*live);
}

ListState EndpointCalls::ListStateNow() const {
  return options_.list_state ? options_.list_state() : ListState::kPlatformUnavailable;
}

bool EndpointCalls::IsForbidden(LiveCall& live) const {
  if (!live.user->MaySend()) return true;
  const ListState list = ListStateNow();
  return live.request.batch ? !AllowsBatchItems(list) : !AllowsRequests(list);
}

void EndpointCalls::CheckList(const LiveCall& live, const KnownEndpoint& known) const {
  if (!known.takes_requests()) return;  // The connections refuse it.
  if (ListStateNow() == ListState::kStale) {
    ProcessInvariants().Violate(Invariant::kEndpointListIsFresh, "a request to " + live.endpoint,
                                Now());
  }
}

// Of an attempt that the connections have taken: they keep a list of their own of where requests
// may go, and refuse what it does not name.
void EndpointCalls::CheckDraining(const LiveCall& live) const {
  if (registry_.SeenDraining(live.endpoint)) {
    ProcessInvariants().Violate(Invariant::kDrainingStaysDraining, "a request to " + live.endpoint,
                                Now());
  }
}

// ---- What endpoints answer ----

bool EndpointCalls::OnUp(AttemptKey key) {
  const LivePtr live = FindAttempt(key);
  if (!live) return false;
  live->forbidden = IsForbidden(*live);
  if (live->forbidden || Find(key.first) == nullptr) return false;
  CheckDraining(*live);
  return true;
}

kelpspring::Reading EndpointCalls::ReadHead(AttemptKey key, const HttpResponse& head) const {
  const LivePtr live = FindAttempt(key);
  if (!live) return {};
  return ReadAnswerHead({live->request.request_id, live->is_stream_route()}, head);
}

void EndpointCalls::NoteLoad(const LiveCall& live, const HttpResponse& head) {
  const auto load = ParseServerLoad(View(head[kServerLoadHeader]));
  if (load) module_.OnLoad(Now(), live.endpoint, load->running, load->waiting, load->slots);
}

void EndpointCalls::NoteHeard(LiveCall& live) {
  live.moved = loop_.Now();
  registry_.NoteHeard(live.endpoint, live.moved);
}

// A call whose endpoint answers others is late, not lost: moving it would only add work where
// there is too much of it. One whose endpoint has fallen silent for all goes on elsewhere, if
// another endpoint would take it.
std::optional<net::Time> EndpointCalls::OnLate(AttemptKey key) {
  const LivePtr live = FindAttempt(key);
  if (!live) return std::nullopt;
  const net::Time now = loop_.Now();
  const net::Time last = std::min(live->end, live->moved + live->most_silence);
  if (now >= last) return std::nullopt;
  const KnownEndpoint* known = registry_.Find(live->endpoint);
  const bool alive = known != nullptr && known->heard + live->failover_silence > now;
  if (!alive && (live->request.batch || CanMove(*live, key))) return std::nullopt;
  return std::min<net::Time>(last, now + kLookAgain);
}

bool EndpointCalls::OnAnswerBegun(AttemptKey key, HttpResponse head,
                                  std::optional<std::uint64_t> length) {
  const LivePtr live = FindAttempt(key);
  if (!live) return false;
  NoteHeard(*live);
  NoteLoad(*live, head);
  live->passing = true;
  live->streaming = live->is_stream_route() && IsEventStream(head);
  live->ends_with_connection = !length && !head.chunked();
  if (live->streaming) {
    if (!live->head_told) live->head = std::move(head);
    return true;
  }
  // A further run that is no stream cannot continue one.
  if (live->head_told) return false;
  module_.OnFirstEvent(Now(), key.first, key.second);
  TellHead(live, head, length);
  return FindAttempt(key) != nullptr;
}

void EndpointCalls::TellHead(const LivePtr& live, const HttpResponse& head,
                             std::optional<std::uint64_t> length) {
  live->head_told = true;
  live->status = static_cast<int>(head.result_int());
  live->user->OnHead(live->status, AnswerHeaders(head), length);
}

void EndpointCalls::TellPendingHead(const LivePtr& live) {
  if (live->head) TellHead(live, *std::exchange(live->head, std::nullopt), std::nullopt);
}

bool EndpointCalls::OnAnswerPart(AttemptKey key, std::string_view part) {
  const LivePtr live = FindAttempt(key);
  if (!live) return false;
  NoteHeard(*live);
  return live->streaming ? TellEvents(live, key, part) : live->user->OnBody(part);
}

bool EndpointCalls::TellEvents(const LivePtr& live, AttemptKey key, std::string_view part) {
  // The head goes before the first event; whoever is told may cancel the call.
  const auto on_event = [&](const Event& event) {
    if (FindAttempt(key)) TellPendingHead(live);
    if (FindAttempt(key)) live->user->OnEvent(event);
  };
  const EventStream::Taken taken =
      live->user->WantsEvents() ? live->events.Take(part, on_event) : live->events.Take(part);
  if (!FindAttempt(key)) return false;
  if (taken.events > 0) {
    if (!std::exchange(live->begun, true)) module_.OnFirstEvent(Now(), key.first, key.second);
    module_.OnProgress(Now(), key.first, key.second, taken.events);
    CarryOut();
  }
  if (!taken.bytes.empty()) TellPendingHead(live);
  if (!FindAttempt(key)) return false;
  const bool wanted = taken.bytes.empty() || live->user->OnBody(taken.bytes);
  if (!taken.broken || !FindAttempt(key)) return wanted;
  log_.Line("a stream's events do not follow one another: it is cut");
  live->out = false;
  upstream_.Cancel(key);
  Tell(key, Outcome::kCut, false);
  Finish(live, CallEnd::kBroken);
  return false;
}

void EndpointCalls::EndAttempt(AttemptKey key, kelpspring::Answer answer) {
  const LivePtr live = FindAttempt(key);
  if (!live) return;
  switch (answer.code) {
    case OutcomeCode::kOk:
      if (live->streaming) return EndStream(live, key);
      return EndAnswered(live, key, std::move(answer.message));
    case OutcomeCode::kFull: {
      NoteHeard(*live);
      NoteLoad(*live, answer.message);
      const bool misdirected = answer.message.result_int() == 421;
      if (misdirected) {
        registry_.NoteMisdirected(live->endpoint);
        feed_.TellServices(Now());
      }
      return EndUnsent(live, key, misdirected ? Outcome::kMisdirected : Outcome::kNotRun);
    }
    case OutcomeCode::kNeverSent:
    case OutcomeCode::kConnectFailed:
      return EndUnsent(live, key, Outcome::kNeverSent);
    case OutcomeCode::kTimeout:
      return EndBroken(live, key, Outcome::kTimeout);
    case OutcomeCode::kCancelled:
      return EndBroken(live, key, Outcome::kCancelled);
    case OutcomeCode::kReset:
      return EndBroken(live, key, Outcome::kReset);
    case OutcomeCode::kError:
      return EndBroken(live, key, Outcome::kError);
  }
}

// This endpoint did not run it; another may be asked at any time.
void EndpointCalls::EndUnsent(const LivePtr& live, AttemptKey key, Outcome outcome) {
  live->out = false;
  const bool again = !live->forbidden && live->MaySendMore(loop_.Now());
  Tell(key, outcome, again);
  if (again) return;
  Finish(live, live->ran == 0 ? CallEnd::kRefused : CallEnd::kFailed);
}

// Whether the call, given up at its present endpoint, would go on at another at once.
bool EndpointCalls::CanMove(const LiveCall& live, AttemptKey key) const {
  return live.MayMove() && live.sends < LiveCall::kMostSends && live.CanContinue() &&
         module_.CanMove(Now(), key.first, key.second);
}

// It may have run, and no whole answer came of it.
void EndpointCalls::EndBroken(const LivePtr& live, AttemptKey key, Outcome outcome) {
  live->out = false;
  ++live->ran;
  const bool again = live->MayGoOn(loop_.Now());
  if (live->streaming && live->events.events() > 0) outcome = Outcome::kCut;
  if (again) live->events.Rejoin();
  Tell(key, outcome, again);
  if (!again) Finish(live, CallEnd::kFailed);
}

void EndpointCalls::EndStream(const LivePtr& live, AttemptKey key) {
  const std::string rest(live->events.rest());
  // The end of a connection alone does not tell a stream that is whole from one that broke off.
  if (!rest.empty() && live->ends_with_connection) return EndBroken(live, key, Outcome::kReset);
  // Its framing says that it is whole, so what stands behind the last event belongs to it.
  TellPendingHead(live);
  if (!rest.empty() && FindAttempt(key)) live->user->OnBody(rest);
  live->out = false;
  Tell(key, Outcome::kSuccess, false);
  Finish(live, CallEnd::kComplete);
}

void EndpointCalls::EndAnswered(const LivePtr& live, AttemptKey key, HttpResponse message) {
  if (live->passing) {  // All of it has gone on in parts.
    live->out = false;
    Tell(key, live->status >= 500 ? Outcome::kError : Outcome::kSuccess, false);
    return Finish(live, CallEnd::kComplete);
  }
  NoteHeard(*live);
  NoteLoad(*live, message);
  // A further run that is no stream cannot continue one.
  if (live->head_told) return EndBroken(live, key, Outcome::kError);
  const bool failed = message.result_int() >= 500;
  live->out = false;
  if (failed) ++live->ran;
  const bool again = failed && !live->request.batch && live->MayGoOn(loop_.Now());
  if (again) {
    live->failure = std::move(message);
  } else {
    HandOver(live, std::move(message));
  }
  Tell(key, failed ? Outcome::kError : Outcome::kSuccess, again);
}

void EndpointCalls::HandOver(const LivePtr& live, HttpResponse message) {
  TellHead(live, message, message.body().size());
  if (!Find(live->id)) return;
  if (!message.body().empty()) live->user->OnBody(message.body());
  Finish(live, CallEnd::kComplete);
}

void EndpointCalls::Tell(AttemptKey key, Outcome outcome, bool again) {
  module_.OnOutcome(Now(), key.first, key.second, outcome, again);
  CarryOut();
}

// The one end of a call, unless it was cancelled.
void EndpointCalls::Finish(const LivePtr& live, CallEnd end, Micros retry_after) {
  if (calls_.erase(live->id) == 0) return;
  const bool unanswered = end == CallEnd::kRefused || end == CallEnd::kFailed;
  if (unanswered && live->failure && !live->head_told) {
    const HttpResponse failure = *std::exchange(live->failure, std::nullopt);
    calls_[live->id] = live;
    return HandOver(live, failure);
  }
  CallSummary summary;
  summary.end = unanswered && live->head_told ? CallEnd::kBroken : end;
  summary.status = live->status;
  summary.may_have_run = live->ran > 0 || summary.end == CallEnd::kComplete;
  if (retry_after > 0) summary.retry_after_s = static_cast<double>(retry_after) / 1e6;
  if (!live->starting) return live->user->OnEnd(summary);
  calls_[live->id] = live;  // Until it is told, it can be cancelled.
  loop_.Post([this, live, summary] {
    if (calls_.erase(live->id) != 0) live->user->OnEnd(summary);
  });
}

}  // namespace shelflink::proxy
