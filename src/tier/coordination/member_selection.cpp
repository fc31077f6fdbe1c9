#include "tier/coordination/member_selection.h"

#include <algorithm>
#include <set>
#include <string>

namespace shelflink::coordination {

namespace {

void AddUpTo(std::vector<CoreMember>& chosen, const std::vector<CoreMember>& offered,
             std::size_t size) {
  for (const CoreMember& member : offered) {
    if (chosen.size() >= size) return;
    if (FindDisk(chosen, member.disk) == nullptr) chosen.push_back(member);
  }
}

std::size_t WitnessCount(std::size_t disks, std::size_t failures) {
  const bool odd = disks % 2 == 1;
  return odd || disks <= 2 * failures ? disks : disks - 1;
}

bool IsReplaced(const CoreMember& member, const std::vector<CoreMember>& responsive) {
  return std::any_of(responsive.begin(), responsive.end(), [&](const CoreMember& other) {
    return other.address == member.address && other.disk != member.disk;
  });
}

}  // namespace

std::vector<CoreMember> SpreadOverZones(const std::vector<CoreMember>& chosen,
                                        const std::vector<CoreMember>& offered, std::size_t count) {
  std::set<std::string> zones;
  for (const CoreMember& member : chosen) zones.insert(member.zone);
  std::vector<CoreMember> picked;
  for (const CoreMember& member : offered) {
    if (picked.size() < count && zones.insert(member.zone).second) picked.push_back(member);
  }
  AddUpTo(picked, offered, count);
  return picked;
}

std::vector<CoreMember> ChooseReplicas(const ReplicaCandidates& candidates) {
  std::vector<CoreMember> chosen = candidates.responsive;
  if (chosen.size() < candidates.max_count) {
    const auto joining =
        SpreadOverZones(chosen, candidates.caught_up, candidates.max_count - chosen.size());
    chosen.insert(chosen.end(), joining.begin(), joining.end());
  }
  AddUpTo(chosen, candidates.silent, candidates.min_count);
  return chosen;
}

std::vector<CoreMember> ChooseWitnesses(const std::vector<CoreMember>& current,
                                        const std::vector<CoreMember>& responsive,
                                        std::size_t failures) {
  std::vector<CoreMember> remaining;
  std::vector<CoreMember> silent;
  for (const CoreMember& witness : current) {
    if (FindDisk(responsive, witness.disk) != nullptr) {
      remaining.push_back(witness);
    } else if (!IsReplaced(witness, responsive)) {
      silent.push_back(witness);
    }
  }
  std::vector<CoreMember> others;
  for (const CoreMember& member : responsive) {
    if (FindDisk(current, member.disk) == nullptr) others.push_back(member);
  }
  // Silent witnesses keep existing places; they do not increase the number of witnesses.
  const std::size_t responsive_count = remaining.size() + others.size();
  const std::size_t disks = responsive_count >= current.size()
                                ? responsive_count
                                : std::min(current.size(), responsive_count + silent.size());
  const std::size_t size = std::min(WitnessCount(disks, failures), kMaxWitnesses);
  std::vector<CoreMember> chosen = std::move(remaining);
  if (chosen.size() < size) {
    const auto joining = SpreadOverZones(chosen, others, size - chosen.size());
    chosen.insert(chosen.end(), joining.begin(), joining.end());
  }
  AddUpTo(chosen, silent, size);
  if (chosen.size() > size) chosen.resize(size);
  return chosen;
}

}  // namespace shelflink::coordination
