// The endpoints of one service and the subset of them in use. It starts at three hashed from the
// node's name (those of its own zone first), grows by one when the calls in flight exceed it, and
// shrinks when it has long been quiet. Draining and misdirected endpoints hold no place in it;
// ejected ones keep theirs and another joins in their stead.
#ifndef SHELFLINK_TIER_POLICY_SUBSET_H_
#define SHELFLINK_TIER_POLICY_SUBSET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy/subset.h"
#include "tier/policy/endpoint.h"
#include "tier/policy/module.h"

namespace shelflink::policy {

// Stable over processes and machines.
std::uint64_t HashOf(const std::string& text);
// Who owns a prompt prefix: the endpoint with the highest score. All sidecars compute the same.
std::uint64_t RendezvousScore(std::uint64_t prefix, std::uint64_t endpoint_hash);

class Subset {
 public:
  // Makes or finds what is known of an endpoint of that id and hash.
  using EndpointLookup = std::function<Endpoint&(const EndpointInfo& info, std::uint64_t hash)>;

  explicit Subset(EndpointLookup lookup) : lookup_(std::move(lookup)) {}

  void SetNode(const std::string& node, const std::string& zone);
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints);
  const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }
  // Of those endpoints' ids, in the same order.
  const std::vector<std::uint64_t>& hashes() const { return hashes_; }

  // Members in the order in which they joined.
  const std::vector<Endpoint*>& Members(Micros now);
  // Health, drains or the like have changed.
  void Invalidate() { stale_ = true; }
  // The calls of the service in flight. Where they exceed the subset it grows by one: by the owner
  // of the prefix if there is one that is no member yet, else by the next of its order.
  void NoteInFlight(Micros now, std::size_t in_flight, std::optional<std::uint64_t> prefix);
  std::size_t size() const { return size_.size(); }
  bool Contains(const Endpoint& endpoint) const;

 private:
  struct Ranked {
    std::uint64_t key;
    std::uint32_t index;
    bool operator<(const Ranked& other) const {
      return key != other.key ? key < other.key : index < other.index;
    }
  };

  void Rank();
  void AddPrefixOwner(std::uint64_t prefix, Micros now);
  void AddMember(std::uint32_t index, Micros now);
  // The endpoint at this place of the node's order; none beyond the last.
  std::optional<std::uint32_t> AtRank(std::size_t rank);

  EndpointLookup lookup_;
  std::uint64_t node_hash_ = 0;
  std::string zone_;
  std::vector<EndpointInfo> endpoints_;
  std::vector<std::uint64_t> hashes_;
  std::vector<Ranked> ranks_;  // Sorted up to sorted_.
  std::size_t sorted_ = 0;
  std::vector<std::uint64_t> prefix_owners_;  // Hashes of owners that joined out of their order.
  std::vector<Endpoint*> members_;
  std::size_t healthy_count_ = 0;  // Members that are not ejected.
  gaugecart::SubsetSize size_;
  bool stale_ = true;
  Micros rebuild_at_ = 0;
  Micros window_end_ = 0;
  std::size_t window_peak_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_SUBSET_H_
