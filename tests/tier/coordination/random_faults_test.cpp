// Seeded runs of groups over real hubs on the virtual network: cuts, freezes, kills, losses of
// power and of disks, replacements, while clients change one document and repeat what was not
// answered.
//
//   tier_coordination_storm_test [-- FIRST COUNT]
#define BOOST_TEST_MODULE coordination_storm
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "coordination/cluster.h"
#include "coordination/history.h"
#include "emulator/random.h"

namespace shelflink::coordination {
namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kAnswerWait{1000};
// Within tolerance every order is acknowledged so soon after it was first sent.
constexpr milliseconds kAcknowledgeWithin{3800};

// Sends one order after another, each to any machine until its fate is certain.
class Client {
 public:
  Client(Cluster& cluster, History& history, std::uint64_t seed, std::string name)
      : cluster_(cluster), history_(history), random_(seed), name_(std::move(name)) {}

  void Tick() {
    if (stopped_ && !order_) return;
    const net::Time now = cluster_.net.Now();
    if (waits_ && now - asked_at_ < kAnswerWait) return;
    if (!order_ && now < next_at_) return;
    if (!order_) NewOrder(now);
    Ask(now);
  }
  void Stop() { stopped_ = true; }
  bool idle() const { return !order_; }
  net::Span longest() const { return longest_; }
  net::Span waiting() const { return order_ ? cluster_.net.Now() - first_at_ : net::Span{}; }

 private:
  void NewOrder(net::Time now) {
    order_ = Order{history_.newest(), name_ + std::to_string(++orders_)};
    first_at_ = now;
  }
  void Ask(net::Time now) {
    Machine& machine = cluster_.At(random_.Below(cluster_.machines.size()));
    if (!machine.up() || machine.paused) return;
    waits_ = true;
    asked_at_ = now;
    const std::uint64_t call = ++calls_;
    const std::uint64_t least = history_.newest();
    auto seen = std::make_shared<Document>();
    machine.group().Submit(
        [order = *order_, seen](const Contents& contents) {
          *seen = DocumentIn(contents);
          return PlanOf(order, contents);
        },
        [this, call, least, seen, order = *order_](const Result<void>& result) {
          // An answer to an earlier try counts too: it went over the wire, only late.
          if (result.has_value()) history_.Acknowledged(order);
          const bool certain = result.has_value() || result.error().code == ErrorCode::kConflict;
          if (certain) history_.Read(least, *seen);
          if (call != calls_) return;
          waits_ = false;
          if (certain) Over();
        });
  }
  void Over() {
    longest_ = std::max(longest_, cluster_.net.Now() - first_at_);
    order_.reset();
    next_at_ = cluster_.net.Now() + milliseconds(random_.Below(300));
  }

  Cluster& cluster_;
  History& history_;
  shelflab::Random random_;
  std::string name_;
  std::uint64_t orders_ = 0;
  std::uint64_t calls_ = 0;
  std::optional<Order> order_;
  bool waits_ = false;
  bool stopped_ = false;
  net::Time first_at_{};
  net::Time next_at_{};
  net::Time asked_at_{};
  net::Span longest_{};
};

// What befalls one machine at a time, so that the core stays within its tolerance.
class Storm {
 public:
  explicit Storm(std::uint64_t seed, bool disks_refuse = false)
      : random_(seed),
        cluster_(SizeOf(seed), seed),
        hard_(seed % 4 == 3),
        disks_refuse_(disks_refuse) {
    net::Weather weather;
    weather.latency_high = milliseconds(1 + static_cast<int>(random_.Below(4)));
    weather.reset = random_.Below(3) == 0 ? 0.002 : 0;
    cluster_.net.SetWeather(weather);
    for (std::size_t i = 0; i < cluster_.machines.size(); ++i) Watch(i);
    for (std::uint64_t i = 0; i < 2; ++i) {
      clients_.push_back(
          std::make_unique<Client>(cluster_, history_, seed * 31 + i, i == 0 ? "a" : "b"));
    }
  }

  void Play() {
    cluster_.StartAll();
    For(seconds(3));
    for (int round = 0; round < 5; ++round) {
      if (hard_) {
        Beyond();
      } else if (disks_refuse_ && random_.Below(2) == 0) {
        OneDiskRefuses();
      } else {
        Within();
      }
    }
    for (auto& client : clients_) client->Stop();
    For(seconds(6));
    if (Machine* const primary = cluster_.Primary()) {
      history_.AtTheEnd(DocumentIn(primary->group().contents()));
    } else {
      Fail("no primary at the end");
    }
    if (history_.acknowledged() < 20) Fail("hardly anything was acknowledged");
  }
  std::vector<std::string> Findings() const {
    std::vector<std::string> all = history_.findings();
    all.insert(all.end(), failures_.begin(), failures_.end());
    return all;
  }
  net::Span longest() const { return longest_; }
  std::size_t acknowledged() const { return history_.acknowledged(); }

 private:
  static std::size_t SizeOf(std::uint64_t seed) { return 3 + seed % 2 + (seed % 16 == 7 ? 1 : 0); }

  void Watch(std::size_t index) {
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
    return std::to_string(index) + "/" + std::to_string(cluster_.At(index).lives());
  }
  void Fail(const std::string& text) {
    if (failures_.size() < 10) failures_.push_back(text);
  }

  void For(net::Span span) {
    const net::Time until = cluster_.net.Now() + span;
    while (cluster_.net.Now() < until) {
      cluster_.Run(kTick);
      std::size_t primaries = 0;
      for (auto& machine : cluster_.machines) {
        primaries += machine->up() && machine->group().is_primary() ? 1 : 0;
      }
      history_.PrimariesAtOnce(primaries);
      for (auto& client : clients_) {
        client->Tick();
        if (hard_) continue;
        longest_ = std::max(longest_, std::max(client->waiting(), client->longest()));
        if (client->waiting() > kAcknowledgeWithin) Fail("an order waits for too long");
      }
    }
  }

  Machine& Victim() {
    Machine* const primary = cluster_.Primary();
    if (primary != nullptr && random_.Below(2) == 0) return *primary;
    return cluster_.At(random_.Below(cluster_.machines.size()));
  }
  void Restart(Machine& machine) {
    if (!machine.up()) machine.Start(false);
  }
  std::size_t Kept() { return random_.Below(4); }

  void Within() {
    Machine& victim = Victim();
    const net::Span trouble = milliseconds(200 + static_cast<int>(random_.Below(4000)));
    const auto kind = random_.Below(8);
    if (getenv("TRACE"))
      fprintf(stderr, "%.3f FAULT %lu on node-%u for %ld\n",
              double(cluster_.net.Now().time_since_epoch().count()) / 1e9, kind,
              victim.host() & 255, long(trouble / milliseconds(1)));
    switch (kind) {
      case 0:
        victim.Stop(Kept());
        For(trouble);
        Restart(victim);
        break;
      case 1:
        victim.Wipe();
        For(trouble);
        Restart(victim);
        break;
      case 2:
        victim.SetPaused(true);
        For(trouble);
        victim.SetPaused(false);
        break;
      case 3:
        cluster_.net.SetCutOff(victim.host(), true);
        For(trouble);
        cluster_.net.SetCutOff(victim.host(), false);
        break;
      case 4: {
        Machine& other = cluster_.Other(victim, random_.Below(cluster_.machines.size() - 1));
        cluster_.net.SetCut(victim.host(), other.host(), true);
        For(trouble);
        cluster_.net.SetCut(victim.host(), other.host(), false);
        break;
      }
      case 5: {  // All processes at once; they return within a second.
        for (auto& machine : cluster_.machines) machine->Stop(Kept());
        For(milliseconds(random_.Below(1000)));
        for (auto& machine : cluster_.machines) machine->Start(false);
        break;
      }
      case 6:  // A planned end.
        victim.group().Transfer([](bool) {});
        For(milliseconds(300));
        victim.Stop(Kept());
        For(trouble);
        Restart(victim);
        break;
      default:  // The disk does not end its syncs.
        victim.disk.SetStalled(true);
        For(trouble);
        victim.disk.SetStalled(false);
        break;
    }
    For(milliseconds(5200));
  }

  // Full for a while, or one of its next writes fails, once or a few times.
  void OneDiskRefuses() {
    Machine& victim = Victim();
    const net::Span trouble = milliseconds(200 + static_cast<int>(random_.Below(4000)));
    victim.disk.SetKeptOnFailure(Kept());
    if (random_.Below(2) == 0) {
      victim.disk.SetFull(true);
    } else {
      static constexpr storage::Failure kFailures[] = {
          storage::Failure::kFull, storage::Failure::kTransient, storage::Failure::kDamaged,
          storage::Failure::kFatal};
      victim.disk.FailFrom(1 + random_.Below(12), 1 + random_.Below(4),
                           kFailures[random_.Below(4)]);
    }
    For(trouble);
    victim.disk.SetFull(false);
    victim.disk.FailFrom(1, 0, storage::Failure::kNone);
    For(milliseconds(5200));
  }

  // Anything at any time, but no disk is lost: nothing acknowledged may be either.
  void Beyond() {
    for (int i = 0; i < 6; ++i) {
      Machine& victim = Victim();
      if (disks_refuse_ && random_.Below(2) == 0) {
        victim.disk.SetKeptOnFailure(Kept());
        victim.disk.SetFull(random_.Below(2) == 0);
      }
      switch (random_.Below(6)) {
        case 0:
          victim.Stop(Kept());
          break;
        case 1:
          Restart(victim);
          break;
        case 2:
          victim.SetPaused(random_.Below(2) == 0);
          break;
        case 3:
          cluster_.net.SetCutOff(victim.host(), random_.Below(2) == 0);
          break;
        default: {
          Machine& other = cluster_.Other(victim, random_.Below(cluster_.machines.size() - 1));
          cluster_.net.SetCut(victim.host(), other.host(), random_.Below(2) == 0);
          break;
        }
      }
      For(milliseconds(random_.Below(1500)));
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
    For(seconds(6));
    if (cluster_.Primary() == nullptr) Fail("no primary 6 s after all has healed");
  }

  shelflab::Random random_;
  Cluster cluster_;
  bool hard_;
  bool disks_refuse_;
  History history_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::string> failures_;
  net::Span longest_{};
};

std::uint64_t Argument(int index, std::uint64_t otherwise) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > index ? std::strtoull(suite.argv[index], nullptr, 10) : otherwise;
}

void PlaySeeds(std::uint64_t first, std::uint64_t count, bool disks_refuse) {
  net::Span longest{};
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Storm storm(seed, disks_refuse);
    storm.Play();
    for (const std::string& finding : storm.Findings()) {
      BOOST_ERROR("seed " << seed << ": " << finding);
    }
    longest = std::max(longest, storm.longest());
    acknowledged += storm.acknowledged();
  }
  std::cout << count << " seeds, " << acknowledged
            << " orders acknowledged, the longest within tolerance after "
            << longest / milliseconds(1) << " ms\n";
}

BOOST_AUTO_TEST_CASE(promises_hold_over_many_seeds) {
  PlaySeeds(Argument(1, 1), Argument(2, 120), false);
}

BOOST_AUTO_TEST_CASE(promises_hold_over_many_seeds_where_disks_refuse) {
  PlaySeeds(Argument(1, 1), Argument(2, 120), true);
}

}  // namespace
}  // namespace shelflink::coordination
