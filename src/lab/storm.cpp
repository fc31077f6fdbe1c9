#include "lab/storm.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "emulator/account.h"
#include "lab/clock.h"
#include "lab/emulation.h"
#include "lab/experiment.h"
#include "lab/loadrun.h"
#include "lab/result.h"
#include "storm/judge.h"

namespace shelflab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;
using storm::Deed;
using storm::Record;

constexpr Micros kSlack = 50'000;  // Granted by the protocol to every time limit on sockets.
constexpr Micros kAhead = 300'000;
constexpr auto kSettle = std::chrono::milliseconds(500);
// After SIGTERM the front deals out connections for so long.
constexpr Micros kAskPause = 200'000;  // Between an operator's tries.
constexpr Micros kTermNotice = 300'000;
constexpr std::size_t kMostFindings = 20;  // Told in a result, of each run.

std::string NameOf(std::uint32_t process) { return fmt::format("t0n{}", process); }

std::int64_t WallStart() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall).count() - Now();
}

// What the account must not hold against a process that cannot act: its requests are owed nothing
// from its death or stop on, and what it says of them later is not judged.
class Excuses {
 public:
  explicit Excuses(SeenSink account) : account_(std::move(account)) {}

  void On(const Seen& seen) {
    using Kind = Seen::Kind;
    if (seen.kind == Kind::kTaken) {
      account_(seen);
      open_[seen.sidecar].insert(seen.txn);
      if (still_.count(seen.sidecar) != 0) Excuse(seen.sidecar, seen.at);
      return;
    }
    if (seen.kind == Kind::kFinal || seen.kind == Kind::kCut || seen.kind == Kind::kGone) {
      if (muted_.count(seen.txn) != 0) return;
      open_[seen.sidecar].erase(seen.txn);
    }
    account_(seen);
  }
  // What endpoints see. A client whose sidecar died under a request on a kept connection cannot
  // tell that from a close that crossed it, and sends the same request to another sidecar: two
  // attempts of which neither sidecar made more than one.
  void OnNode(const Seen& seen) {
    if (muted_.count(seen.txn) == 0) account_(seen);
  }
  void Excuse(std::uint32_t process, Micros at) {
    for (const std::uint64_t txn : std::exchange(open_[process], {})) {
      Seen gone;
      gone.kind = Seen::Kind::kGone;
      gone.at = at;
      gone.txn = txn;
      gone.sidecar = process;
      account_(gone);
      muted_.insert(txn);
    }
  }
  void SetStill(std::uint32_t process, bool still) {
    still ? void(still_.insert(process)) : void(still_.erase(process));
  }

 private:
  SeenSink account_;
  std::map<std::uint32_t, std::set<std::uint64_t>> open_;
  std::set<std::uint64_t> muted_;
  std::set<std::uint32_t> still_;
};

storm::Promise PromiseOf(const Plan& plan) {
  storm::Promise promise;
  promise.list_age = plan.storm.list_age;
  return promise;
}

// One play, all of it on one thread.
class Play {
 public:
  Play(const Plan& plan, const StormOptions& options)
      : plan_(plan),
        options_(options),
        seed_(plan.experiment.seed),
        wall_start_(WallStart()),
        account_(plan.fleet, kSlack + kClientGrace),
        excuses_([this](const Seen& s) { Tell(s); }),
        emulation_(io_, plan_, Options(), [this](const Seen& s) { excuses_.OnNode(s); }),
        load_(io_, plan_, emulation_.Targets(), seed_, [this](const Seen& s) { OnLoad(s); }),
        signals_(io_, SIGINT, SIGTERM),
        deal_timer_(io_),
        tick_(io_),
        settle_timer_(io_) {
    if (!options_.calm) {
      deals_ = storm::Compile(plan_.storm, plan_.fleet.tiers.front().sidecars, seed_);
    }
  }

  Json Run(bool& interrupted) {
    signals_.async_wait([this](error_code ec, int) {
      if (ec) return;
      interrupted_ = true;
      load_.Stop();
      io_.stop();
    });
    emulation_.Start([this](const std::string& error) { Ready(error); });
    io_.run();
    ended_at_ = Now();
    emulation_.Stop();
    if (!error_.empty()) throw std::runtime_error(error_);
    interrupted = interrupted_;
    return Collect();
  }

 private:
  EmulationOptions Options() {
    EmulationOptions options;
    options.sidecar_program = options_.sidecar_program;
    options.folder = options_.folder;
    options.seed = seed_;
    options.traced = true;
    options.stateful = plan_.storm.state;
    options.peers = plan_.storm.peers;
    options.peer_list_age = plan_.storm.list_age;
    options.coordinated = plan_.storm.coordination;
    options.folder_store = plan_.storm.folder_store;
    options.ttl = plan_.storm.ttl;
    options.lab_program =
        options_.lab_program.empty() ? ProgramFolder() + "/shelflab" : options_.lab_program;
    options.notes = [this](const FleetNote& note) { On(note); };
    return options;
  }

  // ---- The course of it ----

  void Ready(const std::string& error) {
    if (!error.empty()) {
      error_ = error;
      return io_.stop();
    }
    start_ = Now() + kAhead;
    std::vector<Step> steps = Compile(plan_.incidents, plan_.fleet, seed_);
    if (options_.calm) steps.clear();
    for (Step& s : steps) s.at += kAhead;
    emulation_.Play(steps);
    for (std::size_t i = 0; i < emulation_.Targets().size(); ++i) load_.TellFront(i, true);
    load_.Start(start_, [this] { Finish(); });
    NextDeal();
    for (const storm::Order& order : plan_.storm.orders) {
      After(start_ + order.at - Now(), [this, order] { Ask(order, 0); });
    }
    Tick();
  }

  // ---- What operators ask ----

  // Of the first process that can do it, as an operator would.
  void Ask(const storm::Order& order, std::uint32_t first) {
    if (interrupted_ || Now() > start_ + plan_.load.Length()) return;
    const std::uint32_t count = plan_.fleet.tiers.front().sidecars;
    std::uint32_t process = first;
    while (process < count && !emulation_.IsReady(process)) ++process;
    const auto later = [this, order](std::uint32_t next) {
      After(kAskPause, [this, order, next] { Ask(order, next); });
    };
    if (process >= count) return later(0);
    const Json wish = {{"what", WordOf(order.ask)},
                       {"at_once", order.at_once},
                       {"back_within_s", static_cast<double>(order.back_within) / 1e6}};
    const bool begins = order.ask <= storm::Order::Ask::kRestart;
    CallHttp(io_, emulation_.store()->OwnDoor(process), "POST",
             begins ? "/orders" : std::string("/orders/") + WordOf(order.ask),
             begins ? wish.dump() : "",
             [this, order, process, begins, later](int status, const std::string& text) {
               const std::string id = text.substr(0, text.find('\n'));
               // What is not known is looked at by asking again: an order that stands is refused.
               if (status != 200 && status != 409) return later(process + 1);
               if (status == 200 && begins) Ordered(id, order.at_once);
               if (status == 409 && begins) NoteStandingOrder();
             });
  }

  void Ordered(const std::string& id, std::uint32_t at_once) {
    history_.push_back({Now(), "operator", 0, storm::what::kOrdered, at_once, id});
  }
  void NoteStandingOrder() {
    emulation_.store()->AskOrder([this](const std::string& text) {
      const Json order = Json::parse(text, nullptr, false);
      if (order.is_object()) Ordered(order.value("id", ""), order.value("at_once", 1U));
    });
  }

  // ---- Deeds to the store and to owners ----

  void CarryToStore(const storm::Event& e) {
    StoreRig& store = *emulation_.store();
    const auto faults = [&](const Json& what) {
      store.Tell("/lab/faults", what.dump());
      After(e.lasts, [&store] { store.Tell("/lab/faults", "{}"); });
    };
    switch (e.deed) {
      case Deed::kStoreKill:
        store.Kill();
        return After(e.lasts, [&store] { store.StartAgain(); });
      case Deed::kStoreStop:
        store.Halt();
        return After(e.lasts, [&store] { store.Wake(); });
      case Deed::kStoreLate:
        return faults(Json::object({{"late_ms", static_cast<unsigned>(e.size)}}));
      case Deed::kStoreLose:
        return faults(Json::object({{"lose", e.size}}));
      case Deed::kStoreDrop:
        return store.Tell("/lab/drop_watches", "{}");
      default:
        return store.Tell("/lab/compact", "{}");
    }
  }

  // Where the store cannot say who it is, nobody is befallen.
  void CarryToOwner(const storm::Deal& deal) {
    emulation_.store()->AskOwner([this, deal](std::optional<std::uint32_t> process) {
      if (!process || *process >= plan_.fleet.tiers.front().sidecars) return;
      storm::Deal known = deal;
      known.process = *process;
      known.event.owner = false;
      Carry(known);
    });
  }

  void NextDeal() {
    if (dealt_ >= deals_.size()) return;
    deal_timer_.expires_at(At(start_ + deals_[dealt_].at));
    deal_timer_.async_wait([this](error_code ec) {
      if (ec) return;
      late_.Add(Now() - start_ - deals_[dealt_].at);
      while (dealt_ < deals_.size() && start_ + deals_[dealt_].at <= Now()) {
        Carry(deals_[dealt_++]);
      }
      NextDeal();
    });
  }

  void Carry(const storm::Deal& deal) {
    const storm::Event& e = deal.event;
    if (e.owner) return CarryToOwner(deal);
    if (OnStore(e.deed)) {
      history_.push_back({Now(), "store", 0, "fault", std::nullopt, WordOf(e.deed)});
      return CarryToStore(e);
    }
    history_.push_back({Now(), NameOf(deal.process), 0, "fault", std::nullopt, WordOf(e.deed)});
    const Restart restart{e.memory, e.folder};
    LinkFault fault;
    switch (e.deed) {
      case Deed::kKill:
        return emulation_.KillSidecar(deal.process, SIGKILL, e.lasts, restart);
      case Deed::kTerminate:
        return emulation_.KillSidecar(deal.process, SIGTERM, e.lasts, restart);
      case Deed::kStop:
        emulation_.StopSidecar(deal.process);
        return After(e.lasts, [this, p = deal.process] { emulation_.WakeSidecar(p); });
      case Deed::kReset:
        return emulation_.ResetLink(deal.process, e.to);
      case Deed::kSilence:
        fault.deaf = fault.mute = fault.shut = true;
        break;
      case Deed::kDeaf:
        fault.deaf = true;
        break;
      case Deed::kMute:
        fault.mute = true;
        break;
      case Deed::kDelay:
        fault.delay = static_cast<Micros>(e.size * 1000);
        break;
      case Deed::kLose:
        fault.lose = e.size;
        break;
      case Deed::kRepeat:
        fault.repeat = e.size;
        break;
      case Deed::kReorder:
        fault.reorder = static_cast<Micros>(e.size * 1000);
        break;
      case Deed::kSplit:
        fault.apart = true;
        break;
      default:
        return;
    }
    emulation_.SetLink(deal.process, e.to, fault);
    After(e.lasts, [this, p = deal.process, to = e.to] { emulation_.SetLink(p, to, {}); });
  }

  void After(Micros span, std::function<void()> step) {
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_at(At(Now() + span));
    timer->async_wait([timer, step = std::move(step)](error_code ec) {
      if (!ec) step();
    });
  }

  void Tick() {
    tick_.expires_after(std::chrono::seconds(1));
    tick_.async_wait([this](error_code ec) {
      if (ec) return;
      if (options_.progress) {
        options_.progress(fmt::format("{:5.1f} s  {} requests, {} ended; {} attempts, {} faults",
                                      static_cast<double>(Now() - start_) / 1e6, load_.arrivals(),
                                      load_.ended(), emulation_.attempts(), dealt_));
      }
      Tick();
    });
  }

  void Finish() {
    settle_timer_.expires_after(kSettle);
    settle_timer_.async_wait([this](error_code) {
      if (!plan_.storm.coordination || interrupted_) return io_.stop();
      emulation_.store()->AskOrder([this](const std::string& text) {
        const Json order = Json::parse(text, nullptr, false);
        order_ = order.is_object() ? order.value("state", "") : "";
        io_.stop();
      });
    });
  }

  // ---- What is seen of the processes ----

  void OnLoad(const Seen& seen) {
    if (seen.kind == Seen::Kind::kTaken) emulation_.Expect(seen.txn, seen.sidecar);
    excuses_.On(seen);
  }

  void On(const FleetNote& note) {
    using Kind = FleetNote::Kind;
    if (note.sidecar >= plan_.fleet.tiers.front().sidecars) return;
    Remember(note);
    const std::uint64_t life = note.life;
    const auto tell_front = [this, p = note.sidecar, life](Micros span, bool in) {
      After(span, [this, p, life, in] {
        if (lives_[p] == life) load_.TellFront(p, in);
      });
    };
    switch (note.kind) {
      case Kind::kStarted:
        lives_[note.sidecar] = life;
        return excuses_.SetStill(note.sidecar, false);
      case Kind::kReady:
        if (start_ > 0) load_.TellFront(note.sidecar, true);
        return;
      case Kind::kKilled:
        excuses_.Excuse(note.sidecar, note.at);
        excuses_.SetStill(note.sidecar, true);
        return tell_front(std::min(plan_.storm.notice, kTermNotice), false);
      case Kind::kUnready:
      case Kind::kLeft:
        return load_.TellFront(note.sidecar, false);
      case Kind::kStopped:
        excuses_.Excuse(note.sidecar, note.at);
        excuses_.SetStill(note.sidecar, true);
        return tell_front(plan_.storm.notice, false);
      case Kind::kWoken:
        excuses_.SetStill(note.sidecar, false);
        return load_.TellFront(note.sidecar, true);
      default:
        return;
    }
  }

  void Remember(const FleetNote& note) {
    static const std::map<FleetNote::Kind, const char*> kWords = {
        {FleetNote::Kind::kStarted, storm::what::kStarted},
        {FleetNote::Kind::kReady, storm::what::kReady},
        {FleetNote::Kind::kKilled, storm::what::kKilled},
        {FleetNote::Kind::kStopped, storm::what::kStopped},
        {FleetNote::Kind::kWoken, storm::what::kWoken},
        {FleetNote::Kind::kCalled, storm::what::kCalled},
        {FleetNote::Kind::kTold, storm::what::kTold},
        {FleetNote::Kind::kConnected, storm::what::kConnected},
        {FleetNote::Kind::kLeft, storm::what::kLeft},
        {FleetNote::Kind::kUnready, storm::what::kUnready}};
    Record record{note.at, NameOf(note.sidecar), note.life, kWords.at(note.kind), {}, {}};
    if (note.kind == FleetNote::Kind::kTold) record.version = note.version;
    if (note.kind == FleetNote::Kind::kConnected) record.about = NodeName(plan_.fleet, note.node);
    history_.push_back(std::move(record));
  }

  // ---- The end ----

  // Who has peers is told by them too, which shows in the traces only: then all waits for those.
  void Tell(const Seen& seen) {
    if (plan_.storm.peers > 0) {
      seen_.push_back(seen);
    } else {
      account_.On(seen);
    }
  }

  void SettleAccount() {
    for (const Record& r : history_) {
      if (r.what != storm::what::kHeard || !r.version) continue;
      const auto process = std::stoul(r.who.substr(NameOf(0).size() - 1));
      for (const Seen& seen :
           emulation_.HeardBy(static_cast<std::uint32_t>(process), *r.version, r.at)) {
        seen_.push_back(seen);
      }
    }
    std::stable_sort(seen_.begin(), seen_.end(),
                     [](const Seen& a, const Seen& b) { return a.at < b.at; });
    for (const Seen& seen : seen_) account_.On(seen);
  }

  // The processes' own part, from their traces; each start goes on in the same file.
  void ReadTraces() {
    for (std::uint32_t p = 0; p < plan_.fleet.tiers.front().sidecars; ++p) {
      std::ifstream file(fmt::format("{}/{}.log", options_.folder, NameOf(p)));
      std::uint64_t life = 0;
      for (std::string line; std::getline(file, line);) {
        auto record = storm::FromTrace(line, wall_start_);
        if (!record) continue;
        if (record->what == "start") ++life;
        record->who = NameOf(p);
        record->life = life;
        history_.push_back(std::move(*record));
      }
    }
  }

  void WriteHistory() const {
    if (options_.history.empty()) return;
    std::ofstream file(options_.history);
    for (const Record& record : history_) file << LineOf(record) << '\n';
    file.close();
    if (!file) throw std::runtime_error(options_.history + ": cannot be written");
  }

  Json Collect() {
    ReadTraces();
    std::stable_sort(history_.begin(), history_.end(),
                     [](const Record& a, const Record& b) { return a.at < b.at; });
    WriteHistory();
    SettleAccount();
    if (!interrupted_) account_.Expire(ended_at_);
    Json run = RunOf(plan_, load_.tally(), account_, StateOf(load_, emulation_));
    run["seed"] = seed_;
    run["storm"] = JsonOf(storm::Judge(history_, PromiseOf(plan_), start_));
    run["storm"]["deals"] = dealt_;
    run["storm"]["last_fault_s"] = static_cast<double>(storm::EndOf(plan_.storm)) / 1e6;
    run["storm"]["deals_late_worst_ms"] = static_cast<double>(late_.worst()) / 1000;
    return run;
  }

  Json JsonOf(const storm::Judgement& j) const {
    Json findings = Json::array();
    for (const storm::Finding& f : j.findings) {
      if (findings.size() < kMostFindings) {
        findings.push_back({{"rule", f.rule},
                            {"at_s", static_cast<double>(f.at - start_) / 1e6},
                            {"who", f.who},
                            {"text", f.text}});
      }
    }
    Json backs = Json::array();
    for (const storm::Back& b : j.backs) {
      backs.push_back({{"who", b.who},
                       {"life", b.life},
                       {"started_s", static_cast<double>(b.started - start_) / 1e6},
                       {"ready_s", b.ready ? Json(static_cast<double>(*b.ready - b.started) / 1e6)
                                           : Json(nullptr)},
                       {"cut_short", b.cut_short},
                       {"calls", b.calls}});
    }
    return {{"findings", findings},
            {"found", j.findings.size()},
            {"heard", j.heard},
            {"recalled", j.recalled},
            {"decisions", j.decisions},
            {"wins", j.wins},
            {"outs", j.outs},
            {"late_refused", j.late_refused},
            {"longest_ownerless_s", static_cast<double>(j.longest_ownerless) / 1e6},
            {"order", order_},
            {"calls", j.calls},
            {"fullest_tenth_calls", j.fullest_tenth_calls},
            {"connections", j.connections},
            {"fullest_tenth_connections", j.fullest_tenth_connections},
            {"backs", backs}};
  }

  Plan plan_;
  const StormOptions& options_;
  std::uint64_t seed_;
  std::int64_t wall_start_;
  asio::io_context io_{1};
  Account account_;
  Excuses excuses_;
  Emulation emulation_;
  LoadRun load_;
  asio::signal_set signals_;
  asio::steady_timer deal_timer_;
  asio::steady_timer tick_;
  asio::steady_timer settle_timer_;
  std::vector<storm::Deal> deals_;
  std::size_t dealt_ = 0;
  Lateness late_;
  std::vector<Record> history_;
  std::vector<Seen> seen_;  // That the account has not been told yet.
  std::map<std::uint32_t, std::uint64_t> lives_;
  Micros start_ = 0;
  Micros ended_at_ = 0;
  bool interrupted_ = false;
  std::string order_;  // Its state at the end.
  std::string error_;
};

double Middle(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::string ReturnsText(const Json& storm) {
  std::vector<double> ready;
  double calls = 0;
  double counted = 0;
  for (const Json& back : storm.at("backs")) {
    if (!back.at("ready_s").is_null()) ready.push_back(back.at("ready_s").get<double>());
    if (back.at("cut_short").get<bool>()) continue;
    calls += back.at("calls").get<double>();
    ++counted;
  }
  if (storm.at("backs").empty()) return "nothing was started again\n";
  const double last = ready.empty() ? 0 : *std::max_element(ready.begin(), ready.end());
  std::string text =
      fmt::format("{} starts again, {} of them ready: after {:.2f} s (median), {:.2f} s (last)\n",
                  storm.at("backs").size(), ready.size(), Middle(ready), last);
  if (counted > 0) {
    text += fmt::format("list calls of each within 10 s: {:.2f}, over {} left alone so long\n",
                        calls / counted, counted);
  }
  return text;
}

}  // namespace

Json RunStorm(const Plan& plan, const StormOptions& options) {
  Json result = HeadOf(plan);
  bool interrupted = false;
  Play play(plan, options);
  result["runs"].push_back(play.Run(interrupted));
  result["interrupted"] = interrupted;
  return result;
}

double FullService(const Json& result, const Json& calm, double part) {
  try {
    const Json& windows = result.at("runs").at(0).at("windows");
    const Json& usual = calm.at("runs").at(0).at("windows");
    if (windows.size() != usual.size()) {
      throw std::runtime_error("the calm run has another number of windows");
    }
    std::size_t from = windows.size();
    while (from > 0) {
      const double wanted = part * usual.at(from - 1).at("goodput").get<double>();
      if (windows.at(from - 1).at("goodput").get<double>() < wanted) break;
      --from;
    }
    if (from == windows.size()) return -1;
    return static_cast<double>(from) * result.at("window_s").get<double>();
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("expected the result of a storm: ") + e.what());
  }
}

std::string StormSummary(const Json& result) {
  const Json& run = result.at("runs").at(0);
  const Json& storm = run.at("storm");
  std::string text = fmt::format(
      "{} deeds, {} decisions held to the promises, {} findings; rules broken: {}\n"
      "list calls {}, the fullest tenth of a second {}; connections {}, the fullest tenth {}; "
      "lists "
      "from peers {}\n",
      storm.at("deals").get<std::size_t>(), storm.at("decisions").get<std::size_t>(),
      storm.at("found").get<std::size_t>(), run.at("account").at("broken").get<std::uint64_t>(),
      storm.at("calls").get<std::size_t>(), storm.at("fullest_tenth_calls").get<std::size_t>(),
      storm.at("connections").get<std::size_t>(),
      storm.at("fullest_tenth_connections").get<std::size_t>(),
      storm.at("heard").get<std::size_t>());
  text += ReturnsText(storm);
  for (const Json& f : storm.at("findings")) {
    text += fmt::format("found: {} at {:.3f} s: {}: {}\n", f.at("rule").get<std::string>(),
                        f.at("at_s").get<double>(), f.at("who").get<std::string>(),
                        f.at("text").get<std::string>());
  }
  for (const Json& e : run.at("account").at("examples")) {
    text += fmt::format("rule broken: {}: {}\n", e.at("rule").get<std::string>(),
                        e.at("text").get<std::string>());
  }
  for (const Json& d : run.at("tool").at("distrust")) {
    text += "not to be trusted: " + d.get<std::string>() + '\n';
  }
  return text;
}

std::string JudgeFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw std::runtime_error(path + ": cannot be read");
  std::string lines;
  for (const storm::Finding& f :
       storm::Judge(storm::ParseHistory(text.str(), path), {}, 0).findings) {
    lines += fmt::format("{} at {:.6f} s: {}: {}\n", f.rule, static_cast<double>(f.at) / 1e6, f.who,
                         f.text);
  }
  return lines;
}

}  // namespace shelflab
