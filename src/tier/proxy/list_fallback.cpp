#include "tier/proxy/list_fallback.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "tier/cluster/messages.h"
#include "tier/cluster/same_endpoints.h"
#include "tier/cluster/view_codec.h"
#include "tier/foundation/log.h"

namespace shelflink::proxy {
namespace {

using cluster::ListReading;
using cluster::ListReadingFetch;
using std::chrono::milliseconds;

constexpr const char* kModule = "proxy.list";
// Parts of the time in which a drain must bind. A list counts as late beyond half of it, and beyond
// what is usual: a period of the core's walks, a renewal's interval, and a sixth for a walk of some
// pages and a busy core. At 3 s and renewals each 500 ms that is 1,750 ms. Of the rest, 500 ms at
// most are for the slot of the first call and 750 ms for the walk (kWalkPart).
constexpr int kLatePart = 2;
constexpr int kCoreWalkPart = 4;
constexpr int kSlackPart = 6;
constexpr int kSlotsPart = 6;   // The first calls of all readers are spread over it.
constexpr int kCheckPart = 12;  // Between looks at the core, and between fetches.
constexpr milliseconds kFetchTimeout{250};
constexpr std::size_t kMostUnanswered = 2;  // Fetches in turn; then the list is read here.
// A platform that answers again is read within this part (platform/list_reader.h).
constexpr int kRecoveryPart = 2;

milliseconds AgeOf(net::Time read_at, net::Time now) {
  return std::chrono::ceil<milliseconds>(now - read_at);
}

}  // namespace

ListFallback::ListFallback(net::Loop& loop, transport::Hub& hub, const cluster::Agent& agent,
                           const ProcessSettings& settings, PlatformFactory make_platform,
                           std::function<void()> changed)
    : loop_(loop),
      hub_(hub),
      agent_(agent),
      settings_(settings),
      make_platform_(std::move(make_platform)),
      changed_(std::move(changed)),
      timer_(loop.NewTimer([this] { OnTimer(); })),
      resumed_at_(loop.Now()) {
  hub_.HandleCall(cluster::kListReadingKind,
                  [this](const transport::PeerIdentity&, std::string_view body,
                         const transport::Hub::Reply& reply) { reply(AnswerFetch(body)); });
  if (make_platform_) ArmAt(loop_.Now() + LateAfter());
}

ListFallback::~ListFallback() = default;

// ---- What is known ----

std::shared_ptr<const cluster::EndpointList> ListFallback::list() const {
  return own_list_ ? own_list_ : agent_.view().endpoints;
}

net::Time ListFallback::read_at() const {
  return std::max(own_read_at_, agent_.endpoints_read_at());
}

ListState ListFallback::State() const {
  if (!make_platform_) return ListState::kExcused;
  const net::Time now = loop_.Now();
  if (now <= read_at() + settings_.bounds.drain) return ListState::kFresh;
  if (JustBegun(now)) return ListState::kUnrenewed;
  return PlatformInTrouble(now) ? ListState::kExcused : ListState::kStale;
}

// Has not been in touch throughout `contactMs`: it stands still or did so, or has heard nothing of
// the core before its first list.
bool ListFallback::JustBegun(net::Time now) const {
  const bool stands_still = now > timer_due_ + settings_.bounds.thaw_slack;
  const net::Time begun_at = std::max(resumed_at_, first_list_at_.value_or(now));
  return stands_still || now < begun_at + settings_.bounds.contact;
}

// The time in which a drain must bind does not run then, and there is as much left of it behind as
// it takes to read the list.
bool ListFallback::PlatformInTrouble(net::Time now) const {
  net::Time seen_at = trouble_seen_at_;
  if (poller_) seen_at = std::max(seen_at, poller_->trouble_seen_at());
  return seen_at != net::Time() && now < seen_at + settings_.bounds.drain / kRecoveryPart;
}

// While the core's lists are late, one that comes may be older than what was read here.
void ListFallback::OnCoreList() {
  if (make_platform_ && !first_list_at_) CheckFirstList();
  if (active_ && agent_.endpoints_read_at() <= own_read_at_) return;
  own_list_.reset();
  own_read_at_ = {};
}

// It may be old already. Where its age is not known, the core may be about to tell it.
void ListFallback::CheckFirstList() {
  first_list_at_ = loop_.Now();
  const bool age_known = agent_.endpoints_read_at() != net::Time();
  ArmAt(loop_.Now() + (age_known ? net::Span() : settings_.bounds.drain / kCheckPart));
}

void ListFallback::DropOlderOwnList() {
  if (agent_.endpoints_read_at() <= own_read_at_) return;
  own_read_at_ = {};
  if (std::exchange(own_list_, nullptr)) changed_();
}

// ---- When to read ----

net::Span ListFallback::LateAfter() const {
  const net::Span drain = settings_.bounds.drain;
  const net::Span usual = drain / kCoreWalkPart + agent_.renewal_interval() + drain / kSlackPart;
  return std::max(drain / kLatePart, usual);
}

bool ListFallback::CoreIsFresh(net::Time now) const {
  return now < agent_.endpoints_read_at() + LateAfter();
}

void ListFallback::ArmAt(net::Time due) {
  timer_due_ = due;
  timer_->ArmAt(due);
}

void ListFallback::NoteStandstill(net::Time now) {
  if (now > timer_due_ + settings_.bounds.thaw_slack) resumed_at_ = now;
}

void ListFallback::OnTimer() {
  const net::Time now = loop_.Now();
  NoteStandstill(now);
  DropOlderOwnList();
  if (agent_.view().endpoints == nullptr) return ArmAt(now + LateAfter());
  if (CoreIsFresh(now)) {
    Deactivate();
    return ArmAt(agent_.endpoints_read_at() + LateAfter());
  }
  // A process that stood still renews first.
  if (resumed_at_ == now) return ArmAt(now + settings_.bounds.thaw_slack);
  Refresh();
  ArmAt(now + settings_.bounds.drain / kCheckPart);
}

// The rate could not be shared while it is not known among how many.
void ListFallback::Refresh() {
  if (!agent_.view().members) {
    trouble_seen_at_ = loop_.Now();
    return;
  }
  if (!active_) Activate();
  const ReadingPlan plan = Plan();
  if (poller_ && rank_ >= plan.readers && unanswered_ == 0) Ask(plan);
  if (!poller_) Fetch();
}

void ListFallback::Activate() {
  active_ = true;
  log::Info(kModule, "the core's list of endpoints is late: it is read here");
  const std::vector<net::Address> proxies = Proxies();
  const ReadingPlan plan = Plan();
  const auto self = std::find(proxies.begin(), proxies.end(), hub_.self().address);
  const auto rank = static_cast<std::size_t>(self - proxies.begin());
  rank_ = rank;
  next_reader_ = rank;
  if (rank < plan.readers) {
    Read(plan, rank);
  } else {
    Ask(plan);
  }
}

ReadingPlan ListFallback::Plan() const {
  return PlanReading(settings_.cloud.rate_per_s, settings_.bounds.drain, list()->entries.size(),
                     Proxies().size(), entries_of_page_);
}

// Only those that read are kept.
void ListFallback::Ask(const ReadingPlan& plan) {
  poller_.reset();
  platform_.reset();
  unanswered_ = 0;
  readers_ = Proxies();
  readers_.resize(plan.readers);
}

void ListFallback::Read(const ReadingPlan& plan, std::size_t rank) {
  readers_.clear();
  platform_ = make_platform_();
  const platform::ListReader::Options options{settings_.cloud.rate_per_s, settings_.bounds.drain,
                                              plan.share_of_rate};
  platform::ListPoller::Events events;
  events.read = [this](Entries entries, net::Time read_at) { Take(std::move(entries), read_at); };
  events.page = [this](std::size_t entries) { NotePage(entries); };
  poller_ = std::make_unique<platform::ListPoller>(loop_, *platform_, options, std::move(events));
  // One after the other, so that the platform is not asked by all at once.
  const net::Span slot = settings_.bounds.drain / kSlotsPart / static_cast<int>(plan.readers);
  poller_->Start(loop_.Now() + slot * static_cast<int>(rank));
}

// Smaller pages make longer walks, and so fewer readers that call more often. One that is not among
// them any more goes over to asking at the next look: its poller calls this.
void ListFallback::NotePage(std::size_t entries) {
  if (entries == 0 || entries == entries_of_page_) return;
  entries_of_page_ = entries;
  const ReadingPlan plan = Plan();
  if (rank_ < plan.readers) {
    poller_->SetShareOfRate(plan.share_of_rate);
  } else {
    ArmAt(loop_.Now());
  }
}

// No reader answers this process. It reads at the pace of one of as many readers as there are
// proxies, so that all of them together stay within one more share of the rate.
void ListFallback::ReadUnanswered() {
  log::Info(kModule, "no proxy that reads the list of endpoints answers: it is read here");
  const std::size_t proxies = Proxies().size();
  Read({proxies, kProxiesShareOfRate / static_cast<double>(proxies)}, 0);
}

void ListFallback::Deactivate() {
  if (!std::exchange(active_, false)) return;
  log::Info(kModule, "the core's list of endpoints is fresh again");
  poller_.reset();
  platform_.reset();
  readers_.clear();
  unanswered_ = 0;
  trouble_seen_at_ = {};
}

// All of the fleet, in an order that each of them finds; this one too, where the list of members
// does not name it yet.
std::vector<net::Address> ListFallback::Proxies() const {
  std::vector<net::Address> proxies;
  for (const cluster::Member& member : agent_.view().members->all) {
    if (member.role == "proxy") proxies.push_back(member.address);
  }
  std::sort(proxies.begin(), proxies.end());
  const net::Address& self = hub_.self().address;
  if (!std::binary_search(proxies.begin(), proxies.end(), self)) proxies.push_back(self);
  return proxies;
}

// ---- What is read ----

void ListFallback::Take(Entries entries, net::Time read_at) {
  own_read_at_ = read_at;
  const auto present = list();
  if (present && cluster::SameEndpoints(present->entries, entries)) return;
  const cluster::Version version = present ? present->version : cluster::Version();
  own_list_ = std::make_shared<const cluster::EndpointList>(
      cluster::EndpointList{version, std::move(entries)});
  changed_();
}

void ListFallback::Fetch() {
  if (fetching_ || readers_.empty()) return;
  fetching_ = true;
  const net::Time sent = loop_.Now();
  const net::Address& reader = readers_[next_reader_ % readers_.size()];
  hub_.Call(reader, cluster::kListReadingKind, Encode(ListReadingFetch{AgeOf(read_at(), sent)}),
            kFetchTimeout,
            [this, alive = std::weak_ptr<char>(life_), sent](const Result<std::string>& body) {
              if (alive.expired()) return;
              fetching_ = false;
              OnFetched(sent, body);
            });
}

void ListFallback::OnFetched(net::Time sent, const Result<std::string>& body) {
  if (!active_) return;
  const Result<ListReading> reading =
      body ? cluster::DecodeListReading(body.value()) : Result<ListReading>(body.error());
  Result<Entries> entries = reading ? cluster::DecodeEndpoints(reading.value().endpoints)
                                    : Result<Entries>(reading.error());
  const bool answered = body || body.error().code == ErrorCode::kNotFound;
  unanswered_ = answered ? 0 : unanswered_ + 1;
  if (!entries) {
    if (answered) trouble_seen_at_ = loop_.Now();  // The reader has nothing newer.
    ++next_reader_;
    if (unanswered_ >= kMostUnanswered) return ReadUnanswered();
    if (!answered) Fetch();
    return;
  }
  const net::Time read_at = sent - reading.value().age;
  if (read_at > this->read_at()) Take(std::move(entries.value()), read_at);
}

Result<std::string> ListFallback::AnswerFetch(std::string_view body) const {
  const Result<ListReadingFetch> fetch = cluster::DecodeListReadingFetch(body);
  if (!fetch) return fetch.error();
  const milliseconds age = AgeOf(read_at(), loop_.Now());
  if (!list() || age >= fetch.value().age) {
    return MakeError(ErrorCode::kNotFound, "nothing newer has been read here");
  }
  return Encode(ListReading{age, cluster::EncodeEndpoints(list()->entries)});
}

}  // namespace shelflink::proxy
