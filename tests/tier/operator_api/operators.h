// Operators as PROTOCOL.md has them: each sends one order at a time to any core process, moves to
// another after a failure, a 5xx or a second of silence, follows redirects, and ends at once on
// 400, 409, 412, 413. They send orders on the newest version and on stale ones, the same number for
// different documents, valid and invalid ones, PUT and PATCH, and old orders again.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATORS_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATORS_H_

#include <algorithm>
#include <functional>
#include <string>

#include "operator_api/operator_rig.h"

namespace shelflink::operator_api {

class Operator {
 public:
  Operator(OperatorRig& rig, std::size_t index, std::uint64_t seed)
      : rig_(rig), host_(kOperatorHosts + static_cast<std::uint32_t>(index)), random_(seed) {}

  std::uint32_t host() const { return host_; }
  bool idle() const { return order_ == nullptr; }
  void Stop() { stopped_ = true; }

  // To be called often.
  void Tick() {
    const net::Time now = rig_.Now();
    if (order_ != nullptr && awaited_ && now - asked_at_ >= kSilence) NoAnswer();
    if (now < next_at_ || awaited_) return;
    if (order_ == nullptr) {
      if (stopped_) return;
      if (random_.Chance(0.2)) {
        rig_.SendRead(host_, AnyCore(), nullptr);
        next_at_ = now + kGrid;
        return;
      }
      Begin(Next());
    }
    Ask();
  }
  // A new order on that base; the answers to its first tries are lost as the draw says.
  void Begin(SentOrder& sent) {
    order_ = &sent;
    rig_.history.CallBegun(sent);
    tries_ = 0;
    losses_ = random_.Chance(0.5) ? random_.Below(16) : 0;
    pause_ = kFirstPause;
  }

 private:
  static constexpr milliseconds kSilence{1000};
  static constexpr milliseconds kFirstPause{50};
  static constexpr milliseconds kLongestPause{800};
  static constexpr milliseconds kGrid{200};  // Orders of two operators often start together.
  static constexpr std::uint64_t kMostTries = 12;

  OperatorCore& AnyCore() { return *rig_.cores[random_.Below(rig_.cores.size())]; }

  SentOrder& Next() {
    const OrderHistory& history = rig_.history;
    if (!history.orders().empty() && random_.Chance(0.25)) return Earlier();
    const std::uint64_t newest = history.newest();
    std::uint64_t base = newest;
    if (random_.Chance(0.15)) base = random_.Below(newest + 3);
    std::uint64_t version = newest + 1 + (random_.Chance(0.6) ? 0 : random_.Below(3));
    if (random_.Chance(0.1)) version = 1 + random_.Below(newest + 2);
    const std::string note = std::to_string(host_ & 0xffU) + "-" + std::to_string(++notes_);
    SentOrder& sent = newest > 0 && random_.Chance(0.4) ? rig_.NewPatch(base, version, note)
                                                        : rig_.NewPut(base, version, note);
    if (random_.Chance(0.12)) Spoil(sent);
    return sent;
  }
  // Any order of the past, whatever has become of it.
  SentOrder& Earlier() {
    const auto& orders = rig_.history.orders();
    const std::size_t recent = std::min<std::size_t>(orders.size(), 12);
    const std::size_t back = 1 + random_.Below(random_.Chance(0.5) ? recent : orders.size());
    return const_cast<SentOrder&>(orders[orders.size() - back]);
  }
  void Spoil(SentOrder& sent) {
    sent.valid = false;
    std::string& body = sent.order.body;
    if (random_.Chance(0.3)) {
      body.resize(body.size() - 1);  // Cannot be read whole.
    } else if (sent.order.method == configuration::ChangeMethod::kPut) {
      const std::string timeout = R"("timeoutMs":1000)";
      body.replace(body.find(timeout), timeout.size(), R"("timeoutMs":0)");
    } else {
      body.replace(body.size() - 1, 1, R"(,"remove":{"services":["big"]}})");  // In use.
    }
  }

  void Ask() {
    awaited_ = true;
    asked_at_ = rig_.Now();
    const bool lost = (losses_ >> std::min<std::uint64_t>(tries_, 63) & 1U) != 0;
    ++tries_;
    const std::uint64_t call = ++calls_;
    rig_.Send(
        host_, AnyCore(), *order_,
        [this, lost, call](int status) {
          if (!lost && call == calls_) Answered(status);
        },
        [this, lost, call] { return !lost && call == calls_; });
  }
  void Answered(int status) {
    awaited_ = false;
    ++calls_;
    if (status == status::kOk || status < 500) {
      if (status != status::kOk) rig_.history.CallRefused(*order_);
      Over();
    } else {
      Again();
    }
  }
  void NoAnswer() {
    awaited_ = false;
    ++calls_;
    Again();
  }
  // Some give an order up before they know; it may be sent again much later.
  void Again() {
    if (tries_ >= kMostTries || (!stopped_ && random_.Chance(0.05))) return Over();
    next_at_ = rig_.Now() + pause_;
    pause_ = std::min(pause_ * 2, kLongestPause);
  }
  void Over() {
    order_ = nullptr;
    const auto now = std::chrono::duration_cast<milliseconds>(rig_.Now().time_since_epoch());
    next_at_ = net::Time((now / kGrid + 1 + static_cast<int>(random_.Below(3))) * kGrid);
  }

  OperatorRig& rig_;
  std::uint32_t host_;
  shelflab::Random random_;
  SentOrder* order_ = nullptr;  // Under way.
  std::uint64_t tries_ = 0;
  std::uint64_t losses_ = 0;  // A bit a try: its answer is lost.
  std::uint64_t calls_ = 0;
  std::uint64_t notes_ = 0;
  bool awaited_ = false;
  bool stopped_ = false;
  net::Time asked_at_{};
  net::Time next_at_{};
  milliseconds pause_ = kFirstPause;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_OPERATORS_H_
