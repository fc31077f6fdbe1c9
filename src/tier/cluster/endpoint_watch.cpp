#include "tier/cluster/endpoint_watch.h"

#include <chrono>
#include <utility>

#include "tier/cluster/same_endpoints.h"
#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

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
  log::Bounded(log::Level::kWarning, kModule, "list", error.text, SteadyMicros(loop_.Now()));
}

void EndpointWatch::OnRead(std::vector<EndpointEntry> entries, net::Time read_at) {
  const bool same = entries_ && SameEndpoints(*entries_, entries);
  entries_ = std::move(entries);
  read_at_ = read_at;
  if (!same) published_ = false;
  PublishPending();
}

void EndpointWatch::PublishPending() {
  if (!published_) published_ = publish_(*entries_);
}

}  // namespace shelflink::cluster
