// The leases of proxies and stores, in memory on the core's primary. Pure: the time is an argument
// of each event.
//
// Limits: kMostMembers entries; renewals of further members are not accepted.
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
  net::Span store;  // Shorter, since its partitions are unavailable until it ends.
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
  PartVersions versions;          // Parts of the view that it holds.
  std::uint64_t window_open = 0;  // See Renewal.
};

class MemberTable {
 public:
  explicit MemberTable(LeaseSpans spans) : spans_(spans) {}

  enum class Renewed { kKnown, kChanged, kRefused };
  // kChanged: the member is new or restarted, or its readiness has changed.
  Renewed Renew(net::Time now, const transport::PeerIdentity& who, const Renewal& renewal);
  // Returns whether it was a member. A message of another incarnation has no effect.
  bool Leave(const net::Address& address, std::uint64_t incarnation);
  // This process was paused for `span` and may have missed renewals: extends all leases by it. That
  // is safe, because holders count their leases from before they sent the renewal.
  void Extend(net::Span span);
  // Removes the leases that have expired and returns them.
  std::vector<MemberLease> Expire(net::Time now);
  // When the next lease expires unless it is renewed; Time::max() if there is none.
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
