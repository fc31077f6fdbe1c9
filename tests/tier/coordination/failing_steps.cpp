#include "coordination/failing_steps.h"

#include <algorithm>

namespace shelflink::coordination {
namespace {

using storage::DiskOperation;

constexpr std::size_t kDisks = 4;
constexpr std::size_t kReplicas = 3;  // Where one failure is tolerated.
constexpr std::size_t kMissedEntries = 12;
constexpr std::size_t kMissedBytes = 20'000;  // Of each.
constexpr net::Span kTick = milliseconds(5);
constexpr net::Span kFounding = seconds(4);
constexpr net::Span kSettling = milliseconds(1500);
// After so long a replica that is away is no replica any more.
constexpr net::Span kLeftOut = milliseconds(700);
constexpr net::Span kLeaving = seconds(2);
constexpr net::Span kOrder = seconds(4);
constexpr char kCount[] = "count";

class StepRun {
 public:
  explicit StepRun(const StepFault& fault) : cluster_(kDisks), fault_(fault) {
    for (std::size_t i = 0; i < kDisks; ++i) Watch(cluster_.At(i));
    cluster_.StartAll();
    if (!Put("x", kFounding)) Find("nothing is acknowledged at the beginning");
    Run(kSettling);
    primary_ = cluster_.Primary();
    if (primary_ == nullptr) return;
    backup_ = Replica(0);
    mover_ = Replica(1);
    if (fault.step == CoreStep::kTransfer) mover_ = primary_;
    if (fault.step == CoreStep::kJoin) mover_ = &cluster_.AddMachine();
    if (fault.step == CoreStep::kCatchUp) MissEntries();
    Watch(*mover_);
    Arm();
  }

  void Play() {
    if (primary_ == nullptr) return;
    switch (fault_.step) {
      case CoreStep::kCommit:
        for (int i = 0; i < 3; ++i) Put("x", kOrder);
        break;
      case CoreStep::kElection:
        primary_->Stop();
        Put("x", kOrder);
        primary_->Start(false);
        break;
      case CoreStep::kCatchUp:
        mover_->Start(false);
        Put("x", kOrder);
        break;
      case CoreStep::kJoin:
        Join();
        break;
      case CoreStep::kReplace:
        mover_->Wipe();
        Run(kLeftOut);
        mover_->Start(false);
        Put("x", kOrder);
        break;
      case CoreStep::kRetire:
      case CoreStep::kTransfer:
        Leave(*mover_);
        break;
    }
    Run(kSettling);
  }

  void Judge(net::Span most) {
    if (!Put("x", most)) {
      Find("nothing is acknowledged again");
      return;
    }
    if (!RunUntil([this] { return WholeReplicas() >= kReplicas; }, most)) {
      Find(std::to_string(WholeReplicas()) + " replicas are whole");
    }
    if (!fault_.is_for_ever() && !RunUntil([this] { return IsBack(); }, most)) {
      Find("the disk's member is not back");
    }
    if (Machine* const primary = cluster_.Primary()) CheckHoldsAll(primary->group().contents());
  }

  std::map<DiskOperation, std::uint64_t> operations() {
    std::map<DiskOperation, std::uint64_t> counts;
    for (const auto& [kind, before] : before_)
      counts[kind] = Failing().disk.operations(kind) - before;
    return counts;
  }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  void Find(const std::string& what) {
    if (broken_.size() < 5) broken_.push_back(what);
  }
  Machine& Failing() {
    if (fault_.disk == DiskOf::kPrimary) return *primary_;
    return fault_.disk == DiskOf::kBackup ? *backup_ : *mover_;
  }
  // Of the replicas other than the primary.
  Machine* Replica(std::size_t nth) {
    for (auto& machine : cluster_.machines) {
      const std::string& disk = machine->group().member().options().self.disk;
      const Record& record = primary_->group().member().record();
      if (machine.get() == primary_ || FindDisk(record.replicas, disk) == nullptr) continue;
      if (nth-- == 0) return machine.get();
    }
    return primary_;
  }
  void MissEntries() {
    mover_->Stop();
    Run(kLeftOut);
    for (std::size_t i = 0; i < kMissedEntries; ++i) Put(std::string(kMissedBytes, 'v'), kOrder);
  }
  void Arm() {
    storage::CrashDisk& disk = Failing().disk;
    for (const DiskOperation kind : {DiskOperation::kWrite, DiskOperation::kSync,
                                     DiskOperation::kOpen, DiskOperation::kRename}) {
      before_[kind] = disk.operations(kind);
    }
    disk.SetKeptOnFailure(fault_.kept);
    for (const OperationFault& one : fault_.operations) {
      disk.FailFrom(one.kind, one.nth, one.times, one.failure);
    }
  }

  void Join() {
    Machine& away = *Replica(1);
    mover_->Start(false);
    away.Stop();
    Put("x", kOrder);
    Run(kSettling);
    away.Start(false);
  }
  // In order, as far as it comes; a replica returns empty where it was let go.
  void Leave(Machine& machine) {
    const auto let_go = std::make_shared<bool>(false);
    machine.group().Transfer([let_go](bool moved) { *let_go = moved; });
    RunUntil([&] { return *let_go; }, kLeaving);
    const bool is_empty = *let_go && fault_.step == CoreStep::kRetire;
    machine.Stop();
    if (is_empty) machine.Wipe();
    Put("x", kOrder);
    machine.Start(false);
  }

  // ---- What is seen.

  void Watch(Machine& machine) {
    machine.committed = [this, &machine](const std::vector<Write>& writes) {
      for (const Write& write : writes) {
        if (write.key != kCount || !write.value) continue;
        const int told = std::stoi(*write.value);
        int& before = told_[{&machine, machine.lives()}];
        if (told < before) Find("a process is told an older map than before");
        before = std::max(before, told);
      }
    };
  }
  void CheckHoldsAll(const Contents& contents) {
    for (const auto& [key, value] : acknowledged_) {
      const auto found = contents.find(key);
      if (found == contents.end() || found->second != value) Find(key + " is lost");
    }
  }
  void Run(net::Span span) {
    RunUntil([] { return false; }, span);
  }
  template <typename Condition>
  bool RunUntil(const Condition& holds, net::Span most) {
    const net::Time until = cluster_.net.Now() + most;
    while (!holds()) {
      if (cluster_.net.Now() >= until) return false;
      cluster_.Run(kTick);
      const auto primaries =
          std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                        [](const auto& one) { return one->up() && one->group().is_primary(); });
      if (primaries > 1) Find("there are two primaries");
    }
    return true;
  }

  // To whoever is primary, again and again.
  bool Put(const std::string& text, net::Span most) {
    const std::string key = "key-" + std::to_string(++orders_);
    const net::Time until = cluster_.net.Now() + most;
    while (cluster_.net.Now() < until) {
      if (Ask(key, text, until)) {
        acknowledged_[key] = text;
        last_ = key;
        return true;
      }
      Run(milliseconds(50));
    }
    return false;
  }
  bool Ask(const std::string& key, const std::string& text, net::Time until) {
    Machine* const primary = cluster_.Primary();
    if (primary == nullptr) return false;
    // May be told after the wait for it has ended.
    const auto taken = std::make_shared<std::optional<bool>>();
    const auto seen = std::make_shared<Contents>();
    primary->group().Submit(
        [seen, key, text,
         number = orders_](const Contents& contents) -> Result<std::vector<Write>> {
          *seen = contents;
          return std::vector<Write>{{key, text}, {kCount, std::to_string(number)}};
        },
        [taken](const Result<void>& result) { *taken = result.has_value(); });
    RunUntil([&] { return taken->has_value() || !primary->up(); }, until - cluster_.net.Now());
    if (!taken->value_or(false)) return false;
    CheckHoldsAll(*seen);
    return true;
  }

  std::size_t WholeReplicas() {
    Machine* const primary = cluster_.Primary();
    if (primary == nullptr) return 0;
    const Contents& expected = primary->group().contents();
    std::size_t whole = 0;
    for (auto& machine : cluster_.machines) {
      if (!machine->up() || machine->group().failed()) continue;
      const std::string& disk = machine->group().member().options().self.disk;
      const bool named = FindDisk(primary->group().member().record().replicas, disk) != nullptr;
      whole += named && machine->group().contents() == expected ? 1 : 0;
    }
    return whole;
  }
  bool IsBack() {
    Group& group = Failing().group();
    Machine* const primary = cluster_.Primary();
    if (group.failed() || primary == nullptr || group.primary() != primary->address()) return false;
    const std::string& disk = group.member().options().self.disk;
    if (FindDisk(primary->group().member().record().replicas, disk) == nullptr) return true;
    return group.contents().count(last_) == 1;
  }

  Cluster cluster_;
  StepFault fault_;
  Machine* primary_ = nullptr;
  Machine* backup_ = nullptr;
  Machine* mover_ = nullptr;
  int orders_ = 0;
  std::map<DiskOperation, std::uint64_t> before_;
  std::map<std::string, std::string> acknowledged_;
  std::string last_;                                              // Key that was acknowledged last.
  std::map<std::pair<const Machine*, std::uint64_t>, int> told_;  // By machine and life.
  std::vector<std::string> broken_;
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

const char* NameOf(DiskOf disk) {
  switch (disk) {
    case DiskOf::kPrimary:
      return "primary";
    case DiskOf::kBackup:
      return "backup";
    case DiskOf::kMover:
      return "mover";
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
            (one.times == kForEver ? "for ever" : std::to_string(one.times) + " times");
  }
  return text + ", kept " + std::to_string(fault.kept);
}

std::map<DiskOperation, std::uint64_t> OperationsOf(CoreStep step, DiskOf disk) {
  StepRun run({step, disk, {}, 0});
  run.Play();
  return run.operations();
}

std::vector<std::string> PlayStep(const StepFault& fault, net::Span most) {
  StepRun run(fault);
  run.Play();
  run.Judge(most);
  return run.broken();
}

}  // namespace shelflink::coordination
