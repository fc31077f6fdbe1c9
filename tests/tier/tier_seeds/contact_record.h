// Which machines are in touch, by the operators' rules: for as long as the contact span nothing has
// befallen the machine and the core was stable. Where the rules leave room, a machine counts as out
// of touch: a machine that is cut from any others, and a core machine that is cut from proxies.
//
// A full disk is trouble of its own machine alone: such a core machine runs and is connected, so
// the core stays stable by the rules.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_CONTACT_RECORD_H_
#define SHELFLINK_TESTS_TIER_SEEDS_CONTACT_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "net/virtual.h"

namespace shelflink::tier_seeds {

// Who is out of touch by what befalls a machine.
enum class TroubleReach {
  kMachine,     // Itself.
  kCore,        // All: the core is not stable.
  kMostOfCore,  // All, and twice as long afterwards.
};

class ContactRecord {
 public:
  // All processes are starting when this is made.
  ContactRecord(const net::VirtualNet& net, net::Span contact);

  void Begin(std::uint32_t host, TroubleReach reach);
  void End(std::uint32_t host, TroubleReach reach);
  // Since when the machine has been in touch without a break; none: it is not now.
  std::optional<net::Time> InTouchSince(std::uint32_t host) const;

 private:
  // Trouble of one machine, or of the core.
  struct Calm {
    int troubles = 0;  // That go on now.
    net::Time from{};  // In touch from then on, once none goes on.
  };
  void EndOne(Calm& calm, net::Span contact);

  const net::VirtualNet& net_;
  net::Span contact_;
  net::Time first_contact_;  // Of any machine.
  Calm core_;
  std::map<std::uint32_t, Calm> machines_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_CONTACT_RECORD_H_
