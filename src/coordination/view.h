// What stands in a range of a coordination store, followed: read at a revision, watched from the
// next. A watch that breaks is opened again after a growing pause from where it stood; where that
// was compacted away the range is read anew.
#ifndef SHELFLINK_COORDINATION_VIEW_H_
#define SHELFLINK_COORDINATION_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/store.h"
#include "draws.h"
#include "net/loop.h"

namespace coordination {

class View {
 public:
  using Entries = std::map<std::string, Entry>;

  // `changed` is told after each change, and once after the first read. `store` must outlive it.
  View(net::Loop& loop, Store& store, Range range, std::uint64_t seed,
       std::function<void()> changed);
  View(const View&) = delete;
  View& operator=(const View&) = delete;

  // Whether it has been read at all, and whether it is followed at this moment. What a view says
  // may be old; whoever needs certainty compares in a transaction.
  bool known() const { return known_; }
  bool following() const { return watch_ != nullptr; }
  const Entries& entries() const { return entries_; }
  const Entry* Find(const std::string& key) const;
  // Of the keys that begin with it, by what follows that, in their order.
  std::map<std::string, const Entry*> Under(const std::string& prefix) const;
  Revision upto() const { return upto_; }
  // How often it was read whole.
  std::uint64_t reads() const { return reads_; }
  // Reads that were answered by a revision before one that is known: a server that lags, or a store
  // that has lost what it had. What is known stays; nothing newer is followed until it is there.
  std::uint64_t went_back() const { return went_back_; }

 private:
  void Read();
  void OnRead(const Answer<Done>& answer);
  void Follow();
  void OnEvents(const std::vector<Event>& events, Revision upto);
  // The watch is not destroyed from inside its own call.
  void Retire();
  void Pause(bool read);

  net::Loop& loop_;
  Store& store_;
  Range range_;
  gaugecart::Draws draws_;
  std::function<void()> changed_;
  net::TimerPtr timer_;
  std::unique_ptr<Watch> watch_;
  bool known_ = false;
  bool read_next_ = true;
  int failures_ = 0;  // In a row.
  Entries entries_;
  Revision upto_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t went_back_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace coordination

#endif  // SHELFLINK_COORDINATION_VIEW_H_
