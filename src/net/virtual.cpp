#include "net/virtual.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace net {

namespace {

constexpr std::size_t kReadChunk = 16384;              // Bytes told at a time, as on sockets.
constexpr std::size_t kBacklog = 128;                  // Connections that wait to be accepted.
constexpr auto kKnockAgain = std::chrono::seconds(1);  // As a machine does whose SYN was dropped.
constexpr auto kOneAfter = std::chrono::nanoseconds(1);
constexpr auto kMoment = std::chrono::milliseconds(1);

// Of events, for the hash.
enum Tag : std::uint32_t {
  kOwnStep = 1,
  kTimerTag,
  kPostTag,
  kKnockTag,
  kUpTag,
  kAcceptTag,
  kBytesTag,
  kEndTag,
  kBreakTag,
  kServeTag,
  kRoomTag,
  kDatagramTag,
  kResumeTag,
};

std::pair<std::uint32_t, std::uint32_t> Pair(std::uint32_t a, std::uint32_t b) {
  return {std::min(a, b), std::max(a, b)};
}

}  // namespace

struct VirtualConnection {
  struct End {
    std::uint32_t host = 0;
    std::uint64_t life = 0;  // Of the process that holds it; 0: the machine, until it is accepted.
    StreamUser* user = nullptr;
    Address address;
    bool open = false;
    std::string arrived;  // And not yet asked for.
    std::size_t under_way = 0;
    Time last_arrival;       // Of all that goes to this end.
    Time reached;            // When the newest bytes did.
    Time written;            // When the other end wrote the oldest byte not yet read here.
    std::uint64_t sent = 0;  // Bytes that the other end wrote, and those of them that came.
    std::uint64_t came = 0;
    std::vector<std::pair<std::uint64_t, std::function<void()>>> marks;  // To be called at that.
    bool end_sent = false;
    bool end_arrived = false;
    bool broken = false;
    bool wants = false;
    bool blocked = false;  // Its last write did not go in whole.
  };
  std::uint64_t id = 0;
  End ends[2];  // Who dialled, who accepts.
  bool up = false;
  Time accepted = Time::max();
  bool forgotten = false;  // By a box in between.
  bool by_net = false;
};

// ---- Timers ----

class VirtualTimer : public Timer {
 public:
  VirtualTimer(VirtualProcess& process, std::function<void()> fired)
      : state_(std::make_shared<State>(process, std::move(fired))) {}
  ~VirtualTimer() override { VirtualTimer::Cancel(); }
  VirtualTimer(const VirtualTimer&) = delete;
  VirtualTimer& operator=(const VirtualTimer&) = delete;

  void ArmAt(Time at) override {
    State& s = *state_;
    Cancel();
    if (!s.process.alive_) return;
    s.armed = true;
    ++s.process.timers_armed_;
    const Time due = std::max(at, s.process.net_.now_);
    s.process.net_.PutFor(s.process, due, true, kTimerTag,
                          [state = state_, turn = ++s.turn] { Fire(*state, turn); });
  }
  void Cancel() override {
    if (std::exchange(state_->armed, false)) --state_->process.timers_armed_;
  }

 private:
  struct State {
    State(VirtualProcess& p, std::function<void()> f) : process(p), fired(std::move(f)) {}
    VirtualProcess& process;
    std::function<void()> fired;
    bool armed = false;
    std::uint64_t turn = 0;
  };
  static void Fire(State& state, std::uint64_t turn) {
    if (!state.armed || turn != state.turn) return;
    state.armed = false;
    --state.process.timers_armed_;
    state.fired();
  }

  std::shared_ptr<State> state_;
};

// ---- Streams ----

class VirtualStream : public Stream {
 public:
  VirtualStream(VirtualProcess& process, std::shared_ptr<VirtualConnection> connection, int side,
                bool counted)
      : process_(process), c_(std::move(connection)), side_(side), counted_(counted) {}
  ~VirtualStream() override { VirtualStream::Close(); }
  VirtualStream(const VirtualStream&) = delete;
  VirtualStream& operator=(const VirtualStream&) = delete;

  void SetUser(StreamUser& user) override { end().user = &user; }
  void Receive() override {
    VirtualConnection::End& e = end();
    if (!e.open || e.wants) return;
    e.wants = true;
    if (e.arrived.empty() && !e.broken && !e.end_arrived) return;
    VirtualNet& net = process_.net_;
    net.PutFor(process_, net.now_, true, kServeTag,
               [&net, c = c_, side = side_] { net.Serve(c, side); });
  }
  Written Write(std::string_view bytes) override { return process_.net_.WriteTo(c_, side_, bytes); }
  Ahead Peek() override {
    const VirtualConnection::End& e = end();
    if (!e.arrived.empty()) return Ahead::kBytes;
    return !e.open || e.broken || e.end_arrived ? Ahead::kOver : Ahead::kNothing;
  }
  bool Ended() override {
    const VirtualConnection::End& e = end();
    return !e.open || e.broken || e.end_arrived;
  }
  void EndSending() override {
    if (end().open && c_->up) process_.net_.SendEnd(c_, 1 - side_, process_.net_.now_);
  }
  void Close() override { Shut(false, process_.net_.now_); }
  void Reset() override { Shut(true, process_.net_.now_); }
  Address peer() const override { return c_->ends[1 - side_].address; }

  void Shut(bool reset, Time at) {
    if (!end().open) return;
    if (std::exchange(counted_, false) && process_.alive_) process_.ReleaseDescriptor();
    process_.net_.Shut(c_, side_, reset, at);
  }
  const VirtualConnection& connection() const { return *c_; }
  VirtualConnection& connection() { return *c_; }
  int side() const { return side_; }

 private:
  VirtualConnection::End& end() { return c_->ends[side_]; }
  const VirtualConnection::End& end() const { return c_->ends[side_]; }

  VirtualProcess& process_;
  std::shared_ptr<VirtualConnection> c_;
  int side_;
  bool counted_;  // Holds a descriptor.
};

// ---- Listeners ----

class VirtualListener : public Listener {
 public:
  VirtualListener(VirtualProcess& process, const Address& at) : process_(process), address_(at) {
    process_.net_.listeners_[address_] = this;
  }
  ~VirtualListener() override { VirtualListener::Close(); }
  VirtualListener(const VirtualListener&) = delete;
  VirtualListener& operator=(const VirtualListener&) = delete;

  Address address() const override { return address_; }
  void Accept(Done done) override {
    *done_ = std::move(done);
    if (!queue_.empty() || !open_) Plan();
  }
  StreamPtr TakeWaiting() override {
    if (queue_.empty() || !process_.TakeDescriptor()) return nullptr;
    return Take();
  }
  void Close() override {
    if (!std::exchange(open_, false)) return;
    VirtualNet& net = process_.net_;
    const auto it = net.listeners_.find(address_);
    if (it != net.listeners_.end() && it->second == this) net.listeners_.erase(it);
    if (process_.alive_) process_.ReleaseDescriptor();
    for (const auto& c : std::exchange(queue_, {})) net.Shut(c, 1, true, net.now_);
    // As a socket's accept ends when its listener is closed; a dead process is told nothing.
    if (*done_) {
      net.PutFor(process_, net.now_, true, kAcceptTag, [done = done_] {
        if (const auto told = std::exchange(*done, nullptr)) told(Fault::kClosed, nullptr);
      });
    }
  }

  bool full() const { return queue_.size() >= kBacklog; }
  std::uint64_t life() const { return process_.life_; }
  void Push(const std::shared_ptr<VirtualConnection>& c) {
    queue_.push_back(c);
    if (*done_) Plan();
  }

 private:
  void Plan() {
    VirtualNet& net = process_.net_;
    net.PutFor(process_, net.now_, true, kAcceptTag, [this, alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) Hand();
    });
  }
  void Hand() {
    if (!*done_ || queue_.empty()) return;
    const Done done = std::exchange(*done_, nullptr);
    if (!process_.TakeDescriptor()) return done(Fault::kNoDescriptors, nullptr);
    done(Fault::kNone, Take());
  }
  StreamPtr Take() {
    const auto c = queue_.front();
    queue_.pop_front();
    c->ends[1].life = process_.life_;
    c->accepted = process_.net_.now_;
    return std::make_unique<VirtualStream>(process_, c, 1, true);
  }

  VirtualProcess& process_;
  Address address_;
  bool open_ = true;
  std::shared_ptr<Done> done_ = std::make_shared<Done>();
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  std::deque<std::shared_ptr<VirtualConnection>> queue_;
};

// ---- Datagrams ----

class VirtualDatagrams : public Datagrams {
 public:
  VirtualDatagrams(VirtualProcess& process, const Address& at, OnMessage on_message)
      : process_(process), address_(at) {
    process_.net_.bound_[address_] = {&process_, std::move(on_message)};
  }
  ~VirtualDatagrams() override {
    process_.net_.bound_.erase(address_);
    if (process_.alive_) process_.ReleaseDescriptor();
  }
  VirtualDatagrams(const VirtualDatagrams&) = delete;
  VirtualDatagrams& operator=(const VirtualDatagrams&) = delete;

  Address address() const override { return address_; }
  bool Send(const Address& to, std::string_view bytes) override {
    VirtualNet& net = process_.net_;
    const std::uint32_t there = to.V4Host();
    const Weather& weather = net.WeatherBetween(process_.host_, there);
    if (!process_.alive_ || net.random_.Chance(weather.lose)) return process_.alive_;
    const int copies = net.random_.Chance(weather.repeat) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      net.PutDrawn(
          net.Travel(process_.host_, there), kDatagramTag,
          [&net, from = address_, here = process_.host_, to, there, text = std::string(bytes)] {
            if (net.IsCut(here, there)) return;
            const auto it = net.bound_.find(to);
            if (it == net.bound_.end()) return;
            net.Mix(XXH64(text.data(), text.size(), 0));
            const VirtualNet::Bound bound = it->second;
            net.RunFor(bound.process->life_, [&] { bound.on_message(from, text); });
          });
    }
    return true;
  }

 private:
  VirtualProcess& process_;
  Address address_;
};

// ---- Processes ----

VirtualProcess::VirtualProcess(VirtualNet& net, std::uint32_t host, std::string name,
                               std::size_t descriptors)
    : net_(net),
      host_(host),
      name_(std::move(name)),
      most_descriptors_(descriptors),
      life_(++net.lives_) {
  net_.processes_.emplace(life_, this);
}

VirtualProcess::~VirtualProcess() { Kill(); }

Time VirtualProcess::Now() const { return net_.now_; }

std::int64_t VirtualProcess::WallMicros() const {
  return net_.wall_start_ + wall_step_ +
         std::chrono::duration_cast<std::chrono::microseconds>(net_.now_.time_since_epoch())
             .count();
}

std::int64_t VirtualProcess::LastingMicros() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(net_.now_.time_since_epoch())
      .count();
}

TimerPtr VirtualProcess::NewTimer(std::function<void()> fired) {
  return std::make_unique<VirtualTimer>(*this, std::move(fired));
}

void VirtualProcess::Post(std::function<void()> step) {
  net_.PutFor(*this, net_.now_, false, kPostTag, std::move(step));
}

bool VirtualProcess::TakeDescriptor() {
  if (!alive_) return false;
  if (descriptors_ >= most_descriptors_) {
    ++refused_descriptors_;
    return false;
  }
  peak_descriptors_ = std::max(peak_descriptors_, ++descriptors_);
  return true;
}

StreamPtr VirtualProcess::Dial(const Address& to, StreamUser& user) {
  const auto c = std::make_shared<VirtualConnection>();
  c->id = ++net_.next_connection_;
  VirtualConnection::End& mine = c->ends[0];
  mine.host = host_;
  mine.life = life_;
  mine.user = &user;
  mine.open = true;
  net_.next_port_ = net_.next_port_ < 60000 ? net_.next_port_ + 1 : 20000;
  mine.address = Address::V4(host_, net_.next_port_);
  c->ends[1].host = to.V4Host();
  c->ends[1].address = to;
  const bool counted = TakeDescriptor();
  const Weather& weather = net_.WeatherBetween(host_, to.V4Host());
  const auto fail = [this, c](Time at, Fault fault) {
    net_.PutFor(*this, at, true, kUpTag, [c, fault] {
      if (c->ends[0].open && c->ends[0].user != nullptr) c->ends[0].user->OnConnected(fault);
    });
  };
  if (!counted) {
    fail(net_.now_, Fault::kNoDescriptors);
  } else if (net_.random_.Chance(weather.refuse)) {
    fail(net_.Travel(host_, to.V4Host()), Fault::kRefused);
  } else if (!net_.random_.Chance(weather.ignore)) {
    net_.PutDrawn(net_.Travel(host_, to.V4Host()), kKnockTag, [net = &net_, c] { net->Knock(c); });
  }
  return std::make_unique<VirtualStream>(*this, c, 0, counted);
}

ListenerPtr VirtualProcess::Listen(const Address& at) {
  Address address = at;
  if (at.port() == 0) address = Address::V4(at.V4Host(), ++net_.next_port_);
  if (net_.listeners_.count(address) != 0) {
    throw Error(Fault::kOther, "listen at " + address.Text() + ": in use");
  }
  if (!TakeDescriptor()) {
    throw Error(Fault::kNoDescriptors, "listen at " + address.Text() + ": no descriptors left");
  }
  return std::make_unique<VirtualListener>(*this, address);
}

DatagramsPtr VirtualProcess::Bind(const Address& at, Datagrams::OnMessage on_message) {
  Address address = at;
  if (at.port() == 0) address = Address::V4(at.V4Host(), ++net_.next_port_);
  if (net_.bound_.count(address) != 0) {
    throw Error(Fault::kOther, "datagrams at " + address.Text() + ": in use");
  }
  if (!TakeDescriptor()) {
    throw Error(Fault::kNoDescriptors, "datagrams at " + address.Text() + ": no descriptors left");
  }
  return std::make_unique<VirtualDatagrams>(*this, address, std::move(on_message));
}

void VirtualProcess::End(bool reset) {
  if (!std::exchange(alive_, false)) return;
  net_.processes_.erase(life_);
  deferred_.clear();
  std::vector<VirtualListener*> listeners;
  for (const auto& [address, listener] : net_.listeners_) {
    if (listener->life() == life_) listeners.push_back(listener);
  }
  for (VirtualListener* listener : listeners) listener->Close();
  std::erase_if(net_.bound_, [this](const auto& b) { return b.second.process == this; });
  std::vector<std::pair<std::shared_ptr<VirtualConnection>, int>> mine;
  for (const auto& [id, c] : net_.connections_) {
    for (const int side : {0, 1}) {
      if (c->ends[side].open && c->ends[side].life == life_) mine.emplace_back(c, side);
    }
  }
  for (const auto& [c, side] : mine) net_.Shut(c, side, reset, net_.now_);
}

void VirtualProcess::SetPaused(bool paused) {
  paused_ = paused;
  if (paused) return;
  for (auto& step : std::exchange(deferred_, {})) {
    net_.PutFor(*this, net_.now_, false, kResumeTag, std::move(step));
  }
}

// ---- The network ----

VirtualNet::VirtualNet(std::uint64_t seed, std::int64_t start)
    : random_(seed, 0x6e6574), wall_start_(start) {}

// What is still planned may hold streams of processes that are gone by now.
VirtualNet::~VirtualNet() { Clear(); }

void VirtualNet::Clear() {
  // What is dropped may plan something more.
  while (!queue_.empty() || !held_.empty()) {
    const auto queue = std::exchange(queue_, {});
    const auto held = std::exchange(held_, {});
  }
}

void VirtualNet::Mix(std::uint64_t word) {
  hash_ ^= word;
  hash_ *= 0x9ddfea08eb382d69;
  hash_ ^= hash_ >> 29;
}

void VirtualNet::Note(const std::function<std::string()>& text) {
  if (watcher_) watcher_(now_, text());
}

void VirtualNet::Put(Time at, std::uint32_t rank, std::uint32_t tag, std::function<void()> step) {
  queue_.push_back({at, rank, ++orders_, tag, std::move(step)});
  std::push_heap(queue_.begin(), queue_.end());
}

void VirtualNet::PutDrawn(Time at, std::uint32_t tag, std::function<void()> step) {
  Put(at, 1 + static_cast<std::uint32_t>(random_.Below(1U << 20)), tag, std::move(step));
}

void VirtualNet::PutFor(VirtualProcess& process, Time at, bool drawn, std::uint32_t tag,
                        std::function<void()> step) {
  auto run = [this, life = process.life_, step = std::move(step)] { RunFor(life, step); };
  drawn ? PutDrawn(at, tag, std::move(run)) : Put(at, 0, tag, std::move(run));
}

void VirtualNet::RunFor(std::uint64_t life, const std::function<void()>& step) {
  const auto it = processes_.find(life);
  if (it == processes_.end()) return;
  if (it->second->paused_) {
    it->second->deferred_.push_back(step);
  } else {
    step();
  }
}

void VirtualNet::At(Time at, std::function<void()> step) {
  PutDrawn(std::max(at, now_), kOwnStep, std::move(step));
}

bool VirtualNet::Step() {
  if (queue_.empty()) return false;
  std::pop_heap(queue_.begin(), queue_.end());
  Event event = std::move(queue_.back());
  queue_.pop_back();
  // What goes round with a nanosecond between two events stands still as well.
  if (event.at - moment_ >= kMoment) {
    moment_ = event.at;
    at_once_ = 0;
  }
  if (++at_once_ > most_at_once_) {
    throw TimeStands("time stands still at " +
                     std::to_string(now_.time_since_epoch().count() / 1000) + " us: over " +
                     std::to_string(most_at_once_) + " events in one millisecond");
  }
  now_ = event.at;
  ++events_;
  Mix(static_cast<std::uint64_t>(now_.time_since_epoch().count()));
  Mix(event.order << 8 | event.tag);
  event.step();
  return true;
}

void VirtualNet::RunUntil(Time until, const std::function<void()>& after) {
  while (!queue_.empty() && queue_.front().at <= until) {
    Step();
    if (after) after();
  }
  now_ = std::max(now_, until);
}

const Weather& VirtualNet::WeatherBetween(std::uint32_t a, std::uint32_t b) const {
  const auto it = link_weather_.find(Pair(a, b));
  return it == link_weather_.end() ? weather_ : it->second;
}

void VirtualNet::SetWeather(std::uint32_t a, std::uint32_t b, const Weather& weather) {
  link_weather_[Pair(a, b)] = weather;
}

bool VirtualNet::IsCut(std::uint32_t from, std::uint32_t to) const {
  if (from == to) return false;  // Of one machine.
  return cut_off_.count(from) != 0 || cut_off_.count(to) != 0 || cuts_.count(Pair(from, to)) != 0 ||
         one_way_cuts_.count({from, to}) != 0;
}

void VirtualNet::SetCutOff(std::uint32_t host, bool cut) {
  cut ? void(cut_off_.insert(host)) : void(cut_off_.erase(host));
  if (!cut) Healed();
}

void VirtualNet::SetCut(std::uint32_t a, std::uint32_t b, bool cut) {
  cut ? void(cuts_.insert(Pair(a, b))) : void(cuts_.erase(Pair(a, b)));
  if (!cut) Healed();
}

void VirtualNet::SetOneWayCut(std::uint32_t from, std::uint32_t to, bool cut) {
  cut ? void(one_way_cuts_.insert({from, to})) : void(one_way_cuts_.erase({from, to}));
  if (!cut) Healed();
}

void VirtualNet::Hold(std::uint32_t from, std::uint32_t to, std::function<void()> step) {
  held_.push_back({from, to, std::move(step)});
}

// In their old order, and before anything that is sent from now on.
void VirtualNet::Healed() {
  std::vector<Held> still;
  for (Held& h : std::exchange(held_, {})) {
    if (IsCut(h.from, h.to)) {
      still.push_back(std::move(h));
    } else {
      Put(now_, 0, kOwnStep, std::move(h.step));
    }
  }
  held_.insert(held_.begin(), std::make_move_iterator(still.begin()),
               std::make_move_iterator(still.end()));
}

Time VirtualNet::Later(Span by, Span grain) const {
  const auto at = (now_ + by).time_since_epoch();
  return Time((at + grain - kOneAfter) / grain * grain);
}

Time VirtualNet::Travel(std::uint32_t a, std::uint32_t b) {
  const Weather& w = WeatherBetween(a, b);
  auto by = static_cast<double>(w.latency_low.count());
  by += random_.Unit() * static_cast<double>((w.latency_high - w.latency_low).count());
  Span span(static_cast<Span::rep>(by));
  if (random_.Chance(w.late)) span += w.late_by;
  return Later(span, w.grain);
}

void VirtualNet::Knock(const std::shared_ptr<VirtualConnection>& c) {
  VirtualConnection::End& from = c->ends[0];
  VirtualConnection::End& to = c->ends[1];
  if (!from.open) return;
  if (IsCut(from.host, to.host)) return Hold(from.host, to.host, [this, c] { Knock(c); });
  if (IsCut(to.host, from.host)) return Hold(to.host, from.host, [this, c] { Knock(c); });
  const auto tell = [this, c](Fault fault) {
    PutDrawn(Travel(c->ends[0].host, c->ends[1].host), kUpTag, [this, c, fault] {
      VirtualConnection::End& e = c->ends[0];
      if (!e.open) {  // Given up meanwhile.
        if (fault == Fault::kNone) SendBreak(c, 1);
        return;
      }
      RunFor(e.life, [c, fault] {
        if (c->ends[0].open && c->ends[0].user != nullptr) c->ends[0].user->OnConnected(fault);
      });
    });
  };
  const auto it = listeners_.find(to.address);
  if (it == listeners_.end()) return tell(Fault::kRefused);
  if (it->second->full()) {
    return PutDrawn(now_ + kKnockAgain, kKnockTag, [this, c] { Knock(c); });
  }
  c->up = true;
  to.open = true;
  connections_.emplace(c->id, c);
  Note([&] { return "connection " + std::to_string(c->id) + " is up to " + to.address.Text(); });
  tell(Fault::kNone);
  it->second->Push(c);
}

Written VirtualNet::WriteTo(const std::shared_ptr<VirtualConnection>& c, int side,
                            std::string_view bytes) {
  VirtualConnection::End& mine = c->ends[side];
  VirtualConnection::End& peer = c->ends[1 - side];
  if (!mine.open || !c->up) return {0, Fault::kClosed};
  if (mine.broken) return {0, Fault::kReset};
  if (mine.end_sent) return {0, Fault::kOther};
  const Weather& weather = WeatherBetween(mine.host, peer.host);
  const std::size_t used = peer.under_way + peer.arrived.size();
  const std::size_t n = std::min(bytes.size(), weather.window > used ? weather.window - used : 0);
  if (n < bytes.size()) mine.blocked = true;
  if (n == 0) return {0, Fault::kNone};
  if (c->forgotten) {
    c->by_net = true;
    SendBreak(c, side);
    return {n, Fault::kNone};
  }
  std::vector<std::size_t> cuts{n};
  if (n > 1 && random_.Chance(weather.cut)) {
    for (std::uint64_t i = 1 + random_.Below(4); i > 0; --i)
      cuts.push_back(1 + random_.Below(n - 1));
    std::sort(cuts.begin(), cuts.end());
    cuts.erase(std::unique(cuts.begin(), cuts.end()), cuts.end());
  }
  std::size_t begin = 0;
  for (const std::size_t end : cuts) {
    if (random_.Chance(weather.reset)) {
      Note([&] { return "connection " + std::to_string(c->id) + " breaks"; });
      c->by_net = true;
      SendBreak(c, side);
      SendBreak(c, 1 - side);
      break;
    }
    Carry(c, 1 - side, std::string(bytes.substr(begin, end - begin)), Travel(mine.host, peer.host));
    begin = end;
  }
  return {n, Fault::kNone};
}

void VirtualNet::Carry(const std::shared_ptr<VirtualConnection>& c, int to, std::string bytes,
                       Time at) {
  VirtualConnection::End& e = c->ends[to];
  e.last_arrival = std::max<Time>(at, e.last_arrival + kOneAfter);
  e.under_way += bytes.size();
  e.sent += bytes.size();
  PutDrawn(e.last_arrival, kBytesTag, [this, c, to, text = std::move(bytes), written = now_] {
    Arrive(c, to, text, written);
  });
}

void VirtualNet::Arrive(const std::shared_ptr<VirtualConnection>& c, int to,
                        const std::string& bytes, Time written) {
  VirtualConnection::End& e = c->ends[to];
  VirtualConnection::End& from = c->ends[1 - to];
  if (IsCut(from.host, e.host)) {
    return Hold(from.host, e.host,
                [this, c, to, bytes, written] { Arrive(c, to, bytes, written); });
  }
  e.under_way -= bytes.size();
  if (e.broken) return;
  if (!e.open) return SendBreak(c, 1 - to);
  Mix(c->id << 1 | static_cast<std::uint64_t>(to));
  Mix(XXH64(bytes.data(), bytes.size(), 0));
  if (e.arrived.empty()) e.written = written;
  e.arrived += bytes;
  e.came += bytes.size();
  e.reached = now_;
  for (auto it = e.marks.begin(); it != e.marks.end();) {
    if (it->first > e.came) {
      ++it;
      continue;
    }
    const auto step = std::move(it->second);
    it = e.marks.erase(it);
    step();
  }
  if (e.wants) RunFor(e.life, [this, c, to] { Serve(c, to); });
}

void VirtualNet::SendEnd(const std::shared_ptr<VirtualConnection>& c, int to, Time at) {
  VirtualConnection::End& from = c->ends[1 - to];
  VirtualConnection::End& e = c->ends[to];
  if (std::exchange(from.end_sent, true)) return;
  const Time soonest = at > now_ ? at : Travel(from.host, e.host);
  e.last_arrival = std::max<Time>(soonest, e.last_arrival + kOneAfter);
  struct Step {
    VirtualNet* net;
    std::shared_ptr<VirtualConnection> c;
    int to;
    void operator()() const {
      VirtualConnection::End& at_end = c->ends[to];
      const std::uint32_t other = c->ends[1 - to].host;
      if (net->IsCut(other, at_end.host)) return net->Hold(other, at_end.host, *this);
      at_end.end_arrived = true;
      net->Mix(c->id << 2 | 2U | static_cast<std::uint64_t>(to));
      if (at_end.open && at_end.wants) {
        net->RunFor(at_end.life, [n = net, cc = c, t = to] { n->Serve(cc, t); });
      }
    }
  };
  PutDrawn(e.last_arrival, kEndTag, Step{this, c, to});
}

void VirtualNet::SendBreak(const std::shared_ptr<VirtualConnection>& c, int to) {
  VirtualConnection::End& e = c->ends[to];
  const Time soonest = Travel(c->ends[1 - to].host, e.host);
  e.last_arrival = std::max<Time>(soonest, e.last_arrival + kOneAfter);
  PutDrawn(e.last_arrival, kBreakTag, [this, c, to] { Break(c, to); });
}

void VirtualNet::Break(const std::shared_ptr<VirtualConnection>& c, int side) {
  VirtualConnection::End& e = c->ends[side];
  const std::uint32_t other = c->ends[1 - side].host;
  if (IsCut(other, e.host)) return Hold(other, e.host, [this, c, side] { Break(c, side); });
  if (std::exchange(e.broken, true) || !e.open) return;
  Mix(c->id << 3 | static_cast<std::uint64_t>(side));
  if (e.wants) RunFor(e.life, [this, c, side] { Serve(c, side); });
  if (e.open && e.blocked) Drain(c, side);
}

// Tells the user of one end what it has asked for, if that is there.
void VirtualNet::Serve(const std::shared_ptr<VirtualConnection>& c, int side) {
  VirtualConnection::End& e = c->ends[side];
  if (!e.open || !e.wants || e.user == nullptr) return;
  if (!e.arrived.empty()) {
    e.wants = false;
    const std::string bytes = e.arrived.substr(0, kReadChunk);
    e.arrived.erase(0, bytes.size());
    VirtualConnection::End& writer = c->ends[1 - side];
    if (writer.blocked && writer.open) {
      PutDrawn(Travel(e.host, writer.host), kRoomTag, [this, c, side] { Drain(c, 1 - side); });
    }
    return e.user->OnBytes(bytes);
  }
  if (!e.broken && !e.end_arrived) return;
  e.wants = false;
  e.user->OnEnd(e.broken ? Fault::kReset : Fault::kEnd);
}

void VirtualNet::Drain(const std::shared_ptr<VirtualConnection>& c, int side) {
  if (!std::exchange(c->ends[side].blocked, false)) return;
  RunFor(c->ends[side].life, [c, side] {
    const VirtualConnection::End& e = c->ends[side];
    if (e.open && e.user != nullptr) e.user->OnWritable();
  });
}

// One side lets go of it. Unread bytes make it a reset, as on sockets.
void VirtualNet::Shut(const std::shared_ptr<VirtualConnection>& c, int side, bool reset, Time at) {
  VirtualConnection::End& e = c->ends[side];
  if (!std::exchange(e.open, false)) return;
  e.user = nullptr;
  e.wants = false;
  if (c->up && !e.broken) {
    if (reset || !e.arrived.empty()) {
      SendBreak(c, 1 - side);
    } else {
      SendEnd(c, 1 - side, at);
    }
  }
  if (!c->ends[1 - side].open) connections_.erase(c->id);
}

void VirtualNet::ResetBetween(std::uint32_t a, std::uint32_t b) {
  const auto all = connections_;
  for (const auto& [id, c] : all) {
    if (Pair(c->ends[0].host, c->ends[1].host) != Pair(a, b)) continue;
    c->by_net = true;
    SendBreak(c, 0);
    SendBreak(c, 1);
  }
}

void VirtualNet::ForgetIdle(std::uint32_t a, std::uint32_t b) {
  for (const auto& [id, c] : connections_) {
    if (Pair(c->ends[0].host, c->ends[1].host) == Pair(a, b)) c->forgotten = true;
  }
}

bool VirtualNet::BrokenByNet(const Stream& stream) {
  return static_cast<const VirtualStream&>(stream).connection().by_net;
}

Time VirtualNet::Arrival(const Stream& stream) {
  const auto& s = static_cast<const VirtualStream&>(stream);
  return s.connection().ends[1 - s.side()].last_arrival;
}

Time VirtualNet::Reached(const Stream& stream) {
  const auto& s = static_cast<const VirtualStream&>(stream);
  return s.connection().ends[s.side()].reached;
}

Time VirtualNet::FirstWritten(const Stream& stream) {
  const auto& s = static_cast<const VirtualStream&>(stream);
  return s.connection().ends[s.side()].written;
}

std::uint64_t VirtualNet::Sent(const Stream& stream) {
  const auto& s = static_cast<const VirtualStream&>(stream);
  return s.connection().ends[1 - s.side()].sent;
}

void VirtualNet::WhenCame(Stream& stream, std::uint64_t bytes, std::function<void()> step) {
  auto& s = static_cast<VirtualStream&>(stream);
  VirtualConnection::End& e = s.connection().ends[1 - s.side()];
  if (e.came >= bytes) return step();
  e.marks.emplace_back(bytes, std::move(step));
}

Time VirtualNet::Accepted(const Stream& stream) {
  return static_cast<const VirtualStream&>(stream).connection().accepted;
}

void VirtualNet::CloseArriving(Stream& stream, Time at) {
  static_cast<VirtualStream&>(stream).Shut(false, at);
}

}  // namespace net
