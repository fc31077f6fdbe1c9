#include "state/keeper.h"

#include <utility>

namespace state {

Keeper::Keeper(Store& store, std::chrono::milliseconds pause,
               std::function<void(const std::string&)> failed)
    : store_(store), pause_(pause), failed_(std::move(failed)), thread_([this] { Run(); }) {}

Keeper::~Keeper() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void Keeper::Put(Snapshot snapshot) {
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(snapshot);
  }
  wake_.notify_one();
}

void Keeper::Run() {
  bool well = true;
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return ending_ || next_; });
    if (!next_) return;
    const Snapshot snapshot = *std::exchange(next_, std::nullopt);
    lock.unlock();
    const std::string fault = store_.Save(snapshot);
    if (!fault.empty() && well) failed_(fault);
    well = fault.empty();
    lock.lock();
    wake_.wait_for(lock, pause_, [this] { return ending_; });
  }
}

}  // namespace state
