// Drives a load over sockets: open loop, each request sent when it is meant to be or as soon after
// that as a client is free, with the clients' own time-outs and retries. Single-threaded.
#ifndef SHELFLAB_LAB_LOADRUN_H_
#define SHELFLAB_LAB_LOADRUN_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "emulator/load.h"
#include "lab/caller.h"
#include "lab/lateness.h"
#include "lab/plan.h"
#include "lab/tally.h"

namespace shelflab {

// Deals out connections among the sidecars, in turn; one that could not be reached is left out for
// a second, or, once it has been told of one, for as long as it is told.
class Front {
 public:
  explicit Front(std::vector<Caller::Endpoint> targets)
      : targets_(std::move(targets)), out_until_(targets_.size()) {}
  // From now on it is told who is there, and finds out nothing by itself.
  void Tell(std::size_t target, bool in);
  // None if no target is known.
  std::optional<Caller::Endpoint> Next(Micros now);
  void Unreached(const Caller::Endpoint& target, Micros now);
  // Its place among the targets.
  std::uint32_t PlaceOf(const Caller::Endpoint& target) const;

 private:
  std::vector<Caller::Endpoint> targets_;
  std::vector<Micros> out_until_;
  bool told_ = false;
  std::size_t turn_ = 0;
};

class LoadRun {
 public:
  LoadRun(boost::asio::io_context& io, const Plan& plan, std::vector<Caller::Endpoint> targets,
          std::uint64_t seed, const SeenSink& seen);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  // Opens every client's connection ahead of time.
  void Connect();
  // The front is told whether it may deal connections to a target, by its place among them.
  void TellFront(std::size_t target, bool in) { front_.Tell(target, in); }
  // Intended times count from `start` on the lab's clock; `done` is called when the last request
  // has ended.
  void Start(Micros start, std::function<void()> done);
  // No more arrivals; open requests are left.
  void Stop();

  const Tally& tally() const { return tally_; }
  std::uint64_t arrivals() const { return arrived_; }
  std::uint64_t ended() const { return ended_; }
  std::size_t open() const { return clients_.size() - idle_.size() + waiting_.size(); }
  // From the intended time to when a client had the request in hand.
  const Lateness& lateness() const { return late_; }
  // Arrivals that found every client busy; their wait is in their latency, but it is the lab's.
  std::uint64_t starved() const { return starved_; }
  std::uint64_t connections() const;

 private:
  struct Client;

  void Next();
  void Arrive(const Arrival& arrival);
  void Begin(Client& client, const Arrival& arrival);
  void Try(Client& client);
  void Tried(Client& client, const CallResult& result);
  void End(Client& client, TryEnd end, Micros at);
  void CheckDone();

  boost::asio::io_context& io_;
  Plan plan_;
  Front front_;
  Arrivals arrivals_;
  Random random_;
  Tally tally_;
  boost::asio::steady_timer timer_;
  Micros start_ = 0;
  std::optional<Arrival> next_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::deque<Client*> idle_;
  std::deque<Arrival> waiting_;
  std::function<void()> done_;
  Lateness late_;
  // Another thread may look at these two while the load runs.
  std::atomic<std::uint64_t> arrived_ = 0;
  std::atomic<std::uint64_t> ended_ = 0;
  std::uint64_t starved_ = 0;
  bool stopped_ = false;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_LOADRUN_H_
