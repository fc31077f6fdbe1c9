#include "tier/platform/list_poller.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace shelflink::platform {

using cluster::EndpointEntry;

ListPoller::ListPoller(net::Loop& loop, Platform& platform, const ListReader::Options& options,
                       Events events)
    : loop_(loop), platform_(platform), reader_(options), events_(std::move(events)) {
  timer_ = loop_.NewTimer([this] { OnTimer(); });
}

ListPoller::~ListPoller() = default;

void ListPoller::Start(net::Time first) {
  run_ = std::make_shared<char>();
  awaiting_ = false;
  reader_.Start(first);
  Schedule();
}

void ListPoller::Stop() {
  run_.reset();
  awaiting_ = false;
  reader_.Stop();
  timer_->Cancel();
}

net::Time ListPoller::trouble_seen_at() const {
  const net::Time now = loop_.Now();
  return awaiting_ && now - awaited_since_ > reader_.slow_answer() ? now : trouble_ended_;
}

void ListPoller::Schedule() {
  if (awaiting_) {
    timer_->ArmAt(give_up_at_);
  } else if (const std::optional<net::Time> due = reader_.next_due()) {
    timer_->ArmAt(*due);
  }
}

void ListPoller::OnTimer() {
  if (awaiting_) {
    Fail({ErrorCode::kUnknown, "the platform's answer is late", {}});
  } else {
    CallNext();
  }
  Schedule();
}

void ListPoller::CallNext() {
  std::optional<ListRequest> request = reader_.TakeDue(loop_.Now());
  if (!request) return;
  const Call call{++last_call_, std::move(*request), loop_.Now()};
  awaiting_ = true;
  awaited_since_ = call.sent;
  give_up_at_ = call.sent + reader_.answer_patience();
  platform_.List(call.request,
                 [this, run = std::weak_ptr<char>(run_), call](CallResult<InstancePage> answer) {
                   if (!run.expired()) OnAnswer(call, std::move(answer));
                 });
}

void ListPoller::OnAnswer(const Call& call, CallResult<InstancePage> answer) {
  const bool in_time = awaiting_ && call.number == last_call_;
  if (!answer) {
    if (!in_time) return;
    Fail(answer.error());
    return Schedule();
  }
  const net::Time now = loop_.Now();
  if (now - call.sent > reader_.slow_answer()) trouble_ended_ = now;
  if (events_.page && !answer.value().next_token.empty()) {
    events_.page(answer.value().entries.size());
  }
  auto whole = in_time
                   ? reader_.OnPage(now, std::move(answer.value()))
                   : reader_.OnLatePage(now, call.request, call.sent, std::move(answer.value()));
  // A call that was sent since for the same page answers nothing that is still wanted.
  if (reader_.next_due()) awaiting_ = false;
  Schedule();
  if (!whole) return;
  std::sort(whole->begin(), whole->end(),
            [](const EndpointEntry& a, const EndpointEntry& b) { return a.id < b.id; });
  events_.read(std::move(*whole), reader_.list_started());
}

void ListPoller::Fail(const CallError& error) {
  awaiting_ = false;
  trouble_ended_ = loop_.Now();
  reader_.OnFailure(loop_.Now(), error);
  if (events_.failed) events_.failed(error);
}

}  // namespace shelflink::platform
