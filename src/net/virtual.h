// The seam on a virtual network with a virtual clock: machines, processes, connections and
// datagrams in one thread, one seed for one history. Time passes only from event to event, and
// whatever can happen to bytes between two machines can be made to happen here.
//
// Events of one instant come in an order that the seed draws, save where cause and effect or the
// order of a byte stream leave no choice: so two things that coincide are met both ways round.
#ifndef SHELFLINK_NET_VIRTUAL_H_
#define SHELFLINK_NET_VIRTUAL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "net/loop.h"

namespace net {

class VirtualNet;
class VirtualProcess;
struct VirtualConnection;

// What the network does to everything that it carries.
struct Weather {
  Span latency_low = std::chrono::microseconds(100);
  Span latency_high = std::chrono::microseconds(500);
  // Arrivals fall on multiples of this, which makes coincidences common.
  Span grain = std::chrono::microseconds(1);
  double late = 0;  // Share of segments that take `late_by` longer; order within a stream is kept.
  Span late_by = std::chrono::milliseconds(20);
  double cut = 0;              // Share of writes that are cut into several segments, at any byte.
  double reset = 0;            // Share of segments in whose place the connection breaks for both.
  double refuse = 0;           // Share of dials that are refused.
  double ignore = 0;           // Share of dials that are never answered.
  std::size_t window = 65536;  // Bytes under way and unread in one direction; 1 at least.
  double lose = 0;             // Share of datagrams that are lost,
  double repeat = 0;           // and that come twice.
};

// Time does not move: the number of events within a millisecond passed all measure.
struct TimeStands : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the network tells of itself, for a timeline. The text is made only if somebody listens.
using NetWatcher = std::function<void(Time at, const std::string& text)>;

// A process on a machine, as a Loop. Dies with all it holds; another may then take its place. The
// object must outlive all that was made by it, dead or not.
class VirtualProcess : public Loop {
 public:
  VirtualProcess(VirtualNet& net, std::uint32_t host, std::string name, std::size_t descriptors);
  ~VirtualProcess() override;
  VirtualProcess(const VirtualProcess&) = delete;
  VirtualProcess& operator=(const VirtualProcess&) = delete;

  Time Now() const override;
  std::int64_t WallMicros() const override;
  std::int64_t LastingMicros() const override;
  TimerPtr NewTimer(std::function<void()> fired) override;
  void Post(std::function<void()> step) override;
  StreamPtr Dial(const Address& to, StreamUser& user) override;
  ListenerPtr Listen(const Address& at) override;
  DatagramsPtr Bind(const Address& at, Datagrams::OnMessage on_message) override;

  // Its connections are reset, its listeners are gone, nothing of it runs any more.
  void Kill() { End(true); }
  // The same, but its connections are closed in order.
  void Exit() { End(false); }
  // Stands still: the machine goes on, the program does not. What came due runs afterwards.
  void SetPaused(bool paused);
  // Steps its wall clock.
  void StepWall(std::int64_t micros) { wall_step_ += micros; }
  void SetDescriptors(std::size_t most) { most_descriptors_ = most; }

  bool alive() const { return alive_; }
  const std::string& name() const { return name_; }
  std::uint32_t host() const { return host_; }
  std::size_t descriptors() const { return descriptors_; }
  std::size_t most_descriptors_held() const { return peak_descriptors_; }
  // How often one was wanted and none was left.
  std::uint64_t refused_descriptors() const { return refused_descriptors_; }
  std::size_t timers_armed() const { return timers_armed_; }

 private:
  friend class VirtualNet;
  friend class VirtualListener;
  friend class VirtualTimer;
  friend class VirtualStream;
  friend class VirtualDatagrams;

  void End(bool reset);
  bool TakeDescriptor();
  void ReleaseDescriptor() { --descriptors_; }

  VirtualNet& net_;
  std::uint32_t host_;
  std::string name_;
  std::size_t most_descriptors_;
  std::size_t descriptors_ = 0;
  std::size_t peak_descriptors_ = 0;
  std::uint64_t refused_descriptors_ = 0;
  std::size_t timers_armed_ = 0;
  std::int64_t wall_step_ = 0;
  bool alive_ = true;
  bool paused_ = false;
  std::uint64_t life_;  // Unlike that of any other process, also of one at the same place.
  std::vector<std::function<void()>> deferred_;
};

class VirtualNet {
 public:
  // `start` is the wall clock at time 0, in microseconds since 1970.
  explicit VirtualNet(std::uint64_t seed, std::int64_t start = 1'700'000'000'000'000);
  ~VirtualNet();
  VirtualNet(const VirtualNet&) = delete;
  VirtualNet& operator=(const VirtualNet&) = delete;

  Time Now() const { return now_; }
  // Runs the next event; false if there is none. Throws TimeStands.
  bool Step();
  // Runs all that is due until then. `after` is called after each event.
  void RunUntil(Time until, const std::function<void()>& after = nullptr);
  // For the embedder's own steps; they belong to no process.
  void At(Time at, std::function<void()> step);

  void SetWeather(const Weather& weather) { weather_ = weather; }
  const Weather& weather() const { return weather_; }
  // Of what goes between these two, in place of the general one.
  void SetWeather(std::uint32_t a, std::uint32_t b, const Weather& weather);
  void ClearWeather() { link_weather_.clear(); }
  // Cuts a machine off, or two from each other: nothing is said, nothing comes up. What was under
  // way arrives after the end of the cut, unless its process has died by then.
  void SetCutOff(std::uint32_t host, bool cut);
  void SetCut(std::uint32_t a, std::uint32_t b, bool cut);
  // Only what goes this way is cut. No connection comes up between the two meanwhile.
  void SetOneWayCut(std::uint32_t from, std::uint32_t to, bool cut);
  // Breaks every connection between a and b, both ends told.
  void ResetBetween(std::uint32_t a, std::uint32_t b);
  // Connections between these that carry nothing at this moment are forgotten by the network:
  // neither end is told, and what is written to one next breaks it.
  void ForgetIdle(std::uint32_t a, std::uint32_t b);

  // Whether anything passes that way now.
  bool Reaches(std::uint32_t from, std::uint32_t to) const { return !IsCut(from, to); }
  // Whether the network, and neither of its ends, broke this stream.
  static bool BrokenByNet(const Stream& stream);
  // When what was last written to the stream arrives at the other end.
  static Time Arrival(const Stream& stream);
  // When the newest bytes reached this end's machine, whether or not its process has read them.
  static Time Reached(const Stream& stream);
  // When the other end wrote the first of the bytes that this end was given last: a cut may have
  // held them up for long.
  static Time FirstWritten(const Stream& stream);
  // Bytes written to the other end so far.
  static std::uint64_t Sent(const Stream& stream);
  // Calls it when so many of these have reached the other end's machine, before its process reads
  // them; at once if they have, never if the other end lets go of it first.
  static void WhenCame(Stream& stream, std::uint64_t bytes, std::function<void()> step);
  // When the other end's process took the connection from its backlog; Time::max() if it has not.
  static Time Accepted(const Stream& stream);
  // Closes the stream so that the other end is told at that instant, or as soon as can be.
  static void CloseArriving(Stream& stream, Time at);

  // Of all events so far: when, what, where. Equal for equal histories.
  std::uint64_t hash() const { return hash_; }
  std::uint64_t events() const { return events_; }
  // Drops all that is planned, with what it holds: the end of the world.
  void Clear();
  std::size_t connections() const { return connections_.size(); }
  void SetWatcher(NetWatcher watcher) { watcher_ = std::move(watcher); }
  // Events within a millisecond; more of them, and time stands.
  void SetMostAtOnce(std::uint64_t events) { most_at_once_ = events; }

 private:
  friend class VirtualProcess;
  friend class VirtualListener;
  friend class VirtualTimer;
  friend class VirtualStream;
  friend class VirtualDatagrams;
  friend struct VirtualConnection;

  struct Event {
    Time at;
    std::uint32_t rank;  // Drawn; decides between those of one instant.
    std::uint64_t order;
    std::uint32_t tag;
    std::function<void()> step;
    bool operator<(const Event& o) const {  // For a heap with the earliest on top.
      return std::tie(at, rank, order) > std::tie(o.at, o.rank, o.order);
    }
  };
  struct Bound {
    VirtualProcess* process;
    Datagrams::OnMessage on_message;
  };

  void Put(Time at, std::uint32_t rank, std::uint32_t tag, std::function<void()> step);
  // In an order that is drawn.
  void PutDrawn(Time at, std::uint32_t tag, std::function<void()> step);
  // Of a process: dropped if it is dead by then, put off while it is paused.
  void PutFor(VirtualProcess& process, Time at, bool drawn, std::uint32_t tag,
              std::function<void()> step);
  void RunFor(std::uint64_t life, const std::function<void()>& step);
  const Weather& WeatherBetween(std::uint32_t a, std::uint32_t b) const;
  bool IsCut(std::uint32_t from, std::uint32_t to) const;
  Time Later(Span by, Span grain) const;
  Time Travel(std::uint32_t a, std::uint32_t b);
  void Healed();
  void Hold(std::uint32_t from, std::uint32_t to, std::function<void()> step);
  void Note(const std::function<std::string()>& text);
  void Mix(std::uint64_t word);

  void Knock(const std::shared_ptr<VirtualConnection>& connection);
  void Carry(const std::shared_ptr<VirtualConnection>& c, int to, std::string bytes, Time at);
  void Arrive(const std::shared_ptr<VirtualConnection>& c, int to, const std::string& bytes,
              Time written);
  void SendEnd(const std::shared_ptr<VirtualConnection>& c, int to, Time at);
  void SendBreak(const std::shared_ptr<VirtualConnection>& c, int to);
  void Break(const std::shared_ptr<VirtualConnection>& c, int side);
  void Serve(const std::shared_ptr<VirtualConnection>& c, int side);
  void Drain(const std::shared_ptr<VirtualConnection>& c, int side);
  void Shut(const std::shared_ptr<VirtualConnection>& c, int side, bool reset, Time at);
  Written WriteTo(const std::shared_ptr<VirtualConnection>& c, int side, std::string_view bytes);

  shelflab::Random random_;
  std::int64_t wall_start_;
  Time now_{};
  std::vector<Event> queue_;  // A heap.
  std::uint64_t orders_ = 0;
  std::uint64_t hash_ = 0x9e3779b97f4a7c15;
  std::uint64_t events_ = 0;
  Time moment_{};  // Since when `at_once_` counts.
  std::uint64_t at_once_ = 0;
  std::uint64_t most_at_once_ = 200'000;
  std::uint64_t lives_ = 0;
  std::map<std::uint64_t, VirtualProcess*> processes_;  // Those alive, by life.
  Weather weather_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Weather> link_weather_;
  std::set<std::uint32_t> cut_off_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> one_way_cuts_;  // From, to.
  struct Held {
    std::uint32_t from;
    std::uint32_t to;
    std::function<void()> step;
  };
  std::vector<Held> held_;  // What waits for the end of a cut.
  std::map<Address, class VirtualListener*> listeners_;
  std::map<Address, Bound> bound_;
  std::map<std::uint64_t, std::shared_ptr<VirtualConnection>>
      connections_;  // Not over at both ends.
  std::uint64_t next_connection_ = 0;
  std::uint16_t next_port_ = 20000;
  NetWatcher watcher_;
};

}  // namespace net

#endif  // SHELFLINK_NET_VIRTUAL_H_
