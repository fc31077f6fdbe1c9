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

std::size_t WitnessCount(std::size_t known, std::size_t failures) {
  const bool odd = known % 2 == 1;
  return odd || known <= 2 * failures ? known : known - 1;
}

bool IsReplaced(const CoreMember& member, const std::vector<CoreMember>& there) {
  return std::any_of(there.begin(), there.end(), [&](const CoreMember& other) {
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

std::vector<CoreMember> ChooseReplicas(const ReplicaCandidates& situation) {
  std::vector<CoreMember> chosen = situation.responsive;
  if (chosen.size() < situation.max_count) {
    const auto joining =
        SpreadOverZones(chosen, situation.caught_up, situation.max_count - chosen.size());
    chosen.insert(chosen.end(), joining.begin(), joining.end());
  }
  AddUpTo(chosen, situation.silent, situation.min_count);
  return chosen;
}

std::vector<CoreMember> ChooseWitnesses(const std::vector<CoreMember>& present,
                                        const std::vector<CoreMember>& there,
                                        std::size_t failures) {
  std::vector<CoreMember> staying;
  std::vector<CoreMember> silent;
  for (const CoreMember& witness : present) {
    if (FindDisk(there, witness.disk) != nullptr) {
      staying.push_back(witness);
    } else if (!IsReplaced(witness, there)) {
      silent.push_back(witness);
    }
  }
  std::vector<CoreMember> others;
  for (const CoreMember& member : there) {
    if (FindDisk(present, member.disk) == nullptr) others.push_back(member);
  }
  // Silent ones fill places that exist; they are no reason for more.
  const std::size_t live = staying.size() + others.size();
  const std::size_t known =
      live >= present.size() ? live : std::min(present.size(), live + silent.size());
  const std::size_t size = std::min(WitnessCount(known, failures), kMaxWitnesses);
  std::vector<CoreMember> chosen = std::move(staying);
  if (chosen.size() < size) {
    const auto joining = SpreadOverZones(chosen, others, size - chosen.size());
    chosen.insert(chosen.end(), joining.begin(), joining.end());
  }
  AddUpTo(chosen, silent, size);
  if (chosen.size() > size) chosen.resize(size);
  return chosen;
}

}  // namespace shelflink::coordination
