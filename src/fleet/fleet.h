// One sidecar's part in its fleet, where a coordination store is configured: its record among the
// members, its candidacy for work that one does for all, and its own turn when that work reaches
// it.
//
// Never on the path of a request: with the store gone, slow or lying, serving goes on untouched.
// What it does to the sidecar it does through Hands.
#ifndef SHELFLINK_FLEET_FLEET_H_
#define SHELFLINK_FLEET_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/http_store.h"
#include "coordination/view.h"
#include "fleet/counts.h"
#include "fleet/office.h"
#include "fleet/post.h"
#include "maintenance/duty.h"
#include "maintenance/order.h"
#include "maintenance/turn.h"
#include "net/loop.h"
#include "sidecar/log.h"

namespace fleet {

// As a member's record has it.
struct Member {
  std::string name;
  std::string address;  // Where clients connect.
  std::string door;     // Where others of the fleet call it.
  std::string group;    // Of sidecars that do the same.
  std::string build;
  std::string start;  // Unlike that of any other life of this name.
};
std::string TextOf(const Member& member);
// Throws std::runtime_error naming the field.
Member ParseMember(const std::string& text);

struct Setup {
  std::string fleet;
  Micros ttl = 5'000'000;  // Of its leases.
  Member self;
  std::uint64_t seed = 0;
  ownership::Fence fence = 0;  // The highest that an earlier life has seen, where that was kept.
};

struct Hands {
  std::function<bool()> drain;  // False: it was drained already, or is leaving.
  std::function<void()> undrain;
  std::function<std::size_t()> held;  // Requests.
  std::function<void()> leave;        // As SIGTERM does.
  // The highest fence that it has seen has grown; to outlive a restart. May be empty.
  std::function<void(ownership::Fence)> on_fence = nullptr;
};

// What the operators' door answers.
struct Answer {
  int status = 200;
  std::string text;
};
using Answered = std::function<void(const Answer&)>;

class Fleet {
 public:
  // For one call, to the store or to a member, where leases hold for so long.
  static Micros CallSpan(Micros ttl);
  // Descriptors that it may hold: calls to the store, the watch, calls to others.
  static constexpr std::size_t kDescriptors =
      coordination::HttpStore::kDescriptors + 1 + Poster::kMost;

  Fleet(net::Loop& loop, kelpspring::Log& log, Setup setup,
        std::unique_ptr<coordination::Store> store, Hands hands);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Gives up what it owns and its record, at once; `done` is called then, or after half a second.
  void Leave(std::function<void()> done);

  Counts counts() const;
  // For the operators' door.
  std::string Status() const;
  void Begin(const std::string& wish, Answered answered);
  void Change(maintenance::State state, Answered answered);
  // An owner's call.
  Answer OnCall(const std::string& text);

 private:
  struct Standing {
    maintenance::Order order;
    coordination::Revision revision = 0;
  };

  Micros Now() const { return loop_.LastingMicros(); }
  void OnView();
  void CountMembers();
  // Null where there is none, or none that can be read.
  const Standing* TheOrder();
  std::optional<maintenance::Part> PartOf(const std::string& key) const;
  std::string OwnKey(const Standing& standing) const;
  std::optional<maintenance::Part> OwnPart(const Standing& standing) const;
  void KeepFence();
  void Take(maintenance::Duty::Step step, const Standing& standing);
  void BringBack(const Standing& standing);
  void TraceOut(const Standing& standing) const;
  void GoOn();
  void LookDrained(const Standing& standing);
  bool MayAct() const;
  void Plan(const Standing& standing);
  void CallMember(const Standing& standing, const maintenance::Turn::Say::ToCall& to);
  void EndOrder(const Standing& standing, maintenance::State state, const std::string& why);
  void Tick();
  void Look(const Standing& standing);
  void Replace(const maintenance::Order& order, const coordination::Txn& txn, Answered answered);
  bool SomebodyOut(const Standing& standing) const;

  net::Loop& loop_;
  kelpspring::Log& log_;
  Setup setup_;
  Hands hands_;
  maintenance::Keys keys_;
  std::unique_ptr<coordination::Store> store_;
  coordination::View view_;
  Office membership_;
  Office work_;
  Poster poster_;
  maintenance::Turn turn_;
  maintenance::Duty duty_;
  net::TimerPtr tick_;
  std::set<std::string> members_;
  bool counted_ = false;
  std::uint64_t joins_ = 0;
  std::uint64_t leaves_ = 0;
  std::uint64_t late_calls_ = 0;
  bool drained_ = false;   // By its turn, and not by an operator.
  bool ending_ = false;    // An end of the order is on its way to the store.
  bool bringing_ = false;  // So is its own return.
  Micros out_since_ = 0;
  ownership::Fence kept_ = 0;              // Told to be kept.
  coordination::Revision order_read_ = 0;  // At which the order was read last,
  std::optional<Standing> order_;          // and what it was.
  bool leaving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fleet

#endif  // SHELFLINK_FLEET_FLEET_H_
