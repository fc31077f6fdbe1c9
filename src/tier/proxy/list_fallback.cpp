#include "tier/proxy/list_fallback.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "tier/cluster/messages.h"
#include "tier/cluster/view_codec.h"
#include "tier/foundation/log.h"
#include "tier/proxy/list_times.h"

namespace shelflink::proxy {
namespace {

using cluster::ListReading;
using cluster::ListReadingFetch;
using std::chrono::milliseconds;

constexpr const char* kModule = "proxy.list";
constexpr int kCheckPart = 12;  // Between looks at the core, and between fetches.
// A platform that answers again is read within this part (platform/list_reader.h).
constexpr int kRecoveryPart = 2;
// What a proxy answers that has no newer list to give; all other errors count as silence.
constexpr ErrorCode kNothingNewerCode = ErrorCode::kNotFound;
constexpr ErrorCode kTroubleCode = ErrorCode::kUnavailable;
constexpr ErrorCode kNotReadingCode = ErrorCode::kConflict;

ReaderAnswer AnswerOf(const Error& error) {
  if (error.code == kNothingNewerCode) return ReaderAnswer::kNothingNewer;
  if (error.code == kTroubleCode) return ReaderAnswer::kTrouble;
  if (error.code == kNotReadingCode) return ReaderAnswer::kNotReading;
  return ReaderAnswer::kSilent;
}

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
  return own_.list() ? own_.list() : agent_.view().endpoints;
}

net::Time ListFallback::read_at() const {
  return own_.list() ? own_.read_at() : agent_.endpoints_read_at();
}

ListState ListFallback::State() const {
  if (!make_platform_) return ListState::kPlatformUnavailable;
  const net::Time now = loop_.Now();
  if (IsFresh(now)) return ListState::kFresh;
  if (FirstListIsUnchecked(now)) {
    return PlatformInTrouble(now) ? ListState::kPlatformUnavailable : ListState::kUnverified;
  }
  if (JustBegun(now)) return ListState::kResumed;
  return PlatformInTrouble(now) ? ListState::kPlatformUnavailable : ListState::kStale;
}

bool ListFallback::IsFresh(net::Time now) const {
  return now <= read_at() + settings_.bounds.drain;
}

// Has not been in touch throughout `contactMs`: it stands still or did so, or has just started.
bool ListFallback::JustBegun(net::Time now) const {
  const bool stands_still = now > timer_due_ + settings_.bounds.thaw_slack;
  return stands_still || now < resumed_at_ + settings_.bounds.contact;
}

// Drains bind a process from `contactMs` after its start on, whenever its first list comes: a
// primary may give one that it adopted and that nobody has read for long. A little earlier than
// that, as the machine began before the process did.
bool ListFallback::FirstListIsUnchecked(net::Time now) const {
  const net::Span unbound = settings_.bounds.contact - settings_.bounds.drain / kCheckPart;
  return !was_fresh_ && now >= resumed_at_ + unbound;
}

void ListFallback::NoteFreshness() { was_fresh_ = was_fresh_ || IsFresh(loop_.Now()); }

// The time in which a drain must bind does not run then, and there is as much left of it behind as
// it takes to read the list.
bool ListFallback::PlatformInTrouble(net::Time now) const {
  net::Time seen_at = trouble_seen_at_;
  if (poller_) seen_at = std::max(seen_at, poller_->trouble_seen_at());
  return IsRecentTrouble(seen_at, now);
}

bool ListFallback::IsRecentTrouble(net::Time seen_at, net::Time now) const {
  return seen_at != net::Time() && now < seen_at + settings_.bounds.drain / kRecoveryPart;
}

// While the core's lists are late, one that comes may be older than what was read here.
void ListFallback::OnCoreList() {
  if (make_platform_ && !has_list_) OnFirstList();
  NoteFreshness();
  if (active_ && agent_.endpoints_read_at() <= own_.read_at()) return;
  own_.Drop();
}

// It may be old already. Where its age is not known, the core may be about to tell it.
void ListFallback::OnFirstList() {
  has_list_ = true;
  const bool age_known = agent_.endpoints_read_at() != net::Time();
  ArmAt(loop_.Now() + (age_known ? net::Span() : settings_.bounds.drain / kCheckPart));
}

void ListFallback::DropOlderOwnList() {
  if (own_.DropOlderThan(agent_.endpoints_read_at())) changed_();
}

// ---- When to read ----

net::Span ListFallback::LateAfter() const {
  return proxy::LateAfter(settings_.bounds.drain, agent_.renewal_interval());
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
  NoteFreshness();
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

// The rate could not be shared while it is not known among how many. That excuses a list that has
// been fresh; a first one waits for the list of members, which follows it.
void ListFallback::Refresh() {
  if (ListedProxies().empty()) {
    if (was_fresh_) trouble_seen_at_ = loop_.Now();
    return;
  }
  if (!active_) Activate();
  ReadIfChosen();
  Fetch();
}

void ListFallback::Activate() {
  active_ = true;
  log::Info(kModule, "the core's list of endpoints is late: it is read here");
  MakePlan();
  choice_.Reset();
  owes_walk_ = !is_listed_;
}

// Again whenever a reader has failed or the pages turn out to be of another size: the list of
// members may be another since, too.
void ListFallback::MakePlan() {
  proxies_ = ListedProxies();
  plan_ = PlanReading(settings_.cloud.rate_per_s, settings_.bounds.drain, list()->entries.size(),
                      proxies_.size(), entries_of_page_);
  const auto self = std::find(proxies_.begin(), proxies_.end(), hub_.self().address);
  const auto rank = static_cast<std::size_t>(self - proxies_.begin());
  is_listed_ = self != proxies_.end();
  if (!is_listed_) proxies_.push_back(hub_.self().address);
  choice_.SetFleet(rank, proxies_.size(), plan_.readers);
  if (poller_) poller_->SetShareOfRate(plan_.share_of_rate);
}

void ListFallback::ReadIfChosen() {
  if (!choice_.Reads() && !owes_walk_) return StopReading();
  if (!poller_) StartReading();
}

void ListFallback::StartReading() {
  platform_ = make_platform_();
  const platform::ListReader::Options options{settings_.cloud.rate_per_s, settings_.bounds.drain,
                                              plan_.share_of_rate};
  platform::ListPoller::Events events;
  events.read = [this](Entries entries, net::Time read_at) {
    choice_.OnOwnReading();
    owes_walk_ = false;
    Take(std::move(entries), read_at);
  };
  events.failed = [this](const platform::CallError&) { owes_walk_ = false; };
  events.page = [this](std::size_t entries) { NotePage(entries); };
  poller_ = std::make_unique<platform::ListPoller>(loop_, *platform_, options, std::move(events));
  // One after the other, so that the platform is not asked by all at once.
  const net::Span slot = settings_.bounds.drain / kSlotsPart / static_cast<int>(plan_.readers);
  poller_->Start(loop_.Now() + slot * static_cast<int>(choice_.rank_in_group()));
}

// What was seen of the platform holds on.
void ListFallback::StopReading() {
  if (poller_) trouble_seen_at_ = std::max(trouble_seen_at_, poller_->trouble_seen_at());
  poller_.reset();
  platform_.reset();
}

// Smaller pages make longer walks, and so fewer readers that call more often. One that is not among
// them any more goes over to asking at the next look: its poller calls this.
void ListFallback::NotePage(std::size_t entries) {
  if (entries == 0 || entries == entries_of_page_) return;
  entries_of_page_ = entries;
  MakePlan();
  if (!choice_.Reads()) ArmAt(loop_.Now());
}

void ListFallback::Deactivate() {
  if (!std::exchange(active_, false)) return;
  log::Info(kModule, "the core's list of endpoints is fresh again");
  StopReading();
  owes_walk_ = false;
  proxies_.clear();
  trouble_seen_at_ = {};
}

// All that the list of members names, in an order that each of them finds. One that is not named is
// in nobody's plan: it comes behind the others, and so in no first group. It reads the list once,
// since it may have just begun with an old one, and asks the others from then on.
std::vector<net::Address> ListFallback::ListedProxies() const {
  std::vector<net::Address> proxies;
  if (!agent_.view().members) return proxies;
  for (const cluster::Member& member : agent_.view().members->all) {
    if (member.role == "proxy") proxies.push_back(member.address);
  }
  std::sort(proxies.begin(), proxies.end());
  return proxies;
}

// ---- What is read ----

void ListFallback::Take(Entries entries, net::Time read_at) {
  DropOlderOwnList();
  if (read_at <= this->read_at()) return;
  const bool is_changed = own_.Take(list(), std::move(entries), read_at);
  NoteFreshness();
  if (is_changed) changed_();
}

void ListFallback::Fetch() {
  if (fetching_) return;
  const std::optional<std::size_t> rank = choice_.NextToAsk(OwnReadingFails(loop_.Now()));
  if (!rank) return;
  fetching_ = true;
  const net::Time sent = loop_.Now();
  const net::Address& reader = proxies_[*rank];
  hub_.Call(reader, cluster::kListReadingKind, Encode(ListReadingFetch{AgeOf(read_at(), sent)}),
            std::chrono::duration_cast<milliseconds>(settings_.bounds.drain) / kFetchPart,
            [this, alive = std::weak_ptr<char>(life_), sent,
             rank = *rank](const Result<std::string>& body) {
              if (alive.expired()) return;
              fetching_ = false;
              OnFetched(rank, sent, body);
            });
}

void ListFallback::OnFetched(std::size_t rank, net::Time sent, const Result<std::string>& body) {
  if (!active_) return;
  const ReaderAnswer answer = body ? TakeFetched(sent, body.value()) : AnswerOf(body.error());
  // One reader alone may be cut off; a second one that says the same has tried the platform too.
  if (answer == ReaderAnswer::kTrouble && choice_.first_group_given_up()) {
    trouble_seen_at_ = loop_.Now();
  }
  const bool failed = choice_.OnAnswer(rank, answer);
  if (failed) MakePlan();
  ReadIfChosen();
  if (failed && !poller_) Fetch();
}

ReaderAnswer ListFallback::TakeFetched(net::Time sent, std::string_view body) {
  const Result<ListReading> reading = cluster::DecodeListReading(body);
  Result<Entries> entries = reading ? cluster::DecodeEndpoints(reading.value().endpoints)
                                    : Result<Entries>(reading.error());
  if (!entries) return ReaderAnswer::kSilent;
  const net::Time read_at = sent - reading.value().age;
  Take(std::move(entries.value()), read_at);
  return reading.value().in_trouble ? ReaderAnswer::kTrouble : ReaderAnswer::kList;
}

// Whether this process reads and the platform gives it nothing.
bool ListFallback::OwnReadingFails(net::Time now) const {
  if (!poller_ || now < read_at() + LateAfter()) return false;
  return IsRecentTrouble(poller_->trouble_seen_at(), now);
}

Result<std::string> ListFallback::AnswerFetch(std::string_view body) {
  const Result<ListReadingFetch> fetch = cluster::DecodeListReadingFetch(body);
  if (!fetch) return fetch.error();
  DropOlderOwnList();
  const net::Time now = loop_.Now();
  if (!poller_ && !CoreIsFresh(now)) return MakeError(kNotReadingCode, "the list is not read here");
  const milliseconds age = AgeOf(read_at(), now);
  const bool own_reading_fails = OwnReadingFails(now);
  if (list() && age < fetch.value().age) {
    return Encode(ListReading{age, cluster::EncodeEndpoints(list()->entries), own_reading_fails});
  }
  if (own_reading_fails) return MakeError(kTroubleCode, "the platform does not answer here");
  return MakeError(kNothingNewerCode, "nothing newer has been read here");
}

}  // namespace shelflink::proxy
