// A whole fleet on the virtual network, what befalls it, and the checker that knows only the
// promise.
#ifndef SHELFLINK_TESTS_FLEET_WORLD_H_
#define SHELFLINK_TESTS_FLEET_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "control/door.h"
#include "coordination/stand_in.h"
#include "draws.h"
#include "fleet/fleet.h"
#include "net/virtual.h"

namespace fleet {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kStoreHost = 0x0a000001;
constexpr Micros kTtl = 3'000'000;

inline net::Address StoreAt() { return net::Address::V4(kStoreHost, 2379); }

inline std::unique_ptr<coordination::Store> StoreFor(net::Loop& loop) {
  coordination::HttpStore::Setup setup;
  setup.servers = {StoreAt()};
  setup.within = Fleet::CallSpan(kTtl);
  return std::make_unique<coordination::HttpStore>(loop, std::move(setup));
}

struct Event {
  Micros at = 0;
  std::string who;
  std::string what;
  std::vector<std::string> words;
};

// One sidecar's program, less its clients.
class Program {
 public:
  Program(net::VirtualNet& net, std::uint32_t number, std::vector<Event>& history)
      : net_(net), number_(number), history_(history) {
    Start();
  }
  ~Program() { Down(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  std::string name() const { return "n" + std::to_string(number_); }
  std::uint32_t host() const { return 0x0a000100 + number_; }
  net::Address door() const { return net::Address::V4(host(), 9100); }
  net::VirtualProcess& process() { return *processes_.back(); }
  Fleet* fleet() { return fleet_.get(); }
  bool drained() const { return drained_; }
  bool up() const { return fleet_ != nullptr; }

  void Start() {
    drained_ = false;
    ++starts_;
    processes_.push_back(std::make_unique<net::VirtualProcess>(
        net_, host(), name() + '.' + std::to_string(starts_), 256));
    net::Loop& loop = process();
    log_ = std::make_unique<kelpspring::Log>(
        loop, [this](std::string_view line) { Hear(std::string(line)); }, true);
    Setup setup;
    setup.fleet = "f";
    setup.ttl = kTtl;
    setup.self = {name(), "10.0.0.1:80", door().Text(), "tier 0", "1", std::to_string(starts_)};
    setup.seed = number_ * 1000 + starts_;
    Hands hands;
    hands.drain = [this] { return !std::exchange(drained_, true); };
    hands.undrain = [this] { drained_ = false; };
    hands.held = [this] { return held_ = held_ > 0 && drained_ ? held_ - 1 : 15; };
    hands.leave = [this] { Leave(); };
    fleet_ =
        std::make_unique<Fleet>(loop, *log_, std::move(setup), StoreFor(loop), std::move(hands));
    control::Orders orders;
    orders.fleet = [this](std::string_view path, const std::string& body,
                          const control::Orders::Answered& answered) {
      if (path == "/turn") {
        const Answer a = fleet_->OnCall(body);
        return answered(a.status, a.text);
      }
      answered(404, "");
    };
    door_ = std::make_unique<control::Door>(loop, *log_, door(), std::move(orders));
  }
  void Kill() {
    process().Kill();
    Down();
  }
  // As at SIGTERM; whoever keeps it running starts it again a moment later.
  void Leave() {
    if (std::exchange(leaving_, true)) return;
    fleet_->Leave([this] {
      net_.At(net_.Now() + milliseconds(50), [this] {
        if (!up()) return;
        process().Exit();
        Down();
        net_.At(net_.Now() + milliseconds(200), [this] {
          if (!up()) Start();
        });
      });
    });
  }

 private:
  void Down() {
    leaving_ = false;
    door_.reset();
    fleet_.reset();
    log_.reset();
  }
  void Hear(const std::string& line) {
    if (line.compare(0, 6, "trace ") != 0) return;
    std::istringstream words(line.substr(6));
    Event e;
    std::string wall;
    words >> wall >> e.what;
    e.at = net_.Now().time_since_epoch().count() / 1000;
    e.who = name();
    for (std::string word; words >> word;) e.words.push_back(word);
    history_.push_back(std::move(e));
  }

  net::VirtualNet& net_;
  std::uint32_t number_;
  std::vector<Event>& history_;
  std::uint64_t starts_ = 0;
  bool drained_ = false;
  bool leaving_ = false;
  std::size_t held_ = 15;  // Requests, of which one ends at each look.
  std::vector<std::unique_ptr<net::VirtualProcess>> processes_;
  std::unique_ptr<kelpspring::Log> log_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<control::Door> door_;
};

struct World {
  World(std::uint64_t seed, std::uint32_t count) : net(seed) {
    StartStore();
    for (std::uint32_t i = 0; i < count; ++i) {
      members.push_back(std::make_unique<Program>(net, i, history));
    }
  }
  ~World() {
    members.clear();
    stand_in.reset();
    net.Clear();
  }

  void StartStore() {
    stores.push_back(std::make_unique<net::VirtualProcess>(
        net, kStoreHost, "store" + std::to_string(stores.size()), 5000));
    stand_in = std::make_unique<coordination::StandIn>(
        *stores.back(), StoreAt(), 1, [this](const std::string& l) { journal += l + '\n'; });
    const std::string before = journal;
    stand_in->Play(before);
  }
  void KillStore() {
    stores.back()->Kill();
    stand_in.reset();
  }

  void Pass(net::Span span) { net.RunUntil(net.Now() + span); }
  // Until it comes true; false if it does not in so long.
  bool Until(const std::function<bool()>& there, net::Span most) {
    const net::Time end = net.Now() + most;
    while (!there() && net.Now() < end) Pass(milliseconds(10));
    return there();
  }

  Program* Owner() {
    for (const auto& m : members) {
      if (m->up() && m->fleet()->counts().owns) return m.get();
    }
    return nullptr;
  }
  std::size_t Owners() {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const auto& m) { return m->up() && m->fleet()->counts().owns; }));
  }
  bool AllKnow(std::size_t count) {
    return std::all_of(members.begin(), members.end(), [&](const auto& m) {
      return m->up() && m->fleet()->counts().members == count;
    });
  }
  std::string OrderState() {
    const auto found = stand_in->model().Get({"/shelflink/f/order"});
    return found.empty() ? "" : Json::parse(found.front().value).value("state", "");
  }
  std::size_t Parts() {
    return stand_in->model().Get(coordination::Prefix("/shelflink/f/parts/")).size();
  }
  Answer Ask(const std::function<void(Fleet&, Answered)>& what) {
    std::optional<Answer> got;
    for (const auto& m : members) {
      if (!m->up()) continue;
      what(*m->fleet(), [&](const Answer& a) { got = a; });
      break;
    }
    Until([&] { return got.has_value(); }, seconds(2));
    return got.value_or(Answer{0, ""});
  }
  Answer Begin(const std::string& wish) {
    return Ask([&](Fleet& f, Answered a) { f.Begin(wish, std::move(a)); });
  }

  net::VirtualNet net;
  std::vector<Event> history;
  std::vector<std::unique_ptr<net::VirtualProcess>> stores;
  std::string journal;
  std::unique_ptr<coordination::StandIn> stand_in;
  std::vector<std::unique_ptr<Program>> members;
};

// What is broken of the promise, by what all have told. "out REVISION FENCE ORDER" bears the
// revision at which the store noted the part.
inline std::string Broken(const std::vector<Event>& history, std::size_t at_once) {
  std::vector<std::pair<Micros, std::int64_t>> wins;
  for (const Event& e : history) {
    if (e.what == "won") wins.emplace_back(e.at, std::stoll(e.words.at(0)));
  }
  std::map<std::string, std::int64_t> highest;
  std::set<std::string> outs;
  std::set<std::string> out_now;
  for (const Event& e : history) {
    const std::string at = " at " + std::to_string(e.at);
    if (e.what == "out") {
      const std::int64_t revision = std::stoll(e.words.at(0));
      const std::int64_t fence = std::stoll(e.words.at(1));
      if (fence < highest[e.who]) return "a lower fence at " + e.who + at;
      highest[e.who] = fence;
      for (const auto& [when, won] : wins) {
        if (won > fence && won < revision) return e.who + " obeyed a late owner" + at;
      }
      if (!outs.insert(e.words.at(2) + '/' + e.who).second) return e.who + " is out twice" + at;
      out_now.insert(e.who);
      if (out_now.size() > at_once) return "more than so many are out" + at;
    }
    if (e.what == "back") out_now.erase(e.who);
    if (e.what == "act") {
      const std::int64_t fence = std::stoll(e.words.at(0));
      for (const auto& [when, won] : wins) {
        if (won > fence && when < e.at) return e.who + " acted late" + at;
      }
    }
  }
  return {};
}

inline std::size_t CountOf(const std::vector<Event>& history, const std::string& what) {
  return static_cast<std::size_t>(std::count_if(history.begin(), history.end(),
                                                [&](const Event& e) { return e.what == what; }));
}

// ---- Seeds ----

struct Mischief {
  explicit Mischief(World& world, std::uint64_t seed) : w(world), draws(seed) {}

  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(draws.Unit() * n); }
  net::Span Between(double low, double high) {
    return milliseconds(static_cast<int>(1000 * (low + (high - low) * draws.Unit())));
  }
  Program& Anyone() {
    // Half of the time the owner.
    if (Program* owner = w.Owner(); owner != nullptr && draws.Unit() < 0.5) return *owner;
    return *w.members[Below(w.members.size())];
  }

  void One() {
    Program& m = Anyone();
    const net::Time end = w.net.Now() + Between(0.2, 8);
    switch (Below(9)) {
      case 0:
        m.process().SetPaused(true);
        ends.emplace(end, [&m, process = &m.process()] {
          if (&m.process() == process) process->SetPaused(false);
        });
        break;
      case 1:
        if (m.up()) m.Kill();
        ends.emplace(end, [&m] {
          if (!m.up()) m.Start();
        });
        break;
      case 2:
        if (m.up()) m.Leave();
        break;
      case 3:
        w.net.SetCut(m.host(), kStoreHost, true);
        ends.emplace(end, [this, &m] { w.net.SetCut(m.host(), kStoreHost, false); });
        break;
      case 4:
        for (const auto& o : w.members) w.net.SetCut(m.host(), o->host(), true);
        ends.emplace(end, [this, &m] {
          for (const auto& o : w.members) w.net.SetCut(m.host(), o->host(), false);
        });
        break;
      case 5:
        if (w.stand_in) w.KillStore();
        ends.emplace(end, [this] {
          if (!w.stand_in) w.StartStore();
        });
        break;
      case 6: {
        coordination::StandIn::Faults faults;
        faults.late = static_cast<Micros>(draws.Unit() * 2e6);
        faults.lose = draws.Unit() * 0.5;
        faults.stall = static_cast<Micros>(draws.Unit() * 5e5);
        if (w.stand_in) w.stand_in->SetFaults(faults);
        ends.emplace(end, [this] {
          if (w.stand_in) w.stand_in->SetFaults({});
        });
        break;
      }
      case 7:
        if (w.stand_in) w.stand_in->DropWatches();
        if (w.stand_in) w.stand_in->Compact();
        break;
      default:
        m.process().StepWall(draws.Unit() < 0.5 ? 3'600'000'000 : -3'600'000'000);
    }
  }

  void Run(net::Span span) {
    const net::Time last = w.net.Now() + span;
    while (w.net.Now() < last) {
      One();
      const net::Time next = w.net.Now() + Between(0.05, 2.5);
      while (!ends.empty() && ends.begin()->first < next) EndOne();
      w.net.RunUntil(next);
    }
    while (!ends.empty()) EndOne();
  }
  void EndOne() {
    const auto [at, step] = *ends.begin();
    ends.erase(ends.begin());
    w.net.RunUntil(std::max(at, w.net.Now()));
    step();
  }

  World& w;
  gaugecart::Draws draws;
  std::multimap<net::Time, std::function<void()>> ends;
};

inline std::string PlaySeed(std::uint64_t seed) {
  const std::uint32_t count = 3 + seed % 4;
  const std::uint32_t at_once = 1 + seed % 2;
  World w(seed, count);
  if (!w.Until([&] { return w.AllKnow(count) && w.Owners() == 1; }, seconds(20))) {
    return "no fleet came up";
  }
  const std::string what = seed % 3 == 0 ? "restart" : "drain";
  w.Begin(Json{{"what", what}, {"at_once", at_once}, {"back_within_s", 600}}.dump());
  Mischief(w, seed).Run(seconds(25));
  for (const auto& m : w.members) {
    if (!m->up()) w.Until([&] { return m->up(); }, seconds(5));
    if (!m->up()) m->Start();
  }
  const bool done = w.Until([&] { return w.OrderState() == "done"; }, seconds(180));
  const std::string broken = Broken(w.history, at_once);
  if (!broken.empty()) return broken;
  if (!done) return "the order is " + w.OrderState() + " though the faults are over";
  // One that was killed between its part and its way out has had it by its restart.
  if (w.Parts() != count) return "not each has had its part";
  if (!w.Until([&] { return w.Owners() == 1 && w.AllKnow(count); }, seconds(60))) {
    return "nobody owns, or the list of members is not whole";
  }
  for (const auto& m : w.members) {
    if (m->drained()) return m->name() + " is drained still";
  }
  return {};
}

}  // namespace fleet

#endif  // SHELFLINK_TESTS_FLEET_WORLD_H_
