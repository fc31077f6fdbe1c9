#include "tier_seeds/deployment.h"

#include <algorithm>

#include "emulator/random.h"

namespace shelflink::tier_seeds {
namespace {

constexpr std::uint64_t kDeploymentStream = 1;
constexpr std::uint64_t kDisksStream = 11;  // Beside all others: other days are what they were.
constexpr double kOfDisksShare = 0.25;
constexpr std::uint16_t kFirstPort = 7360;
constexpr std::uint16_t kLastPort = 7375;
constexpr std::size_t kMostSeeds = 3;

std::size_t From(shelflab::Random& random, std::size_t least, std::size_t most) {
  return least + random.Below(most - least + 1);
}

net::Span Seconds(double seconds) {
  return std::chrono::duration_cast<net::Span>(std::chrono::duration<double>(seconds));
}

ProcessSettings BaseSettings(shelflab::Random& random, const Deployment& deployment) {
  ProcessSettings settings;
  settings.port_first = kFirstPort;
  settings.port_last = kLastPort;
  settings.bootstrap = true;
  settings.counts_for_quorum = true;
  for (std::size_t index = 0; index < std::min(deployment.cores, kMostSeeds); ++index) {
    settings.seeds.push_back(
        net::Address::V4(kFirstCore + static_cast<std::uint32_t>(index), kControlPort));
  }
  settings.contracts = {"base",  "drain",  "config", "cost",    "recover",
                        "batch", "stream", "engine", "tenants", "leader"};
  settings.tolerance.machines = static_cast<int>(deployment.failures);
  settings.heartbeat = Milliseconds(600 + 200 * static_cast<int>(random.Below(4)));
  settings.limits.max_fds = 4100;
  settings.limits.memory_mb = 260;
  settings.cloud.rate_per_s = 40;
  settings.cloud.duty_per_s = 50;
  settings.cloud.duties = {"usage_report", "autoscale"};
  settings.cloud.lag = Milliseconds(800);
  settings.bounds.usage_window = Milliseconds(3000);
  return settings;
}

}  // namespace

Deployment DrawDeployment(std::uint64_t seed) {
  shelflab::Random random(seed, kDeploymentStream);
  Deployment deployment;
  deployment.seed = seed;
  deployment.failures = random.Chance(0.35) ? 2 : 1;
  deployment.zones = From(random, 2, 5);
  deployment.cores = From(random, 2 * deployment.failures + 1, 7);
  deployment.stores = From(random, deployment.failures + 2, 6);
  deployment.proxies = From(random, 3, 8);
  deployment.endpoints = From(random, 2, 4);
  deployment.trouble = Seconds(random.Between(10, 24));
  deployment.calm = Seconds(12);
  deployment.base = BaseSettings(random, deployment);
  shelflab::Random disks(seed, kDisksStream);
  deployment.of_disks = disks.Chance(kOfDisksShare);
  if (deployment.of_disks) deployment.trouble = Seconds(disks.Between(55, 85));
  return deployment;
}

std::string TextOf(const Deployment& deployment) {
  return "seed " + std::to_string(deployment.seed) + ": " + std::to_string(deployment.zones) +
         " zones, " + std::to_string(deployment.cores) + " core processes, " +
         std::to_string(deployment.stores) + " stores, " + std::to_string(deployment.proxies) +
         " proxies, tolerance " + std::to_string(deployment.failures) +
         (deployment.of_disks ? ", of disks" : "");
}

}  // namespace shelflink::tier_seeds
