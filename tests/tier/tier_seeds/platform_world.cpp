#include "tier_seeds/platform_world.h"

#include <algorithm>
#include <functional>

namespace shelflink::tier_seeds {
namespace {

constexpr std::uint64_t kPlatformStream = 2;
constexpr Milliseconds kPatience{2000};  // Of a caller that hears nothing.

platform::CallError Silence() { return {ErrorCode::kUnknown, "no answer", std::nullopt}; }

// One process's connection. What it asks travels, and so do the answers; a process that has died
// hears nothing.
class Connection : public platform::Platform {
 public:
  Connection(PlatformWorld& world, net::Loop& loop, std::uint32_t host)
      : world_(world), loop_(loop), host_(host) {}

  void List(const platform::ListRequest&, ListDone done) override {
    Travel<platform::InstancePage>(
        [this] {
          return platform::CallResult<platform::InstancePage>(
              platform::InstancePage{world_.ListSeen(), ""});
        },
        std::move(done));
  }
  void ReportUsage(const platform::UsageReport& report, const platform::DutyHolder& holder,
                   DutyDone done) override {
    Travel<void>([this, report, holder] { return world_.TakeUsage(report, holder); },
                 std::move(done));
  }
  void Scale(const platform::ScaleOrder& order, const platform::DutyHolder& holder,
             DutyDone done) override {
    Travel<void>([this, order, holder] { return world_.TakeScale(order, holder); },
                 std::move(done));
  }

 private:
  template <typename T>
  using Done = std::function<void(platform::CallResult<T>)>;

  // `serve` runs at the platform, also when the caller has died by then.
  template <typename T>
  void Travel(std::function<platform::CallResult<T>()> serve, Done<T> done) {
    const std::weak_ptr<char> alive = alive_;
    net::VirtualNet& net = world_.net();
    net.At(net.Now() + world_.Way(),
           [loop = &loop_, alive, serve, done, &world = world_, &net, host = host_] {
             const bool arrives = world.Reaches(host);
             if (!arrives || alive.expired()) {
               net.At(net.Now() + kPatience,
                      [loop, alive, done] { Tell<T>(*loop, alive, done, Silence()); });
               return;
             }
             platform::CallResult<T> answer = serve();
             if (world.LosesAnswer()) answer = Silence();
             net.At(net.Now() + world.Way(),
                    [loop, alive, done, answer] { Tell<T>(*loop, alive, done, answer); });
           });
  }

  template <typename T>
  static void Tell(net::Loop& loop, const std::weak_ptr<char>& alive, const Done<T>& done,
                   const platform::CallResult<T>& answer) {
    if (alive.expired()) return;
    loop.Post([alive, done, answer] {
      if (!alive.expired()) done(answer);
    });
  }

  PlatformWorld& world_;
  net::Loop& loop_;
  std::uint32_t host_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace

PlatformWorld::PlatformWorld(net::VirtualNet& net, Journal& journal, const Deployment& deployment)
    : net_(net),
      journal_(journal),
      random_(deployment.seed, kPlatformStream),
      lag_(deployment.base.cloud.lag) {}

std::unique_ptr<platform::Platform> PlatformWorld::Connect(net::Loop& loop, std::uint32_t host) {
  return std::make_unique<Connection>(*this, loop, host);
}

void PlatformWorld::SetList(std::vector<cluster::EndpointEntry> entries) {
  const net::Time since = lists_.empty() ? net::Time() : net_.Now() + lag_;
  NoteLeaving(since, entries);
  lists_.emplace_back(since, std::move(entries));
  while (lists_.size() > 1 && lists_[1].first <= net_.Now()) lists_.pop_front();
}

std::vector<cluster::EndpointEntry> PlatformWorld::ListSeen() const {
  std::vector<cluster::EndpointEntry> seen;
  for (const auto& [since, entries] : lists_) {
    if (since <= net_.Now()) seen = entries;
  }
  return seen;
}

void PlatformWorld::NoteLeaving(net::Time seen_from,
                                const std::vector<cluster::EndpointEntry>& entries) {
  std::set<std::string> serving;
  for (const cluster::EndpointEntry& entry : entries) {
    if (!entry.draining) serving.insert(entry.id);
  }
  for (const std::string& endpoint : serving_) {
    if (!serving.contains(endpoint)) leaving_from_.insert({endpoint, seen_from});
  }
  serving_ = std::move(serving);
}

std::optional<net::Span> PlatformWorld::ShownAsLeaving(const std::string& endpoint) const {
  const auto found = leaving_from_.find(endpoint);
  if (found == leaving_from_.end() || found->second > net_.Now()) return std::nullopt;
  net::Span shown = net_.Now() - found->second;
  for (const TroubleSpan& trouble : troubles_) {
    const net::Time begin = std::max(trouble.begin, found->second);
    const net::Time end = std::min(trouble.end, net_.Now());
    if (begin < end) shown -= end - begin;
  }
  return shown;
}

void PlatformWorld::SetUp(bool up) {
  up_ = up;
  NoteTrouble();
}

void PlatformWorld::SetLostAnswers(double share) {
  lost_answers_ = share;
  NoteTrouble();
}

void PlatformWorld::NoteTrouble() {
  const bool in_trouble = !up_ || lost_answers_ > 0;
  const bool is_open = !troubles_.empty() && troubles_.back().end == net::Time::max();
  if (in_trouble && !is_open) troubles_.push_back({net_.Now()});
  if (!in_trouble && is_open) troubles_.back().end = net_.Now();
}

net::Span PlatformWorld::Way() {
  return std::chrono::microseconds(500 + random_.Below(20'000)) + slower_;
}

bool PlatformWorld::TakeFence(const std::string& subject, const platform::DutyHolder& holder) {
  const auto [known, is_new] = fence_holder_.insert({{subject, holder.fence}, holder.node});
  if (known->second != holder.node) {
    journal_.Report("ONE", subject + ": fence " + std::to_string(holder.fence) + " of " +
                               holder.node + " and of " + known->second);
  }
  std::uint64_t& highest = highest_fence_[subject];
  if (holder.fence < highest) return false;
  highest = holder.fence;
  return true;
}

platform::CallResult<void> PlatformWorld::TakeUsage(const platform::UsageReport& report,
                                                    const platform::DutyHolder& holder) {
  if (!TakeFence("usage", holder)) {
    return platform::CallError{ErrorCode::kConflict, "a higher fence was seen", std::nullopt};
  }
  journal_.Count("usage reports");
  const auto [window, is_new] = windows_.insert({report.window, report.counts});
  if (window->second != report.counts) {
    journal_.Report("ONE", "window " + std::to_string(report.window) + " with two counts");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

platform::CallResult<void> PlatformWorld::TakeScale(const platform::ScaleOrder& order,
                                                    const platform::DutyHolder& holder) {
  if (!TakeFence("scale " + order.service + " " + order.zone, holder)) {
    return platform::CallError{ErrorCode::kConflict, "a higher fence was seen", std::nullopt};
  }
  journal_.Count("scale orders");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace shelflink::tier_seeds
