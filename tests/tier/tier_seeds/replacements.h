// Machines that are added to a day and that are taken away for good: each empty one has an address
// and a name that no machine had before.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_REPLACEMENTS_H_
#define SHELFLINK_TESTS_TIER_SEEDS_REPLACEMENTS_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "net/virtual.h"
#include "tier_seeds/machines.h"
#include "tier_seeds/platform_world.h"

namespace shelflink::tier_seeds {

class Replacements {
 public:
  using Cores = std::vector<std::unique_ptr<CoreMachine>>;
  using Stores = std::vector<std::unique_ptr<StoreMachine>>;
  using Proxies = std::vector<std::unique_ptr<ProxyMachine>>;

  Replacements(net::VirtualNet& net, PlatformWorld& platform, Cores& cores, Stores& stores,
               Proxies& proxies);

  // The machine is gone with its disk. One that has not been started yet has its place; the
  // settings of all machines name the core processes that there are now.
  CoreMachine& Replace(const CoreMachine& gone);
  StoreMachine& Replace(const StoreMachine& gone);
  // One more of the zone of another; not started yet.
  StoreMachine& AddBeside(const StoreMachine& other);
  void Remove(const StoreMachine& gone);

 private:
  std::unique_ptr<StoreMachine> NewStore(const StoreMachine& like);
  void TellSeeds();

  net::VirtualNet& net_;
  PlatformWorld& platform_;
  Cores& cores_;
  Stores& stores_;
  Proxies& proxies_;
  std::uint32_t next_core_;  // Counted from the first one.
  std::uint32_t next_store_;
  std::vector<std::unique_ptr<Machine>> gone_;  // What is under way may still refer to them.
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_REPLACEMENTS_H_
