#include "tier/batch/front.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "tier/batch/job_json.h"
#include "tier/batch/messages.h"

namespace shelflink::batch {
namespace {

JobRef JobOf(const proxy::BatchCaller& caller, const std::string& job) {
  JobRef ref;
  ref.tenant = caller.tenant;
  ref.host = caller.route->hostname;
  ref.job = job;
  return ref;
}

// Of this tenant on this route; where both tell one, the smaller binds. 0: none.
std::uint64_t MostQueuedTokens(const proxy::BatchCaller& caller) {
  std::uint64_t most = caller.route->max_queued_tokens.value_or(0);
  for (const configuration::Tenant& tenant : caller.configuration->tenants) {
    if (tenant.name != caller.tenant) continue;
    const std::uint64_t of_tenant = tenant.max_queued_tokens.value_or(0);
    if (of_tenant != 0) most = most == 0 ? of_tenant : std::min(most, of_tenant);
  }
  return most;
}

// A job or item id that no submission could have brought belongs to nothing.
Error NoSuch(const std::string& what) {
  return MakeError(ErrorCode::kNotFound, "no such batch " + what);
}

Result<void> ResultOfSubmit(const Result<std::string>& answer) {
  if (!answer) {
    // 503 would promise that no earlier try of this job, at any sidecar, was taken. Only the store
    // can know that.
    if (answer.error().code == ErrorCode::kUnavailable) {
      return MakeError(ErrorCode::kUnknown, answer.error().text);
    }
    return answer.error();
  }
  const Result<SubmitAnswer> decoded = Decode<SubmitAnswer>(answer.value());
  if (!decoded) return MakeError(ErrorCode::kUnknown, "the store's answer cannot be read");
  switch (decoded.value().outcome) {
    case SubmitOutcome::kAccepted:
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    case SubmitOutcome::kExhausted:
      return MakeError(ErrorCode::kExhausted, "more tokens are queued than the route allows");
    case SubmitOutcome::kConflict:
      return MakeError(
          ErrorCode::kInvalid,
          "Shelflink-Request-Id: expected an id of its own, found that of another job");
  }
  return MakeError(ErrorCode::kUnknown, "the store's answer cannot be read");
}

Result<proxy::BatchPage> PageOf(const Result<std::string>& answer) {
  if (!answer) return answer.error();
  Result<ReadAnswer> decoded = Decode<ReadAnswer>(answer.value());
  if (!decoded) return MakeError(ErrorCode::kUnavailable, "the store's answer cannot be read");
  proxy::BatchPage page;
  page.total = decoded.value().total;
  page.results.reserve(decoded.value().results.size());
  for (ItemResult& result : decoded.value().results) {
    page.results.push_back(
        {std::move(result.id), result.state == ResultState::kCompleted, std::move(result.text)});
  }
  return page;
}

}  // namespace

Front::Front(net::Loop& loop, transport::Hub& hub, ViewSource view, const Bounds& bounds)
    : Front(loop, hub, std::move(view), bounds, Timeouts()) {}

Front::Front(net::Loop& loop, transport::Hub& hub, ViewSource view, const Bounds& bounds,
             Timeouts timeouts)
    : loop_(loop), bounds_(bounds), timeouts_(timeouts), stores_(loop, hub, std::move(view)) {}

void Front::Submit(const proxy::BatchCaller& caller, proxy::BatchSubmission submission,
                   Reply<void> reply) {
  if (!IsValidId(submission.job)) {
    reply(MakeError(ErrorCode::kInvalid, "Shelflink-Request-Id: expected 1 to " +
                                             std::to_string(kLongestId) +
                                             " visible ASCII characters"));
    return;
  }
  auto items = ParseSubmission(submission.json, *caller.configuration, *caller.route,
                               caller.route->hostname);
  if (!items) {
    reply(MakeError(ErrorCode::kInvalid, TextOf(items.error())));
    return;
  }
  batch::Submit message;
  message.route = caller.route->name;
  message.max_queued_tokens = MostQueuedTokens(caller);
  message.quota_overage = bounds_.quota_overage;
  message.run_aim = caller.route->run_aim;
  message.keep = caller.route->keep;
  message.max_attempts = static_cast<std::uint32_t>(std::max(1, caller.route->max_attempts));
  message.items = std::move(items.value());

  StoreCaller::Question question;
  question.kind = kSubmit;
  question.job = JobOf(caller, submission.job);
  question.until = caller.received_at + timeouts_.submit;
  question.encode = [this, message = std::move(message),
                     came = caller.received_at](const JobRef& job) mutable {
    message.job = job;
    message.age = std::chrono::duration_cast<milliseconds>(loop_.Now() - came);
    return Encode(message);
  };
  question.done = [reply = std::move(reply)](const Result<std::string>& answer) {
    reply(ResultOfSubmit(answer));
  };
  stores_.Ask(std::move(question));
}

void Front::Read(const proxy::BatchCaller& caller, const proxy::BatchRead& read,
                 Reply<proxy::BatchPage> reply) {
  if (!IsValidId(read.job)) {
    reply(NoSuch("job"));
    return;
  }
  const net::Time hold_until =
      caller.received_at + std::clamp(read.wait, milliseconds(0), timeouts_.longest_wait);
  StoreCaller::Question question;
  question.kind = kRead;
  question.job = JobOf(caller, read.job);
  question.until = hold_until + timeouts_.read;
  question.encode = [this, after = read.after, hold_until](const JobRef& job) {
    batch::Read message;
    message.job = job;
    message.after = after;
    const auto left = std::chrono::duration_cast<milliseconds>(hold_until - loop_.Now());
    message.wait = std::max(left, milliseconds(0));
    return Encode(message);
  };
  question.done = [reply = std::move(reply)](const Result<std::string>& answer) {
    reply(PageOf(answer));
  };
  stores_.Ask(std::move(question));
}

void Front::Body(const proxy::BatchCaller& caller, const std::string& job, const std::string& item,
                 Reply<std::string> reply) {
  if (!IsValidId(job) || !IsValidId(item)) {
    reply(NoSuch("item"));
    return;
  }
  StoreCaller::Question question;
  question.kind = kBody;
  question.job = JobOf(caller, job);
  question.until = caller.received_at + timeouts_.body;
  question.encode = [item](const JobRef& ref) { return Encode(ItemRef{ref, item}); };
  question.done = std::move(reply);
  stores_.Ask(std::move(question));
}

void Front::End(const proxy::BatchCaller& caller, const std::string& job, Reply<void> reply) {
  if (!IsValidId(job)) {
    reply(NoSuch("job"));
    return;
  }
  StoreCaller::Question question;
  question.kind = kEnd;
  question.job = JobOf(caller, job);
  question.until = caller.received_at + timeouts_.end;
  question.encode = [](const JobRef& ref) { return Encode(ref); };
  question.done = [reply = std::move(reply)](const Result<std::string>& answer) {
    if (answer) {
      reply(BOOST_OUTCOME_V2_NAMESPACE::success());
    } else {
      reply(answer.error());
    }
  };
  stores_.Ask(std::move(question));
}

}  // namespace shelflink::batch
