#include "tier/cluster/endpoint_watch.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

constexpr const char* kModule = "cluster.endpoints";

// What remains of the cold time shrinks with each reading and is no change.
bool SameEndpoint(const EndpointEntry& a, const EndpointEntry& b) {
  return std::tie(a.id, a.service, a.address, a.zone, a.slots, a.draining) ==
         std::tie(b.id, b.service, b.address, b.zone, b.slots, b.draining);
}

}  // namespace

bool SameEndpoints(const std::vector<EndpointEntry>& a, const std::vector<EndpointEntry>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameEndpoint);
}

EndpointWatch::EndpointWatch(net::Loop& loop, platform::Platform& platform,
                             const platform::ListReader::Options& options, Changed changed)
    : loop_(loop), platform_(platform), reader_(options), changed_(std::move(changed)) {
  timer_ = loop_.NewTimer([this] { CallNext(); });
}

EndpointWatch::~EndpointWatch() = default;

void EndpointWatch::Start() {
  run_ = std::make_shared<char>();
  entries_.reset();
  reader_.Start(loop_.Now());
  Schedule();
}

void EndpointWatch::Stop() {
  run_.reset();
  reader_.Stop();
  timer_->Cancel();
}

void EndpointWatch::Schedule() {
  const std::optional<net::Time> due = reader_.next_due();
  if (due) timer_->ArmAt(*due);
}

void EndpointWatch::CallNext() {
  const std::optional<platform::ListRequest> request = reader_.TakeDue(loop_.Now());
  if (!request) {
    Schedule();
    return;
  }
  platform_.List(*request, [this, run = std::weak_ptr<char>(run_)](
                               platform::CallResult<platform::InstancePage> answer) {
    if (!run.expired()) OnAnswer(std::move(answer));
  });
}

void EndpointWatch::OnAnswer(platform::CallResult<platform::InstancePage> answer) {
  if (!answer) {
    log::Bounded(
        log::Level::kWarning, kModule, "list", answer.error().text,
        std::chrono::duration_cast<std::chrono::microseconds>(loop_.Now().time_since_epoch())
            .count());
    reader_.OnFailure(loop_.Now(), answer.error());
    Schedule();
    return;
  }
  auto whole = reader_.OnPage(loop_.Now(), std::move(answer.value()));
  Schedule();
  if (!whole) return;
  read_at_ = loop_.Now();
  std::sort(whole->begin(), whole->end(),
            [](const EndpointEntry& a, const EndpointEntry& b) { return a.id < b.id; });
  const bool same = entries_ && SameEndpoints(*entries_, *whole);
  entries_ = std::move(whole);
  if (!same) changed_(*entries_);
}

}  // namespace shelflink::cluster
