#include "tier/cluster/scale_duty.h"

#include <algorithm>

#include "tier/foundation/log.h"

namespace shelflink::cluster {
namespace {

constexpr std::chrono::milliseconds kFirstPause{300};
constexpr std::chrono::milliseconds kLongestPause{2000};
constexpr const char* kModule = "cluster.scale";

}  // namespace

ScaleDuty::ScaleDuty(Parts parts, std::string node, ScaleTuning tuning)
    : parts_(parts), node_(std::move(node)), planner_(tuning) {}

void ScaleDuty::Start(std::uint64_t epoch) {
  run_ = std::make_shared<char>();
  running_ = true;
  epoch_ = epoch;
  planner_.Clear();
  waiting_.clear();
  ordering_ = false;
  next_order_ = parts_.loop.Now();
  pause_ = kFirstPause;
}

void ScaleDuty::Stop() {
  running_ = false;
  run_.reset();
}

void ScaleDuty::Tick(const configuration::Configuration* configuration,
                     const std::optional<std::vector<EndpointEntry>>& endpoints) {
  if (!running_ || !parts_.replicator.is_primary()) return;
  if (configuration != nullptr && endpoints) Plan(*configuration, *endpoints);
  SendNext();
}

void ScaleDuty::Plan(const configuration::Configuration& configuration,
                     const std::vector<EndpointEntry>& endpoints) {
  for (const configuration::Service& service : configuration.services) {
    if (!service.autoscale) continue;
    const ScaleLoad load = LoadOf(service, endpoints);
    for (const platform::ScaleOrder& order : planner_.Plan(parts_.loop.Now(), service, load)) {
      waiting_[{order.service, order.zone}] = order.desired;
    }
  }
}

ScaleLoad ScaleDuty::LoadOf(const configuration::Service& service,
                            const std::vector<EndpointEntry>& endpoints) const {
  ScaleLoad load;
  for (const EndpointEntry& endpoint : endpoints) {
    if (endpoint.service != service.name) continue;
    int& standing = load.standing[endpoint.zone];
    if (!endpoint.draining) ++standing;
  }
  for (const auto& [address, lease] : parts_.members.leases()) {
    for (const ServiceLoad& told : lease.loads) {
      if (told.service != service.name) continue;
      load.known = true;
      load.tokens_running += told.tokens_running;
      load.tokens_waiting += told.tokens_waiting;
    }
  }
  return load;
}

void ScaleDuty::SendNext() {
  const net::Time now = parts_.loop.Now();
  if (ordering_ || waiting_.empty() || now < next_order_ || !parts_.pace.Take(now)) return;
  const auto& [subject, desired] = *waiting_.begin();
  const platform::ScaleOrder order{subject.first, subject.second, desired};
  ordering_ = true;
  parts_.platform.Scale(order, {node_, epoch_},
                        [this, run = std::weak_ptr<char>(run_), order,
                         fence = epoch_](const platform::CallResult<void>& result) {
                          if (!run.expired()) OnOrdered(order, fence, result);
                        });
}

void ScaleDuty::OnOrdered(const platform::ScaleOrder& order, std::uint64_t fence,
                          const platform::CallResult<void>& result) {
  ordering_ = false;
  const net::Time now = parts_.loop.Now();
  const auto waiting = waiting_.find({order.service, order.zone});
  const bool newest = waiting != waiting_.end() && waiting->second == order.desired;
  if (result) {
    if (newest) waiting_.erase(waiting);
    pause_ = kFirstPause;
    next_order_ = now;
    SendNext();
    return;
  }
  log::Warning(kModule, order.service + " in " + order.zone + ": " + result.error().text);
  const ErrorCode code = result.error().code;
  if (code == ErrorCode::kConflict && fence == epoch_) {  // A later holder orders now.
    Stop();
    return;
  }
  if (code == ErrorCode::kInvalid && newest) waiting_.erase(waiting);
  const net::Span told = result.error().retry_after.value_or(std::chrono::milliseconds(0));
  next_order_ = now + std::max<net::Span>(pause_, told);
  pause_ = std::min<net::Span>(pause_ * 2, kLongestPause);
}

}  // namespace shelflink::cluster
