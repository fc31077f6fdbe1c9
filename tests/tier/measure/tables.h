// The tables of docs/measured/full-disks.md, each printed as it stands there.
#ifndef SHELFLINK_TESTS_TIER_MEASURE_TABLES_H_
#define SHELFLINK_TESTS_TIER_MEASURE_TABLES_H_

#include <cstddef>
#include <cstdint>

namespace shelflink::measure {

struct Wanted {
  std::uint64_t seeds = 5;
  std::size_t proxies = 6;
  double megabits_per_second = 1000;
  std::size_t most_megabytes = 25;  // Of control state.
};

// How old the list is by which each proxy acts, under changes and under trouble.
void PrintListAges(const Wanted& wanted);
// From an endpoint's departure in the platform's list until the last proxy knows, under changes.
void PrintDepartures(const Wanted& wanted);
// From the return of room on core disks to their full membership, by the size of the state.
void PrintCoreReturns(const Wanted& wanted);
// The same of stores, by what their partitions hold.
void PrintStoreReturns(const Wanted& wanted);
// What a recovery of a real file takes, by what it holds.
void PrintFileRecoveries(const Wanted& wanted);

// A configuration that grows by many routes, a small change after it, a loss of all power: by
// routes, for `proxies` members in all (docs/measured/large-documents.md).
void PrintLargeDocuments(const Wanted& wanted);

}  // namespace shelflink::measure

#endif  // SHELFLINK_TESTS_TIER_MEASURE_TABLES_H_
