#include "sidecar/members.h"

#include <nlohmann/json.hpp>

namespace kelpspring {

using gaugecart::Availability;

void MemberBook::Apply(const MemberList& list) {
  if (list.whole) members_.clear();
  seq_ = list.seq;
  for (const Member& m : list.members) {
    if (m.health == Availability::kGone) {
      members_.erase(m.host);
    } else {
      members_[m.host] = m;
    }
  }
}

MemberList MemberBook::Whole() const {
  MemberList list{seq_, true, {}, 0};
  for (const auto& [host, member] : members_) list.members.push_back(member);
  return list;
}

std::string TextOf(const MemberList& list) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const Member& m : list.members) {
    const char* health = m.health == Availability::kReady      ? "SERVING"
                         : m.health == Availability::kDraining ? "DRAINING"
                                                               : "DELETED";
    hosts.push_back({{"host", m.host},
                     {"dial", m.dial.Text()},
                     {"site", m.site},
                     {"block", m.block},
                     {"health", health},
                     {"share", m.share},
                     {"born_ms", m.born / 1000}});
  }
  return nlohmann::json{{"seq", list.seq}, {"whole", list.whole}, {"hosts", hosts}}.dump();
}

}  // namespace kelpspring
