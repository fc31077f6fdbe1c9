// Implements Calls with the decision module and the connections to endpoints.
//
// The module decides where each attempt of a call is sent. EndpointCalls sends it, reports the
// outcome to the module, and combines the attempts of a call into one response. A call has at most
// one attempt at a time. Limits: ModuleConfig::max_calls calls (the module refuses more),
// ActiveCall::kMaxSends sends per call, kMaxBufferedResponseBytes of a response that is buffered
// completely, EventStream::kMaxEventBytes per event.
#ifndef SHELFLINK_TIER_PROXY_ENDPOINT_CALLS_H_
#define SHELFLINK_TIER_PROXY_ENDPOINT_CALLS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/loop.h"
#include "sidecar/log.h"
#include "sidecar/upstream.h"
#include "tier/cluster/view.h"
#include "tier/policy/module.h"
#include "tier/proxy/active_call.h"
#include "tier/proxy/calls.h"
#include "tier/proxy/endpoint_registry.h"
#include "tier/proxy/list_state.h"
#include "tier/proxy/policy_feed.h"

namespace shelflink::proxy {

class EndpointCalls : public Calls, private policy::Actions, private kelpspring::AttemptUser {
 public:
  struct Options {
    std::string node;
    std::string zone;
    std::uint64_t seed = 0;
    std::size_t max_calls = 4096;
    // State of the endpoint list; empty: its age is not checked.
    std::function<ListState()> list_state = {};
  };

  EndpointCalls(net::Loop& loop, kelpspring::Log& log, kelpspring::SocketBudget& budget,
                Options options);
  ~EndpointCalls() override;
  EndpointCalls(const EndpointCalls&) = delete;
  EndpointCalls& operator=(const EndpointCalls&) = delete;

  // Applies a new cluster view. Unchanged parts of the view cost little.
  void OnView(const cluster::View& view);

  policy::CallId Start(CallRequest request, CallUser& user) override;
  void Resume(policy::CallId call) override;
  void Cancel(policy::CallId call) override;
  std::uint32_t BatchCapacity() const override;
  policy::BatchState batch() const { return module_.batch(); }

  // Prompt and maximum output tokens of calls.
  struct Load {
    std::uint64_t running = 0;  // Of calls at endpoints.
    std::uint64_t waiting = 0;  // Of queued calls.
  };
  // Load by service.
  std::map<std::string, Load> Loads() const;

  std::size_t active_calls() const { return calls_.size(); }
  std::uint64_t dials() const { return upstream_.dials(); }

 private:
  using CallPtr = std::shared_ptr<ActiveCall>;
  // A decision of the module. Executed after the module has returned.
  struct Decision {
    enum class Kind { kSend, kRefuse, kFail } kind = Kind::kFail;
    policy::CallId call = 0;
    std::uint32_t attempt = 0;
    std::string endpoint;
    policy::Micros retry_after = 0;
  };

  policy::Micros Now() const;

  // policy::Actions
  void Send(policy::CallId call, std::uint32_t attempt, const std::string& endpoint) override;
  void Refuse(policy::CallId call, policy::Micros retry_after) override;
  void Fail(policy::CallId call) override;
  void SetTimer(policy::Micros at) override;

  // kelpspring::AttemptUser
  bool OnUp(kelpspring::AttemptKey key) override;
  void OnWhole(kelpspring::AttemptKey) override {}
  void OnWantsMore(kelpspring::AttemptKey) override {}
  bool OnAnswerBegun(kelpspring::AttemptKey key, kelpspring::HttpResponse head,
                     std::optional<std::uint64_t> length) override;
  bool OnAnswerPart(kelpspring::AttemptKey key, std::string_view part) override;
  std::optional<net::Time> OnLate(kelpspring::AttemptKey key) override;

  kelpspring::Reading ReadHead(kelpspring::AttemptKey key,
                               const kelpspring::HttpResponse& head) const;

  CallPtr Find(policy::CallId call) const;
  // Null unless it is the call's current attempt.
  CallPtr FindAttempt(kelpspring::AttemptKey key) const;
  policy::Call DescriptionOf(const ActiveCall& active, policy::CallId call) const;

  void ExecuteDecisions();
  void StartAttempt(const Decision& decision);
  bool IsSendForbidden(ActiveCall& active) const;
  ListState CurrentListState() const;
  void CheckListFreshness(const ActiveCall& active, const KnownEndpoint& known) const;
  void CheckNotDraining(const ActiveCall& active) const;
  void EndAttempt(kelpspring::AttemptKey key, kelpspring::Answer answer);
  void EndNotRun(const CallPtr& active, kelpspring::AttemptKey key, policy::Outcome outcome);
  void FailAttempt(const CallPtr& active, kelpspring::AttemptKey key, policy::Outcome outcome);
  void CompleteStream(const CallPtr& active, kelpspring::AttemptKey key);
  void CompleteResponse(const CallPtr& active, kelpspring::AttemptKey key,
                        kelpspring::HttpResponse message);
  bool CanFailOver(const ActiveCall& active, kelpspring::AttemptKey key) const;
  void ReportHead(const CallPtr& active, const kelpspring::HttpResponse& head,
                  std::optional<std::uint64_t> length);
  // Reports the head of a stream if that has not been done yet.
  void ReportPendingHead(const CallPtr& active);
  bool ForwardEvents(const CallPtr& active, kelpspring::AttemptKey key, std::string_view part);
  void DeliverResponse(const CallPtr& active, kelpspring::HttpResponse message);
  void RecordActivity(ActiveCall& active);
  void ReportLoad(const ActiveCall& active, const kelpspring::HttpResponse& head);
  void ReportOutcome(kelpspring::AttemptKey key, policy::Outcome outcome, bool retry);
  void Finish(const CallPtr& active, CallEnd end, policy::Micros retry_after = 0);

  net::Loop& loop_;
  kelpspring::Log& log_;
  Options options_;
  kelpspring::Upstream upstream_;
  EndpointRegistry registry_;
  policy::Module module_;
  PolicyFeed feed_;
  net::TimerPtr timer_;
  policy::CallId last_call_ = 0;
  std::unordered_map<policy::CallId, CallPtr> calls_;
  std::deque<Decision> decisions_;
  bool executing_decisions_ = false;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ENDPOINT_CALLS_H_
