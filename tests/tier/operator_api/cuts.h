// Ways to cut a core process off, from whom and in which direction.
#ifndef SHELFLINK_TESTS_TIER_OPERATOR_API_CUTS_H_
#define SHELFLINK_TESTS_TIER_OPERATOR_API_CUTS_H_

#include <algorithm>
#include <cstdint>
#include <ostream>
#include <utility>
#include <vector>

#include "operator_api/operator_rig.h"

namespace shelflink::operator_api {

enum class CutFrom : std::uint8_t {
  kEverybody,  // All but the operators.
  kCores,
  kReplicas,
  kWitnesses,  // Those that are no replicas.
  kProxies,
};
enum class CutWay : std::uint8_t {
  kBoth,
  kOut,    // What it sends is lost.
  kIn,     // What is sent to it is lost.
  kReset,  // Both, and each connection is broken with a reset first.
};

constexpr CutFrom kAllCutsFrom[] = {CutFrom::kEverybody, CutFrom::kCores, CutFrom::kReplicas,
                                    CutFrom::kWitnesses, CutFrom::kProxies};
constexpr CutWay kAllCutWays[] = {CutWay::kBoth, CutWay::kOut, CutWay::kIn, CutWay::kReset};

inline std::ostream& operator<<(std::ostream& out, CutFrom from) {
  constexpr const char* kNames[] = {"everybody", "cores", "replicas", "witnesses", "proxies"};
  return out << kNames[static_cast<std::size_t>(from)];
}
inline std::ostream& operator<<(std::ostream& out, CutWay way) {
  constexpr const char* kNames[] = {"both ways", "out", "in", "reset"};
  return out << kNames[static_cast<std::size_t>(way)];
}

inline bool IsNamed(const std::vector<coordination::CoreMember>& members,
                    const coordination::CoreMember& wanted) {
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& member) { return member.disk == wanted.disk; });
}

// Hosts on the other side of the cut.
inline std::vector<std::uint32_t> OtherSide(OperatorRig& rig, OperatorCore& victim, CutFrom from) {
  std::vector<std::uint32_t> hosts;
  const auto add = [&](std::uint32_t host) {
    if (host != victim.host()) hosts.push_back(host);
  };
  const coordination::Record record =
      victim.up() ? victim.group().member().record() : coordination::Record();
  switch (from) {
    case CutFrom::kEverybody:
      for (const auto& proxy : rig.proxies()) add(proxy->host());
      [[fallthrough]];
    case CutFrom::kCores:
      for (const auto& core : rig.cores) add(core->host());
      break;
    case CutFrom::kReplicas:
      for (const coordination::CoreMember& replica : record.replicas) {
        add(replica.address.V4Host());
      }
      break;
    case CutFrom::kWitnesses:
      for (const coordination::CoreMember& witness : record.witnesses) {
        if (!IsNamed(record.replicas, witness)) add(witness.address.V4Host());
      }
      break;
    case CutFrom::kProxies:
      for (const auto& proxy : rig.proxies()) add(proxy->host());
      break;
  }
  return hosts;
}

// Cuts a process off from the other side until it is told to heal.
class Cut {
 public:
  Cut(OperatorRig& rig, OperatorCore& victim, CutFrom from, CutWay way)
      : rig_(rig), host_(victim.host()), others_(OtherSide(rig, victim, from)), way_(way) {
    for (const std::uint32_t other : others_) {
      if (way_ == CutWay::kReset) rig_.net().ResetBetween(host_, other);
    }
    if (way_ == CutWay::kReset) rig_.Run(milliseconds(1));  // The resets arrive.
    Set(true);
  }
  void Heal() { Set(false); }

 private:
  void Set(bool cut) {
    for (const std::uint32_t other : others_) {
      if (way_ != CutWay::kIn) rig_.net().SetOneWayCut(host_, other, cut);
      if (way_ != CutWay::kOut) rig_.net().SetOneWayCut(other, host_, cut);
    }
  }

  OperatorRig& rig_;
  std::uint32_t host_;
  std::vector<std::uint32_t> others_;
  CutWay way_;
};

}  // namespace shelflink::operator_api

#endif  // SHELFLINK_TESTS_TIER_OPERATOR_API_CUTS_H_
