#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "measure/loads.h"
#include "measure/tables.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition.h"
#include "tier/cluster/control_state.h"
#include "tier/cluster/placement.h"
#include "tier_seeds/configurations.h"

namespace shelflink::measure {
namespace {

using tier_seeds::StoreMachine;

constexpr std::size_t kStores = 3;
constexpr std::size_t kCopies = 2;
constexpr milliseconds kShortestFull{4000};
constexpr std::uint64_t kSpread =
    1000;  // Milliseconds more, at most: all phases of the looks for room.
constexpr seconds kLongestReturn{120};
constexpr std::size_t kMegabyte = 1U << 20;
constexpr std::size_t kBody = 64U << 10;
constexpr std::size_t kItemsOfJob = 4;
constexpr std::array<std::size_t, 4> kMegabytes{0, 1, 8, 32};
constexpr milliseconds kBetweenJobs{250};
constexpr std::uint32_t kSenderHost = tier_seeds::kFirstClients;
constexpr std::uint16_t kSenderPort = 7360;

enum class Which { kOne, kInTurn, kAll };

const char* NameOf(Which which) {
  if (which == Which::kOne) return "one";
  return which == Which::kInTurn ? "two, the second full as the first has room" : "all at once";
}

struct Figures {
  Samples works;  // From the room's return: the store works again.
  Samples named;  // Some row names it, whole.
  Samples whole;  // Every partition has all its copies, and each store with room is named.
};

// Sends jobs to the partitions' primaries, each until it is accepted.
class Sender {
 public:
  explicit Sender(MeasuredTier& tier)
      : tier_(tier),
        process_(tier.net(), kSenderHost, "sender", 1024),
        hub_(process_, {"sender", "proxy", "zone-0", net::Address::V4(kSenderHost, kSenderPort), 1},
             {}) {}
  ~Sender() { process_.Kill(); }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  void SendJob(std::size_t body) {
    batch::Submit submit;
    submit.job.tenant = "tenant-" + std::to_string(sent_);
    submit.job.host = tier_seeds::kHostname;
    submit.job.job = "job-" + std::to_string(sent_++);
    submit.job.partition =
        batch::PartitionOf(submit.job.tenant, submit.job.host, cluster::kPartitions);
    submit.route = "r-jobs";
    submit.run_aim = seconds(1000);
    submit.keep = seconds(1000);
    submit.max_attempts = 3;
    for (std::size_t index = 0; index < kItemsOfJob; ++index) {
      batch::Item item;
      item.id = submit.job.job + "-" + std::to_string(index);
      item.path = "/jobs/x";
      item.body = std::string(body, 'b');
      item.tokens = 1;
      submit.items.push_back(std::move(item));
    }
    ++open_;
    Send(std::make_shared<batch::Submit>(std::move(submit)));
  }
  std::size_t open() const { return open_; }
  void JobEach(net::Span period) {
    SendJob(1000);
    tier_.net().At(tier_.now() + period, [this, period] { JobEach(period); });
  }

 private:
  void Send(const std::shared_ptr<batch::Submit>& submit) {
    tier_seeds::CoreMachine* const primary = tier_.Primary();
    const auto rows = primary == nullptr ? std::vector<cluster::PartitionRow>()
                                         : cluster::RowsOf(primary->group().contents());
    if (rows.size() <= submit->job.partition) return Again(submit);
    hub_.Call(rows[submit->job.partition].primary, batch::kSubmit, batch::Encode(*submit),
              seconds(5), [this, submit](const Result<std::string>& answer) {
                if (answer) {
                  --open_;
                } else {
                  Again(submit);
                }
              });
  }
  void Again(const std::shared_ptr<batch::Submit>& submit) {
    tier_.net().At(tier_.now() + milliseconds(200), [this, submit] { Send(submit); });
  }

  MeasuredTier& tier_;
  net::VirtualProcess process_;
  transport::Hub hub_;
  std::size_t sent_ = 0;
  std::size_t open_ = 0;
};

struct Return {
  StoreMachine* machine = nullptr;
  std::optional<net::Time> room_at;
  bool works = false;
  bool named = false;
};

class Run {
 public:
  Run(const Wanted& wanted, std::size_t megabytes, std::uint64_t seed)
      : tier_(SizeOf(wanted, seed)), sender_(tier_) {
    for (auto& store : tier_.stores) returns_.push_back({store.get(), {}});
    Need(tier_.RunUntil([this] { return IsWhole(); }, seconds(60)), "the partitions are not whole");
    const std::size_t jobs = megabytes * kMegabyte / (kBody * kItemsOfJob);
    for (std::size_t job = 0; job < jobs; ++job) {
      sender_.SendJob(kBody);
      Need(tier_.RunUntil([this] { return sender_.open() == 0; }, seconds(60)), "no job is taken");
    }
    sender_.JobEach(kBetweenJobs);
    tier_.Run(seconds(2));
  }
  ~Run() { tier_.net().Clear(); }

  void Play(Which which, std::uint64_t seed, Figures& figures) {
    const milliseconds full = kShortestFull + milliseconds(seed * 137 % kSpread);
    const std::size_t first = seed % returns_.size();
    const std::size_t second = (first + 1) % returns_.size();
    if (which == Which::kAll) {
      for (Return& one : returns_) one.machine->FillDisk(0);
      tier_.Run(full);
      for (Return& one : returns_) GiveRoom(one);
    } else {
      returns_[first].machine->FillDisk(0);
      tier_.Run(full);
      GiveRoom(returns_[first]);
      if (which == Which::kInTurn) {
        returns_[second].machine->FillDisk(0);
        const net::Time until = tier_.now() + full;
        while (tier_.now() < until) {
          Look(figures);
          tier_.Run(milliseconds(1));
        }
        GiveRoom(returns_[second]);
      }
    }
    const net::Time room_at = tier_.now();
    if (tier_.RunUntil([&] { return Look(figures); }, kLongestReturn)) {
      figures.whole.Add(tier_.now() - room_at);
    } else {
      figures.whole.AddMissing();
    }
  }

 private:
  static TierSize SizeOf(const Wanted& wanted, std::uint64_t seed) {
    TierSize size;
    size.seed = seed;
    size.proxies = 0;
    size.stores = kStores;
    size.megabits_per_second = wanted.megabits_per_second;
    return size;
  }
  static void Need(bool holds, const char* what) {
    if (!holds) throw std::runtime_error(what);
  }

  void GiveRoom(Return& one) {
    one.machine->EmptyDisk();
    one.room_at = tier_.now();
  }
  bool IsWhole() {
    tier_seeds::CoreMachine* const primary = tier_.Primary();
    if (primary == nullptr) return false;
    const auto rows = cluster::RowsOf(primary->group().contents());
    return rows.size() == cluster::kPartitions &&
           std::all_of(rows.begin(), rows.end(), [](const cluster::PartitionRow& row) {
             return row.backups.size() + 1 == kCopies &&
                    std::count(row.complete.begin(), row.complete.end(), false) == 0;
           });
  }
  bool IsNamed(const Return& one) {
    tier_seeds::CoreMachine* const primary = tier_.Primary();
    if (primary == nullptr) return false;
    const coordination::Contents& contents = primary->group().contents();
    const auto stores = cluster::StoresOf(contents);
    const auto known = stores.find(one.machine->node());
    if (known == stores.end()) return false;
    const auto rows = cluster::RowsOf(contents);
    return std::any_of(rows.begin(), rows.end(), [&](const cluster::PartitionRow& row) {
      return cluster::Names(row, known->second.disk) &&
             std::count(row.complete.begin(), row.complete.end(), false) == 0;
    });
  }
  // Whether all that have room are back and the partitions are whole.
  bool Look(Figures& figures) {
    bool all = true;
    for (Return& one : returns_) {
      if (!one.room_at) continue;
      if (!one.works && one.machine->store().disk().is_working()) {
        one.works = true;
        figures.works.Add(tier_.now() - *one.room_at);
      }
      if (one.works && !one.named && IsNamed(one)) {
        one.named = true;
        figures.named.Add(tier_.now() - *one.room_at);
      }
      all = all && one.named;
    }
    return all && IsWhole();
  }

  MeasuredTier tier_;
  Sender sender_;
  std::vector<Return> returns_;
};

}  // namespace

void PrintStoreReturns(const Wanted& wanted) {
  std::printf(
      "3 stores, 64 partitions of 2 copies, %.0f Mbit/s a machine, full for 4 to 5 s, 4 jobs a "
      "second, %zu seeds; ms from the room's return\n\n",
      wanted.megabits_per_second, static_cast<std::size_t>(wanted.seeds));
  std::printf(
      "| jobs held | disks full | works again, median | most | named, median | most | every "
      "partition whole, median | most | never |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t megabytes : kMegabytes) {
    if (megabytes > wanted.most_megabytes) continue;
    for (const Which which : {Which::kOne, Which::kInTurn, Which::kAll}) {
      Figures figures;
      for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
        Run(wanted, megabytes, seed).Play(which, seed, figures);
      }
      std::printf("| %zu MB | %s | %s | %s | %s | %s | %s | %s | %zu |\n", megabytes, NameOf(which),
                  figures.works.Median().c_str(), figures.works.Most().c_str(),
                  figures.named.Median().c_str(), figures.named.Most().c_str(),
                  figures.whole.Median().c_str(), figures.whole.Most().c_str(),
                  figures.whole.missing());
      std::fflush(stdout);
    }
  }
}

}  // namespace shelflink::measure
