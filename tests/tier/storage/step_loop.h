// A loop without clock, timers and sockets, for what only posts steps: they run when told.
#ifndef SHELFLINK_TESTS_TIER_STORAGE_STEP_LOOP_H_
#define SHELFLINK_TESTS_TIER_STORAGE_STEP_LOOP_H_

#include <deque>
#include <functional>
#include <utility>

#include "net/loop.h"

namespace shelflink::storage {

// Runs posted steps when told; storage needs nothing else of a loop.
class StepLoop : public net::Loop {
 public:
  net::Time Now() const override { return {}; }
  std::int64_t WallMicros() const override { return 0; }
  std::int64_t LastingMicros() const override { return 0; }
  net::TimerPtr NewTimer(std::function<void()>) override { return nullptr; }
  void Post(std::function<void()> step) override { steps_.push_back(std::move(step)); }
  net::StreamPtr Dial(const net::Address&, net::StreamUser&) override { return nullptr; }
  net::ListenerPtr Listen(const net::Address&) override { return nullptr; }
  net::DatagramsPtr Bind(const net::Address&, net::Datagrams::OnMessage) override {
    return nullptr;
  }
  void Run() {
    while (!steps_.empty()) {
      const auto step = std::move(steps_.front());
      steps_.pop_front();
      step();
    }
  }

 private:
  std::deque<std::function<void()>> steps_;
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TESTS_TIER_STORAGE_STEP_LOOP_H_
