// One day of a whole tier: real code of every process on the virtual clock and network, drawn from
// one seed, with all kinds of trouble; judged by what was seen from outside alone.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_DAY_H_
#define SHELFLINK_TESTS_TIER_SEEDS_DAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier_seeds/deployment.h"
#include "tier_seeds/journal.h"

namespace shelflink::tier_seeds {

struct DayResult {
  Deployment deployment;
  std::vector<Finding> findings;
  std::map<std::string, std::uint64_t> counts;  // What happened, and how often.
  std::uint64_t hash = 0;                       // Of all events: equal for equal days.
  std::uint64_t events = 0;
};

struct DayOptions {
  bool trace = false;
  // How long there is trouble, in place of what the seed draws; the operators change the
  // configuration several times a second then.
  std::optional<net::Span> length;
  // In place of what the seed draws: each core disk is full for a while, then all at once, then the
  // same of the stores; as long as that takes.
  bool fills_all_disks = false;
  // At the end of the trouble, right after an acknowledgement where one comes in time: as many
  // disks as the tolerance allows are lost, and all other machines lose power, proxies too.
  bool closes_with_loss = false;
};

DayResult PlayDay(std::uint64_t seed, const DayOptions& options);

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_DAY_H_
