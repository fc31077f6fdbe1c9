#include "tier/batch/item_run.h"

#include <algorithm>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"
#include "tier/proxy/header_names.h"
#include "tier/proxy/priority_levels.h"

namespace shelflink::batch {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusImpossible = 422;
constexpr int kStatusFailedAttempt = 500;

char LowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool SameName(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

// Statuses by which an endpoint says that it has not run the item.
bool IsNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

// Whether a line of a field has come behind the last blank line.
bool EndsInsideEvent(std::string_view bytes) {
  bool inside = false;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end == bytes.npos ? bytes.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) {
      inside = false;
    } else if (line.front() != ':') {
      inside = true;
    }
  }
  return inside;
}

// Whether both lead the item to the same services.
bool LeadAlike(const configuration::Route& one, const configuration::Route& other) {
  const auto same_part = [](const configuration::SplitPart& a, const configuration::SplitPart& b) {
    return a.service == b.service && (a.weight > 0) == (b.weight > 0);
  };
  return one.kind == other.kind && one.hostname == other.hostname &&
         one.path_prefix == other.path_prefix &&
         std::equal(one.split.begin(), one.split.end(), other.split.begin(), other.split.end(),
                    same_part);
}

const configuration::Route* BatchRoute(const configuration::Configuration& configuration,
                                       const std::string& name) {
  const configuration::Route* route = configuration.RouteNamed(name);
  if (route == nullptr || route->kind != configuration::RouteKind::kBatch) return nullptr;
  return route;
}

}  // namespace

ItemRun::ItemRun(net::Loop& loop, proxy::Calls& calls, Assign assign, OnOver on_over)
    : loop_(loop),
      calls_(calls),
      assign_(std::move(assign)),
      on_over_(std::move(on_over)),
      output_(std::move(assign_.output)),
      events_at_start_(output_.all().events),
      body_bytes_(assign_.body.size()),
      assigned_at_(loop.Now()) {}

ItemRun::~ItemRun() { CancelCall(); }

void ItemRun::Start(std::shared_ptr<const configuration::Configuration> configuration) {
  if (state_ != State::kAwaitingLease) return;
  route_ = configuration == nullptr ? nullptr : BatchRoute(*configuration, assign_.route);
  if (route_ == nullptr) {
    // The store finds out from its own configuration whether the route is gone for good.
    Over({RunOutcome::kReturned, true, std::nullopt});
    return;
  }
  configuration_ = std::move(configuration);
  state_ = State::kRunning;
  proxy::CallRequest request;
  request.request_id = assign_.item.item;
  request.target = assign_.path;
  request.headers.reserve(assign_.headers.size() + 1);
  request.headers.emplace_back("Host", route_->hostname);
  for (auto& header : assign_.headers) request.headers.push_back(std::move(header));
  request.body = std::move(assign_.body);
  request.configuration = configuration_;
  request.route = route_;
  request.tenant = assign_.item.job.tenant;
  request.level = proxy::PriorityLevels(*configuration_).batch_level();
  request.batch = true;
  request.resumable = true;
  request.last_event_id = output_.all().last_event_id;
  call_ = calls_.Start(std::move(request), *this);
}

void ItemRun::HandBack() {
  if (state_ == State::kReporting) return;
  CancelCall();
  Over({has_progressed() ? RunOutcome::kInterrupted : RunOutcome::kReturned, false, std::nullopt});
}

void ItemRun::OnConfiguration(const configuration::Configuration& configuration) {
  if (state_ != State::kRunning) return;
  const configuration::Route* route = BatchRoute(configuration, assign_.route);
  superseded_ = route == nullptr || !LeadAlike(*route, *route_);
  if (superseded_ && head_status_ == 0) HandBack();
}

void ItemRun::Extend(net::Time until) { lease_until_ = std::max(lease_until_, until); }

std::optional<net::Span> ItemRun::first_event_wait() const {
  if (!first_event_at_) return std::nullopt;
  return *first_event_at_ - assigned_at_;
}

Finished ItemRun::Report() const {
  Finished report;
  report.item = assign_.item;
  report.lease = assign_.lease;
  report.outcome = end_.outcome;
  report.output = output_.all();
  return report;
}

bool ItemRun::MaySend() { return lease_valid() && !superseded_; }

void ItemRun::OnHead(int status, const proxy::HeaderList& headers, std::optional<std::uint64_t>) {
  head_status_ = status;
  stamped_ = std::any_of(headers.begin(), headers.end(), [](const auto& header) {
    return SameName(header.first, proxy::kResponseStampHeader);
  });
}

// Whole events come with their blank lines; an answer may end with its connection, and what stands
// behind the last event then tells that the endpoint broke off.
bool ItemRun::OnBody(std::string_view bytes) {
  inside_event_ = head_status_ == kStatusOk && EndsInsideEvent(bytes);
  return true;
}

void ItemRun::OnEvent(const proxy::Event& event) {
  if (state_ != State::kRunning || head_status_ != kStatusOk || !stamped_) return;
  if (!first_event_at_) first_event_at_ = loop_.Now();
  if (output_.Take(event)) return;
  log::Bounded(log::Level::kWarning, "batch.run", "events",
               "an endpoint's event does not follow the last one; run of item " +
                   assign_.item.item + " given up",
               SteadyMicros(loop_.Now()));
  CancelCall();
  Over({RunOutcome::kInterrupted, false, std::nullopt});
}

void ItemRun::OnEnd(const proxy::CallSummary& summary) {
  call_.reset();
  Over(EndOf(summary));
}

RunEnd ItemRun::EndOf(const proxy::CallSummary& summary) const {
  RunEnd end;
  end.retry_after_s = summary.retry_after_s;
  const int status = head_status_ != 0 ? head_status_ : summary.status;
  const bool whole = summary.end == proxy::CallEnd::kComplete && !inside_event_;
  if (whole && status == kStatusOk && stamped_ && output_.all().events != 0) {
    end.outcome = RunOutcome::kComplete;
  } else if (summary.status == kStatusFailedAttempt) {
    end.outcome = RunOutcome::kError;
  } else if (summary.status == kStatusImpossible) {
    end.outcome = RunOutcome::kImpossible;
  } else {
    end.refused = summary.end == proxy::CallEnd::kRefused || (whole && IsNotRun(status));
    const bool not_run = end.refused || !summary.may_have_run;
    end.outcome = not_run && !has_progressed() ? RunOutcome::kReturned : RunOutcome::kInterrupted;
  }
  return end;
}

void ItemRun::Over(const RunEnd& end) {
  if (state_ == State::kReporting) return;
  state_ = State::kReporting;
  over_at_ = loop_.Now();
  end_ = end;
  on_over_(*this, end_);
}

void ItemRun::CancelCall() {
  if (!call_) return;
  const policy::CallId call = *call_;
  call_.reset();
  calls_.Cancel(call);
}

}  // namespace shelflink::batch
