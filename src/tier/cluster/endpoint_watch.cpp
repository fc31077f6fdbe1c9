#include "tier/cluster/endpoint_watch.h"

#include <chrono>
#include <utility>

#include "tier/cluster/same_endpoints.h"
#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

constexpr const char* kModule = "cluster.endpoints";

}  // namespace

EndpointWatch::EndpointWatch(net::Loop& loop, platform::Platform& platform,
                             const platform::ListReader::Options& options, Publish publish)
    : loop_(loop),
      poller_(loop, platform, options,
              {[this](std::vector<EndpointEntry> entries, net::Time read_at) {
                 OnRead(std::move(entries), read_at);
               },
               [this](const platform::CallError& error) { OnFailed(error); }}),
      publish_(std::move(publish)) {}

EndpointWatch::~EndpointWatch() = default;

void EndpointWatch::Start() {
  entries_.reset();
  published_ = true;
  poller_.Start(loop_.Now());
}

void EndpointWatch::Stop() { poller_.Stop(); }

void EndpointWatch::OnFailed(const platform::CallError& error) {
  const auto now =
      std::chrono::duration_cast<std::chrono::microseconds>(loop_.Now().time_since_epoch());
  log::Bounded(log::Level::kWarning, kModule, "list", error.text, now.count());
}

void EndpointWatch::OnRead(std::vector<EndpointEntry> entries, net::Time read_at) {
  const bool same = entries_ && SameEndpoints(*entries_, entries);
  entries_ = std::move(entries);
  read_at_ = read_at;
  if (!same) published_ = false;
  PublishPending();
}

<<<<<<< HEAD
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
=======
void EndpointWatch::PublishPending() {
  if (!published_) published_ = publish_(*entries_);
>>>>>>> 09186c6d61d9d93fb9e6febbefd0ff6064ee53ec
}

}  // namespace shelflink::cluster
