// An OperatorService that records the orders it is given and answers them when the test asks it to.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_FAKE_SERVICE_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_FAKE_SERVICE_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/operator_api/service.h"

namespace shelflink::operator_api {

class FakeService : public OperatorService {
 public:
  explicit FakeService(net::Loop& loop) : loop_(loop) {}

  bool is_primary() const override { return is_primary_here; }
  std::optional<net::Address> primary() const override { return known_primary; }

  void ChangeConfiguration(configuration::ChangeOrder order, ChangeDone done) override {
    changes.push_back(std::move(order));
    Answer(std::move(done), change_result);
  }
  void ReadConfiguration(DocumentDone done) override {
    ++reads;
    Answer(std::move(done), document_result);
  }
  void Retire(RetireOrder order, RetireDone done) override {
    retirements.push_back(std::move(order));
    Answer(std::move(done), retire_result);
  }
  void ReadRetireState(std::string node, RetireStateDone done) override {
    asked_states.push_back(std::move(node));
    Answer(std::move(done), state_result);
  }

  // Answers the orders that are held, the oldest first.
  void Release() {
    std::vector<std::function<void()>> steps;
    steps.swap(held_);
    for (const auto& step : steps) loop_.Post(step);
  }
  std::size_t held() const { return held_.size(); }

  bool is_primary_here = false;
  std::optional<net::Address> known_primary;
  bool hold = false;  // Whether orders wait for Release.

  Result<OrderOutcome> change_result = OrderOutcome(Acknowledged{});
  Result<std::string> document_result = std::string("{}");
  Result<OrderOutcome> retire_result = OrderOutcome(Acknowledged{});
  Result<RetireState> state_result = RetireState::kRunning;

  std::vector<configuration::ChangeOrder> changes;
  std::vector<RetireOrder> retirements;
  std::vector<std::string> asked_states;
  int reads = 0;

 private:
  template <typename Done, typename Outcome>
  void Answer(Done done, const Outcome& outcome) {
    std::function<void()> step = [done = std::move(done), outcome] { done(outcome); };
    if (hold) {
      held_.push_back(std::move(step));
    } else {
      loop_.Post(std::move(step));
    }
  }

  net::Loop& loop_;
  std::vector<std::function<void()>> held_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_FAKE_SERVICE_H_
