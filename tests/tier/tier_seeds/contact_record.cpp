#include "tier_seeds/contact_record.h"

#include <algorithm>

namespace shelflink::tier_seeds {
namespace {

// The machines of a day start within this time.
constexpr std::chrono::milliseconds kStartsWithin{300};

}  // namespace

ContactRecord::ContactRecord(const net::VirtualNet& net, net::Span contact)
    : net_(net), contact_(contact), first_contact_(net.Now() + kStartsWithin + contact) {}

void ContactRecord::Begin(std::uint32_t host, TroubleReach reach) {
  ++machines_[host].troubles;
  if (reach != TroubleReach::kMachine) ++core_.troubles;
}

void ContactRecord::End(std::uint32_t host, TroubleReach reach) {
  EndOne(machines_[host], contact_);
  if (reach == TroubleReach::kCore) EndOne(core_, contact_);
  if (reach == TroubleReach::kMostOfCore) EndOne(core_, 2 * contact_);
}

void ContactRecord::EndOne(Calm& calm, net::Span contact) {
  --calm.troubles;
  calm.from = std::max(calm.from, net_.Now() + contact);
}

std::optional<net::Time> ContactRecord::InTouchSince(std::uint32_t host) const {
  if (core_.troubles > 0) return std::nullopt;
  net::Time since = std::max(first_contact_, core_.from);
  const auto found = machines_.find(host);
  if (found != machines_.end()) {
    if (found->second.troubles > 0) return std::nullopt;
    since = std::max(since, found->second.from);
  }
  if (since > net_.Now()) return std::nullopt;
  return since;
}

}  // namespace shelflink::tier_seeds
