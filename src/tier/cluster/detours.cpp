#include "tier/cluster/detours.h"

#include <chrono>
#include <utility>
#include <vector>

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{900};  // Two hops.
constexpr milliseconds kForwardTimeout{400};
constexpr milliseconds kPause{500};

}  // namespace

Detours::Detours(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder,
                 const CoreLease& lease, const ViewRelay& relay, User user)
    : loop_(loop),
      hub_(hub),
      finder_(finder),
      lease_(lease),
      relay_(relay),
      user_(std::move(user)),
      timer_(loop.NewTimer([this] { Take(); })) {
  hub_.HandleCall(kDetourKind,
                  [this](const transport::PeerIdentity& from, std::string_view body,
                         const transport::Hub::Reply& reply) { Forward(from, body, reply); });
}

void Detours::Begin() { timer_->ArmAt(loop_.Now()); }

// Sidecars in turn, the one that served last first.
std::optional<net::Address> Detours::Peer() const {
  const std::shared_ptr<const Members>& members = relay_.view().members;
  if (!members) return std::nullopt;
  std::vector<net::Address> peers;
  for (const Member& member : members->all) {
    if (member.role == "proxy" && member.address != hub_.self().address) {
      peers.push_back(member.address);
    }
  }
  if (peers.empty()) return std::nullopt;
  return peers[turn_ % peers.size()];
}

void Detours::Take() {
  if (lease_.IsValid() || stopped_ || hub_.self().role != "proxy") return;
  timer_->ArmAt(loop_.Now() + kPause);
  const std::optional<net::Address> peer = Peer();
  if (!peer || under_way_) return;
  under_way_ = true;
  Detour detour{hub_.self(), user_.renewal()};
  const net::Time sent = loop_.Now();
  std::string body = Encode(detour);
  hub_.Call(*peer, kDetourKind, std::move(body), kTimeout,
            [this, alive = std::weak_ptr<char>(life_),
             exchange = RenewalExchange{*peer, sent, std::move(detour.renewal.uses)}](
                const Result<std::string>& answer) {
              if (alive.expired()) return;
              under_way_ = false;
              OnAnswer(exchange, answer);
            });
}

void Detours::OnAnswer(const RenewalExchange& exchange, const Result<std::string>& body) {
  const Result<RenewalAnswer> answer =
      body ? DecodeRenewalAnswer(body.value()) : Result<RenewalAnswer>(body.error());
  const bool served = answer && answer.value().accepted && user_.accepted(exchange, answer.value());
  if (!served) ++turn_;
}

void Detours::Forward(const transport::PeerIdentity& from, std::string_view body,
                      transport::Hub::Reply reply) {
  const Result<Detour> detour = DecodeDetour(body);
  if (!detour || detour.value().origin.address != from.address) {
    reply(MakeError(ErrorCode::kInvalid, "malformed detour, or not of its sender"));
    return;
  }
  const std::optional<net::Address> target = finder_.primary();
  if (!lease_.IsValid() || !target) {
    reply(MakeError(ErrorCode::kUnavailable, "out of touch as well"));
    return;
  }
  if (forwarded_ >= kMostForwarded) {
    reply(MakeError(ErrorCode::kExhausted, "too many detours"));
    return;
  }
  ++forwarded_;
  hub_.Call(*target, kDetourKind, std::string(body), kForwardTimeout,
            [this, alive = std::weak_ptr<char>(life_),
             reply = std::move(reply)](Result<std::string> answer) {
              if (alive.expired()) return;
              --forwarded_;
              reply(std::move(answer));
            });
}

}  // namespace shelflink::cluster
