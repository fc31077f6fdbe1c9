#include "tier_seeds/replacements.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tier_seeds/deployment.h"

namespace shelflink::tier_seeds {
namespace {

// As many as a settings file names.
constexpr std::size_t kSeeds = 3;

ProcessSettings SettingsOfNew(const Machine& like, std::uint32_t number) {
  ProcessSettings settings = like.settings();
  settings.node = settings.role + "-" + std::to_string(number);
  settings.bootstrap = false;
  return settings;
}

template <typename T>
auto PlaceOf(std::vector<std::unique_ptr<T>>& all, const T& machine) {
  return std::find_if(all.begin(), all.end(),
                      [&](const std::unique_ptr<T>& one) { return one.get() == &machine; });
}

}  // namespace

Replacements::Replacements(net::VirtualNet& net, PlatformWorld& platform, Cores& cores,
                           Stores& stores, Proxies& proxies)
    : net_(net),
      platform_(platform),
      cores_(cores),
      stores_(stores),
      proxies_(proxies),
      next_core_(static_cast<std::uint32_t>(cores.size())),
      next_store_(static_cast<std::uint32_t>(stores.size())) {}

CoreMachine& Replacements::Replace(const CoreMachine& gone) {
  const auto place = PlaceOf(cores_, gone);
  (*place)->Wipe();
  const std::uint32_t number = next_core_++;
  auto successor = std::make_unique<CoreMachine>(net_, kFirstCore + number,
                                                 SettingsOfNew(gone, number), platform_);
  gone_.push_back(std::exchange(*place, std::move(successor)));
  CoreMachine& placed = **place;
  TellSeeds();
  return placed;
}

StoreMachine& Replacements::Replace(const StoreMachine& gone) {
  const auto place = PlaceOf(stores_, gone);
  (*place)->Wipe();
  gone_.push_back(std::exchange(*place, NewStore(gone)));
  return **place;
}

StoreMachine& Replacements::AddBeside(const StoreMachine& other) {
  stores_.push_back(NewStore(other));
  return *stores_.back();
}

void Replacements::Remove(const StoreMachine& gone) {
  const auto place = PlaceOf(stores_, gone);
  (*place)->Wipe();
  gone_.push_back(std::move(*place));
  stores_.erase(place);
}

std::unique_ptr<StoreMachine> Replacements::NewStore(const StoreMachine& like) {
  const std::uint32_t number = next_store_++;
  return std::make_unique<StoreMachine>(net_, kFirstStore + number, SettingsOfNew(like, number));
}

void Replacements::TellSeeds() {
  std::vector<net::Address> seeds;
  for (std::size_t index = 0; index < std::min(cores_.size(), kSeeds); ++index) {
    seeds.push_back(net::Address::V4(cores_[index]->host(), kControlPort));
  }
  for (auto& core : cores_) core->SetSeeds(seeds);
  for (auto& store : stores_) store->SetSeeds(seeds);
  for (auto& proxy : proxies_) proxy->SetSeeds(seeds);
}

}  // namespace shelflink::tier_seeds
