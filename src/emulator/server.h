// One server of the emulator, as a pure state machine: cores, slots, a bounded waiting room,
// warm-up, sticky choke, calls to the next tier that hold their slot. It reads no clock and does no
// I/O; time is an argument, what happens comes out as effects. Work that has begun is never
// stopped: a cancel or a time-out of the caller does not reach it.
#ifndef SHELFLAB_EMULATOR_SERVER_H_
#define SHELFLAB_EMULATOR_SERVER_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "emulator/spec.h"

namespace shelflab {

using JobId = std::uint64_t;

// A request in terms of work. `first` is done before the calls, `last` after them.
struct Job {
  JobId id = 0;
  double first = 0;
  double last = 0;
  std::uint32_t calls = 0;
};

struct ServerEffect {
  enum class Kind {
    kDone,      // The job has ended well.
    kFailed,    // A call of it failed, so the job did.
    kCall,      // The job now waits for its next call; CallDone tells how it went.
    kFellOver,  // Pushed over while cold: everything it held is lost.
  };
  Kind kind = Kind::kDone;
  JobId job = 0;
  Micros at = 0;
};

class Server {
 public:
  explicit Server(const ServerSpec& spec) : spec_(spec) {}

  // Starts with nothing in hand; `cold` at the cold share of its capacity.
  void Start(Micros now, bool cold);
  // Whether the job is taken: not if slots and waiting room are full. Call Advance first.
  bool Offer(Micros now, const Job& job);
  void CallDone(Micros now, JobId job, bool ok);
  // Its work takes `factor` times as long from now on; at least 1.
  void SetSlow(Micros now, double factor);
  // A paused server holds what it has and does nothing.
  void SetPaused(Micros now, bool paused);
  // Lets time pass; effects come in the order of their times, all at or before `now`.
  void Advance(Micros now, std::vector<ServerEffect>& effects);
  // When it next has something to do by itself; kNever if not. Never before the last Advance.
  Micros Next() const;

  std::size_t held() const { return jobs_.size(); }
  std::size_t waiting() const { return room_.size(); }
  std::size_t running() const { return running_.size(); }
  bool choked() const { return choked_; }
  // The share of its warm capacity that it has now, choke and slowness left out.
  double WarmShare(Micros now) const;
  // Core-time that it can do in a microsecond now, all counted.
  double Capacity(Micros now) const;

 private:
  struct Held {
    Job job;
    bool in_last = false;
  };
  struct Running {
    JobId job = 0;
    double left = 0;  // Work.
  };

  void Reprice(Micros now);
  void Settle(Micros now);
  void Fill();
  void Run(JobId job, double work);
  void EndSegment(Micros at, JobId job, std::vector<ServerEffect>& effects);
  void Leave(JobId job);
  void WatchCrowd(Micros now);
  void WatchFall(Micros now, double work);
  Micros NextCompletion() const;

  ServerSpec spec_;
  std::unordered_map<JobId, Held> jobs_;
  std::deque<JobId> room_;        // Waiting for a slot.
  std::deque<Running> ready_;     // In a slot, waiting for a core: first come, first served.
  std::vector<Running> running_;  // At most one for each core.
  std::deque<std::pair<Micros, double>> sent_;  // Work that came lately, while cold.
  double sent_sum_ = 0;
  double rate_ = 1;  // Work a microsecond of one core, valid since settled_.
  double slow_ = 1;
  Micros started_ = 0;
  Micros settled_ = 0;
  Micros next_warm_ = kNever;
  Micros crowded_since_ = kNever;
  Micros calm_since_ = kNever;
  std::uint32_t in_slots_ = 0;
  bool paused_ = false;
  bool cold_start_ = false;
  bool choked_ = false;
  bool fell_ = false;
};

}  // namespace shelflab

#endif  // SHELFLAB_EMULATOR_SERVER_H_
