#include "seeds/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

#include "seeds/peer.h"

namespace seeds {

using shelflab::FirstNode;
using shelflab::FleetEffect;
using shelflab::FleetSpec;
using shelflab::Health;
using shelflab::kNever;
using shelflab::kSecond;
using shelflab::Listed;
using shelflab::Repeat;

namespace {

constexpr Micros kSlack = 50'000;         // That the rules grant real sockets.
constexpr Micros kQuiet = 8 * kSecond;    // After the load, until nothing may be left.
constexpr std::size_t kTimersAtRest = 8;  // The module's, and the watch's.
constexpr double kServedAfter = 0.9;
constexpr std::size_t kMostFindings = 50;
constexpr std::uint32_t kClientHost = 0x0a000001;

FleetSpec SpecOf(const Scene& scene) {
  FleetSpec spec;
  spec.zone = std::string(1, 'z');  // As a literal, g++ 12 warns of a copy that cannot be.
  const auto cls = [&](const char* name, Repeat repeat, double low, double high) {
    shelflab::ClassSpec c;
    c.name = name;
    c.work = {shelflab::Shape::kUniform, low * scene.work, high * scene.work};
    c.aim = static_cast<Micros>(250'000 * scene.work);
    c.give_up = static_cast<Micros>(1'500'000 * scene.work);
    c.worth = 5;
    c.repeat = repeat;
    return c;
  };
  spec.classes = {cls("read", Repeat::kIdempotent, 10'000, 30'000),
                  cls("write", Repeat::kAtMostOnce, 10'000, 30'000),
                  cls("order", Repeat::kAtMostOnce, 15'000, 40'000)};
  spec.tenants = {{"a", 2, 300}, {"b", 1, 100}};
  shelflab::ServerSpec server;
  server.cores = 2;
  server.slots = 8;
  server.waiting_room = 12;
  server.connections = 200;
  server.handshake_work = 300;
  server.idle_close = scene.idle_close;
  server.cold_share = 0.05;
  server.warm_up = 6 * kSecond;
  server.fall_multiple = 1.5;
  server.fall = static_cast<Micros>(300'000 * scene.work);
  for (const int tier : {0, 1}) {
    shelflab::TierSpec t;
    t.name = tier == 0 ? "front" : "store";
    t.nodes = scene.nodes[tier];
    t.sidecars = scene.sidecars;
    t.work_share = 0.5;
    t.calls = tier == 0 ? scene.calls : 0;
    t.server = server;
    t.kinds = {{"k", 1, 0.8, 1.3}};
    spec.tiers.push_back(std::move(t));
  }
  spec.discovery.lateness = 200'000;
  spec.discovery.call_cost = scene.list_cost;
  spec.drain_grace = 2 * kSecond;
  spec.max_attempts = 3;
  return spec;
}

net::Weather WeatherOf(const Scene& scene) {
  net::Weather w;
  w.latency_low = std::chrono::microseconds(scene.latency_low);
  w.latency_high = std::chrono::microseconds(scene.latency_high);
  w.grain = std::chrono::microseconds(scene.grain);
  w.cut = scene.cut;
  w.window = scene.window;
  return w;
}

}  // namespace

World::World(const Script& script, Timeline timeline)
    : script_(script),
      timeline_(std::move(timeline)),
      net_(script.scene.seed),
      spec_(SpecOf(script.scene)),
      fleet_(spec_, script.scene.seed),
      catalog_(spec_.discovery, 2),
      account_(spec_, kSlack),
      random_(script.scene.seed, 0x776f726c) {
  const Scene& scene = script_.scene;
  net_.SetWeather(WeatherOf(scene));
  for (NodeId id = 0; id < fleet_.size(); ++id) {
    Node& node = *nodes_.emplace_back(std::make_unique<Node>(spec_.tiers[fleet_.tier(id)].server));
    node.id = id;
    node.host = 0x0a010001 + id;
    if (fleet_.tier(id) == 0) node.sidecar = scene.sidecars + id;
  }
  for (std::uint32_t place = 0; place < scene.sidecars + scene.nodes[0]; ++place) {
    Side& side = *sides_.emplace_back(std::make_unique<Side>());
    side.place = place;
    side.tier = place < scene.sidecars ? 0 : 1;
    side.host = side.tier == 0 ? 0x0a090001 + place : nodes_[place - scene.sidecars]->host;
    side_of_host_[side.host] = place;
  }
  for (std::uint32_t t = 0; t < 2; ++t) {
    std::vector<Listed> rows;
    const NodeId first = FirstNode(spec_, t);
    for (NodeId n = 0; n < spec_.tiers[t].nodes; ++n)
      rows.push_back({first + n, Health::kServing, 0});
    catalog_.List(t, rows);
    std::tie(old_seq_[t], old_rows_[t]) = catalog_.Whole(t);
  }
  shelflab::ClientSpec client;
  client.heeds_advice = 0.7;
  for (int i = 0; i < 16; ++i) habits_.emplace_back(client, random_);
  client_ = std::make_unique<net::VirtualProcess>(net_, kClientHost, "clients", 1 << 16);
}

// Processes end first: what is destroyed after that has nobody left to tell.
World::~World() {
  for (const auto& side : sides_) {
    if (side->process) side->process->Kill();
    side->sidecar.reset();
  }
  for (const auto& node : nodes_) {
    if (node->process) node->process->Kill();
  }
  if (discovery_) discovery_->Kill();
  client_->Kill();
  net_.Clear();
}

void World::Bury(std::unique_ptr<net::VirtualProcess> process) {
  if (!process) return;
  process->Kill();
  ended_.push_back(std::move(process));
}

Micros World::MicrosOf(net::Time at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

Micros World::Now() const { return MicrosOf(net_.Now()); }

net::Time World::When(Micros at) const { return net::Time(std::chrono::microseconds(at)); }

void World::After(Micros span, std::function<void()> step) {
  net_.At(net_.Now() + std::chrono::microseconds(span), std::move(step));
}

void World::Say(const std::function<std::string()>& text) {
  if (timeline_) timeline_(Now(), text());
}

Second& World::ThisSecond() {
  const auto second = static_cast<std::size_t>(Now() / kSecond);
  if (result_.seconds.size() <= second) result_.seconds.resize(second + 1);
  return result_.seconds[second];
}

void World::Find(const std::string& rule, const std::string& text) {
  Say([&] { return fmt::format("BROKEN: {}: {}", rule, text); });
  if (result_.findings.size() < kMostFindings) result_.findings.push_back({rule, Now(), text});
}

void World::Arm() {
  const Micros next = std::min(fleet_.Next(), catalog_.Next());
  if (next == armed_) return;
  armed_ = next;
  if (next == kNever) return;
  net_.At(When(next), [this, turn = ++turn_] {
    if (turn != turn_) return;
    armed_ = kNever;
    fleet_.Advance(Now());
    catalog_.Advance(Now());
    Settle();
  });
}

// Carries out what the model and the catalog have decided, until they have nothing more to say.
void World::Settle() {
  if (settling_) return;
  settling_ = true;
  for (;;) {
    const auto effects = fleet_.TakeEffects();
    const auto answers = catalog_.TakeAnswers();
    if (effects.empty() && answers.empty()) break;
    for (const FleetEffect& e : effects) {
      switch (e.kind) {
        case FleetEffect::Kind::kAnswer:
          Answer(e);
          break;
        case FleetEffect::Kind::kCall:
          CallNextTier(e);
          break;
        case FleetEffect::Kind::kDied:
          Died(e.node);
          break;
        case FleetEffect::Kind::kStarted:
          StartNode(e.node);
          Fact(e.node, Health::kServing, std::max<Micros>(1000, Now()));
          break;
        case FleetEffect::Kind::kFellOver:
          Fell(e.node);
          // Somebody starts it again.
          After(kSecond, [this, node = e.node] {
            fleet_.Apply(Now(), {Now(), shelflab::Step::Kind::kNodeStart, node, 0, 1});
            Settle();
          });
          break;
      }
    }
    for (const auto& a : answers) AnswerCall(a);
  }
  settling_ = false;
  Arm();
}

// What the account has found since the last look.
void World::CheckAccount() {
  if (account_.all_broken() == known_broken_) return;
  const auto& examples = account_.examples();
  for (std::size_t i = known_broken_;
       i < std::min<std::size_t>(account_.all_broken(), examples.size()); ++i) {
    Find(WordOf(examples[i].rule), examples[i].text);
  }
  known_broken_ = account_.all_broken();
}

void World::CheckDescriptors(const Side& side) {
  const std::size_t held = side.process->most_descriptors_held();
  if (held <= script_.scene.descriptors) return;
  Find("more descriptors than allowed",
       fmt::format("sidecar {} held {} of {}", side.place, held, script_.scene.descriptors));
}

void World::CheckQuiet() {
  account_.Expire(Now() + 60 * kSecond);
  CheckAccount();
  for (const auto& side : sides_) {
    if (!side->sidecar) continue;
    const auto holds = side->sidecar->holds();
    const std::size_t timers = side->process->timers_armed();
    if (holds.requests + holds.attempts + holds.clients + holds.sockets > 0 ||
        timers > kTimersAtRest) {
      Find("something is left at rest",
           fmt::format(
               "sidecar {} holds {} requests, {} attempts, {} clients, {} sockets, {} timers",
               side->place, holds.requests, holds.attempts, holds.clients, holds.sockets, timers));
    }
    CheckDescriptors(*side);
    CheckFigures(*side);
  }
}

// Each request that it took has ended once, and what its callers saw is what it tells. More than
// they saw may only be what was on its way when they left.
void World::CheckFigures(const Side& side) {
  const Told& told = side.figures;
  const std::uint64_t ended =
      std::accumulate(told.ended.begin(), told.ended.end(), std::uint64_t{0});
  const std::uint64_t answers =
      std::accumulate(side.seen.answers.begin(), side.seen.answers.end(), std::uint64_t{0});
  bool wrong = told.taken != ended || told.taken > side.seen.asked;
  const std::uint64_t unseen = side.seen.asked - std::min(side.seen.asked, answers);
  for (std::size_t i = 0; i < side.seen.answers.size(); ++i) {
    wrong = wrong || told.ended[i] < side.seen.answers[i] ||
            told.ended[i] - side.seen.answers[i] > unseen;
  }
  // Of an earlier life attempts may come late.
  wrong = wrong || (side.life == 1 && told.sends < side.seen.attempts);
  if (!wrong) return;
  Find("figures that are not true",
       fmt::format(
           "sidecar {} tells of {} taken, {} answered, {} refused, {} failed, {} abandoned, "
           "{} sends; its peers saw {} asked, {} answered, {} refused, {} failed, {} attempts",
           side.place, told.taken, told.ended[0], told.ended[1], told.ended[2], told.ended[3],
           told.sends, side.seen.asked, side.seen.answers[0], side.seen.answers[1],
           side.seen.answers[2], side.seen.attempts));
}

void World::CheckBack() {
  if (asked_after_ < 20 || result_.served_after >= kServedAfter) return;
  Find("service is not back",
       fmt::format("{} of {} requests served that came {} s after the last fault", served_after_,
                   asked_after_, kBackWithin / kSecond));
}

// How those came back that were started again.
std::vector<Return> World::Returns() const {
  std::vector<Return> returns;
  for (const auto& side : sides_) {
    if (side->life > 1 && side->tier == 0) returns.push_back(side->back);
  }
  return returns;
}

RunResult World::Run() {
  StartDiscovery();
  for (const auto& node : nodes_) StartNode(node->id);
  for (std::uint32_t i = 0; i < script_.scene.sidecars; ++i) StartSidecar(i);
  SweepIdle();
  Schedule();
  NextArrival();
  const auto check = [this] { CheckAccount(); };
  try {
    net_.RunUntil(When(script_.scene.length), check);
    quiet_ = true;
    net_.RunUntil(When(script_.scene.length + kQuiet), check);
    CheckQuiet();
  } catch (const net::TimeStands& e) {
    Find("time stands still", e.what());
  }
  result_.hash = net_.hash();
  for (const auto& [tenth, calls] : list_calls_by_tenth_) {
    result_.fullest_tenth = std::max(result_.fullest_tenth, calls);
  }
  result_.returns = Returns();
  result_.events = net_.events();
  result_.simulated = Now();
  result_.served = asked_ == 0 ? 1 : static_cast<double>(served_) / static_cast<double>(asked_);
  result_.served_after =
      asked_after_ == 0 ? 1
                        : static_cast<double>(served_after_) / static_cast<double>(asked_after_);
  CheckBack();
  return std::move(result_);
}

}  // namespace seeds
