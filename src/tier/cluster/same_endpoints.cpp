#include "tier/cluster/same_endpoints.h"

#include <algorithm>
#include <tuple>

namespace shelflink::cluster {
namespace {

bool SameEndpoint(const EndpointEntry& a, const EndpointEntry& b) {
  return std::tie(a.id, a.service, a.address, a.zone, a.slots, a.draining) ==
         std::tie(b.id, b.service, b.address, b.zone, b.slots, b.draining);
}

}  // namespace

bool SameEndpoints(const std::vector<EndpointEntry>& a, const std::vector<EndpointEntry>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameEndpoint);
}

}  // namespace shelflink::cluster
