// A stand-in for proxy::Calls that a test drives by hand: it keeps what was started, and the test
// says what the endpoints answer.
#ifndef SHELFLINK_TESTS_TIER_BATCH_SCRIPTED_CALLS_H_
#define SHELFLINK_TESTS_TIER_BATCH_SCRIPTED_CALLS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tier/proxy/calls.h"

namespace shelflink::batch {

class ScriptedCalls final : public proxy::Calls {
 public:
  struct Open {
    proxy::CallRequest request;
    proxy::CallUser* user = nullptr;
    bool sent = false;
  };

  policy::CallId Start(proxy::CallRequest request, proxy::CallUser& user) override {
    const policy::CallId call = next_++;
    started.push_back(request);
    open[call] = {std::move(request), &user, false};
    return call;
  }
  void Resume(policy::CallId) override {}
  void Cancel(policy::CallId call) override {
    open.erase(call);
    cancelled.push_back(call);
  }
  std::uint32_t BatchCapacity() const override { return room; }

  // The call with that item's id; 0: none is open.
  policy::CallId CallOf(const std::string& item) const {
    for (const auto& [call, entry] : open) {
      if (entry.request.request_id == item) return call;
    }
    return 0;
  }

  // What an implementation does at the moment of sending: false where the user forbids it, and the
  // call is over then.
  bool Send(policy::CallId call) {
    Open& entry = open.at(call);
    if (!entry.user->MaySend()) {
      End(call, {entry.sent ? proxy::CallEnd::kBroken : proxy::CallEnd::kRefused, 0, std::nullopt,
                 entry.sent});
      return false;
    }
    entry.sent = true;
    return true;
  }
  void Head(policy::CallId call, int status, bool stamped = true) {
    proxy::HeaderList headers{{"Content-Type", "text/event-stream"}};
    if (stamped) headers.emplace_back("shelflink-response-stamp", "3e1b.07");
    open.at(call).user->OnHead(status, headers, std::nullopt);
  }
  // Nothing where the user has cancelled the call.
  void Event(policy::CallId call, std::optional<std::uint64_t> id, const std::string& data) {
    const auto found = open.find(call);
    if (found != open.end()) found->second.user->OnEvent({id, data});
  }
  // Bytes of the answer as they came, whole events or what stands behind the last.
  void Body(policy::CallId call, std::string_view bytes) {
    const auto found = open.find(call);
    if (found != open.end()) found->second.user->OnBody(bytes);
  }
  void End(policy::CallId call, const proxy::CallSummary& summary) {
    proxy::CallUser* user = open.at(call).user;
    open.erase(call);
    user->OnEnd(summary);
  }
  void Complete(policy::CallId call, int status = 200) {
    End(call, {proxy::CallEnd::kComplete, status, std::nullopt, true});
  }
  // All of an answer: events from `first` on with the data "e<id>".
  void Answer(policy::CallId call, std::uint64_t first, std::uint64_t last) {
    Send(call);
    Head(call, 200);
    for (std::uint64_t id = first; id <= last; ++id) Event(call, id, "e" + std::to_string(id));
    Complete(call);
  }

  std::map<policy::CallId, Open> open;
  std::vector<proxy::CallRequest> started;
  std::vector<policy::CallId> cancelled;
  std::uint32_t room = 100;

 private:
  policy::CallId next_ = 1;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_SCRIPTED_CALLS_H_
