// One key of the store that one process holds at a time: an ownership::Candidate with a store, a
// view and timers around it. A piece of work is such a key, and so is a member's record.
#ifndef SHELFLINK_FLEET_OFFICE_H_
#define SHELFLINK_FLEET_OFFICE_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/store.h"
#include "coordination/view.h"
#include "net/loop.h"
#include "ownership/candidate.h"

namespace fleet {

using Micros = std::int64_t;

class Office {
 public:
  // The key is held with `terms.name` as its value. `view` covers the key; whoever owns the view
  // calls OnView at its changes. `changed` is told when the key is won or lost.
  Office(net::Loop& loop, coordination::Store& store, const coordination::View& view,
         std::string key, ownership::Terms terms, std::function<void(bool owns)> changed);
  Office(const Office&) = delete;
  Office& operator=(const Office&) = delete;

  void OnView();
  // Gives the key up at once; `done` is called when the store has said so or has had its time.
  void Leave(std::function<void()> done);

  // Whether it may act for so long from now on, by the clock that counts sleep.
  bool Owns(Micros span = 0) const { return candidate_.Owns(Now(), span); }
  ownership::Fence fence() const { return candidate_.fence(); }
  const std::string& key() const { return key_; }

 private:
  Micros Now() const { return loop_.LastingMicros(); }
  void Proceed();
  void Carry(const ownership::Request& request);
  void Reply(const ownership::Reply& reply);
  void Release(const ownership::Request& request);

  net::Loop& loop_;
  coordination::Store& store_;
  const coordination::View& view_;
  std::string key_;
  ownership::Terms terms_;
  ownership::Candidate candidate_;
  std::function<void(bool)> changed_;
  net::TimerPtr timer_;
  net::TimerPtr leave_timer_;
  std::function<void()> left_;
  coordination::Revision seen_ = 0;  // At which the key stood in the view; 0: not there.
  bool told_ = false;                // That it owns.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fleet

#endif  // SHELFLINK_FLEET_OFFICE_H_
