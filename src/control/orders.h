// What the operators' door asks of a sidecar and its figures.
#ifndef SHELFLINK_CONTROL_ORDERS_H_
#define SHELFLINK_CONTROL_ORDERS_H_

#include <functional>
#include <optional>
#include <utility>

#include "control/door.h"
#include "metrics/registry.h"
#include "sidecar/sidecar.h"

namespace control {

// Both must outlive the door. `fleet`: its counts, where there is a channel to it.
inline Orders OrdersFor(kelpspring::Sidecar& sidecar, const metrics::Registry& registry,
                        std::function<std::optional<fleet::Counts>()> fleet = nullptr) {
  return {.ready = [&] { return sidecar.ready(); },
          .metrics =
              [&, fleet = std::move(fleet)] {
                return registry.Text({sidecar.listed(), sidecar.avoided(), sidecar.peer_counts(),
                                      fleet ? fleet() : std::nullopt});
              },
          .drain = [&] { sidecar.StartDrain(); },
          .undrain = [&] { return sidecar.EndDrain(); }};
}

}  // namespace control

#endif  // SHELFLINK_CONTROL_ORDERS_H_
