// A stand-in for a partition's primary as the runner sees it: gives leases by hand, renews those it
// knows, adopts what it may, and keeps every report.
#ifndef SHELFLINK_TESTS_TIER_BATCH_LEASING_STORE_H_
#define SHELFLINK_TESTS_TIER_BATCH_LEASING_STORE_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "batch/virtual_nodes.h"

namespace shelflink::batch {

struct LeasingStore : StandInStore {
  LeasingStore(net::VirtualNet& net, std::uint32_t number) : StandInStore(net, number) {
    answer = [this](MessageKind kind, std::string_view body) { return Decide(kind, body); };
  }

  void Give(const net::Address& to, const Assign& assign) {
    known.insert(assign.lease);
    hub->Send(to, kAssign, Encode(assign));
  }
  void TakeBack(const net::Address& to, const Assign& assign) {
    known.erase(assign.lease);
    hub->Send(to, kRevoke, Encode(Revoke{assign.item.job.partition, assign.lease}));
  }

  // What a report becomes; a code: an error, and it is not kept.
  std::optional<ErrorCode> refuse_reports;
  bool silent = false;  // Answers nothing.
  bool primary = true;
  bool adopts = true;
  std::uint32_t waiting = 0;  // Items that it tells of in answer to offers.
  std::set<LeaseId> known;
  std::vector<Finished> finished;
  std::vector<Adoption> adoptions;
  std::map<LeaseId, std::string> progress;  // Text of each lease, from the parts of the offers.

 private:
  std::optional<Result<std::string>> Decide(MessageKind kind, std::string_view body) {
    if (silent) return std::nullopt;
    if (kind == kOffer) return Result<std::string>(OnOffer(Decode<Offer>(body).value()));
    if (kind == kAdopt) return Result<std::string>(OnAdopt(Decode<Adopt>(body).value()));
    if (kind != kFinished || !primary) return Result<std::string>(Unavailable());
    if (refuse_reports) return Result<std::string>(MakeError(*refuse_reports, "scripted"));
    finished.push_back(Decode<Finished>(body).value());
    known.erase(finished.back().lease);
    return Result<std::string>(std::string());
  }

  std::string OnOffer(const Offer& offer) {
    OfferAnswer answered;
    for (const HeldLease& held : offer.held) answered.held.push_back(StatusOf(held));
    answered.waiting = waiting;
    return Encode(answered);
  }
  LeaseStatus StatusOf(const HeldLease& held) {
    if (!primary) return LeaseStatus::kNotPrimary;
    if (!known.contains(held.lease)) return LeaseStatus::kUnknown;
    if (held.more) {
      std::string& text = progress[held.lease];
      text = text.substr(0, held.more->offset) + held.more->text;
    }
    return LeaseStatus::kRenewed;
  }
  std::string OnAdopt(const Adopt& adopt) {
    AdoptAnswer answered;
    for (const Adoption& adoption : adopt.leases) {
      adoptions.push_back(adoption);
      answered.leases.push_back(adopts ? LeaseStatus::kRenewed : LeaseStatus::kRevoked);
      if (!adopts) continue;
      known.insert(adoption.lease);
      progress[adoption.lease] = adoption.output.text;
    }
    return Encode(answered);
  }
  static Error Unavailable() { return MakeError(ErrorCode::kUnavailable, "not the primary"); }
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_LEASING_STORE_H_
