// Writes snapshots behind the loop's back: the loop hands over the newest, a thread of its own puts
// it on the disk, so often and no oftener. The newest is what counts: one not yet written is
// replaced by the next.
#ifndef SHELFLINK_STATE_KEEPER_H_
#define SHELFLINK_STATE_KEEPER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "state/store.h"

namespace state {

class Keeper {
 public:
  // `failed` is told, on the keeper's thread, what went wrong, once until a write has gone well
  // again. `store` must outlive it.
  Keeper(Store& store, std::chrono::milliseconds pause,
         std::function<void(const std::string&)> failed);
  // Writes what is still to be written; waits for that.
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // Never blocks on the disk.
  void Put(Snapshot snapshot);

 private:
  void Run();

  Store& store_;
  std::chrono::milliseconds pause_;
  std::function<void(const std::string&)> failed_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Snapshot> next_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace state

#endif  // SHELFLINK_STATE_KEEPER_H_
