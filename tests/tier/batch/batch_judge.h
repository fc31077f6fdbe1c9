// What was promised about batch jobs, and whether a history kept it. Knows clients' and endpoints'
// sockets only: what was sent, answered and delivered.
#ifndef SHELFLINK_TESTS_TIER_BATCH_BATCH_JUDGE_H_
#define SHELFLINK_TESTS_TIER_BATCH_BATCH_JUDGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/proxy/batch_job_service.h"

namespace shelflink::batch {

// Facts of an item that all endpoints agree on.
struct ItemNature {
  std::uint64_t events = 1;  // Of its whole output, with ids from 1.
  bool impossible = false;   // 422.
  bool doomed = false;       // 500 as often as it is tried; else less often than maxAttempts.
};

class BatchJudge {
 public:
  static constexpr std::chrono::milliseconds kCancel{3000};

  std::vector<std::string> violations;

  void OnSubmitted(const std::string& job, std::map<std::string, ItemNature> items,
                   std::uint32_t max_attempts) {
    jobs_[job] = Job{std::move(items), max_attempts, false, std::nullopt, false, {}};
  }
  void OnAccepted(const std::string& job) { jobs_.at(job).accepted = true; }
  void OnEndAsked(const std::string& job) { jobs_.at(job).end_asked = true; }
  void OnEndAcknowledged(const std::string& job, net::Time at) {
    if (!jobs_.at(job).ended) jobs_.at(job).ended = at;
  }

  const ItemNature& NatureOf(const std::string& job, const std::string& item) const {
    return jobs_.at(job).items.at(item);
  }

  // An endpoint is given the item. Returns the number of this run, to be put into its events.
  std::uint64_t OnDelivered(const std::string& job, const std::string& item,
                            std::optional<std::uint64_t> last_event_id, net::Time at) {
    const Job& known = jobs_.at(job);
    if (known.ended && at > *known.ended + kCancel) Violate(job, item, "delivered after the end");
    if (!known.items.contains(item)) Violate(job, item, "delivered, but nobody submitted it");
    runs_.push_back({job + "/" + item, last_event_id});
    return runs_.size() - 1;
  }
  // Whether an endpoint may answer 500 once more.
  bool MayFail(const std::string& job, const std::string& item) {
    const Job& known = jobs_.at(job);
    return known.items.at(item).doomed || failures_[job + "/" + item] + 1 < known.max_attempts;
  }
  void OnFailedAttempt(const std::string& job, const std::string& item) {
    ++failures_[job + "/" + item];
  }
  static std::string EventData(std::uint64_t id, std::uint64_t run) {
    return std::to_string(id) + ":" + std::to_string(run);
  }

  void OnPage(const std::string& job, std::uint64_t after, const proxy::BatchPage& page) {
    Job& known = jobs_.at(job);
    if (page.total != known.items.size()) Violate(job, "", "wrong total");
    for (std::size_t i = 0; i < page.results.size(); ++i) {
      OnResult(job, known, after + i, page.results[i]);
    }
  }
  void OnNotFound(const std::string& job) {
    if (jobs_.at(job).accepted) Violate(job, "", "404 for an accepted job");
  }
  // At the close: everything that was accepted is done.
  void OnClose() {
    for (const auto& [id, job] : jobs_) {
      if (!job.accepted) {
        Violate(id, "", "never accepted");
      } else if (!job.end_asked && job.listed.size() != job.items.size()) {
        Violate(id, "",
                "only " + std::to_string(job.listed.size()) + " of " +
                    std::to_string(job.items.size()) + " results");
      }
    }
  }

  std::size_t runs() const { return runs_.size(); }
  std::size_t results() const {
    std::size_t count = 0;
    for (const auto& [id, job] : jobs_) count += job.listed.size();
    return count;
  }

 private:
  struct Listed {
    std::string item;
    bool completed = false;
    std::string text;
    bool operator==(const Listed&) const = default;
  };
  struct Job {
    std::map<std::string, ItemNature> items;
    std::uint32_t max_attempts = 1;
    bool accepted = false;
    std::optional<net::Time> ended;
    bool end_asked = false;
    std::map<std::uint64_t, Listed> listed;  // By position, as read first.
  };
  struct Run {
    std::string item;
    std::optional<std::uint64_t> last_event_id;
  };

  void Violate(const std::string& job, const std::string& item, const std::string& what) {
    violations.push_back(job + (item.empty() ? "" : "/" + item) + ": " + what);
  }

  void OnResult(const std::string& id, Job& job, std::uint64_t position,
                const proxy::BatchResult& result) {
    const Listed now{result.id, result.completed, result.text};
    const auto [before, first] = job.listed.emplace(position, now);
    if (!first) {
      if (!(before->second == now)) Violate(id, result.id, "another result at its position");
      return;
    }
    for (const auto& [other, listed] : job.listed) {
      if (other != position && listed.item == result.id) Violate(id, result.id, "at two positions");
    }
    const auto item = job.items.find(result.id);
    if (item == job.items.end()) {
      Violate(id, result.id, "an item of another job");
    } else if (result.completed) {
      CheckText(id, result.id, item->second, result.text);
    } else {
      CheckDead(id, job, result.id, item->second);
    }
  }

  void CheckDead(const std::string& id, const Job& job, const std::string& item,
                 const ItemNature& nature) {
    if (nature.impossible || job.end_asked) return;
    const auto failed = failures_.find(id + "/" + item);
    if (failed == failures_.end() || failed->second < job.max_attempts) {
      Violate(id, item, "given up too early");
    }
  }

  // Lines "id:run"; a run may follow another only where it was asked to continue behind it.
  void CheckText(const std::string& id, const std::string& item, const ItemNature& nature,
                 const std::string& text) {
    std::istringstream lines(text);
    std::string line;
    std::uint64_t expected = 1;
    std::optional<std::uint64_t> previous_run;
    while (std::getline(lines, line)) {
      const std::size_t colon = line.find(':');
      const std::uint64_t event = std::stoull(line.substr(0, colon));
      const std::uint64_t run = std::stoull(line.substr(colon + 1));
      if (event != expected) Violate(id, item, "event " + line + " in place of another");
      if (runs_.at(run).item != id + "/" + item) Violate(id, item, "output of another item");
      if (previous_run != run) {
        const std::uint64_t behind = runs_.at(run).last_event_id.value_or(0);
        if (behind != event - 1) Violate(id, item, "joined with a run that did not continue it");
      }
      previous_run = run;
      ++expected;
    }
    if (expected != nature.events + 1) Violate(id, item, "completed, but not whole");
  }

  std::map<std::string, Job> jobs_;
  std::vector<Run> runs_;
  std::map<std::string, std::uint64_t> failures_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_BATCH_JUDGE_H_
