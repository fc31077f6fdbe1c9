// What befalls the machines, links, disks, endpoints and the platform of a day, within what the
// deployment has to bear: a machine that counts is lost while it is down, frozen, slowed or cut off
// and for the time to catch up after that; no more of them are lost at one time than the tolerance
// says, save where all core processes are killed, or all machines lose power, at the same instant.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_TROUBLES_H_
#define SHELFLINK_TESTS_TIER_SEEDS_TROUBLES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier_seeds/contact_record.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/endpoint_fleet.h"
#include "tier_seeds/journal.h"
#include "tier_seeds/machines.h"
#include "tier_seeds/operators.h"
#include "tier_seeds/platform_world.h"
#include "tier_seeds/replacements.h"

namespace shelflink::tier_seeds {

// All that a day is made of and that trouble may reach.
struct TierParts {
  std::vector<std::unique_ptr<CoreMachine>>& cores;
  std::vector<std::unique_ptr<StoreMachine>>& stores;
  std::vector<std::unique_ptr<ProxyMachine>>& proxies;
  EndpointFleet& endpoints;
  PlatformWorld& platform;
  Operators& operators;
};

class Troubles {
 public:
  Troubles(net::VirtualNet& net, Journal& journal, ContactRecord& contact, TierParts parts,
           const Deployment& deployment);

  void Start(net::Time until);
  // Ends all that still goes on; every machine runs afterwards.
  void HealAll();
  // After the next acknowledgement, or soon where none comes: as many disks as the tolerance allows
  // are lost, and all other machines lose power at the same moment. Nothing else may be lost then.
  void CloseWithLoss();

 private:
  using Step = std::function<void()>;

  void Next(net::Time until);
  void Draw();
  // Whether these may be lost besides those that are.
  bool MayLose(const std::vector<const Machine*>& machines) const;
  bool IsAnyLost() const;
  void SetLost(const Machine& machine, net::Time until);
  void TroubleCounted();
  void TroubleOne(Machine& machine);
  // Just after a configuration was acknowledged: what the primary alone held would be gone.
  void TroubleAtAcknowledgement();
  void TroubleAll();
  void StrikeAll();
  void TroubleProxy();
  void TroubleEndpoint();
  void TroublePlatform();
  void TroubleOperator();
  void TroubleNetwork();

  void KillFor(Machine& machine, net::Span span, const std::string& how, const Step& kill);
  void KillFor(Machine& machine, net::Span span, const std::string& how, const Step& kill,
               TroubleReach reach);
  void FreezeFor(Machine& machine, net::Span span);
  void CutOffFor(Machine& machine, net::Span span);
  void CutFromSomeFor(Machine& machine, net::Span span, bool one_way);
  void ResetFor(Machine& machine);
  void StallDiskFor(Machine& machine, net::Span span);
  void SlowDiskFor(Machine& machine, net::Span span);
  void FillDiskFor(Machine& machine, net::Span span);
  void FillNextDisk();
  void FillAllCoreDisks();
  void FillAllStoreDisks();

  // ---- Days of disks, and what is for good (troubles_of_disks.cpp).
  enum class DiskTrouble {
    kFullCore,
    kFullStore,
    kStallCore,
    kStallStore,
    kSlowCore,
    kSlowStore,
    kAllCores,
    kAllStores,
    kWipeCore,
    kWipeStore,
    kReplaceCore,
    kReplaceStore,
    kRetireCore,
    kRetireStore,
  };
  void NextOfDisks();
  // All disks at once come next, which needs that nothing is lost: nothing else begins.
  bool AwaitsQuiet() const;
  // Each kind once, in a new order each time.
  void ShuffleDiskTroubles();
  // False: not now.
  bool Play(DiskTrouble trouble);
  bool PlayOn(Machine& machine, DiskTrouble trouble);
  bool PlayOnAll(DiskTrouble trouble);
  bool PlayOnCore(DiskTrouble trouble);
  bool PlayOnStore(DiskTrouble trouble);
  bool MayTrouble(const Machine& machine) const;
  // A machine that is gone for good, and its successor, which starts a while later.
  void ReplaceCore(CoreMachine& core);
  void ReplaceStore(StoreMachine& store);
  void StartSuccessor(const Machine& gone, Machine& successor);
  void RetireCore(CoreMachine& core);
  void ReplaceOnceEnded(CoreMachine& core, std::uint64_t life);
  // Asked of the core; taken away with its disk as soon as it is empty.
  void RetireStore(StoreMachine& store);
  void RemoveOnceCalm(StoreMachine& store);
  // Core disks one by one, then all; then the stores'.
  void FillEachThenAll();
  bool FillNextOfAll();

  void Restart(Machine& machine);
  void AwaitEnd(Machine& machine, std::uint64_t life);
  // `begin` now, `end` after the span; the machine counts as lost meanwhile and for a while after.
  void During(Machine& machine, net::Span span, const std::string& what, const Step& begin,
              const Step& end);
  void During(Machine& machine, net::Span span, const std::string& what, const Step& begin,
              const Step& end, TroubleReach reach);
  static TroubleReach ReachOf(const Machine& machine);
  void Heal(std::uint64_t number);
  std::vector<Machine*> Counted();
  std::vector<Machine*> AllMachines();
  std::size_t KeptWrites(const Machine& machine);
  net::Span Between(int least_ms, int most_ms);
  template <typename T>
  T& OneOf(std::vector<std::unique_ptr<T>>& all) {
    return *all[random_.Below(all.size())];
  }

  net::VirtualNet& net_;
  Journal& journal_;
  ContactRecord& contact_;
  TierParts parts_;
  const Deployment& deployment_;
  shelflab::Random random_;
  std::map<const Machine*, net::Time> lost_until_;  // Of those that count.
  std::set<const Machine*> troubled_;
  bool disks_in_turn_ = false;
  Replacements replacements_;
  std::vector<DiskTrouble> disk_troubles_;  // To come, the next one last.
  std::set<const Machine*> retiring_;
  std::size_t filled_cores_ = 0;  // Of a day that fills all disks; one more than there are: all.
  std::size_t filled_stores_ = 0;
  bool closing_ = false;  // The loss that closes the day strikes at the next acknowledgement.
  std::uint64_t numbers_ = 0;
  net::Time until_{};
  std::map<std::uint64_t, Step> heals_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_TROUBLES_H_
