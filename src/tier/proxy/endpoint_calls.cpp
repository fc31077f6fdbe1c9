#include "tier/proxy/endpoint_calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tier/foundation/invariants.h"
#include "tier/foundation/steady_time.h"
#include "tier/proxy/event_stream.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/headers.h"
#include "tier/proxy/outgoing_request.h"
#include "tier/proxy/response_classifier.h"

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

// A longer response is forwarded in parts.
constexpr std::uint64_t kMaxBufferedResponseBytes = 65536;
constexpr auto kConnectTimeout = milliseconds(250);
// Interval of checks of a late attempt while its endpoint responds on other calls.
constexpr auto kLateRecheckInterval = milliseconds(250);

}  // namespace

EndpointCalls::EndpointCalls(net::Loop& loop, kelpspring::Log& log,
                             kelpspring::SocketBudget& budget, Options options)
    : loop_(loop),
      log_(log),
      options_(std::move(options)),
      upstream_(loop, log, budget, std::chrono::microseconds(0), kConnectTimeout, *this,
                [] { return kMaxBufferedResponseBytes; },
                {kDeadlineHeader, kRequestIdHeader,
                 [this](AttemptKey key, const HttpResponse& head) { return ReadHead(key, head); },
                 milliseconds(0), true, true, true}),
      registry_(upstream_),
      module_(options_.seed, *this),
      feed_(module_, registry_, {options_.node, options_.zone, options_.max_calls}),
      timer_(loop.NewTimer([this] {
        module_.OnTimer(Now());
        ExecuteDecisions();
      })) {}

EndpointCalls::~EndpointCalls() = default;

Micros EndpointCalls::Now() const { return SteadyMicros(loop_.Now()); }

void EndpointCalls::OnView(const cluster::View& view) {
  feed_.OnView(Now(), view);
  ExecuteDecisions();
}

// ---- Calls ----

CallId EndpointCalls::Start(CallRequest request, CallUser& user) {
  if (request.batch) request.level = feed_.levels().batch_level();
  const auto active =
      std::make_shared<ActiveCall>(++last_call_, std::move(request), user, loop_.Now());
  calls_[active->id] = active;
  if (IsValidTarget(active->request.target)) {
    module_.OnCall(Now(), DescriptionOf(*active, active->id));
    ExecuteDecisions();
  } else {
    Finish(active, CallEnd::kFailed);
  }
  active->starting = false;
  return active->id;
}

policy::Call EndpointCalls::DescriptionOf(const ActiveCall& active, CallId id) const {
  const CallRequest& request = active.request;
  const Route& route = *request.route;
  policy::Call call;
  call.id = id;
  call.level = request.level;
  call.flow = HashOf(request.tenant.empty() ? route.name : request.tenant);
  call.service = active.service;
  if (!request.batch || request.deadline) call.deadline = SteadyMicros(active.deadline);
  call.timeout = std::chrono::duration_cast<std::chrono::microseconds>(route.timeout).count();
  call.objective = std::chrono::duration_cast<std::chrono::microseconds>(route.slo).count();
  call.max_attempts = active.max_attempts();
  call.repeatable = active.repeatable;
  call.batch = request.batch;
  call.prompt_tokens = active.tokens.prompt;
  call.output_tokens = active.tokens.max_output;
  call.prompt = ParsePromptPrefix(ValueOf(request.headers, kPromptPrefixHeader));
  return call;
}

void EndpointCalls::Resume(CallId call) {
  const CallPtr active = Find(call);
  if (active && active->attempt_active) upstream_.Resume({call, active->attempt});
}

void EndpointCalls::Cancel(CallId call) {
  const CallPtr active = Find(call);
  if (!active) return;
  calls_.erase(call);
  if (active->attempt_active) upstream_.Cancel({call, active->attempt});
  module_.OnAbandoned(Now(), call);
  ExecuteDecisions();
}

std::uint32_t EndpointCalls::BatchCapacity() const {
  return module_.Room(Now(), feed_.levels().batch_level());
}

std::map<std::string, EndpointCalls::Load> EndpointCalls::Loads() const {
  std::map<std::string, Load> loads;
  for (const auto& [id, active] : calls_) {
    Load& load = loads[active->service];
    (active->attempt_active ? load.running : load.waiting) +=
        std::uint64_t{active->tokens.prompt} + active->tokens.max_output;
  }
  return loads;
}

EndpointCalls::CallPtr EndpointCalls::Find(CallId call) const {
  const auto it = calls_.find(call);
  return it == calls_.end() ? nullptr : it->second;
}

EndpointCalls::CallPtr EndpointCalls::FindAttempt(AttemptKey key) const {
  CallPtr active = Find(key.first);
  return active && active->attempt_active && active->attempt == key.second ? active : nullptr;
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

void EndpointCalls::ExecuteDecisions() {
  if (std::exchange(executing_decisions_, true)) return;
  while (!decisions_.empty()) {
    const Decision decision = std::move(decisions_.front());
    decisions_.pop_front();
    if (decision.kind == Decision::Kind::kSend) {
      StartAttempt(decision);
    } else if (const CallPtr active = Find(decision.call)) {
      // A call that was never executed is reported as refused, even if the module fails it.
      Finish(active, active->possible_runs == 0 ? CallEnd::kRefused : CallEnd::kFailed,
             decision.retry_after);
    }
  }
  executing_decisions_ = false;
}

void EndpointCalls::StartAttempt(const Decision& decision) {
  const CallPtr active = Find(decision.call);
  if (!active) return;
  const AttemptKey key{decision.call, decision.attempt};
  active->BeginAttempt(decision.attempt, decision.endpoint);
  active->send_forbidden = IsSendForbidden(*active);
  if (!Find(decision.call)) return;  // Its user has cancelled it in MaySend.
  const KnownEndpoint* known = registry_.Find(decision.endpoint);
  const net::Time now = loop_.Now();
  if (active->send_forbidden || known == nullptr || !active->MaySendMore(now)) {
    return EndNotRun(active, key, Outcome::kNeverSent);
  }
  CheckListFreshness(*active, *known);
  ++active->sends;
  active->message.set(kExpectInstanceHeader, decision.endpoint);
  if (active->events.event_count() > 0 && active->events.last_id()) {
    active->message.set(kLastEventIdHeader, std::to_string(*active->events.last_id()));
  }
  active->last_activity = now;
  active->SetSilenceLimits(now);
  const net::Time until = std::min(active->give_up_at, now + active->initial_silence);
  kelpspring::Outbound outbound{active->message, false, std::nullopt, until, {}};
  outbound.silence = active->ongoing_silence;
  outbound.end = active->give_up_at;
  outbound.deadline = active->deadline;
  outbound.repeatable = active->repeatable;
  upstream_.Send(key, known->number, outbound,
                 [this, key](kelpspring::Answer answer) { EndAttempt(key, std::move(answer)); });
  if (FindAttempt(key)) CheckNotDraining(*active);
}

ListState EndpointCalls::CurrentListState() const {
  return options_.list_state ? options_.list_state() : ListState::kPlatformUnavailable;
}

bool EndpointCalls::IsSendForbidden(ActiveCall& active) const {
  if (!active.user->MaySend()) return true;
  const ListState list = CurrentListState();
  return active.request.batch ? !AllowsBatchItems(list) : !AllowsRequests(list);
}

void EndpointCalls::CheckListFreshness(const ActiveCall& active, const KnownEndpoint& known) const {
  if (!known.takes_requests()) return;  // Upstream rejects the attempt.
  if (CurrentListState() == ListState::kStale) {
    ProcessInvariants().Violate(Invariant::kEndpointListIsFresh, "a request to " + active.endpoint,
                                Now());
  }
}

// Checks an attempt that Upstream has accepted. Upstream has its own record of the endpoints that
// may get requests and rejects attempts to others.
void EndpointCalls::CheckNotDraining(const ActiveCall& active) const {
  if (registry_.WasDraining(active.endpoint)) {
    ProcessInvariants().Violate(Invariant::kDrainingStaysDraining,
                                "a request to " + active.endpoint, Now());
  }
}

// ---- Responses of endpoints ----

bool EndpointCalls::OnUp(AttemptKey key) {
  const CallPtr active = FindAttempt(key);
  if (!active) return false;
  active->send_forbidden = IsSendForbidden(*active);
  if (active->send_forbidden || Find(key.first) == nullptr) return false;
  CheckNotDraining(*active);
  return true;
}

kelpspring::Reading EndpointCalls::ReadHead(AttemptKey key, const HttpResponse& head) const {
  const CallPtr active = FindAttempt(key);
  if (!active) return {};
  return ClassifyResponseHead({active->request.request_id, active->is_stream_route()}, head);
}

void EndpointCalls::ReportLoad(const ActiveCall& active, const HttpResponse& head) {
  const auto load = ParseServerLoad(View(head[kServerLoadHeader]));
  if (load) module_.OnLoad(Now(), active.endpoint, load->running, load->waiting, load->slots);
}

void EndpointCalls::RecordActivity(ActiveCall& active) {
  active.last_activity = loop_.Now();
  registry_.RecordActivity(active.endpoint, active.last_activity);
}

// A late call whose endpoint still responds on other calls is kept there: moving it would only add
// work to an overloaded service. If the endpoint is silent on all calls, the call is sent to
// another endpoint, provided that one would accept it.
std::optional<net::Time> EndpointCalls::OnLate(AttemptKey key) {
  const CallPtr active = FindAttempt(key);
  if (!active) return std::nullopt;
  const net::Time now = loop_.Now();
  const net::Time wait_until =
      std::min(active->give_up_at, active->last_activity + active->max_silence);
  if (now >= wait_until) return std::nullopt;
  const KnownEndpoint* known = registry_.Find(active->endpoint);
  const bool responsive = known != nullptr && known->last_activity + active->failover_silence > now;
  if (!responsive && (active->request.batch || CanFailOver(*active, key))) return std::nullopt;
  return std::min<net::Time>(wait_until, now + kLateRecheckInterval);
}

bool EndpointCalls::OnAnswerBegun(AttemptKey key, HttpResponse head,
                                  std::optional<std::uint64_t> length) {
  const CallPtr active = FindAttempt(key);
  if (!active) return false;
  RecordActivity(*active);
  ReportLoad(*active, head);
  active->forwarding = true;
  active->streaming = active->is_stream_route() && IsEventStream(head);
  active->ends_at_close = !length && !head.chunked();
  if (active->streaming) {
    if (!active->head_reported) active->head = std::move(head);
    return true;
  }
  // A response that is no event stream cannot continue a started one.
  if (active->head_reported) return false;
  module_.OnFirstEvent(Now(), key.first, key.second);
  ReportHead(active, head, length);
  return FindAttempt(key) != nullptr;
}

void EndpointCalls::ReportHead(const CallPtr& active, const HttpResponse& head,
                               std::optional<std::uint64_t> length) {
  active->head_reported = true;
  active->status = static_cast<int>(head.result_int());
  active->user->OnHead(active->status, ResponseHeaders(head), length);
}

void EndpointCalls::ReportPendingHead(const CallPtr& active) {
  if (active->head) ReportHead(active, *std::exchange(active->head, std::nullopt), std::nullopt);
}

bool EndpointCalls::OnAnswerPart(AttemptKey key, std::string_view part) {
  const CallPtr active = FindAttempt(key);
  if (!active) return false;
  RecordActivity(*active);
  return active->streaming ? ForwardEvents(active, key, part) : active->user->OnBody(part);
}

bool EndpointCalls::ForwardEvents(const CallPtr& active, AttemptKey key, std::string_view part) {
  // The head is reported before the first event. The user may cancel the call in each function.
  const auto on_event = [&](const Event& event) {
    if (FindAttempt(key)) ReportPendingHead(active);
    if (FindAttempt(key)) active->user->OnEvent(event);
  };
  const EventStream::Output output =
      active->user->WantsEvents() ? active->events.Feed(part, on_event) : active->events.Feed(part);
  if (!FindAttempt(key)) return false;
  if (output.event_count > 0) {
    if (!std::exchange(active->first_event_received, true))
      module_.OnFirstEvent(Now(), key.first, key.second);
    module_.OnProgress(Now(), key.first, key.second, output.event_count);
    ExecuteDecisions();
  }
  if (!output.bytes.empty()) ReportPendingHead(active);
  if (!FindAttempt(key)) return false;
  const bool wants_more = output.bytes.empty() || active->user->OnBody(output.bytes);
  if (!output.broken || !FindAttempt(key)) return wants_more;
  log_.Line("event stream has a gap or an oversized event; closing the response");
  active->attempt_active = false;
  upstream_.Cancel(key);
  ReportOutcome(key, Outcome::kTruncated, false);
  Finish(active, CallEnd::kBroken);
  return false;
}

void EndpointCalls::EndAttempt(AttemptKey key, kelpspring::Answer answer) {
  const CallPtr active = FindAttempt(key);
  if (!active) return;
  switch (answer.code) {
    case OutcomeCode::kOk:
      if (active->streaming) return CompleteStream(active, key);
      return CompleteResponse(active, key, std::move(answer.message));
    case OutcomeCode::kFull: {
      RecordActivity(*active);
      ReportLoad(*active, answer.message);
      const bool misdirected = answer.message.result_int() == 421;
      if (misdirected) {
        registry_.MarkMisdirected(active->endpoint);
        feed_.UpdateServices(Now());
      }
      return EndNotRun(active, key, misdirected ? Outcome::kMisdirected : Outcome::kNotRun);
    }
    case OutcomeCode::kNeverSent:
    case OutcomeCode::kConnectFailed:
      return EndNotRun(active, key, Outcome::kNeverSent);
    case OutcomeCode::kTimeout:
      return FailAttempt(active, key, Outcome::kTimeout);
    case OutcomeCode::kCancelled:
      return FailAttempt(active, key, Outcome::kCancelled);
    case OutcomeCode::kReset:
      return FailAttempt(active, key, Outcome::kReset);
    case OutcomeCode::kError:
      return FailAttempt(active, key, Outcome::kError);
  }
}

// Ends an attempt that the endpoint did not execute. The call may be sent again at any time.
void EndpointCalls::EndNotRun(const CallPtr& active, AttemptKey key, Outcome outcome) {
  active->attempt_active = false;
  const bool retry = !active->send_forbidden && active->MaySendMore(loop_.Now());
  ReportOutcome(key, outcome, retry);
  if (retry) return;
  Finish(active, active->possible_runs == 0 ? CallEnd::kRefused : CallEnd::kFailed);
}

// Whether another endpoint would accept the call immediately if its current attempt was given up.
bool EndpointCalls::CanFailOver(const ActiveCall& active, AttemptKey key) const {
  return active.MayFailOver() && active.sends < ActiveCall::kMaxSends &&
         active.CanResumeElsewhere() && module_.CanRetryElsewhere(Now(), key.first, key.second);
}

// Ends an attempt that may have been executed without a complete response.
void EndpointCalls::FailAttempt(const CallPtr& active, AttemptKey key, Outcome outcome) {
  active->attempt_active = false;
  ++active->possible_runs;
  const bool retry = active->MayRetry(loop_.Now());
  if (active->streaming && active->events.event_count() > 0) outcome = Outcome::kTruncated;
  if (retry) active->events.BeginResumedRun();
  ReportOutcome(key, outcome, retry);
  if (!retry) Finish(active, CallEnd::kFailed);
}

void EndpointCalls::CompleteStream(const CallPtr& active, AttemptKey key) {
  const std::string partial(active->events.incomplete_event());
  // Without framing, a close inside an event means that the stream was cut off.
  if (!partial.empty() && active->ends_at_close) return FailAttempt(active, key, Outcome::kReset);
  // The stream is complete, so bytes after the last event belong to it.
  ReportPendingHead(active);
  if (!partial.empty() && FindAttempt(key)) active->user->OnBody(partial);
  active->attempt_active = false;
  ReportOutcome(key, Outcome::kSuccess, false);
  Finish(active, CallEnd::kComplete);
}

void EndpointCalls::CompleteResponse(const CallPtr& active, AttemptKey key, HttpResponse message) {
  if (active->forwarding) {  // The body has been forwarded in parts.
    active->attempt_active = false;
    ReportOutcome(key, active->status >= 500 ? Outcome::kError : Outcome::kSuccess, false);
    return Finish(active, CallEnd::kComplete);
  }
  RecordActivity(*active);
  ReportLoad(*active, message);
  // A response that is no event stream cannot continue a started one.
  if (active->head_reported) return FailAttempt(active, key, Outcome::kError);
  const bool failed = message.result_int() >= 500;
  active->attempt_active = false;
  if (failed) ++active->possible_runs;
  const bool retry = failed && !active->request.batch && active->MayRetry(loop_.Now());
  if (retry) {
    active->failed_response = std::move(message);
  } else {
    DeliverResponse(active, std::move(message));
  }
  ReportOutcome(key, failed ? Outcome::kError : Outcome::kSuccess, retry);
}

void EndpointCalls::DeliverResponse(const CallPtr& active, HttpResponse message) {
  ReportHead(active, message, message.body().size());
  if (!Find(active->id)) return;
  if (!message.body().empty()) active->user->OnBody(message.body());
  Finish(active, CallEnd::kComplete);
}

void EndpointCalls::ReportOutcome(AttemptKey key, Outcome outcome, bool retry) {
  module_.OnOutcome(Now(), key.first, key.second, outcome, retry);
  ExecuteDecisions();
}

// Ends a call and notifies its user. Every call that is not cancelled ends here.
void EndpointCalls::Finish(const CallPtr& active, CallEnd end, Micros retry_after) {
  if (calls_.erase(active->id) == 0) return;
  const bool unanswered = end == CallEnd::kRefused || end == CallEnd::kFailed;
  if (unanswered && active->failed_response && !active->head_reported) {
    const HttpResponse failed_response = *std::exchange(active->failed_response, std::nullopt);
    calls_[active->id] = active;
    return DeliverResponse(active, failed_response);
  }
  CallSummary summary;
  summary.end = unanswered && active->head_reported ? CallEnd::kBroken : end;
  summary.status = active->status;
  summary.may_have_run = active->possible_runs > 0 || summary.end == CallEnd::kComplete;
  if (retry_after > 0) summary.retry_after_s = static_cast<double>(retry_after) / 1e6;
  if (!active->starting) return active->user->OnEnd(summary);
  calls_[active->id] = active;  // The user can still cancel it before OnEnd.
  loop_.Post([this, active, summary] {
    if (calls_.erase(active->id) != 0) active->user->OnEnd(summary);
  });
}

}  // namespace shelflink::proxy
