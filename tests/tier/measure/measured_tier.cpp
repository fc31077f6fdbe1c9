#include "measure/measured_tier.h"

#include <stdexcept>
#include <utility>

#include "tier/operator_api/messages.h"
#include "tier_seeds/configurations.h"

namespace shelflink::measure {
namespace {

using tier_seeds::CoreMachine;
using tier_seeds::Deployment;
using tier_seeds::ProxyMachine;
using tier_seeds::StoreMachine;

constexpr std::int64_t kEpochMicros = 1'800'000'000'000'000;
constexpr milliseconds kLookEvery{1};
constexpr std::uint64_t kLooksPerAge = 10;
constexpr milliseconds kProxiesBegin{2000};
constexpr milliseconds kBetweenProxies{50};  // The first of each zone leads it in the relay tree.
constexpr seconds kStartTakes{30};
constexpr milliseconds kAgainAfter{900};
constexpr double kBitsOfByte = 8;

Deployment DeploymentOf(const TierSize& size) {
  Deployment deployment = tier_seeds::DrawDeployment(size.seed);
  deployment.failures = size.failures;
  deployment.base.tolerance.machines = static_cast<int>(size.failures);
  deployment.zones = size.zones;
  deployment.cores = size.cores;
  deployment.stores = size.stores;
  deployment.proxies = size.proxies;
  deployment.base.seeds.clear();
  for (std::uint32_t index = 0; index < 3; ++index) {
    deployment.base.seeds.push_back(
        net::Address::V4(tier_seeds::kFirstCore + index, tier_seeds::kControlPort));
  }
  return deployment;
}

ProcessSettings SettingsOf(const Deployment& deployment, const std::string& role,
                           std::size_t index) {
  ProcessSettings settings = deployment.base;
  settings.role = role;
  settings.node = role + "-" + std::to_string(index);
  settings.zone = deployment.ZoneOf(index);
  settings.counts_for_quorum = role != "proxy";
  return settings;
}

}  // namespace

// ---- The operator ----

void Changer::Every(net::Span period, std::size_t padding) {
  period_ = period;
  padding_ = padding;
  ++round_;
  if (period_ > net::Span()) Tick(round_);
}

void Changer::Tick(std::uint64_t round) {
  if (round != round_) return;
  net_.At(net_.Now() + period_, [this, round, alive = std::weak_ptr<char>(life_)] {
    if (!alive.expired()) Tick(round);
  });
  if (!under_way_) Send();
}

void Changer::Send() {
  CoreMachine* const primary = primary_();
  if (primary == nullptr) return;
  under_way_ = true;
  const std::uint64_t version = acknowledged_ + 1;
  const std::uint64_t attempt = ++attempt_;
  tier_seeds::ConfigurationDraft draft;
  draft.version = version;
  draft.tag = "t" + std::to_string(version);
  draft.padding = padding_;
  draft.more_routes = more_routes_;
  configuration::ChangeOrder order{configuration::ChangeMethod::kPut, acknowledged_,
                                   tier_seeds::WholeConfiguration(draft)};
  const std::weak_ptr<char> alive = life_;
  // Its core process may die with the order.
  net_.At(net_.Now() + kAgainAfter, [this, alive, attempt] {
    if (!alive.expired() && attempt == attempt_) under_way_ = false;
  });
  primary->Deliver([this, alive, primary, attempt, version, order = std::move(order)]() mutable {
    primary->forwarder().Execute(
        net_.Now(), std::move(order),
        [this, alive, attempt, version](const Result<operator_api::Answer>& answer) {
          if (alive.expired() || attempt != attempt_) return;
          under_way_ = false;
          if (!answer) {
            const ErrorCode code = answer.error().code;
            if (code == ErrorCode::kConflict || code == ErrorCode::kInvalid) ++refused_;
            return;
          }
          acknowledged_ = version;
          if (on_acknowledged) on_acknowledged(version);
        });
  });
}

// ---- The tier ----

MeasuredTier::MeasuredTier(const TierSize& size)
    : deployment_(DeploymentOf(size)),
      size_(size),
      net_(size.seed, kEpochMicros),
      journal_(net_, false),
      platform_(net_, journal_, deployment_),
      changer_(net_, [this] { return Primary(); }),
      seen_(size.proxies) {
  AddMachines();
  while (endpoints_.size() < size.endpoints) endpoints_.push_back(NewEndpoint());
  ShowEndpoints();
  StartMachines();
  changer_.Every(milliseconds(100), 0);
  const auto all_ready = [this] {
    return changer_.acknowledged() > 0 &&
           std::all_of(proxies.begin(), proxies.end(),
                       [](const auto& proxy) { return proxy->up() && proxy->program().ready(); });
  };
  if (!RunUntil(all_ready, kStartTakes)) throw std::runtime_error("the tier does not start");
  changer_.Every(net::Span(), 0);
  Run(seconds(2));
}

MeasuredTier::~MeasuredTier() {
  for (auto& core : cores) core->Kill();
  for (auto& store : stores) store->Kill();
  for (auto& proxy : proxies) proxy->Kill();
  net_.Clear();
}

void MeasuredTier::AddMachines() {
  const auto add = [this](auto& to, auto machine, double megabits) {
    if (megabits == 0) megabits = size_.megabits_per_second;
    machine->SetLink(static_cast<std::uint64_t>(megabits * 1e6 / kBitsOfByte));
    to.push_back(std::move(machine));
  };
  for (std::uint32_t index = 0; index < deployment_.cores; ++index) {
    add(cores,
        std::make_unique<CoreMachine>(net_, tier_seeds::kFirstCore + index,
                                      SettingsOf(deployment_, "core", index), platform_),
        size_.core_megabits_per_second);
  }
  for (std::uint32_t index = 0; index < deployment_.stores; ++index) {
    add(stores,
        std::make_unique<StoreMachine>(net_, tier_seeds::kFirstStore + index,
                                       SettingsOf(deployment_, "store", index)),
        size_.store_megabits_per_second);
  }
  for (std::uint32_t index = 0; index < deployment_.proxies; ++index) {
    const std::uint32_t host = tier_seeds::kFirstProxy + index;
    ProcessSettings settings = SettingsOf(deployment_, "proxy", index);
    settings.listen_front = net::Address::V4(host, tier_seeds::kFrontPort);
    settings.listen_ready = net::Address::V4(host, tier_seeds::kReadyPort);
    add(proxies, std::make_unique<ProxyMachine>(net_, host, settings, platform_), 0);
  }
}

void MeasuredTier::StartMachines() {
  for (auto& core : cores) core->Start();
  for (auto& store : stores) store->Start();
  net::Time at = net_.Now() + kProxiesBegin;
  for (auto& proxy : proxies) {
    net_.At(at, [&machine = *proxy] { machine.Start(); });
    at += kBetweenProxies;
  }
}

bool MeasuredTier::RunUntil(const std::function<bool()>& holds, net::Span within) {
  const net::Time end = net_.Now() + within;
  while (net_.Now() < end) {
    if (holds()) return true;
    net_.RunUntil(std::min(end, net_.Now() + milliseconds(1)));
  }
  return holds();
}

CoreMachine* MeasuredTier::Primary() {
  for (auto& core : cores) {
    if (core->up() && core->is_primary()) return core.get();
  }
  return nullptr;
}

std::vector<tier_seeds::Machine*> MeasuredTier::Machines() {
  std::vector<tier_seeds::Machine*> all;
  for (auto& core : cores) all.push_back(core.get());
  for (auto& store : stores) all.push_back(store.get());
  for (auto& proxy : proxies) all.push_back(proxy.get());
  return all;
}

std::uint64_t MeasuredTier::Sent() {
  std::uint64_t sent = 0;
  for (const tier_seeds::Machine* machine : Machines()) sent += machine->sent();
  return sent;
}

bool MeasuredTier::AllKnow(std::uint64_t version) {
  return std::all_of(proxies.begin(), proxies.end(), [&](const auto& proxy) {
    const auto configuration = proxy->up() ? proxy->program().view().configuration : nullptr;
    return configuration && configuration->version >= version;
  });
}

// ---- Endpoints ----

cluster::EndpointEntry MeasuredTier::NewEndpoint() {
  const std::uint64_t number = endpoints_made_++;
  cluster::EndpointEntry entry;
  entry.id = "i-" + std::to_string(number);
  entry.service = number % 2 == 0 ? "svc-a" : "svc-b";
  entry.address =
      net::Address::V4(tier_seeds::kFirstEndpoint + static_cast<std::uint32_t>(number), 8080);
  entry.zone = deployment_.ZoneOf(number);
  entry.slots = 32;
  return entry;
}

void MeasuredTier::ShowEndpoints() { platform_.SetList(endpoints_); }

void MeasuredTier::LeaveOne() {
  std::erase_if(endpoints_, [](const cluster::EndpointEntry& entry) { return entry.draining; });
  endpoints_.push_back(NewEndpoint());
  endpoints_.front().draining = true;
  const std::uint64_t number = std::stoull(endpoints_.front().id.substr(2));
  leaving_[number] = {net_.Now() + deployment_.base.cloud.lag, {}};
  ShowEndpoints();
}

// ---- What is observed ----

void MeasuredTier::SetHeeded(std::size_t proxy, bool heeded) { seen_[proxy].heeded = heeded; }

void MeasuredTier::Observe() {
  if (std::exchange(observing_, true)) return;
  changer_.on_acknowledged = [this](std::uint64_t version) { put_[version] = {net_.Now(), {}}; };
  Look();
}

void MeasuredTier::Look() {
  ++looks_;
  for (std::size_t proxy = 0; proxy < proxies.size(); ++proxy) {
    if (seen_[proxy].heeded && proxies[proxy]->up()) LookAt(proxy);
  }
  net_.At(net_.Now() + kLookEvery, [this] { Look(); });
}

void MeasuredTier::LookAt(std::size_t proxy) {
  const proxy::Program& program = proxies[proxy]->program();
  if (looks_ % kLooksPerAge == 0) ages.Add(net_.Now() - program.endpoints_read_at());
  const cluster::View view = program.view();
  for (auto it = put_.begin(); it != put_.end() && it->first <= view.configuration->version;) {
    const std::uint64_t version = it->first;
    ++it;
    NoteKnown(put_, version, proxy, configurations);
  }
  if (view.endpoints.get() == seen_[proxy].endpoints && leaving_.empty()) return;
  seen_[proxy].endpoints = view.endpoints.get();
  TakeEndpoints(proxy, *view.endpoints);
}

void MeasuredTier::TakeEndpoints(std::size_t proxy, const cluster::EndpointList& list) {
  std::set<std::uint64_t> serving;
  for (const cluster::EndpointEntry& entry : list.entries) {
    if (!entry.draining) serving.insert(std::stoull(entry.id.substr(2)));
  }
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    const std::uint64_t number = it->first;
    ++it;
    if (!serving.contains(number)) NoteKnown(leaving_, number, proxy, departures);
  }
}

void MeasuredTier::NoteKnown(std::map<std::uint64_t, Awaited>& awaited, std::uint64_t key,
                             std::size_t proxy, Samples& samples) {
  Awaited& one = awaited[key];
  one.knows.insert(proxy);
  const auto heeded = static_cast<std::size_t>(
      std::count_if(seen_.begin(), seen_.end(), [](const Seen& seen) { return seen.heeded; }));
  if (one.knows.size() < heeded) return;
  samples.Add(net_.Now() - one.since);
  awaited.erase(key);
}

}  // namespace shelflink::measure
