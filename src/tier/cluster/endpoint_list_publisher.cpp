#include "tier/cluster/endpoint_list_publisher.h"

#include <utility>

#include "tier/cluster/messages.h"
#include "tier/cluster/same_endpoints.h"
#include "tier/cluster/view_codec.h"
#include "tier/foundation/invariants.h"
#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::cluster {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAdoptTimeout{500};
constexpr const char* kModule = "cluster.core";

}  // namespace

EndpointListPublisher::EndpointListPublisher(net::Loop& loop, transport::Hub& hub,
                                             ViewPublisher& publisher, const RelayTree& tree,
                                             Role role)
    : loop_(loop), hub_(hub), publisher_(publisher), tree_(tree), role_(std::move(role)) {}

bool EndpointListPublisher::Publish(const std::vector<EndpointEntry>& entries) {
  if (!role_.leads()) {
    TellNotPublished(entries);
    return false;
  }
  withheld_.reset();
  read_version_ = role_.next_version();
  std::string body = EncodeEndpoints(entries);
  publisher_.Publish({Part::kEndpoints, read_version_, std::move(body)}, PushTargets());
  TellPublished(SummaryOf(read_version_, entries));
  return true;
}

// The lease may have lapsed since; then members learn of it with the next renewals.
std::vector<net::Address> EndpointListPublisher::PushTargets() const {
  return role_.leads() ? tree_.PushTargets() : std::vector<net::Address>();
}

void EndpointListPublisher::TellPublished(const EndpointSummary& list) {
  last_ = list;
  const bool in_force = publisher_.versions()[Part::kEndpoints] == list.version;
  ++(in_force ? published_ : not_published_);
  log::Info(kModule, std::string("endpoint list ") + (in_force ? "published" : "not published") +
                         ": " + TextOf(list) + ", " + AgeText() +
                         (in_force ? "" : "; a newer one is in force"));
}

// The watch offers it again and again: it counts once.
void EndpointListPublisher::TellNotPublished(const std::vector<EndpointEntry>& entries) {
  if (withheld_ && SameEndpoints(*withheld_, entries)) return;
  withheld_ = entries;
  ++not_published_;
  log::Bounded(
      log::Level::kWarning, kModule, "not published",
      "endpoint list read and not published: " + TextOf(SummaryOf(role_.last_version(), entries)) +
          ", " + AgeText() + "; " + role_.why_not(),
      SteadyMicros(loop_.Now()));
}

std::string EndpointListPublisher::AgeText() const {
  const std::optional<net::Time> read_at = watch_->read_at();
  if (!read_at) return "never read";
  return "read " + std::to_string((loop_.Now() - *read_at) / milliseconds(1)) + " ms ago";
}

// The lease may lapse since a renewal was taken up; then the list stays behind.
void EndpointListPublisher::PublishPending() {
  if (watch_ == nullptr) return;
  watch_->PublishPending();
  if (!role_.leads()) return;
  ProcessInvariants().Check(watch_->published(), Invariant::kReadListIsPublished,
                            "a renewal is answered before the list that was read",
                            SteadyMicros(loop_.Now()));
}

std::optional<milliseconds> EndpointListPublisher::Age() const {
  const bool own =
      read_version_ != Version() && publisher_.versions()[Part::kEndpoints] == read_version_;
  if (!own || watch_ == nullptr || !watch_->published() || !watch_->read_at()) return std::nullopt;
  return std::chrono::ceil<milliseconds>(loop_.Now() - *watch_->read_at());
}

void EndpointListPublisher::Adopt(const net::Address& member, const Version& has) {
  if (adopting_ || has <= publisher_.versions()[Part::kEndpoints]) return;
  adopting_ = true;
  hub_.Call(member, kFetchKind, Encode(Fetch{Part::kEndpoints, has}), kAdoptTimeout,
            [this, alive = std::weak_ptr<char>(life_)](const Result<std::string>& body) {
              if (alive.expired()) return;
              adopting_ = false;
              const Result<Push> push = body ? DecodePush(body.value()) : body.error();
              if (push && push.value().part == Part::kEndpoints && role_.leads()) {
                publisher_.Publish(push.value(), tree_.PushTargets());
              }
            });
}

void EndpointListPublisher::AddFigures(ClusterFigures& figures) const {
  figures.published_list = last_;
  figures.lists_published = published_;
  figures.lists_not_published = not_published_;
  if (watch_ != nullptr && watch_->read_at()) figures.list_age = loop_.Now() - *watch_->read_at();
}

}  // namespace shelflink::cluster
