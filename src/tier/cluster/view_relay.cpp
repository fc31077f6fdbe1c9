#include "tier/cluster/view_relay.h"

#include <utility>

#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFetchTimeout{400};       // From a parent; then the core is asked.
constexpr milliseconds kCoreFetchTimeout{1000};  // From the core.
constexpr milliseconds kPushGrace{40};           // What a renewal names as newer may be on its way.
constexpr milliseconds kComingPause{
    100};  // Nothing more of a message for so long: it is not coming.
constexpr const char* kModule = "cluster.agent";

constexpr Part kAllParts[] = {Part::kConfiguration, Part::kEndpoints, Part::kPlacement,
                              Part::kMembers};

}  // namespace

ViewRelay::ViewRelay(net::Loop& loop, transport::Hub& hub, const CoreFinder& finder, User user)
    : loop_(loop),
      hub_(hub),
      finder_(finder),
      user_(std::move(user)),
      repair_timer_(loop.NewTimer([this] { FetchStale(); })) {
  hub_.Handle(kPushKind, [this](const transport::PeerIdentity& from, std::string_view body) {
    OnPush(from, body);
  });
  hub_.HandleCall(kFetchKind, [this](const transport::PeerIdentity&, std::string_view body,
                                     const transport::Hub::Reply& reply) { OnFetch(body, reply); });
}

void ViewRelay::SetPlace(const std::optional<net::Address>& parent,
                         std::vector<net::Address> children) {
  if (parent_ != parent) parent_silent_ = false;
  parent_ = parent;
  children_ = std::move(children);
}

// --- Pushes ---

bool ViewRelay::MayPush(const transport::PeerIdentity& from) const {
  return from.role == "core" || (parent_ && from.address == *parent_);
}

void ViewRelay::OnPush(const transport::PeerIdentity& from, std::string_view body) {
  if (!MayPush(from)) {
    ++pushes_refused_;
    return;
  }
  const Result<Push> push = DecodePush(body);
  if (!push) {
    log::Bounded(log::Level::kWarning, kModule, "push", push.error().text + " from " + from.node,
                 SteadyMicros(loop_.Now()));
    return;
  }
  Take(push.value());
}

void ViewRelay::Take(const Push& push) {
  const Result<bool> taken = store_.Take(push);
  if (!taken) {
    log::Bounded(log::Level::kWarning, kModule, "part", taken.error().text,
                 SteadyMicros(loop_.Now()));
    return;
  }
  if (!taken.value()) return;
  PassOn(push);
  user_.taken(push.part);
}

void ViewRelay::PassOn(const Push& push) {
  if (children_.empty()) return;
  const std::string body = Encode(push);
  for (const net::Address& child : children_) {
    hub_.Send(child, kPushKind, body, DeliveryOf(push.part));
  }
}

// --- Fetches ---

void ViewRelay::OnFetch(std::string_view body, const transport::Hub::Reply& reply) const {
  const Result<Fetch> fetch = DecodeFetch(body);
  if (!fetch) {
    reply(fetch.error());
    return;
  }
  const Part part = fetch.value().part;
  if (!store_.Has(part) || store_.versions()[part] < fetch.value().least) {
    reply(MakeError(ErrorCode::kNotFound, "no such version of the part here"));
    return;
  }
  reply(Encode(store_.PushOf(part)));
}

void ViewRelay::Repair(const PartVersions& newest) {
  named_before_ = newest_;
  moved_ = store_.versions()[Part::kConfiguration] > had_at_renewal_;
  had_at_renewal_ = store_.versions()[Part::kConfiguration];
  newest_ = newest;
  bool stale = false;
  bool missing = false;
  for (const Part part : kAllParts) {
    stale = stale || IsStale(part);
    missing = missing || (IsStale(part) && !store_.Has(part));
  }
  if (stale) repair_timer_->ArmAt(loop_.Now() + (missing ? milliseconds(0) : kPushGrace));
}

void ViewRelay::RepairFrom(const net::Address& peer, const PartVersions& newest) {
  newest_ = newest;
  for (const Part part : kAllParts) {
    if (IsStale(part)) FetchFrom(peer, part, kFetchTimeout, [](const Result<std::string>&) {});
  }
}

void ViewRelay::FetchStale() {
  for (const Part part : kAllParts) {
    if (!IsStale(part)) continue;
    if (IsComing(part)) {
      repair_timer_->ArmAt(loop_.Now() + kPushGrace);
    } else {
      FetchPart(part);
    }
  }
}

// A document that is on its way is not asked for again, it may be large: whoever is to send it
// sends something at this moment, which an answer would stand behind.
bool ViewRelay::IsComing(Part part) const {
  if (part != Part::kConfiguration) return false;
  const std::optional<net::Address> source = FetchesFromParent() ? parent_ : finder_.primary();
  return source && hub_.Receives(*source, kComingPause);
}

void ViewRelay::FetchPart(Part part) {
  if (FetchesFromParent()) {
    FetchFrom(*parent_, part, kFetchTimeout,
              [this, part](const Result<std::string>& body) { AfterParent(part, body); });
  } else {
    FetchFromCore(part);
  }
}

void ViewRelay::FetchFromCore(Part part) {
  const std::optional<net::Address> source = finder_.primary();
  if (!source) return;
  // The next renewal sees what is still missing.
  FetchFrom(*source, part, kCoreFetchTimeout, [](const Result<std::string>&) {});
}

// A parent that has no such version is late as well; only a silent one is replaced.
void ViewRelay::AfterParent(Part part, const Result<std::string>& body) {
  if (!IsStale(part)) return;
  const bool late_too = !body && body.error().code == ErrorCode::kNotFound;
  if (!body && !late_too) {
    parent_silent_ = true;
    user_.parent_silent();
  }
  if (!late_too || !ComesByParent(part)) FetchFromCore(part);
}

// All of a zone would ask the core at once for a document that their parents are about to have.
// One that was named by an earlier renewal already, with none newer taken since, is asked for.
bool ViewRelay::ComesByParent(Part part) const {
  if (part != Part::kConfiguration || !store_.Has(part)) return false;
  return moved_ || store_.versions()[part] >= named_before_[part];
}

// One at a time for each part. `after` is called once what came has been taken.
void ViewRelay::FetchFrom(const net::Address& source, Part part, milliseconds timeout,
                          Fetched after) {
  bool& under_way = fetching_[static_cast<std::size_t>(part)];
  if (under_way) return;
  under_way = true;
  hub_.Call(source, kFetchKind, Encode(Fetch{part, newest_[part]}), timeout,
            [this, alive = std::weak_ptr<char>(life_), part,
             after = std::move(after)](const Result<std::string>& body) {
              if (alive.expired()) return;
              fetching_[static_cast<std::size_t>(part)] = false;
              const Result<Push> push =
                  body ? DecodePush(body.value()) : Result<Push>(body.error());
              if (push) Take(push.value());
              after(body);
            });
}

}  // namespace shelflink::cluster
