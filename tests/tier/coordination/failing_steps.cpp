#include "coordination/failing_steps.h"

#include <algorithm>

namespace shelflink::coordination {
namespace {

using storage::DiskOperation;

constexpr std::size_t kDisks = 4;
constexpr std::size_t kReplicas = 3;  // With a tolerance of one failure.
constexpr std::size_t kMissedWrites = 12;
constexpr std::size_t kMissedBytes = 20'000;  // Size of each missed write.
constexpr net::Span kPollInterval = milliseconds(5);
constexpr net::Span kBootstrapTimeout = seconds(4);
constexpr net::Span kSettleTime = milliseconds(1500);
// A stopped replica is removed from the record within this time.
constexpr net::Span kRemovalDelay = milliseconds(700);
constexpr net::Span kTransferTimeout = seconds(2);
constexpr net::Span kRequestTimeout = seconds(4);
constexpr char kCount[] = "count";

class StepRun {
 public:
  explicit StepRun(const StepFault& fault) : cluster_(kDisks), fault_(fault) {
    for (std::size_t i = 0; i < kDisks; ++i) ObserveCommits(cluster_.At(i));
    cluster_.StartAll();
    if (!Put("x", kBootstrapTimeout)) AddViolation("nothing is acknowledged at the beginning");
    Run(kSettleTime);
    primary_ = cluster_.Primary();
    if (primary_ == nullptr) return;
    backup_ = Replica(0);
    subject_ = Replica(1);
    if (fault.step == CoreStep::kTransfer) subject_ = primary_;
    if (fault.step == CoreStep::kJoin) subject_ = &cluster_.AddMachine();
    if (fault.step == CoreStep::kCatchUp) MissWrites();
    ObserveCommits(*subject_);
    ArmFaults();
  }

  void Execute() {
    if (primary_ == nullptr) return;
    switch (fault_.step) {
      case CoreStep::kCommit:
        for (int i = 0; i < 3; ++i) Put("x", kRequestTimeout);
        break;
      case CoreStep::kElection:
        primary_->Stop();
        Put("x", kRequestTimeout);
        primary_->Start(false);
        break;
      case CoreStep::kCatchUp:
        subject_->Start(false);
        Put("x", kRequestTimeout);
        break;
      case CoreStep::kJoin:
        Join();
        break;
      case CoreStep::kReplace:
        subject_->Wipe();
        Run(kRemovalDelay);
        subject_->Start(false);
        Put("x", kRequestTimeout);
        break;
      case CoreStep::kRetire:
      case CoreStep::kTransfer:
        Retire(*subject_);
        break;
    }
    Run(kSettleTime);
  }

  void Check(net::Span timeout) {
    if (!Put("x", timeout)) {
      AddViolation("nothing is acknowledged again");
      return;
    }
    if (!RunUntil([this] { return CompleteReplicas() >= kReplicas; }, timeout)) {
      AddViolation(std::to_string(CompleteReplicas()) + " replicas are complete");
    }
    if (!fault_.is_permanent() && !RunUntil([this] { return HasRecovered(); }, timeout)) {
      AddViolation("the member with the faulty disk has not recovered");
    }
    if (Machine* const primary = cluster_.Primary()) CheckHoldsAll(primary->group().contents());
  }

  std::map<DiskOperation, std::uint64_t> operations() {
    std::map<DiskOperation, std::uint64_t> counts;
    for (const auto& [kind, before] : initial_operations_)
      counts[kind] = FaultyMachine().disk.operations(kind) - before;
    return counts;
  }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void AddViolation(const std::string& what) {
    if (violations_.size() < 5) violations_.push_back(what);
  }
  Machine& FaultyMachine() {
    if (fault_.disk == FaultyDisk::kPrimary) return *primary_;
    return fault_.disk == FaultyDisk::kBackup ? *backup_ : *subject_;
  }
  // The `nth` replica other than the primary.
  Machine* Replica(std::size_t nth) {
    for (auto& machine : cluster_.machines) {
      const std::string& disk = machine->group().member().options().self.disk;
      const Record& record = primary_->group().member().record();
      if (machine.get() == primary_ || FindDisk(record.replicas, disk) == nullptr) continue;
      if (nth-- == 0) return machine.get();
    }
    return primary_;
  }
  void MissWrites() {
    subject_->Stop();
    Run(kRemovalDelay);
    for (std::size_t i = 0; i < kMissedWrites; ++i)
      Put(std::string(kMissedBytes, 'v'), kRequestTimeout);
  }
  void ArmFaults() {
    storage::CrashDisk& disk = FaultyMachine().disk;
    for (const DiskOperation kind : {DiskOperation::kWrite, DiskOperation::kSync,
                                     DiskOperation::kOpen, DiskOperation::kRename}) {
      initial_operations_[kind] = disk.operations(kind);
    }
    disk.SetKeptOnFailure(fault_.kept);
    for (const OperationFault& one : fault_.operations) {
      disk.FailFrom(one.kind, one.nth, one.times, one.failure);
    }
  }

  void Join() {
    Machine& away = *Replica(1);
    subject_->Start(false);
    away.Stop();
    Put("x", kRequestTimeout);
    Run(kSettleTime);
    away.Start(false);
  }
  // Planned shutdown. A replica that was released returns with an empty disk in step kRetire.
  void Retire(Machine& machine) {
    const auto released = std::make_shared<bool>(false);
    machine.group().Transfer([released](bool moved) { *released = moved; });
    RunUntil([&] { return *released; }, kTransferTimeout);
    const bool is_empty = *released && fault_.step == CoreStep::kRetire;
    machine.Stop();
    if (is_empty) machine.Wipe();
    Put("x", kRequestTimeout);
    machine.Start(false);
  }

  // ---- Observation.

  void ObserveCommits(Machine& machine) {
    machine.committed = [this, &machine](const std::vector<Write>& writes) {
      for (const Write& write : writes) {
        if (write.key != kCount || !write.value) continue;
        const int count = std::stoi(*write.value);
        int& before = newest_counts_[{&machine, machine.start_count()}];
        if (count < before) AddViolation("a process reports an older map than before");
        before = std::max(before, count);
      }
    };
  }
  void CheckHoldsAll(const Contents& contents) {
    for (const auto& [key, value] : acknowledged_) {
      const auto found = contents.find(key);
      if (found == contents.end() || found->second != value) AddViolation(key + " is lost");
    }
  }
  void Run(net::Span span) {
    RunUntil([] { return false; }, span);
  }
  template <typename Condition>
  bool RunUntil(const Condition& condition, net::Span timeout) {
    const net::Time until = cluster_.net.Now() + timeout;
    while (!condition()) {
      if (cluster_.net.Now() >= until) return false;
      cluster_.Run(kPollInterval);
      const auto primaries =
          std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                        [](const auto& one) { return one->up() && one->group().is_primary(); });
      if (primaries > 1) AddViolation("there are two primaries");
    }
    return true;
  }

  // Submits a write to the current primary repeatedly until it is acknowledged.
  bool Put(const std::string& text, net::Span timeout) {
    const std::string key = "key-" + std::to_string(++writes_);
    const net::Time until = cluster_.net.Now() + timeout;
    while (cluster_.net.Now() < until) {
      if (TryPut(key, text, until)) {
        acknowledged_[key] = text;
        last_key_ = key;
        return true;
      }
      Run(milliseconds(50));
    }
    return false;
  }
  bool TryPut(const std::string& key, const std::string& text, net::Time until) {
    Machine* const primary = cluster_.Primary();
    if (primary == nullptr) return false;
    // Shared, since the callback may run after the wait has ended.
    const auto result_seen = std::make_shared<std::optional<bool>>();
    const auto read_contents = std::make_shared<Contents>();
    primary->group().Submit(
        [read_contents, key, text,
         number = writes_](const Contents& contents) -> Result<std::vector<Write>> {
          *read_contents = contents;
          return std::vector<Write>{{key, text}, {kCount, std::to_string(number)}};
        },
        [result_seen](const Result<void>& result) { *result_seen = result.has_value(); });
    RunUntil([&] { return result_seen->has_value() || !primary->up(); },
             until - cluster_.net.Now());
    if (!result_seen->value_or(false)) return false;
    CheckHoldsAll(*read_contents);
    return true;
  }

  std::size_t CompleteReplicas() {
    Machine* const primary = cluster_.Primary();
    if (primary == nullptr) return 0;
    const Contents& expected = primary->group().contents();
    std::size_t complete = 0;
    for (auto& machine : cluster_.machines) {
      if (!machine->up() || machine->group().failed()) continue;
      const std::string& disk = machine->group().member().options().self.disk;
      const bool named = FindDisk(primary->group().member().record().replicas, disk) != nullptr;
      complete += named && machine->group().contents() == expected ? 1 : 0;
    }
    return complete;
  }
  bool HasRecovered() {
    Group& group = FaultyMachine().group();
    Machine* const primary = cluster_.Primary();
    if (group.failed() || primary == nullptr || group.primary() != primary->address()) return false;
    const std::string& disk = group.member().options().self.disk;
    if (FindDisk(primary->group().member().record().replicas, disk) == nullptr) return true;
    return group.contents().count(last_key_) == 1;
  }

  Cluster cluster_;
  StepFault fault_;
  Machine* primary_ = nullptr;
  Machine* backup_ = nullptr;
  Machine* subject_ = nullptr;
  int writes_ = 0;
  std::map<DiskOperation, std::uint64_t> initial_operations_;
  std::map<std::string, std::string> acknowledged_;
  std::string last_key_;  // Key that was acknowledged last.
  std::map<std::pair<const Machine*, std::uint64_t>, int>
      newest_counts_;  // By machine and start count.
  std::vector<std::string> violations_;
};

}  // namespace

const char* NameOf(CoreStep step) {
  switch (step) {
    case CoreStep::kCommit:
      return "commit";
    case CoreStep::kElection:
      return "election";
    case CoreStep::kCatchUp:
      return "catch-up";
    case CoreStep::kJoin:
      return "join";
    case CoreStep::kReplace:
      return "replace";
    case CoreStep::kRetire:
      return "retire";
    case CoreStep::kTransfer:
      return "transfer";
  }
  return "";
}

const char* NameOf(FaultyDisk disk) {
  switch (disk) {
    case FaultyDisk::kPrimary:
      return "primary";
    case FaultyDisk::kBackup:
      return "backup";
    case FaultyDisk::kSubject:
      return "subject";
  }
  return "";
}

const char* NameOf(DiskOperation kind) {
  switch (kind) {
    case DiskOperation::kWrite:
      return "write";
    case DiskOperation::kSync:
      return "sync";
    case DiskOperation::kOpen:
      return "open";
    case DiskOperation::kRename:
      return "rename";
  }
  return "";
}

std::string TextOf(const StepFault& fault) {
  std::string text = std::string(NameOf(fault.step)) + ", disk of the " + NameOf(fault.disk);
  for (const OperationFault& one : fault.operations) {
    text += std::string(", ") + NameOf(one.kind) + " " + std::to_string(one.nth) + " " +
            storage::NameOf(one.failure) + " " +
            (one.times == kForever ? "forever" : std::to_string(one.times) + " times");
  }
  return text + ", kept " + std::to_string(fault.kept);
}

std::map<DiskOperation, std::uint64_t> OperationsOf(CoreStep step, FaultyDisk disk) {
  StepRun run({step, disk, {}, 0});
  run.Execute();
  return run.operations();
}

std::vector<std::string> RunFaultedStep(const StepFault& fault, net::Span timeout) {
  StepRun run(fault);
  run.Execute();
  run.Check(timeout);
  return run.violations();
}

}  // namespace shelflink::coordination
