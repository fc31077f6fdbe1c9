// What the operators' door asks of a sidecar and its figures.
#ifndef SHELFLINK_CONTROL_ORDERS_H_
#define SHELFLINK_CONTROL_ORDERS_H_

#include "control/door.h"
#include "metrics/registry.h"
#include "sidecar/sidecar.h"

namespace control {

// Both must outlive the door.
inline Orders OrdersFor(kelpspring::Sidecar& sidecar, const metrics::Registry& registry) {
  return {.ready = [&] { return sidecar.ready(); },
          .metrics =
              [&] {
                return registry.Text({sidecar.listed(), sidecar.avoided(), sidecar.peer_counts()});
              },
          .drain = [&] { sidecar.StartDrain(); },
          .undrain = [&] { return sidecar.EndDrain(); }};
}

}  // namespace control

#endif  // SHELFLINK_CONTROL_ORDERS_H_
