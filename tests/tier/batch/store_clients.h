// Clients of the stores on the virtual network: they send, read and end jobs, again and again until
// told, and note which promises were broken.
#ifndef SHELFLINK_TESTS_TIER_BATCH_STORE_CLIENTS_H_
#define SHELFLINK_TESTS_TIER_BATCH_STORE_CLIENTS_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/store_world.h"

namespace shelflink::batch {

using std::chrono::seconds;

class Clients {
 public:
  explicit Clients(StoreWorld& world) : world_(world) {}

  std::string SubmitJob(const std::string& id, std::uint64_t items, const std::string& content) {
    Promise& promise = world_.promises[id];
    promise.submit = MakeSubmit(id, items, content);
    Send(id);
    return id;
  }
  // A job of the same tenant, hence in the same partition.
  void SubmitBeside(const std::string& id, const std::string& other) {
    Submit submit = MakeSubmit(id, 2, "a");
    submit.job.tenant = world_.promises.at(other).submit.job.tenant;
    submit.job.partition = world_.promises.at(other).submit.job.partition;
    world_.promises[id].submit = submit;
    Send(id);
  }
  // Until accepted, at any proxy.
  void Send(const std::string& id) {
    const Promise& promise = world_.promises.at(id);
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kSubmit, promise.submit.job, Encode(promise.submit),
                  [this, id](const Result<std::string>& result) { OnSubmitAnswer(id, result); });
  }
  void End(const std::string& id) {
    Promise& promise = world_.promises.at(id);
    promise.end_asked = true;
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kEnd, promise.submit.job, Encode(promise.submit.job),
                  [this, id](const Result<std::string>& result) {
                    Promise& ended = world_.promises.at(id);
                    if (result) {
                      if (!ended.end_acknowledged) ended.end_acknowledged = world_.net.Now();
                    } else {
                      Again([this, id] { End(id); });
                    }
                  });
  }
  void ReadJob(const std::string& id, milliseconds wait) {
    const Promise& promise = world_.promises.at(id);
    Read read;
    read.job = promise.submit.job;
    read.after = promise.read.empty() ? 0 : world_.Draw(promise.read.size() + 1);
    read.wait = wait;
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kRead, promise.submit.job, Encode(read),
                  [this, id, read](const Result<std::string>& result) {
                    OnReadAnswer(id, read.after, result);
                  });
  }
  void AskBody(const std::string& id, std::size_t index) {
    const Promise& promise = world_.promises.at(id);
    const ItemRef item{promise.submit.job, promise.submit.items[index].id};
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kBody, item.job, Encode(item),
                  [this, id, index](const Result<std::string>& result) {
                    const Promise& asked = world_.promises.at(id);
                    const bool owed = asked.acknowledged && !asked.end_asked &&
                                      !world_.finished.count(asked.submit.items[index].id);
                    if (!result && owed && result.error().code == ErrorCode::kNotFound) {
                      world_.broken.push_back("a body that is owed is not found: " + id);
                    }
                    if (result && result.value() != asked.submit.items[index].body) {
                      world_.broken.push_back("a body comes with other bytes: " + id);
                    }
                  });
  }
  // Jobs that come all the time, read from any position, asked for bodies, sent again and ended.
  void LiveFor(milliseconds span) {
    constexpr milliseconds kStep{100};
    for (milliseconds passed{0}; passed < span; passed += kStep) {
      if (world_.Draw(3) == 0 && jobs_ < kMostJobs) {
        SubmitJob("job-" + std::to_string(jobs_++), 1 + world_.Draw(5), "a");
      }
      if (jobs_ > 0) TouchJob("job-" + std::to_string(world_.Draw(jobs_)));
      world_.RunFor(kStep);
    }
  }
  bool AllAcknowledged() const {
    return std::all_of(world_.promises.begin(), world_.promises.end(),
                       [](const auto& entry) { return entry.second.acknowledged; });
  }

 private:
  static constexpr std::uint64_t kMostJobs = 60;

  void TouchJob(const std::string& id) {
    ReadJob(id, milliseconds(world_.Draw(2) * 500));
    if (world_.Draw(10) == 0) AskBody(id, 0);
    if (world_.Draw(10) == 0) Repeat(id);
    if (world_.Draw(40) == 0) End(id);
  }
  // Somebody sends once more what may have been accepted long ago.
  void Repeat(const std::string& id) {
    const Submit& submit = world_.promises.at(id).submit;
    ProxyInTest& proxy = *world_.proxies[world_.Draw(world_.proxies.size())];
    proxy.CallJob(kSubmit, submit.job, Encode(submit), [this, id](const auto& result) {
      if (!result) return;
      const Result<SubmitAnswer> answer = Decode<SubmitAnswer>(result.value());
      if (!answer || answer.value().outcome != SubmitOutcome::kAccepted) {
        world_.broken.push_back("a job that comes again is refused: " + id);
      }
    });
  }
  void Again(std::function<void()> step) {
    world_.net.At(world_.net.Now() + milliseconds(200), std::move(step));
  }

  static Submit MakeSubmit(const std::string& id, std::uint64_t items, const std::string& content) {
    Submit submit;
    submit.job.tenant = "tenant-" + std::to_string(StableHash(id) % 7);
    submit.job.host = "host";
    submit.job.job = id;
    submit.job.partition = PartitionOf(submit.job.tenant, submit.job.host, kTestPartitions);
    submit.route = "route";
    submit.run_aim = seconds(8);
    submit.keep = seconds(1000);
    submit.max_attempts = 3;
    for (std::uint64_t index = 0; index < items; ++index) {
      Item item;
      item.id = id + "-" + std::to_string(index);
      item.path = "/path/" + item.id;
      item.body = content + item.id + std::string(200, 'b');
      item.tokens = 50 + index;
      submit.items.push_back(std::move(item));
    }
    return submit;
  }

  void OnSubmitAnswer(const std::string& id, const Result<std::string>& result) {
    if (!result) {
      Again([this, id] { Send(id); });
      return;
    }
    const Result<SubmitAnswer> answer = Decode<SubmitAnswer>(result.value());
    if (answer && answer.value().outcome == SubmitOutcome::kAccepted) {
      world_.promises.at(id).acknowledged = true;
    } else {
      world_.broken.push_back("a job that fits is refused: " + id);
    }
  }

  void OnReadAnswer(const std::string& id, std::uint64_t after, const Result<std::string>& result) {
    Promise& promise = world_.promises.at(id);
    if (!result) {
      if (promise.acknowledged && result.error().code == ErrorCode::kNotFound) {
        world_.broken.push_back("an accepted job is not found: " + id);
      }
      return;
    }
    const Result<ReadAnswer> answer = Decode<ReadAnswer>(result.value());
    if (!answer || answer.value().total != promise.submit.items.size()) {
      world_.broken.push_back("a job tells another total: " + id);
      return;
    }
    std::size_t position = after;
    for (const ItemResult& one : answer.value().results) CheckResult(promise, position++, one);
  }

  void CheckResult(Promise& promise, std::size_t position, const ItemResult& result) {
    if (position < promise.read.size()) {
      const ItemResult& before = promise.read[position];
      if (before.id != result.id || before.state != result.state || before.text != result.text) {
        world_.broken.push_back("a position holds another result than before");
      }
      return;
    }
    const bool whole = result.state == ResultState::kCompleted;
    if (whole && result.text != WholeOutput(result.id)) {
      world_.broken.push_back("a completed text is not the whole output: " + result.text);
    }
    if (!whole && !promise.end_asked) world_.broken.push_back("a dead letter without a reason");
    for (const ItemResult& other : promise.read) {
      if (other.id == result.id) world_.broken.push_back("an item stands at two positions");
    }
    promise.read.push_back(result);
  }

  StoreWorld& world_;
  std::uint64_t jobs_ = 0;  // Of LiveFor.
};

// Reads everything once all is calm; what of the promises does not hold then or did not before.
inline std::vector<std::string> BrokenPromises(StoreWorld& world, Clients& clients) {
  for (int round = 0; round < 60; ++round) {
    for (const auto& [id, promise] : world.promises) clients.ReadJob(id, milliseconds(0));
    world.RunFor(seconds(1));
    const bool done =
        std::all_of(world.promises.begin(), world.promises.end(), [](const auto& entry) {
          return entry.second.end_asked ||
                 entry.second.read.size() == entry.second.submit.items.size();
        });
    if (done && clients.AllAcknowledged()) break;
  }
  std::vector<std::string> broken = world.broken;
  for (const auto& [id, promise] : world.promises) {
    if (!promise.acknowledged) broken.push_back(id + " was never accepted");
    if (promise.end_asked || promise.read.size() == promise.submit.items.size()) continue;
    broken.push_back(id + ": " + std::to_string(promise.read.size()) + " results of " +
                     std::to_string(promise.submit.items.size()));
  }
  if (world.data_lost() > 0) broken.push_back("a partition was given up");
  return broken;
}

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_STORE_CLIENTS_H_
