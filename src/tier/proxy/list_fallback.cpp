#include "tier/proxy/list_fallback.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "tier/cluster/messages.h"
#include "tier/cluster/view_codec.h"
#include "tier/foundation/log.h"
#include "tier/proxy/list_fallback_timing.h"

namespace shelflink::proxy {
namespace {

using cluster::ListReading;
using cluster::ListReadingFetch;
using std::chrono::milliseconds;

constexpr const char* kModule = "proxy.list";
// Intervals and time limits, each a divisor of `drainMs`.
// Between checks of the core's list, and between calls to other proxies, while it is late.
constexpr int kCheckDivisor = 12;
// A platform that answers again is read as a whole within this time (platform/list_reader.h).
constexpr int kRecoveryDivisor = 2;
// Error codes of a proxy that has no newer list; any other error counts as no answer.
constexpr ErrorCode kNothingNewerCode = ErrorCode::kNotFound;
constexpr ErrorCode kPlatformFailingCode = ErrorCode::kUnavailable;
constexpr ErrorCode kNotReadingCode = ErrorCode::kConflict;

ReaderAnswer ReaderAnswerOf(const Error& error) {
  if (error.code == kNothingNewerCode) return ReaderAnswer::kNothingNewer;
  if (error.code == kPlatformFailingCode) return ReaderAnswer::kPlatformFailing;
  if (error.code == kNotReadingCode) return ReaderAnswer::kNotReading;
  return ReaderAnswer::kNoAnswer;
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
  if (make_platform_) ArmAt(loop_.Now() + LateThreshold());
}

ListFallback::~ListFallback() = default;

// ---- The list in use and its state ----

std::shared_ptr<const cluster::EndpointList> ListFallback::list() const {
  return local_list_.list() ? local_list_.list() : agent_.view().endpoints;
}

net::Time ListFallback::read_at() const {
  return local_list_.list() ? local_list_.read_at() : agent_.endpoints_read_at();
}

ListState ListFallback::State() const {
  if (!make_platform_) return ListState::kPlatformUnavailable;
  const net::Time now = loop_.Now();
  if (IsFresh(now)) return ListState::kFresh;
  if (FirstListIsUnverified(now)) {
    return PlatformIsFailing(now) ? ListState::kPlatformUnavailable : ListState::kUnverified;
  }
  if (RecentlyResumed(now)) return ListState::kResumed;
  return PlatformIsFailing(now) ? ListState::kPlatformUnavailable : ListState::kStale;
}

bool ListFallback::IsFresh(net::Time now) const {
  return now <= read_at() + settings_.bounds.drain;
}

// Whether this process has started or resumed less than `contactMs` ago, so that it cannot have
// been in touch throughout that time. A timer overdue by more than `thawSlackMs` shows a pause that
// OnTimer has not recorded yet.
bool ListFallback::RecentlyResumed(net::Time now) const {
  const bool stands_still = now > timer_due_ + settings_.bounds.thaw_slack;
  return stands_still || now < resumed_at_ + settings_.bounds.contact;
}

// A process must honour drains from `contactMs` after its start on, whenever it receives its first
// list, which may be one that a new primary has adopted and that was read long ago. The check
// applies a little earlier than that, because the machine started before the process did.
bool ListFallback::FirstListIsUnverified(net::Time now) const {
  const net::Span startup_grace = settings_.bounds.contact - settings_.bounds.drain / kCheckDivisor;
  return !has_been_fresh_ && now >= resumed_at_ + startup_grace;
}

void ListFallback::RecordFreshness() { has_been_fresh_ = has_been_fresh_ || IsFresh(loop_.Now()); }

// The time limit of drains is suspended while the platform fails, and for as long afterwards as it
// takes to read the list.
bool ListFallback::PlatformIsFailing(net::Time now) const {
  net::Time seen_at = platform_failed_at_;
  if (poller_) seen_at = std::max(seen_at, poller_->trouble_seen_at());
  return IsRecentFailure(seen_at, now);
}

bool ListFallback::IsRecentFailure(net::Time seen_at, net::Time now) const {
  return seen_at != net::Time() && now < seen_at + settings_.bounds.drain / kRecoveryDivisor;
}

// While the core's lists are late, a list from the core may be older than the local one.
void ListFallback::OnCoreList() {
  if (make_platform_ && !has_list_) OnFirstCoreList();
  RecordFreshness();
  if (active_ && agent_.endpoints_read_at() <= local_list_.read_at()) return;
  local_list_.Drop();
}

// The first list may already be old, so it is checked at once; if its age is unknown, a little
// later, since the core may be about to report the age.
void ListFallback::OnFirstCoreList() {
  has_list_ = true;
  const bool age_known = agent_.endpoints_read_at() != net::Time();
  ArmAt(loop_.Now() + (age_known ? net::Span() : settings_.bounds.drain / kCheckDivisor));
}

void ListFallback::DropOutdatedLocalList() {
  if (local_list_.DropIfOlderThan(agent_.endpoints_read_at())) changed_();
}

// ---- When to read or ask ----

net::Span ListFallback::LateThreshold() const {
  return proxy::LateThreshold(settings_.bounds.drain, agent_.renewal_interval());
}

bool ListFallback::CoreListIsFresh(net::Time now) const {
  return now < agent_.endpoints_read_at() + LateThreshold();
}

void ListFallback::ArmAt(net::Time due) {
  timer_due_ = due;
  timer_->ArmAt(due);
}

void ListFallback::DetectPause(net::Time now) {
  if (now > timer_due_ + settings_.bounds.thaw_slack) resumed_at_ = now;
}

void ListFallback::OnTimer() {
  const net::Time now = loop_.Now();
  DetectPause(now);
  RecordFreshness();
  DropOutdatedLocalList();
  if (agent_.view().endpoints == nullptr) return ArmAt(now + LateThreshold());
  if (CoreListIsFresh(now)) {
    Deactivate();
    return ArmAt(agent_.endpoints_read_at() + LateThreshold());
  }
  // A process that has just resumed renews its lease first.
  if (resumed_at_ == now) return ArmAt(now + settings_.bounds.thaw_slack);
  Refresh();
  ArmAt(now + settings_.bounds.drain / kCheckDivisor);
}

// Without a list of members the number of proxies that share the platform's rate limit is unknown,
// and nothing may be read. That counts as a failing platform if some list has been fresh before. A
// first list stays unverified until the list of members arrives, which follows it.
void ListFallback::Refresh() {
  if (ListedProxies().empty()) {
    if (has_been_fresh_) platform_failed_at_ = loop_.Now();
    return;
  }
  if (!active_) Activate();
  StartOrStopReading();
  FetchFromReader();
}

void ListFallback::Activate() {
  active_ = true;
  log::Info(
      kModule,
      "the core's list of endpoints is late; reading the platform's list or asking other proxies");
  UpdatePlan();
  choice_.Reset();
  needs_initial_read_ = !is_listed_;
}

// Called on activation, and again when a reader has failed or the size of pages differs from what
// was assumed. The list of members may have changed as well by then.
void ListFallback::UpdatePlan() {
  proxies_by_rank_ = ListedProxies();
  plan_ = PlanReading(settings_.cloud.rate_per_s, settings_.bounds.drain, list()->entries.size(),
                      proxies_by_rank_.size(), entries_per_page_);
  const auto self =
      std::find(proxies_by_rank_.begin(), proxies_by_rank_.end(), hub_.self().address);
  const auto rank = static_cast<std::size_t>(self - proxies_by_rank_.begin());
  is_listed_ = self != proxies_by_rank_.end();
  if (!is_listed_) proxies_by_rank_.push_back(hub_.self().address);
  choice_.SetFleet(rank, proxies_by_rank_.size(), plan_.readers);
  if (poller_) poller_->SetShareOfRate(plan_.share_of_rate);
}

void ListFallback::StartOrStopReading() {
  if (!choice_.ShouldRead() && !needs_initial_read_) return StopReading();
  if (!poller_) StartReading();
}

void ListFallback::StartReading() {
  platform_ = make_platform_();
  const platform::ListReader::Options options{settings_.cloud.rate_per_s, settings_.bounds.drain,
                                              plan_.share_of_rate};
  platform::ListPoller::Events events;
  events.read = [this](Entries entries, net::Time read_at) {
    choice_.OnListRead();
    needs_initial_read_ = false;
    StoreList(std::move(entries), read_at);
  };
  events.failed = [this](const platform::CallError&) { needs_initial_read_ = false; };
  events.page = [this](std::size_t entries) { OnPage(entries); };
  poller_ = std::make_unique<platform::ListPoller>(loop_, *platform_, options, std::move(events));
  // Staggers the first calls of the readers, so that they do not arrive at the same time.
  const net::Span slot =
      settings_.bounds.drain / kStartSpreadDivisor / static_cast<int>(plan_.readers);
  poller_->Start(loop_.Now() + slot * static_cast<int>(choice_.rank_in_group()));
}

// Keeps the time at which the poller last saw the platform fail.
void ListFallback::StopReading() {
  if (poller_) platform_failed_at_ = std::max(platform_failed_at_, poller_->trouble_seen_at());
  poller_.reset();
  platform_.reset();
}

// Smaller pages make longer walks, and so fewer readers that call more often. If this process is no
// longer one of the readers, it stops at the next check, due now, and not here, since its poller is
// the caller.
void ListFallback::OnPage(std::size_t entries) {
  if (entries == 0 || entries == entries_per_page_) return;
  entries_per_page_ = entries;
  UpdatePlan();
  if (!choice_.ShouldRead()) ArmAt(loop_.Now());
}

void ListFallback::Deactivate() {
  if (!std::exchange(active_, false)) return;
  log::Info(kModule, "the core's list of endpoints is fresh again");
  StopReading();
  needs_initial_read_ = false;
  proxies_by_rank_.clear();
  platform_failed_at_ = {};
}

// The proxies that the list of members names, in an order that is the same on each of them. A proxy
// that is not named is in no other proxy's plan: it ranks itself last, outside the first group,
// reads the list once, since it may have just started with an old one, and asks the others from
// then on.
std::vector<net::Address> ListFallback::ListedProxies() const {
  std::vector<net::Address> proxies;
  if (!agent_.view().members) return proxies;
  for (const cluster::Member& member : agent_.view().members->all) {
    if (member.role == "proxy") proxies.push_back(member.address);
  }
  std::sort(proxies.begin(), proxies.end());
  return proxies;
}

// ---- Reading and fetching ----

void ListFallback::StoreList(Entries entries, net::Time read_at) {
  DropOutdatedLocalList();
  if (read_at <= this->read_at()) return;
  const bool is_changed = local_list_.Store(list(), std::move(entries), read_at);
  RecordFreshness();
  if (is_changed) changed_();
}

void ListFallback::FetchFromReader() {
  if (fetching_) return;
  const std::optional<std::size_t> rank = choice_.NextReaderToAsk(LocalReadsFail(loop_.Now()));
  if (!rank) return;
  fetching_ = true;
  const net::Time sent = loop_.Now();
  const net::Address& reader = proxies_by_rank_[*rank];
  hub_.Call(reader, cluster::kListReadingKind, Encode(ListReadingFetch{AgeOf(read_at(), sent)}),
            std::chrono::duration_cast<milliseconds>(settings_.bounds.drain) / kFetchTimeoutDivisor,
            [this, lifetime = std::weak_ptr<char>(lifetime_token_), sent,
             rank = *rank](const Result<std::string>& body) {
              if (lifetime.expired()) return;
              fetching_ = false;
              OnFetched(rank, sent, body);
            });
}

void ListFallback::OnFetched(std::size_t rank, net::Time sent, const Result<std::string>& body) {
  if (!active_) return;
  const ReaderAnswer answer =
      body ? StoreFetchedList(sent, body.value()) : ReaderAnswerOf(body.error());
  // A single reader may have lost its own connection to the platform. Once the first group has
  // failed, another reader that reports the same has tried the platform too.
  if (answer == ReaderAnswer::kPlatformFailing && choice_.first_group_failed()) {
    platform_failed_at_ = loop_.Now();
  }
  const bool failed = choice_.OnAnswer(rank, answer);
  if (failed) UpdatePlan();
  StartOrStopReading();
  if (failed && !poller_) FetchFromReader();
}

ReaderAnswer ListFallback::StoreFetchedList(net::Time sent, std::string_view body) {
  const Result<ListReading> reading = cluster::DecodeListReading(body);
  Result<Entries> entries = reading ? cluster::DecodeEndpoints(reading.value().endpoints)
                                    : Result<Entries>(reading.error());
  if (!entries) return ReaderAnswer::kNoAnswer;
  const net::Time read_at = sent - reading.value().age;
  StoreList(std::move(entries.value()), read_at);
  return reading.value().in_trouble ? ReaderAnswer::kPlatformFailing : ReaderAnswer::kNewerList;
}

// Whether this process reads, has no list that is fresh, and has recently seen the platform fail.
bool ListFallback::LocalReadsFail(net::Time now) const {
  if (!poller_ || now < read_at() + LateThreshold()) return false;
  return IsRecentFailure(poller_->trouble_seen_at(), now);
}

Result<std::string> ListFallback::AnswerFetch(std::string_view body) {
  const Result<ListReadingFetch> fetch = cluster::DecodeListReadingFetch(body);
  if (!fetch) return fetch.error();
  DropOutdatedLocalList();
  const net::Time now = loop_.Now();
  if (!poller_ && !CoreListIsFresh(now))
    return MakeError(kNotReadingCode, "the list is not read here");
  const milliseconds age = AgeOf(read_at(), now);
  const bool local_reads_fail = LocalReadsFail(now);
  if (list() && age < fetch.value().age) {
    return Encode(ListReading{age, cluster::EncodeEndpoints(list()->entries), local_reads_fail});
  }
  if (local_reads_fail) return MakeError(kPlatformFailingCode, "the platform does not answer here");
  return MakeError(kNothingNewerCode, "nothing newer has been read here");
}

}  // namespace shelflink::proxy
