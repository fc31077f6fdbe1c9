// Runs batch items on this proxy: offers the stores what room the endpoints have, takes the items
// that they lease to it, sends them as calls of their tenants, and reports output and end.
//
// A lease holds for LeaseSpan from when an offer that a store answered was sent, by the steady
// clock; an item goes to no endpoint outside of it (ItemRun::MaySend). A run that outlives its
// lease goes on until a store says that another has the item: a lease outlives hiccups. When the
// primary of a partition changes, its leases are adopted by the new one with their output.
//
// Limits: kMostRuns items, kMostHeldBytes of bodies and outputs beyond which no more is asked for
// (what is assigned nevertheless is handed back beyond kMostRuns), kRunReportTimeout for a report,
// kDrainTimeout for a drain, about kMostOffersAStore offers a second to one store from all proxies
// that hold none of its leases.
#ifndef SHELFLINK_TIER_BATCH_RUNNER_H_
#define SHELFLINK_TIER_BATCH_RUNNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "net/loop.h"
#include "tier/batch/messages.h"
#include "tier/batch/store_caller.h"
#include "tier/foundation/settings.h"
#include "tier/proxy/calls.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

constexpr std::size_t kMostRuns = 512;
constexpr std::size_t kMostHeldBytes = 32U << 20;
constexpr std::chrono::seconds kRunReportTimeout{60};
constexpr std::chrono::seconds kDrainTimeout{2};

class Runner {
 public:
  struct Counters {
    std::uint64_t offered = 0;  // Items that stores might hand out.
    std::uint64_t assigned = 0;
    std::uint64_t completed = 0;
    std::uint64_t errors = 0;      // Endpoints' 500.
    std::uint64_t impossible = 0;  // Endpoints' 422.
    std::uint64_t interrupted = 0;
    std::uint64_t returned = 0;
    std::uint64_t revoked = 0;
    std::uint64_t adopted = 0;
    std::uint64_t reports_lost = 0;  // No store took the report in time.
    std::uint64_t begun = 0;         // Runs that have had an event.
    net::Span first_event_wait{};    // Of these: from the assignment on, summed.
    std::uint64_t reported = 0;      // Runs whose report a store has taken.
    net::Span report_wait{};  // Of these: from the end of the run until its results can be read.
  };

  // Registers its handlers at the hub, which must not deliver any more once this is gone.
  Runner(net::Loop& loop, transport::Hub& hub, proxy::Calls& calls, ViewSource view,
         const Bounds& bounds);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  // Parts of the view have changed.
  void OnPlacement();
  void OnConfiguration();
  // Takes no more items, hands back what is under way with its output, and calls `done` when the
  // stores have it all or kDrainTimeout is over.
  void Drain(std::function<void()> done);

  std::size_t runs() const;  // Items held, reports under way included.
  const Counters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // Shared with answers on their way, which hold it weakly.
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_RUNNER_H_
