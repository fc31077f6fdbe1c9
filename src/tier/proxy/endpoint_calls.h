// Calls over the decision module and the connections to endpoints.
//
// The module says where each attempt goes; this carries it out, tells it what came of it, and joins
// the attempts of one call into one answer. It holds one attempt of a call at a time. What bounds
// it: ModuleConfig::max_calls calls (the module refuses more), LiveCall::kMostSends sends a call,
// kHeldAnswer bytes of an answer that is held whole, EventStream::kLongestEvent of one event.
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
#include "tier/proxy/calls.h"
#include "tier/proxy/endpoint_registry.h"
#include "tier/proxy/list_state.h"
#include "tier/proxy/live_call.h"
#include "tier/proxy/module_feed.h"

namespace shelflink::proxy {

class EndpointCalls : public Calls, private policy::Actions, private kelpspring::AttemptUser {
 public:
  struct Options {
    std::string node;
    std::string zone;
    std::uint64_t seed = 0;
    std::size_t most_held = 4096;
    std::function<ListState()> list_state = {};  // Empty: nothing is known of the list's age.
  };

  EndpointCalls(net::Loop& loop, kelpspring::Log& log, kelpspring::SocketBudget& budget,
                Options options);
  ~EndpointCalls() override;
  EndpointCalls(const EndpointCalls&) = delete;
  EndpointCalls& operator=(const EndpointCalls&) = delete;

  // The view has changed in any of its parts; what did not change costs little.
  void OnView(const cluster::View& view);

  policy::CallId Start(CallRequest request, CallUser& user) override;
  void Resume(policy::CallId call) override;
  void Cancel(policy::CallId call) override;
  std::uint32_t BatchRoom() const override;
  policy::BatchState batch() const { return module_.batch(); }

  // Tokens of calls at endpoints and of calls that wait, by service.
  struct Load {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
  };
  std::map<std::string, Load> Loads() const;

  std::size_t held() const { return calls_.size(); }
  std::uint64_t dials() const { return upstream_.dials(); }

 private:
  using LivePtr = std::shared_ptr<LiveCall>;
  // What the module decided, carried out once it has returned.
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

  LivePtr Find(policy::CallId call) const;
  LivePtr FindAttempt(kelpspring::AttemptKey key) const;  // Null unless it is the present one.
  policy::Call DescriptionOf(const LiveCall& live, policy::CallId call) const;

  void CarryOut();
  void StartAttempt(const Decision& decision);
  bool IsForbidden(LiveCall& live) const;
  ListState ListStateNow() const;
  void CheckList(const LiveCall& live, const KnownEndpoint& known) const;
  void CheckDraining(const LiveCall& live) const;
  void EndAttempt(kelpspring::AttemptKey key, kelpspring::Answer answer);
  void EndUnsent(const LivePtr& live, kelpspring::AttemptKey key, policy::Outcome outcome);
  void EndBroken(const LivePtr& live, kelpspring::AttemptKey key, policy::Outcome outcome);
  void EndStream(const LivePtr& live, kelpspring::AttemptKey key);
  void EndAnswered(const LivePtr& live, kelpspring::AttemptKey key,
                   kelpspring::HttpResponse message);
  bool CanMove(const LiveCall& live, kelpspring::AttemptKey key) const;
  void TellHead(const LivePtr& live, const kelpspring::HttpResponse& head,
                std::optional<std::uint64_t> length);
  void TellPendingHead(const LivePtr& live);  // Of a stream, where it has not been told.
  bool TellEvents(const LivePtr& live, kelpspring::AttemptKey key, std::string_view part);
  void HandOver(const LivePtr& live, kelpspring::HttpResponse message);
  void NoteHeard(LiveCall& live);
  void NoteLoad(const LiveCall& live, const kelpspring::HttpResponse& head);
  void Tell(kelpspring::AttemptKey key, policy::Outcome outcome, bool again);
  void Finish(const LivePtr& live, CallEnd end, policy::Micros retry_after = 0);

  net::Loop& loop_;
  kelpspring::Log& log_;
  Options options_;
  kelpspring::Upstream upstream_;
  EndpointRegistry registry_;
  policy::Module module_;
  ModuleFeed feed_;
  net::TimerPtr timer_;
  policy::CallId last_call_ = 0;
  std::unordered_map<policy::CallId, LivePtr> calls_;
  std::deque<Decision> decisions_;
  bool carrying_out_ = false;
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_ENDPOINT_CALLS_H_
