// The tree that distributes the parts of the view: the core's primary sends them to one leader in
// each zone, and each process forwards them to a bounded number of children in its zone, so that a
// change crosses between zones once. Pure.
//
// The members of a zone form a heap with kRelayFanOut branches whose first element is the leader;
// its depth is logarithmic. A removed member is replaced by the last one, so that few others get
// another parent. A member that was silent for a child moves to the end, where it has no children.
// The tree only makes distribution fast; lost pushes are repaired by the versions in each renewal.
#ifndef SHELFLINK_TIER_CLUSTER_RELAY_TREE_H_
#define SHELFLINK_TIER_CLUSTER_RELAY_TREE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"

namespace shelflink::cluster {

constexpr std::size_t kRelayFanOut = 8;

class RelayTree {
 public:
  void Add(const net::Address& member, const std::string& zone);
  void Remove(const net::Address& member);
  // A child got no answer from the member.
  void Distrust(const net::Address& member);
  void Clear();

  // None: the core's primary itself.
  std::optional<net::Address> ParentOf(const net::Address& member) const;
  std::vector<net::Address> ChildrenOf(const net::Address& member) const;
  // The member has been assigned these children and forwards pushes to them from now on.
  void MarkTold(const net::Address& member, std::vector<net::Address> children);
  // Receivers of the primary's own pushes: the leaders, and members whose parent has not been
  // assigned them yet.
  std::vector<net::Address> PushTargets() const;

 private:
  bool ParentKnows(const net::Address& member) const;
  struct Place {
    std::string zone;
    std::size_t index = 0;
  };
  void Put(const std::string& zone, std::size_t index, const net::Address& member);

  std::map<std::string, std::vector<net::Address>> zones_;
  std::map<net::Address, Place> places_;
  std::map<net::Address, std::vector<net::Address>> told_children_;
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_RELAY_TREE_H_
