// Which proxy holds which lease of which item, and until when. Pure: the present time comes with
// each call. Nothing of it is stored: a new primary learns of leases by their adoption.
#ifndef SHELFLINK_TIER_BATCH_LEASE_TABLE_H_
#define SHELFLINK_TIER_BATCH_LEASE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "net/address.h"
#include "tier/batch/job_records.h"
#include "tier/batch/messages.h"

namespace shelflink::batch {

struct Lease {
  JobNumber job = 0;
  std::uint32_t item = 0;
  net::Address holder;
  Micros until = 0;
  std::optional<Micros> given;  // None: adopted.
};

class LeaseTable {
 public:
  // `span`: how long a lease holds without renewal. No other table ever has that issuer.
  LeaseTable(std::uint64_t issuer, Micros span) : issuer_(issuer), span_(span) {}

  LeaseId NewId() { return {issuer_, next_number_++}; }
  void Give(LeaseId id, const Lease& lease);
  void Renew(Micros now, LeaseId id) { leases_.at(id).until = now + span_; }
  // None: there is no such lease.
  std::optional<Lease> Drop(LeaseId id);
  const Lease* Find(LeaseId id) const;

  // The process at that address is another than before: the leases of the earlier one, dropped.
  std::vector<Lease> DropOfEarlierStart(const net::Address& holder, std::uint64_t incarnation);
  std::vector<Lease> DropExpired(Micros now);
  // All go on so much longer.
  void Extend(Micros span);
  // Whether a lease may have run out by then; none: there is no lease.
  std::optional<Micros> NextExpiry() const;

  std::size_t size() const { return leases_.size(); }
  Micros span() const { return span_; }

 private:
  struct Holder {
    std::uint64_t incarnation = 0;
    std::set<LeaseId> leases;
  };

  std::uint64_t issuer_;
  Micros span_;
  std::uint64_t next_number_ = 1;
  std::map<LeaseId, Lease> leases_;
  std::map<net::Address, Holder> holders_;
  Micros no_expiry_before_ = 0;  // Of any lease.
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_LEASE_TABLE_H_
