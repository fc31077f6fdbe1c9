// Leases of proxies and stores, as the core's primary keeps them in memory. Pure: the time comes
// with each event.
//
// Limits: kMostMembers entries; a newcomer beyond that is refused (its renewal is not accepted).
#ifndef SHELFLINK_TIER_CLUSTER_MEMBER_TABLE_H_
#define SHELFLINK_TIER_CLUSTER_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view.h"

namespace shelflink::cluster {

constexpr std::size_t kMostMembers = 4096;

struct LeaseSpans {
  net::Span proxy;
  net::Span store;  // Shorter: its partitions wait for its end.
  net::Span Of(const std::string& role) const { return role == "store" ? store : proxy; }
};

struct MemberLease {
  Member member;
  std::uint64_t incarnation = 0;
  net::Time until;
  std::optional<StoreState> store;
  std::optional<StoreFigures> figures;
  net::Time heard_at{};
  std::vector<ServiceLoad> loads;
  PartVersions versions;          // What it has of the view.
  std::uint64_t window_open = 0;  // See Renewal.
};

class MemberTable {
 public:
  explicit MemberTable(LeaseSpans spans) : spans_(spans) {}

  enum class Renewed { kKnown, kChanged, kRefused };
  // kChanged: others would see a difference (a newcomer, another life, another readiness).
  Renewed Renew(net::Time now, const transport::PeerIdentity& who, const Renewal& renewal);
  // Whether it was a member. Another life's farewell does not end this one.
  bool Leave(const net::Address& address, std::uint64_t incarnation);
  // This process has stood still for so long and may not have heard renewals: all leases last that
  // much longer here, which is safe, for their holders count from before they asked.
  void Extend(net::Span span);
  // Ends the leases that have run out; the members that went.
  std::vector<MemberLease> Expire(net::Time now);
  // When the next lease ends unless it is renewed; Time::max() where there is none.
  net::Time NextEnd() const;
  void Clear() { leases_.clear(); }

  const std::map<net::Address, MemberLease>& leases() const { return leases_; }
  std::vector<Member> All() const;

 private:
  LeaseSpans spans_;
  std::map<net::Address, MemberLease> leases_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_MEMBER_TABLE_H_
