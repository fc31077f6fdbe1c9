// A coordination store for several sidecars of one machine: `file:FOLDER`. The same semantics as
// any other (coordination::Model), kept in an SQLite database that the processes change in turn,
// each change whole or not at all. Leases run by the machine's time since it started, time asleep
// included; after a start of the machine each has its whole time again.
//
// The disk is touched on a thread of its own; whoever calls is told on the loop. Limits: 64 calls
// out, 4 MiB in all, the last 1,000 events for watches.
#ifndef SHELFLINK_STATE_SHARED_STORE_H_
#define SHELFLINK_STATE_SHARED_STORE_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "coordination/model.h"
#include "coordination/store.h"
#include "net/loop.h"

namespace state {

class SharedStore : public coordination::Store {
 public:
  static constexpr std::size_t kCalls = 64;
  static constexpr std::size_t kMostBytes = 4 << 20;
  static constexpr std::size_t kEvents = 1000;
  // Descriptors that it may hold: database, journal, folder.
  static constexpr std::size_t kDescriptors = 4;

  struct Setup {
    std::string folder;
    coordination::Micros within = 1'000'000;  // A call is given up after this.
    std::function<void(const std::string&)> log;
    std::size_t events = kEvents;  // Kept for watches; older ones are forgotten.
  };

  // Throws BadFolder (state/store.h) for a folder that is missing, not writable, a link or none.
  SharedStore(net::Loop& loop, Setup setup);
  ~SharedStore() override;
  SharedStore(const SharedStore&) = delete;
  SharedStore& operator=(const SharedStore&) = delete;

  void Grant(coordination::Micros ttl, coordination::Then<coordination::Lease> then) override;
  void KeepAlive(coordination::LeaseId lease,
                 coordination::Then<coordination::Lease> then) override;
  void Revoke(coordination::LeaseId lease, coordination::Then<bool> then) override;
  void Commit(const coordination::Txn& txn, coordination::Then<coordination::Done> then) override;
  std::unique_ptr<coordination::Watch> Open(const coordination::Range& range,
                                            coordination::Revision from,
                                            coordination::Watch::User user) override;

 private:
  class Disk;
  class FileWatch;
  using Step = std::function<void(coordination::Model& model, coordination::Micros now)>;
  // What has become of a step: kRefused where it was not done, kUnknown where that is not certain.
  using Ended = std::function<void(coordination::Fate fate, const std::string& why)>;
  struct Job {
    std::uint64_t id = 0;
    Step step;
    bool writes = true;
    coordination::Fate fate = coordination::Fate::kUnknown;
    std::string why;
  };

  template <typename T>
  void Do(std::function<T(coordination::Model&, coordination::Micros)> step,
          coordination::Then<T> then);
  void Put(Step step, bool writes, Ended ended);
  void Work();
  void Poll();
  void Look();
  void Complain(const std::string& why);

  net::Loop& loop_;
  Setup setup_;
  net::TimerPtr timer_;
  std::uint64_t last_id_ = 0;
  struct Out {
    net::Time until;
    Ended ended;
  };
  std::map<std::uint64_t, Out> out_;
  std::list<FileWatch*> watches_;
  net::Time look_at_{};
  bool looking_ = false;
  bool complained_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  // Between the loop's thread and the disk's.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::shared_ptr<Job>> jobs_;
  std::vector<std::shared_ptr<Job>> ended_;
  bool ending_ = false;
  std::unique_ptr<Disk> disk_;
  std::thread thread_;
};

}  // namespace state

#endif  // SHELFLINK_STATE_SHARED_STORE_H_
