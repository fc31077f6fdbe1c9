// How large a day's tier is and what it must bear: drawn from the seed.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_DEPLOYMENT_H_
#define SHELFLINK_TESTS_TIER_SEEDS_DEPLOYMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/address.h"
#include "net/loop.h"
#include "tier/foundation/settings.h"

namespace shelflink::tier_seeds {

// First addresses of each kind of machine; one that replaces another gets the next free one.
constexpr std::uint32_t kFirstCore = 0x0a010001;
constexpr std::uint32_t kFirstProxy = 0x0a020001;
constexpr std::uint32_t kFirstStore = 0x0a030001;
constexpr std::uint32_t kFirstClients = 0x0a090001;
constexpr std::uint32_t kFirstOperator = 0x0a0a0001;
constexpr std::uint32_t kFirstEndpoint = 0x0a800001;
constexpr std::uint32_t kPlatformHost = 0x0ac80001;

constexpr std::uint16_t kFrontPort = 8689;
constexpr std::uint16_t kReadyPort = 8687;
constexpr std::uint16_t kControlPort = 8683;

struct Deployment {
  std::uint64_t seed = 0;
  std::size_t zones = 3;
  std::size_t cores = 3;
  std::size_t stores = 3;
  std::size_t proxies = 3;
  std::size_t endpoints = 4;  // Of each service.
  std::size_t failures = 1;   // Counted machines that may be lost at one time.
  // Disks and machines for good: each kind of trouble of theirs in turn, over a longer day.
  bool of_disks = false;
  // No other trouble than that each disk of the core is full, then all of them, and so the stores'.
  bool fills_all_disks = false;
  // The trouble ends with a loss of as many disks as the tolerance allows, at the same moment as
  // all other machines lose power.
  bool closes_with_loss = false;
  net::Span trouble{};                           // How long there is trouble.
  std::chrono::milliseconds change_pause{1200};  // The longest between two of an operator's calls.
  net::Span calm{};                              // What the tier has for recovery after it.
  ProcessSettings base;                          // What all processes share.

  std::string ZoneOf(std::size_t index) const { return "zone-" + std::to_string(index % zones); }
};

Deployment DrawDeployment(std::uint64_t seed);
std::string TextOf(const Deployment& deployment);

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_DEPLOYMENT_H_
