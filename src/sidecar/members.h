// The whole list as discovery's answers add up to it: for whoever passes it on or keeps it.
#ifndef KELPSPRING_MEMBERS_H_
#define KELPSPRING_MEMBERS_H_

#include <map>
#include <string>

#include "sidecar/discovery.h"

namespace kelpspring {

class MemberBook {
 public:
  // A whole list replaces what there is; changes are entered.
  void Apply(const MemberList& list);
  // All that is there now, by name.
  MemberList Whole() const;

 private:
  std::int64_t seq_ = 0;
  std::map<std::string, Member> members_;
};

// In discovery's form; what ParseMembers reads.
std::string TextOf(const MemberList& list);

}  // namespace kelpspring

#endif  // KELPSPRING_MEMBERS_H_
