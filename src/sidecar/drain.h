// Whether this process takes work, and who wants it otherwise: the one state machine that operators
// and SIGTERM ask, and that /_health, /ready and the server read. No clock, no I/O.
#ifndef KELPSPRING_DRAIN_H_
#define KELPSPRING_DRAIN_H_

namespace kelpspring {

class Drain {
 public:
  enum class State {
    kServing,
    kDrained,  // By an operator; the process stays.
    kLeaving,  // By SIGTERM; there is no way back.
  };

  State state() const { return state_; }
  // Whether anything has changed.
  bool Begin() {
    if (state_ != State::kServing) return false;
    state_ = State::kDrained;
    return true;
  }
  bool End() {
    if (state_ != State::kDrained) return false;
    state_ = State::kServing;
    return true;
  }
  // `succeeded`: another process goes on at the same listening socket.
  bool Leave(bool succeeded) {
    if (state_ == State::kLeaving) return false;
    succeeded_ = succeeded;
    was_drained_ = state_ == State::kDrained;
    state_ = State::kLeaving;
    return true;
  }

  bool serving() const { return state_ == State::kServing; }
  // For the front. It sees one sidecar: where another process goes on at the same address, this
  // one's end is no news.
  bool healthy() const {
    return serving() || (state_ == State::kLeaving && succeeded_ && !was_drained_);
  }

 private:
  bool succeeded_ = false;
  bool was_drained_ = false;
  State state_ = State::kServing;
};

}  // namespace kelpspring

#endif  // KELPSPRING_DRAIN_H_
