// The emulation's sidecars: real processes, what befalls them, and when they are ready.
#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "lab/emulation_parts.h"
#include "lab/sidecar_config.h"

namespace shelflab {

namespace {

constexpr Micros kReadyWithin = 30 * kSecond;
constexpr auto kHealthPause = std::chrono::milliseconds(100);
constexpr Micros kSupervisorPause = 50'000;
// From SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
constexpr Micros kKillAfter = 3 * kSecond + 700'000;

}  // namespace

// ---- Sidecars ----

// Datagrams take the ports that streams have: of the sidecar itself, and of its discovery.
void Emulation::StartRelay() {
  std::vector<Relay::Endpoint> own;
  std::vector<Relay::Endpoint> theirs;
  for (std::uint32_t i = 0; i < first_tier_sidecars_; ++i) {
    const Sidecar& s = *sidecars_[i];
    own.emplace_back(s.listen.address(), s.listen.port());
    theirs.emplace_back(s.door.address.address(), s.door.address.port());
  }
  relay_ = std::make_unique<Relay>(io_, own, theirs, options_.seed);
}

// Each is a peer of its peers. Distances double, so that any two are few steps apart.
std::vector<std::string> Emulation::PeersOf(const Sidecar& s) const {
  const std::uint32_t n = first_tier_sidecars_;
  std::vector<std::uint32_t> numbers;
  for (std::uint32_t step = 1; step < n && numbers.size() < options_.peers; step *= 2) {
    for (const std::uint32_t other : {(s.number + step) % n, (s.number + n - step) % n}) {
      if (std::find(numbers.begin(), numbers.end(), other) == numbers.end() && other != s.number) {
        numbers.push_back(other);
      }
    }
  }
  std::vector<std::string> addresses;
  addresses.reserve(numbers.size());
  for (const std::uint32_t other : numbers) {
    addresses.push_back(AddressText(sidecars_[other]->door.address));
  }
  return addresses;
}

void Emulation::Expect(std::uint64_t txn, std::uint32_t number) {
  if (!relay_) return;
  caller_of_[txn] = number;
  caller_ends_.emplace_back(Now() + kCallMemory, txn);
}

std::string Emulation::ConfigOf(const Sidecar& s, const Had& known) const {
  const FleetSpec& fleet = plan_.fleet;
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [id, row] : known.rows) {
    const std::size_t door = OneDoor(s.tier) ? 0 : s.number;
    hosts.push_back(
        RowText(fleet, row, nodes_[row.node]->doors[door]->address, fleet_.kind(row.node)));
  }
  SidecarPlace place;
  place.name = fmt::format("t{}n{}", s.tier, s.number);
  place.listen = AddressText(s.listen);
  place.discovery = AddressText(s.door.address);
  if (options_.stateful && s.tier == 0) place.state_dir = StateOf(s);
  if (relay_ && s.tier == 0) {
    place.peer_listen = AddressText(s.listen);
    place.peers = PeersOf(s);
    place.peer_list_age = options_.peer_list_age;
  }
  if (store_ && s.tier == 0) {
    place.console = AddressText(store_->OwnDoor(s.number));
    place.fleet = kStormFleet;
    place.store = store_->StoreAddress(s.number);
    place.door = store_->DoorAddress(s.number);
    place.ttl = options_.ttl;
  }
  place.seed = options_.seed * 0x9e3779b97f4a7c15ULL + std::uint64_t{977} * s.place + s.life;
  place.tier = s.tier;
  place.me = s.number;
  place.group = s.tier == 0 ? fleet.tiers.front().sidecars : fleet.tiers[s.tier - 1].nodes;
  place.longest_advice = plan_.load.client.longest_advice;
  place.memory_mb = plan_.limits.memory_mb;
  place.sockets = plan_.limits.sockets;
  return SidecarConfig(fleet, place, {{"seq", known.seq}, {"whole", true}, {"hosts", hosts}});
}

void Emulation::Start(std::function<void(std::string)> ready) {
  ready_ = std::move(ready);
  if (options_.sidecar_program.empty()) {
    asio::post(io_, [this] { CheckAllReady(); });
    return;
  }
  if (!store_) {
    for (auto& s : sidecars_) StartSidecar(*s);
    return;
  }
  store_->Start([this](const std::string& error) {
    if (!error.empty()) return std::exchange(ready_, nullptr)(error);
    for (auto& s : sidecars_) StartSidecar(*s);
    ProbeHealth();
  });
}

void Emulation::StartStoreRig() {
  StoreRig::Setup setup;
  setup.program = options_.lab_program;
  setup.folder = options_.folder;
  setup.seed = options_.seed;
  setup.in_folder = options_.folder_store;
  setup.at = {SidecarAddress(kStoreTier, 0).address(), kStorePort};
  for (std::uint32_t i = 0; i < first_tier_sidecars_; ++i) {
    setup.doors.emplace_back(sidecars_[i]->listen.address(), kConsolePort);
  }
  store_ = std::make_unique<StoreRig>(io_, std::move(setup));
}

// As a front does that asks each sidecar for its health: who is not healthy gets no new
// connections.
void Emulation::ProbeHealth() {
  for (std::uint32_t i = 0; i < first_tier_sidecars_; ++i) {
    Sidecar& s = *sidecars_[i];
    if (!s.wanted || (!s.ready && !s.unhealthy)) continue;
    AskHealth(s, [this, &s, life = s.life](bool healthy) {
      if (stopped_ || life != s.life || !s.wanted || s.unhealthy != healthy) return;
      s.unhealthy = !healthy;
      s.ready = healthy;
      Note(healthy ? FleetNote::Kind::kReady : FleetNote::Kind::kUnready, s);
    });
  }
  health_timer_.expires_after(kHealthPause);
  health_timer_.async_wait([this](error_code ec) {
    if (!ec && !stopped_) ProbeHealth();
  });
}

// One that does not answer in time says nothing: a process that stands still is not drained.
void Emulation::AskHealth(const Sidecar& s, std::function<void(bool)> told) {
  CallHttp(io_, s.listen, "GET", "/_health", "",
           [told = std::move(told)](int status, const std::string&) {
             if (status != 0) told(status == 200);
           });
}

bool Emulation::IsReady(std::uint32_t number) const { return sidecars_[number]->ready; }

// It ended by itself, in order, as one that was restarted in its turn: whoever keeps it running
// starts it again.
void Emulation::Leave(Sidecar& s) {
  s.wanted = s.ready = false;
  const std::uint64_t life = ++s.life;
  Note(FleetNote::Kind::kLeft, s);
  StartAgain(s, life, Now() + kSupervisorPause, Now(), {});
}

std::string Emulation::StateOf(const Sidecar& s) const {
  return fmt::format("{}/t{}n{}.state", options_.folder, s.tier, s.number);
}

void Emulation::Befall(const Sidecar& s, storm::Folder folder) const {
  namespace fs = std::filesystem;
  if (!options_.stateful || s.tier != 0) return;
  std::error_code ec;
  const fs::path own = StateOf(s);
  if (folder == storm::Folder::kEmpty) fs::remove_all(own, ec);
  fs::create_directories(own, ec);
  const fs::path file = own / "state.sqlite";
  if (folder == storm::Folder::kTorn && fs::exists(file, ec)) {
    fs::resize_file(file, fs::file_size(file, ec) / 2, ec);
  } else if (folder == storm::Folder::kForeign) {
    const Sidecar& other = *sidecars_[(s.number + 1) % first_tier_sidecars_];
    fs::copy_file(fs::path(StateOf(other)) / "state.sqlite", file,
                  fs::copy_options::overwrite_existing, ec);
  } else if (folder == storm::Folder::kGarbage) {
    std::ofstream(file) << "this is no database, and was never meant to be one";
  }
  if (ec) spdlog::warn("{}: {}", file.string(), ec.message());
}

void Emulation::StartSidecar(Sidecar& s, const Restart& restart) {
  if (stopped_ || options_.sidecar_program.empty()) return;
  s.process.Kill();
  s.ready = s.unhealthy = false;
  s.wanted = true;
  s.started = Now();
  ++s.life;
  ++s.starts;
  Had known = s.had;
  if (restart.list == storm::Memory::kFirst) known = first_lists_[s.tier];
  if (restart.list == storm::Memory::kNone) known = {};
  Befall(s, restart.folder);
  // What it remembers itself it may know again; else it has what it is given.
  const bool remembers =
      options_.stateful && s.tier == 0 && restart.folder == storm::Folder::kKept && s.starts > 1;
  if (!remembers) s.had = known;
  // It knows nothing of what its last life was told, and counts as told what its list says.
  const NodeId first = FirstNode(plan_.fleet, s.tier);
  for (NodeId n = first; n < first + plan_.fleet.tiers[s.tier].nodes; ++n) {
    const auto row = s.had.rows.find(n);
    const bool gone = !remembers && row == s.had.rows.end() && !s.had.rows.empty();
    TellRow(s.place, gone ? Listed{n, Health::kDeleted, 0} : Listed{n, Health::kServing, 0},
            s.started);
    if (!remembers && row != s.had.rows.end()) TellRow(s.place, row->second, s.started);
  }
  const std::string base = fmt::format("{}/t{}n{}", options_.folder, s.tier, s.number);
  std::ofstream(base + ".json") << ConfigOf(s, known);
  std::vector<std::string> command{options_.sidecar_program};
  if (options_.traced) command.emplace_back("--trace");
  s.process = Process(command, {{"PROXY_CONFIG", base + ".json"}}, base + ".log");
  Note(FleetNote::Kind::kStarted, s);
  AwaitReady(s, s.life);
}

// ---- What befalls sidecars ----

void Emulation::Note(FleetNote::Kind kind, const Sidecar& s, std::int64_t version,
                     NodeId node) const {
  if (options_.notes) options_.notes({kind, Now(), s.place, s.starts, version, node});
}

void Emulation::KillSidecar(std::uint32_t number, int signal, Micros down, const Restart& restart) {
  Sidecar& s = *sidecars_[number];
  if (stopped_ || !s.wanted) return;
  s.wanted = s.ready = false;
  const std::uint64_t life = ++s.life;
  Note(FleetNote::Kind::kKilled, s);
  s.process.Signal(SIGCONT);
  s.process.Signal(signal);
  const Micros now = Now();
  StartAgain(s, life, now + down, signal == SIGKILL ? now : now + kKillAfter, restart);
}

// Once it has ended, by itself or killed when its time is over.
void Emulation::StartAgain(Sidecar& s, std::uint64_t life, Micros at, Micros kill_at,
                           const Restart& restart) {
  s.timer.expires_after(std::chrono::milliseconds(5));
  s.timer.async_wait([this, &s, life, at, kill_at, restart](error_code ec) {
    if (ec || stopped_ || life != s.life) return;
    if (Now() >= kill_at) s.process.Kill();
    const bool ended = s.process.pid() <= 0 || s.process.Ended().has_value();
    if (!ended || Now() < at) return StartAgain(s, life, at, kill_at, restart);
    StartSidecar(s, restart);
  });
}

void Emulation::StopSidecar(std::uint32_t number) {
  const Sidecar& s = *sidecars_[number];
  if (!s.wanted) return;
  s.process.Signal(SIGSTOP);
  Note(FleetNote::Kind::kStopped, s);
}

void Emulation::WakeSidecar(std::uint32_t number) {
  const Sidecar& s = *sidecars_[number];
  if (!s.wanted) return;
  s.process.Signal(SIGCONT);
  Note(FleetNote::Kind::kWoken, s);
}

std::vector<std::shared_ptr<Emulation::Line>> Emulation::LinesOf(const Sidecar& s,
                                                                 storm::End to) const {
  std::vector<std::shared_ptr<Line>> lines;
  if (to == storm::End::kDiscovery) {
    for (const auto& weak : s.asking) {
      if (auto line = weak.lock()) lines.push_back(std::move(line));
    }
    return lines;
  }
  for (const auto& node : nodes_) {
    if (fleet_.tier(node->id) != 0) continue;
    for (const auto& [id, line] : node->lines) {
      if (line->sidecar == s.number) lines.push_back(line);
    }
  }
  return lines;
}

std::vector<Emulation::Door*> Emulation::DoorsOf(Sidecar& s, storm::End to) {
  if (to == storm::End::kDiscovery) return {&s.door};
  std::vector<Door*> doors;
  for (const auto& node : nodes_) {
    if (fleet_.tier(node->id) == 0 && !node->silent) doors.push_back(node->doors[s.number].get());
  }
  return doors;
}

void Emulation::SetLink(std::uint32_t number, storm::End to, const LinkFault& fault) {
  if (to == storm::End::kPeers) {
    if (relay_) relay_->SetFault(number, fault);
    return;
  }
  if (to >= storm::End::kStore) return StoreLink(number, to).SetFault(fault);
  Sidecar& s = *sidecars_[number];
  Link& link = *s.links[Index(to)];
  const LinkFault before = std::exchange(link.fault, fault);
  if (before.shut != fault.shut) {
    for (Door* door : DoorsOf(s, to)) Muffle(*door, fault.shut);
  }
  for (const auto& line : LinesOf(s, to)) {
    fault.mute ? line->StopReading() : line->Listen();
    line->Release();
  }
}

TcpRelay& Emulation::StoreLink(std::uint32_t number, storm::End to) {
  return to == storm::End::kStore ? store_->StoreLink(number) : store_->DoorLink(number);
}

void Emulation::ResetLink(std::uint32_t number, storm::End to) {
  if (to >= storm::End::kStore) return StoreLink(number, to).Reset();
  for (const auto& line : LinesOf(*sidecars_[number], to)) {
    line->Reset();
    if (to == storm::End::kNodes) {
      std::static_pointer_cast<EndpointLine>(line)->Leave();
    } else {
      std::static_pointer_cast<DiscoveryLine>(line)->Forget();
    }
  }
}

// ---- Readiness ----

// Asks for its health until that is 200.
void Emulation::AwaitReady(Sidecar& s, std::uint64_t life) {
  s.timer.expires_after(std::chrono::milliseconds(10));
  s.timer.async_wait([this, &s, life](error_code ec) {
    if (ec || stopped_ || life != s.life) return;
    CallHttp(io_, s.listen, "GET", "/_health", "",
             [this, &s, life](int status, const std::string&) {
               if (stopped_ || life != s.life) return;
               if (status != 200) return AwaitReady(s, life);
               s.ready = true;
               Note(FleetNote::Kind::kReady, s);
               CheckAllReady();
             });
  });
}

void Emulation::CheckAllReady() {
  if (!ready_) return;
  const bool all = options_.sidecar_program.empty() ||
                   std::all_of(sidecars_.begin(), sidecars_.end(),
                               [](const auto& s) { return s->ready || !s->wanted; });
  if (all) std::exchange(ready_, nullptr)({});
}

// Notices sidecars that ended by themselves and ones that never get ready.
void Emulation::Watch() {
  for (auto& s : sidecars_) {
    const auto status = s->process.pid() > 0 ? s->process.Ended() : std::nullopt;
    if (status && s->wanted && store_ && *status == 0) {
      Leave(*s);
    } else if (status && s->wanted) {
      ++crashes_;
      s->wanted = s->ready = false;
      ++s->life;
      spdlog::error("sidecar t{}n{} ended by itself, status {}; its log: {}/t{}n{}.log", s->tier,
                    s->number, *status, options_.folder, s->tier, s->number);
      if (ready_) {
        std::exchange(
            ready_, nullptr)(fmt::format("sidecar t{}n{} did not start; see {}/t{}n{}.log", s->tier,
                                         s->number, options_.folder, s->tier, s->number));
      }
    }
    if (ready_ && s->wanted && !s->ready && Now() - s->started > kReadyWithin) {
      std::exchange(ready_, nullptr)(
          fmt::format("sidecar t{}n{} is not ready after 30 s", s->tier, s->number));
    }
  }
}

std::vector<tcp::endpoint> Emulation::Targets() const {
  std::vector<tcp::endpoint> targets;
  for (std::uint32_t i = 0; i < first_tier_sidecars_; ++i) targets.push_back(sidecars_[i]->listen);
  return targets;
}

std::vector<SidecarView> Emulation::Sidecars() const {
  std::vector<SidecarView> views;
  for (const auto& s : sidecars_) {
    views.push_back({s->tier, s->number, s->listen, s->ready, s->process.pid()});
  }
  return views;
}

Emulation::Endpoint Emulation::NodeAddress(NodeId node) const {
  return nodes_[node]->doors.front()->address;
}

Emulation::Endpoint Emulation::DiscoveryAddress(std::size_t sidecar) const {
  return sidecars_[sidecar]->door.address;
}

std::vector<NodeWindow> Emulation::TakeWindows() {
  std::vector<NodeWindow> windows;
  for (auto& node : nodes_) windows.push_back(std::exchange(node->window, {}));
  return windows;
}

}  // namespace shelflab
