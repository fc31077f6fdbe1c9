#include "tier/cluster/member_table.h"

#include <algorithm>

namespace shelflink::cluster {
namespace {

bool SameDisk(const std::optional<StoreState>& a, const std::optional<StoreState>& b) {
  return a.has_value() == b.has_value() && (!a || a->disk == b->disk);
}

}  // namespace

MemberTable::Renewed MemberTable::Renew(net::Time now, const transport::PeerIdentity& who,
                                        const Renewal& renewal) {
  const auto found = leases_.find(who.address);
  const bool known = found != leases_.end() && found->second.incarnation == who.incarnation;
  if (found == leases_.end() && leases_.size() >= kMostMembers) return Renewed::kRefused;
  const bool same = known && found->second.member.ready == renewal.ready &&
                    SameDisk(found->second.store, renewal.store);
  MemberLease& lease = leases_[who.address];
  lease.member = {who.node, who.role, who.zone, who.address, renewal.ready};
  lease.incarnation = who.incarnation;
  lease.until = now + spans_.Of(who.role);
  lease.store = renewal.store;
  lease.figures = renewal.figures;
  lease.heard_at = now;
  lease.loads = renewal.loads;
  lease.versions = renewal.versions;
  lease.window_open = renewal.window_open;
  return same ? Renewed::kKnown : Renewed::kChanged;
}

bool MemberTable::Leave(const net::Address& address, std::uint64_t incarnation) {
  const auto found = leases_.find(address);
  if (found == leases_.end() || found->second.incarnation != incarnation) return false;
  leases_.erase(found);
  return true;
}

void MemberTable::Extend(net::Span span) {
  for (auto& [address, lease] : leases_) lease.until += span;
}

std::vector<MemberLease> MemberTable::Expire(net::Time now) {
  std::vector<MemberLease> ended;
  for (auto entry = leases_.begin(); entry != leases_.end();) {
    if (entry->second.until > now) {
      ++entry;
      continue;
    }
    ended.push_back(std::move(entry->second));
    entry = leases_.erase(entry);
  }
  return ended;
}

net::Time MemberTable::NextEnd() const {
  net::Time next = net::Time::max();
  for (const auto& [address, lease] : leases_) next = std::min(next, lease.until);
  return next;
}

std::vector<Member> MemberTable::All() const {
  std::vector<Member> all;
  all.reserve(leases_.size());
  for (const auto& [address, lease] : leases_) all.push_back(lease.member);
  return all;
}

}  // namespace shelflink::cluster
