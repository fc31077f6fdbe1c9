// Seeded random faults in groups over real hubs on the virtual network: network cuts, paused and
// killed processes, loss of power and of disks, replacements. Meanwhile clients change one document
// and repeat unanswered orders.
//
//   tier_random_faults_test [-- FIRST COUNT]
#define BOOST_TEST_MODULE coordination_random_faults
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "coordination/cluster.h"
#include "coordination/history.h"
#include "emulator/random.h"

namespace shelflink::coordination {
namespace {

constexpr milliseconds kPollInterval{10};
constexpr milliseconds kReplyTimeout{1000};
// While no more faults occur than are tolerated, every order is acknowledged within this time.
constexpr milliseconds kAcknowledgeTimeout{3800};

// Sends one order after another. Each order is sent to random machines until its result is certain.
class Client {
 public:
  Client(Cluster& cluster, History& history, std::uint64_t seed, std::string name)
      : cluster_(cluster), history_(history), random_(seed), name_(std::move(name)) {}

  void Tick() {
    if (stopped_ && !order_) return;
    const net::Time now = cluster_.net.Now();
    if (is_waiting_ && now - submitted_at_ < kReplyTimeout) return;
    if (!order_ && now < next_order_at_) return;
    if (!order_) NewOrder(now);
    Submit(now);
  }
  void Stop() { stopped_ = true; }
  bool idle() const { return !order_; }
  net::Span longest_wait() const { return longest_wait_; }
  net::Span current_wait() const {
    return order_ ? cluster_.net.Now() - order_started_at_ : net::Span{};
  }

 private:
  void NewOrder(net::Time now) {
    order_ = Order{history_.newest(), name_ + std::to_string(++order_count_)};
    order_started_at_ = now;
  }
  void Submit(net::Time now) {
    Machine& machine = cluster_.At(random_.Below(cluster_.machines.size()));
    if (!machine.up() || machine.paused) return;
    is_waiting_ = true;
    submitted_at_ = now;
    const std::uint64_t call = ++submit_count_;
    const std::uint64_t min_version = history_.newest();
    auto read_document = std::make_shared<Document>();
    machine.group().Submit(
        [order = *order_, read_document](const Contents& contents) {
          *read_document = DocumentIn(contents);
          return PlanOf(order, contents);
        },
        [this, call, min_version, read_document, order = *order_](const Result<void>& result) {
          // A late reply to an earlier attempt counts too.
          if (result.has_value()) history_.Acknowledged(order);
          const bool certain = result.has_value() || result.error().code == ErrorCode::kConflict;
          if (certain) history_.CheckRead(min_version, *read_document);
          if (call != submit_count_) return;
          is_waiting_ = false;
          if (certain) FinishOrder();
        });
  }
  void FinishOrder() {
    longest_wait_ = std::max(longest_wait_, cluster_.net.Now() - order_started_at_);
    order_.reset();
    next_order_at_ = cluster_.net.Now() + milliseconds(random_.Below(300));
  }

  Cluster& cluster_;
  History& history_;
  shelflab::Random random_;
  std::string name_;
  std::uint64_t order_count_ = 0;
  std::uint64_t submit_count_ = 0;
  std::optional<Order> order_;
  bool is_waiting_ = false;
  bool stopped_ = false;
  net::Time order_started_at_{};
  net::Time next_order_at_{};
  net::Time submitted_at_{};
  net::Span longest_wait_{};
};

// Runs a cluster under random faults. By default one machine at a time is affected, which the core
// tolerates; with one seed in four there are many faults at once.
class RandomFaultRun {
 public:
  explicit RandomFaultRun(std::uint64_t seed, bool disk_faults = false)
      : random_(seed),
        cluster_(SizeOf(seed), seed),
        many_faults_(seed % 4 == 3),
        disk_faults_(disk_faults) {
    net::Weather weather;
    weather.latency_high = milliseconds(1 + static_cast<int>(random_.Below(4)));
    weather.reset = random_.Below(3) == 0 ? 0.002 : 0;
    cluster_.net.SetWeather(weather);
    for (std::size_t i = 0; i < cluster_.machines.size(); ++i) Observe(i);
    for (std::uint64_t i = 0; i < 2; ++i) {
      clients_.push_back(
          std::make_unique<Client>(cluster_, history_, seed * 31 + i, i == 0 ? "a" : "b"));
    }
  }

  void Execute() {
    cluster_.StartAll();
    RunFor(seconds(3));
    for (int round = 0; round < 5; ++round) {
      if (many_faults_) {
        InjectManyFaults();
      } else if (disk_faults_ && random_.Below(2) == 0) {
        InjectDiskFault();
      } else {
        InjectOneFault();
      }
    }
    for (auto& client : clients_) client->Stop();
    RunFor(seconds(6));
    if (Machine* const primary = cluster_.Primary()) {
      history_.CheckFinalState(DocumentIn(primary->group().contents()));
    } else {
      AddFailure("no primary at the end");
    }
    if (history_.acknowledged() < 20) AddFailure("fewer than 20 orders were acknowledged");
  }
  std::vector<std::string> Findings() const {
    std::vector<std::string> all = history_.findings();
    all.insert(all.end(), failures_.begin(), failures_.end());
    return all;
  }
  net::Span longest_wait() const { return longest_wait_; }
  std::size_t acknowledged() const { return history_.acknowledged(); }

 private:
  static std::size_t SizeOf(std::uint64_t seed) { return 3 + seed % 2 + (seed % 16 == 7 ? 1 : 0); }

  void Observe(std::size_t index) {
    Machine& machine = cluster_.At(index);
    machine.committed = [this, index](const std::vector<Write>& writes) {
      for (const Write& write : writes) {
        if (write.key != kDocumentKey || !write.value) continue;
        history_.Committed(NameOf(index), DocumentIn({{write.key, *write.value}}));
      }
    };
    machine.role = [this, index](bool primary, std::uint64_t epoch) {
      if (primary) history_.BecamePrimary(NameOf(index), epoch);
    };
  }
  std::string NameOf(std::size_t index) {
    return std::to_string(index) + "/" + std::to_string(cluster_.At(index).start_count());
  }
  void AddFailure(const std::string& text) {
    if (failures_.size() < 10) failures_.push_back(text);
  }

  void RunFor(net::Span span) {
    const net::Time until = cluster_.net.Now() + span;
    while (cluster_.net.Now() < until) {
      cluster_.Run(kPollInterval);
      std::size_t primaries = 0;
      for (auto& machine : cluster_.machines) {
        primaries += machine->up() && machine->group().is_primary() ? 1 : 0;
      }
      history_.CheckPrimaryCount(primaries);
      for (auto& client : clients_) {
        client->Tick();
        if (many_faults_) continue;
        longest_wait_ =
            std::max(longest_wait_, std::max(client->current_wait(), client->longest_wait()));
        if (client->current_wait() > kAcknowledgeTimeout)
          AddFailure("an order was not acknowledged in time");
      }
    }
  }

  Machine& PickMachine() {
    Machine* const primary = cluster_.Primary();
    if (primary != nullptr && random_.Below(2) == 0) return *primary;
    return cluster_.At(random_.Below(cluster_.machines.size()));
  }
  void Restart(Machine& machine) {
    if (!machine.up()) machine.Start(false);
  }
  std::size_t DrawKeptBatches() { return random_.Below(4); }

  void InjectOneFault() {
    Machine& target = PickMachine();
    const net::Span duration = milliseconds(200 + static_cast<int>(random_.Below(4000)));
    const auto kind = random_.Below(8);
    if (getenv("TRACE"))
      fprintf(stderr, "%.3f FAULT %lu on node-%u for %ld\n",
              double(cluster_.net.Now().time_since_epoch().count()) / 1e9, kind,
              target.host() & 255, long(duration / milliseconds(1)));
    switch (kind) {
      case 0:
        target.Stop(DrawKeptBatches());
        RunFor(duration);
        Restart(target);
        break;
      case 1:
        target.Wipe();
        RunFor(duration);
        Restart(target);
        break;
      case 2:
        target.SetPaused(true);
        RunFor(duration);
        target.SetPaused(false);
        break;
      case 3:
        cluster_.net.SetCutOff(target.host(), true);
        RunFor(duration);
        cluster_.net.SetCutOff(target.host(), false);
        break;
      case 4: {
        Machine& other = cluster_.Other(target, random_.Below(cluster_.machines.size() - 1));
        cluster_.net.SetCut(target.host(), other.host(), true);
        RunFor(duration);
        cluster_.net.SetCut(target.host(), other.host(), false);
        break;
      }
      case 5: {  // All processes are killed at once and restart within a second.
        for (auto& machine : cluster_.machines) machine->Stop(DrawKeptBatches());
        RunFor(milliseconds(random_.Below(1000)));
        for (auto& machine : cluster_.machines) machine->Start(false);
        break;
      }
      case 6:  // Planned shutdown.
        target.group().Transfer([](bool) {});
        RunFor(milliseconds(300));
        target.Stop(DrawKeptBatches());
        RunFor(duration);
        Restart(target);
        break;
      default:  // Syncs of the disk do not complete.
        target.disk.SetStalled(true);
        RunFor(duration);
        target.disk.SetStalled(false);
        break;
    }
    RunFor(milliseconds(5200));
  }

  // The disk is full for some time, or one of its next writes fails once or a few times.
  void InjectDiskFault() {
    Machine& target = PickMachine();
    const net::Span duration = milliseconds(200 + static_cast<int>(random_.Below(4000)));
    target.disk.SetKeptOnFailure(DrawKeptBatches());
    if (random_.Below(2) == 0) {
      target.disk.SetFull(true);
    } else {
      static constexpr storage::Failure kFailures[] = {
          storage::Failure::kFull, storage::Failure::kTransient, storage::Failure::kDamaged,
          storage::Failure::kFatal};
      target.disk.FailFrom(1 + random_.Below(12), 1 + random_.Below(4),
                           kFailures[random_.Below(4)]);
    }
    RunFor(duration);
    target.disk.SetFull(false);
    target.disk.FailFrom(1, 0, storage::Failure::kNone);
    RunFor(milliseconds(5200));
  }

  // Any number of faults at any time, but no disk is lost, so no acknowledged write may be lost.
  void InjectManyFaults() {
    for (int i = 0; i < 6; ++i) {
      Machine& target = PickMachine();
      if (disk_faults_ && random_.Below(2) == 0) {
        target.disk.SetKeptOnFailure(DrawKeptBatches());
        target.disk.SetFull(random_.Below(2) == 0);
      }
      switch (random_.Below(6)) {
        case 0:
          target.Stop(DrawKeptBatches());
          break;
        case 1:
          Restart(target);
          break;
        case 2:
          target.SetPaused(random_.Below(2) == 0);
          break;
        case 3:
          cluster_.net.SetCutOff(target.host(), random_.Below(2) == 0);
          break;
        default: {
          Machine& other = cluster_.Other(target, random_.Below(cluster_.machines.size() - 1));
          cluster_.net.SetCut(target.host(), other.host(), random_.Below(2) == 0);
          break;
        }
      }
      RunFor(milliseconds(random_.Below(1500)));
    }
    for (auto& machine : cluster_.machines) {
      machine->SetPaused(false);
      machine->disk.SetFull(false);
      cluster_.net.SetCutOff(machine->host(), false);
      for (auto& other : cluster_.machines) {
        if (other != machine) cluster_.net.SetCut(machine->host(), other->host(), false);
      }
      Restart(*machine);
    }
    RunFor(seconds(6));
    if (cluster_.Primary() == nullptr) AddFailure("no primary 6 s after all faults ended");
  }

  shelflab::Random random_;
  Cluster cluster_;
  bool many_faults_;
  bool disk_faults_;
  History history_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::string> failures_;
  net::Span longest_wait_{};
};

std::uint64_t Argument(int index, std::uint64_t default_value) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > index ? std::strtoull(suite.argv[index], nullptr, 10) : default_value;
}

void RunSeeds(std::uint64_t first, std::uint64_t count, bool disk_faults) {
  net::Span longest{};
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    RandomFaultRun run(seed, disk_faults);
    run.Execute();
    for (const std::string& finding : run.Findings()) {
      BOOST_ERROR("seed " << seed << ": " << finding);
    }
    longest = std::max(longest, run.longest_wait());
    acknowledged += run.acknowledged();
  }
  std::cout << count << " seeds, " << acknowledged
            << " orders acknowledged, the longest within tolerance after "
            << longest / milliseconds(1) << " ms\n";
}

BOOST_AUTO_TEST_CASE(guarantees_hold_for_many_seeds) {
  RunSeeds(Argument(1, 1), Argument(2, 120), false);
}

BOOST_AUTO_TEST_CASE(guarantees_hold_for_many_seeds_with_disk_faults) {
  RunSeeds(Argument(1, 1), Argument(2, 120), true);
}

}  // namespace
}  // namespace shelflink::coordination
