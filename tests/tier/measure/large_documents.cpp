#include "measure/large_documents.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "tier_seeds/configurations.h"
#include "tier_seeds/http_caller.h"

namespace shelflink::measure {
namespace {

using tier_seeds::HttpOutcome;
using tier_seeds::HttpRequestText;

constexpr std::size_t kClientDescriptors = 100'000;
constexpr std::size_t kJobs = 30;
constexpr std::size_t kItemsOfJob = 3;
constexpr milliseconds kPatience{3000};
constexpr milliseconds kAgain{300};
constexpr seconds kLongestChange{10};
constexpr seconds kLongestReturn{15};
constexpr milliseconds kDark{900};
constexpr milliseconds kBetweenStarts{1};
constexpr std::size_t kReadyShare = 10;  // All but one part in so many.

// Submits jobs that nobody can run, and reads them until each has been read whole.
class OpenJobs {
 public:
  explicit OpenJobs(MeasuredTier& tier)
      : tier_(tier),
        outside_(tier.net(), tier_seeds::kFirstClients, "clients", kClientDescriptors),
        callers_(outside_) {}
  ~OpenJobs() { outside_.Kill(); }
  OpenJobs(const OpenJobs&) = delete;
  OpenJobs& operator=(const OpenJobs&) = delete;

  void Submit() {
    for (std::size_t job = 0; job < kJobs; ++job) SubmitOne(job);
  }
  void ReadAll() {
    unread_ = 0;
    for (const std::size_t job : accepted_) {
      ++unread_;
      Read(job);
    }
  }
  std::size_t accepted() const { return accepted_.size(); }
  std::size_t unread() const { return unread_; }

 private:
  static std::string IdOf(std::size_t job) { return "lot" + std::to_string(job); }
  static std::string IdOf(std::size_t job, std::size_t item) {
    return IdOf(job) + "-" + std::to_string(item);
  }

  void Ask(HttpRequestText text, const tier_seeds::HttpConnection::Done& done) {
    text.host = tier_seeds::kHostname;
    text.headers += std::string("Shelflink-Credential: ") + tier_seeds::kFirstKey + "\r\n";
    const std::size_t proxy = ++asked_ * 7 % tier_.proxies.size();
    callers_.Ask(tier_.proxies[proxy]->front(), text, kPatience, done);
  }

  void Later(std::function<void()> step) {
    tier_.net().At(tier_.net().Now() + kAgain, std::move(step));
  }

  void SubmitOne(std::size_t job) {
    std::string items;
    for (std::size_t item = 0; item < kItemsOfJob; ++item) {
      const std::string id = IdOf(job, item);
      items += std::string(items.empty() ? "" : ",") + R"({"id":")" + id + R"(","path":"/jobs/)" +
               id + R"(","headers":{},"body":"YWJj","tokens":10})";
    }
    HttpRequestText text{"POST", "/jobs/" + IdOf(job), "", "", R"({"requests":[)" + items + "]}"};
    text.headers = "Shelflink-Request-Id: " + IdOf(job) + "\r\nContent-Type: application/json\r\n";
    Ask(text, [this, job](const HttpOutcome& outcome) {
      if (outcome.whole && outcome.status() == 202) {
        accepted_.push_back(job);
      } else {
        Later([this, job] { SubmitOne(job); });
      }
    });
  }

  void Read(std::size_t job) {
    Ask({"GET", "/lots/" + IdOf(job) + "?afterId=0", "", "", ""},
        [this, job](const HttpOutcome& outcome) {
          const std::string total = R"("total":)" + std::to_string(kItemsOfJob);
          const bool whole = outcome.whole && outcome.status() == 200 &&
                             outcome.answer.body.find(total) != std::string::npos;
          if (!whole) return Later([this, job] { Read(job); });
          ReadBody(job, 0);
        });
  }

  void ReadBody(std::size_t job, std::size_t item) {
    if (item == kItemsOfJob) {
      --unread_;
      return;
    }
    Ask({"GET", "/items/" + IdOf(job) + "?id=" + IdOf(job, item), "", "", ""},
        [this, job, item](const HttpOutcome& outcome) {
          const bool whole =
              outcome.whole && outcome.status() == 200 && outcome.answer.body == "abc";
          if (!whole) return Later([this, job, item] { ReadBody(job, item); });
          ReadBody(job, item + 1);
        });
  }

  MeasuredTier& tier_;
  net::VirtualProcess outside_;
  tier_seeds::HttpCallers callers_;
  std::vector<std::size_t> accepted_;
  std::size_t unread_ = 0;
  std::size_t asked_ = 0;
};

// From now until it holds; none: not within `longest`.
std::optional<net::Span> Until(MeasuredTier& tier, net::Time since,
                               const std::function<bool()>& holds, net::Span longest) {
  if (!tier.RunUntil(holds, since + longest - tier.now())) return std::nullopt;
  return tier.now() - since;
}

std::optional<net::Span> Change(MeasuredTier& tier, std::uint64_t& bytes) {
  const std::uint64_t before = tier.Sent();
  const std::uint64_t version = tier.changer().acknowledged() + 1;
  const net::Time sent = tier.now();
  tier.changer().Once();
  if (!Until(
          tier, sent, [&] { return tier.changer().acknowledged() >= version; }, kLongestChange)) {
    return std::nullopt;
  }
  const auto in_force = Until(
      tier, tier.now(), [&] { return tier.AllKnow(version); }, kLongestChange);
  bytes = tier.Sent() - before;
  return in_force;
}

std::uint64_t SentByCores(MeasuredTier& tier) {
  std::uint64_t sent = 0;
  for (const auto& core : tier.cores) sent += core->sent();
  return sent;
}

void Return(MeasuredTier& tier, OpenJobs& jobs, LargeDocumentFigures& figures) {
  const std::uint64_t version = tier.changer().acknowledged();
  const std::uint64_t before = SentByCores(tier);
  const net::Time since = tier.now();
  jobs.ReadAll();
  figures.core_serves = Until(
      tier, since, [&] { return tier.Primary() != nullptr; }, kLongestReturn);
  const auto most_ready = [&] {
    const auto ready =
        std::count_if(tier.proxies.begin(), tier.proxies.end(),
                      [](const auto& proxy) { return proxy->up() && proxy->program().ready(); });
    return static_cast<std::size_t>(ready) >=
           tier.proxies.size() - tier.proxies.size() / kReadyShare;
  };
  figures.most_proxies_ready = Until(tier, since, most_ready, kLongestReturn);
  figures.everywhere_again = Until(
      tier, since, [&] { return tier.AllKnow(version); }, kLongestReturn);
  figures.jobs_readable = Until(
      tier, since, [&] { return jobs.unread() == 0; }, kLongestReturn);
  figures.jobs_missing = jobs.unread();
  figures.core_bytes_of_return = SentByCores(tier) - before;
}

}  // namespace

TierSize LargeFleet(std::size_t members, std::uint64_t seed) {
  constexpr std::size_t kStorePart = 6;
  TierSize size;
  size.seed = seed;
  size.zones = 6;
  size.cores = 6;
  size.failures = 2;
  size.stores = std::max<std::size_t>(members / kStorePart, 6);
  size.proxies = members - size.stores;
  size.megabits_per_second = 30;
  size.core_megabits_per_second = 100;
  size.store_megabits_per_second = 150;
  return size;
}

void LoseAllPower(MeasuredTier& tier) {
  for (tier_seeds::Machine* machine : tier.Machines()) machine->LosePower(0);
  tier.Run(kDark);
  net::Time at = tier.now();
  for (tier_seeds::Machine* machine : tier.Machines()) {
    tier.net().At(at, [machine] { machine->Start(); });
    at += kBetweenStarts;
  }
}

LargeDocumentFigures PlayLargeDocument(const TierSize& size, std::size_t routes) {
  LargeDocumentFigures figures;
  MeasuredTier tier(size);
  OpenJobs jobs(tier);
  tier.changer().SetMoreRoutes(routes);
  figures.large_in_force = Change(tier, figures.large_bytes);
  tier.Run(seconds(2));
  figures.small_in_force = Change(tier, figures.small_bytes);
  jobs.Submit();
  tier.RunUntil([&] { return jobs.accepted() == kJobs; }, kLongestChange);
  figures.jobs_accepted = jobs.accepted();
  LoseAllPower(tier);
  Return(tier, jobs, figures);
  return figures;
}

}  // namespace shelflink::measure
