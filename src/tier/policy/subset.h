// The endpoints of one service and the subset of them in use. The subset starts with three
// endpoints ranked by a hash with the node's name (those of its own zone first), grows by one when
// the calls in flight exceed its size, and shrinks after a long time with few calls. Draining and
// misdirected endpoints are not members; ejected ones stay members, with one more endpoint added
// for each.
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

// Hash that is the same in all processes and on all machines.
std::uint64_t HashOf(const std::string& text);
// Rendezvous hashing: the endpoint with the highest score owns the prompt prefix. All sidecars
// compute the same owner.
std::uint64_t RendezvousScore(std::uint64_t prefix, std::uint64_t endpoint_hash);

class Subset {
 public:
  // Returns the state of the endpoint with that id and hash, created if necessary.
  using EndpointLookup = std::function<Endpoint&(const EndpointInfo& info, std::uint64_t hash)>;

  explicit Subset(EndpointLookup lookup) : lookup_(std::move(lookup)) {}

  void SetNode(const std::string& node, const std::string& zone);
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints);
  const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }
  // Hashes of the endpoints' ids, in the order of endpoints().
  const std::vector<std::uint64_t>& hashes() const { return hashes_; }

  // The members in the order in which they were added.
  const std::vector<Endpoint*>& Members(Micros now);
  // Makes the next Members() recompute the subset, after a change of health or usability.
  void Invalidate() { stale_ = true; }
  // Reports the service's calls in flight. If they exceed the size, the subset grows by one: by the
  // owner of the prefix if there is one that is not a member yet, else by the next endpoint in
  // rank.
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
  // Index of the endpoint with this rank for the node; none beyond the last.
  std::optional<std::uint32_t> AtRank(std::size_t rank);

  EndpointLookup lookup_;
  std::uint64_t node_hash_ = 0;
  std::string zone_;
  std::vector<EndpointInfo> endpoints_;
  std::vector<std::uint64_t> hashes_;
  std::vector<Ranked> ranks_;  // The first sorted_ entries are sorted.
  std::size_t sorted_ = 0;
  std::vector<std::uint64_t> prefix_owners_;  // Hashes of owners added out of rank order.
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
