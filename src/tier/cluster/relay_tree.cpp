#include "tier/cluster/relay_tree.h"

#include <algorithm>
#include <utility>

namespace shelflink::cluster {

void RelayTree::Put(const std::string& zone, std::size_t index, const net::Address& member) {
  zones_[zone][index] = member;
  places_[member] = {zone, index};
}

void RelayTree::Add(const net::Address& member, const std::string& zone) {
  const auto found = places_.find(member);
  if (found != places_.end()) {
    if (found->second.zone == zone) return;
    Remove(member);
  }
  std::vector<net::Address>& list = zones_[zone];
  list.push_back(member);
  places_[member] = {zone, list.size() - 1};
}

void RelayTree::Remove(const net::Address& member) {
  const auto found = places_.find(member);
  if (found == places_.end()) return;
  const Place place = found->second;
  places_.erase(found);
  told_children_.erase(member);
  std::vector<net::Address>& list = zones_[place.zone];
  const net::Address last = list.back();
  list.pop_back();
  if (last != member) Put(place.zone, place.index, last);
  if (list.empty()) zones_.erase(place.zone);
}

void RelayTree::Distrust(const net::Address& member) {
  const auto found = places_.find(member);
  if (found == places_.end()) return;
  const Place place = found->second;
  const std::vector<net::Address>& list = zones_[place.zone];
  const std::size_t last_index = list.size() - 1;
  if (place.index == last_index) return;
  const net::Address last = list.back();
  Put(place.zone, place.index, last);
  Put(place.zone, last_index, member);
}

void RelayTree::Clear() {
  zones_.clear();
  places_.clear();
  told_children_.clear();
}

std::optional<net::Address> RelayTree::ParentOf(const net::Address& member) const {
  const auto found = places_.find(member);
  if (found == places_.end() || found->second.index == 0) return std::nullopt;
  return zones_.at(found->second.zone)[(found->second.index - 1) / kRelayFanOut];
}

std::vector<net::Address> RelayTree::ChildrenOf(const net::Address& member) const {
  const auto found = places_.find(member);
  if (found == places_.end()) return {};
  const std::vector<net::Address>& list = zones_.at(found->second.zone);
  const std::size_t first = found->second.index * kRelayFanOut + 1;
  const std::size_t end = std::min(first + kRelayFanOut, list.size());
  std::vector<net::Address> children;
  for (std::size_t index = first; index < end; ++index) children.push_back(list[index]);
  return children;
}

void RelayTree::MarkTold(const net::Address& member, std::vector<net::Address> children) {
  if (children.empty()) {
    told_children_.erase(member);
  } else {
    told_children_[member] = std::move(children);
  }
}

bool RelayTree::ParentKnows(const net::Address& member) const {
  const std::optional<net::Address> parent = ParentOf(member);
  if (!parent) return false;
  const auto told = told_children_.find(*parent);
  if (told == told_children_.end()) return false;
  return std::find(told->second.begin(), told->second.end(), member) != told->second.end();
}

std::vector<net::Address> RelayTree::PushTargets() const {
  std::vector<net::Address> targets;
  for (const auto& [member, place] : places_) {
    if (!ParentKnows(member)) targets.push_back(member);
  }
  return targets;
}

}  // namespace shelflink::cluster
