#include "tier/batch/lease_table.h"

#include <algorithm>
#include <utility>

namespace shelflink::batch {

void LeaseTable::Give(LeaseId id, const Lease& lease) {
  holders_[lease.holder].leases.insert(id);
  no_expiry_before_ = leases_.empty() ? lease.until : std::min(no_expiry_before_, lease.until);
  leases_.emplace(id, lease);
}

std::optional<Lease> LeaseTable::Drop(LeaseId id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return {};
  const Lease lease = found->second;
  holders_[lease.holder].leases.erase(id);
  leases_.erase(found);
  return lease;
}

const Lease* LeaseTable::Find(LeaseId id) const {
  const auto found = leases_.find(id);
  return found == leases_.end() ? nullptr : &found->second;
}

std::vector<Lease> LeaseTable::DropOfEarlierStart(const net::Address& holder,
                                                  std::uint64_t incarnation) {
  Holder& known = holders_[holder];
  if (known.incarnation == incarnation) return {};
  known.incarnation = incarnation;
  std::vector<Lease> dropped;
  for (const LeaseId id : std::exchange(known.leases, {})) dropped.push_back(*Drop(id));
  return dropped;
}

std::vector<Lease> LeaseTable::DropExpired(Micros now) {
  std::vector<Lease> dropped;
  if (leases_.empty() || now < no_expiry_before_) return dropped;
  std::vector<LeaseId> expired;
  no_expiry_before_ = now + span_;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) {
      expired.push_back(id);
    } else {
      no_expiry_before_ = std::min(no_expiry_before_, lease.until);
    }
  }
  dropped.reserve(expired.size());
  for (const LeaseId id : expired) dropped.push_back(*Drop(id));
  return dropped;
}

void LeaseTable::Extend(Micros span) {
  for (auto& [id, lease] : leases_) lease.until += span;
  no_expiry_before_ += span;
}

std::optional<Micros> LeaseTable::NextExpiry() const {
  if (leases_.empty()) return {};
  return no_expiry_before_;
}

}  // namespace shelflink::batch
