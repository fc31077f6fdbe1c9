#include "tier/cluster/view_relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFetchTimeout{400};       // From a parent; then the core is asked.
constexpr milliseconds kCoreFetchTimeout{1000};  // From the core.
constexpr milliseconds kLongestFetch{5000};      // However it grows.
constexpr milliseconds kBusyPause{200};          // Then a busy source is asked again.
constexpr milliseconds kPushGrace{40};           // What a renewal names as newer may be on its way.
constexpr milliseconds kComingPause{
    100};  // Nothing more of a message for so long: it is not coming.
constexpr const char* kModule = "cluster.agent";

constexpr Part kAllParts[] = {Part::kConfiguration, Part::kEndpoints, Part::kPlacement,
                              Part::kMembers};

bool IsBusy(const Result<std::string>& body) {
  return !body && body.error().code == ErrorCode::kExhausted;
}

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
  hub_.HandleCall(kFetchKind,
                  [this](const transport::PeerIdentity& from, std::string_view body,
                         const transport::Hub::Reply& reply) { reply(OnFetch(from, body)); });
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
  Take(from.address, push.value());
}

void ViewRelay::Take(const net::Address& from, const Push& push) {
  const Version before = store_.versions()[push.part];
  const Result<bool> taken = store_.Take(push);
  if (!taken && taken.error().code == ErrorCode::kConflict) return AskForSteps(from, push);
  if (!taken) {
    log::Bounded(log::Level::kWarning, kModule, "part", taken.error().text,
                 SteadyMicros(loop_.Now()));
    return;
  }
  if (!taken.value()) return;
  PassOn(push.part, before);
  user_.taken(push.part);
}

// It is newer than what is here, and more than what came is needed for it.
void ViewRelay::AskForSteps(const net::Address& from, const Push& push) {
  newest_[push.part] = std::max(newest_[push.part], push.version);
  FetchFrom(from, push.part, kFetchTimeout, [this](const Result<std::string>& body) {
    if (!body) repair_timer_->ArmAt(loop_.Now() + (IsBusy(body) ? kBusyPause : kPushGrace));
  });
}

// Also to those who asked before it was here: the core may not have named them as children yet.
void ViewRelay::PassOn(Part part, const Version& before) {
  std::set<net::Address> targets = std::exchange(askers_[static_cast<std::size_t>(part)], {});
  targets.insert(children_.begin(), children_.end());
  if (targets.empty()) return;
  const Push update = store_.UpdateOf(part, before);
  const std::string body = Encode(update);
  for (const net::Address& target : targets) {
    hub_.Send(target, kPushKind, body, DeliveryOf(update));
  }
}

// --- Fetches ---

Result<std::string> ViewRelay::OnFetch(const transport::PeerIdentity& from, std::string_view body) {
  const Result<Fetch> fetch = DecodeFetch(body);
  if (!fetch) return fetch.error();
  const Part part = fetch.value().part;
  if (!store_.Has(part) || store_.versions()[part] < fetch.value().least) {
    std::set<net::Address>& askers = askers_[static_cast<std::size_t>(part)];
    const bool follows = from.role != "core";  // Which asks for what it is to pass on itself.
    if (follows && askers.size() < kMostAskers) askers.insert(from.address);
    return MakeError(ErrorCode::kNotFound, "no such version of the part here");
  }
  return Encode(store_.PushOf(part, fetch.value().have));
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
    FetchPart(part);
  }
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
  FetchFrom(*source, part, kCoreFetchTimeout, [this](const Result<std::string>& body) {
    if (IsBusy(body)) repair_timer_->ArmAt(loop_.Now() + kBusyPause);
  });
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

// All of a zone would ask the core at once for a document that their parents are about to have, or
// to be told of. One that was named by an earlier renewal already, with none newer taken since, is
// asked for.
bool ViewRelay::ComesByParent(Part part) const {
  if (part != Part::kConfiguration) return false;
  return moved_ || store_.versions()[part] >= named_before_[part];
}

// One at a time for each part. `after` is called once what came has been taken, or once the source
// has sent nothing of it for `patience`: an answer that comes later is taken all the same.
void ViewRelay::FetchFrom(const net::Address& source, Part part, milliseconds patience,
                          Fetched after) {
  FetchState& fetch = fetches_[static_cast<std::size_t>(part)];
  if (fetch.source) {
    fetch.asked_again = true;
    return;
  }
  fetch.source = source;
  fetch.asked_again = false;
  fetch.after = std::move(after);
  const std::uint64_t number = ++fetch.number;
  if (!fetch.timer) fetch.timer = loop_.NewTimer([this, part] { OnPatienceEnds(part); });
  fetch.timer->ArmAt(loop_.Now() + patience);
  hub_.Call(source, kFetchKind, Encode(Fetch{part, newest_[part], store_.versions()[part]}),
            kLongestFetch,
            [this, alive = std::weak_ptr<char>(life_), source, part,
             number](const Result<std::string>& body) {
              if (!alive.expired()) OnFetched(source, part, number, body);
            });
}

void ViewRelay::OnFetched(const net::Address& source, Part part, std::uint64_t number,
                          const Result<std::string>& body) {
  const Result<Push> push = body ? DecodePush(body.value()) : Result<Push>(body.error());
  if (push) Take(source, push.value());
  const FetchState& fetch = fetches_[static_cast<std::size_t>(part)];
  if (fetch.source && fetch.number == number) EndFetch(part, body);
}

// A large answer takes its time on a narrow link: its source is not silent while it grows.
void ViewRelay::OnPatienceEnds(Part part) {
  FetchState& fetch = fetches_[static_cast<std::size_t>(part)];
  if (!fetch.source) return;
  if (hub_.Receives(*fetch.source, kComingPause)) {
    fetch.timer->ArmAt(loop_.Now() + kComingPause);
    return;
  }
  EndFetch(part, MakeError(ErrorCode::kUnknown, "no answer in time"));
}

void ViewRelay::EndFetch(Part part, const Result<std::string>& outcome) {
  FetchState& fetch = fetches_[static_cast<std::size_t>(part)];
  fetch.timer->Cancel();
  fetch.source.reset();
  const Fetched after = std::exchange(fetch.after, nullptr);
  after(outcome);
  // Something newer was told of meanwhile.
  if (fetch.asked_again && IsStale(part)) repair_timer_->ArmAt(loop_.Now());
}

}  // namespace shelflink::cluster
