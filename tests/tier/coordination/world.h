// Members without a network: a copyable world in which every next step is a choice. What explorers
// and scripted tests play on.
//
// Messages lie in flight until they are delivered, in any order; time passes only when a timer is
// chosen to fire, and whose timer that is is free: a process whose timer is passed over is frozen.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_WORLD_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/history.h"
#include "tier/coordination/member.h"

namespace shelflink::coordination {

// A disk as a value: what is durable, and the batches behind it.
class ModelDisk {
 public:
  using Contents = std::map<std::string, std::string, std::less<>>;

  void Apply(const storage::Batch& batch);
  std::uint64_t applied() const { return applied_; }
  void MakeDurable(std::uint64_t applied);  // Of this process; counts Apply.
  void Crash(std::size_t kept);             // Of the batches behind, the first `kept` remain.
  const Contents& contents() const { return contents_; }

 private:
  static void ApplyTo(Contents& contents, const storage::Batch& batch);

  Contents durable_;
  Contents contents_;
  std::deque<storage::Batch> unsynced_;
  std::uint64_t applied_ = 0;
  std::uint64_t durable_count_ = 0;
};

struct Node {
  ModelDisk disk;
  bool refuses = false;  // Its disk is full: the member is one without a disk.
  ModelDisk nothing;     // What such a member stores, never read.
  std::string identity;
  std::optional<Member> member;  // None: it is down.
  std::uint64_t lives = 0;
  std::uint64_t disks = 0;
  Ticket ticket = 0;
  std::deque<std::pair<Ticket, std::uint64_t>> syncs;  // Under way: ticket, batches covered.
  // Orders that wait for their position to be committed.
  std::vector<std::pair<Position, Order>> waiting;
  std::optional<bool> transferred;  // What the last Transfer of this life came to, once told.
};

struct Flight {
  Sender from;
  std::size_t to = 0;
  Message message;
};

// What a fair run leaves out: `cut` tells between whom nothing passes, `still` whose process does
// nothing, `stalled` whose disk ends no sync.
struct Trouble {
  std::function<bool(std::size_t from, std::size_t to)> cut = nullptr;
  std::function<bool(std::size_t node)> still = nullptr;
  std::function<bool(std::size_t node)> stalled = nullptr;
};

class World {
 public:
  World(std::size_t nodes, std::size_t failures);

  // ---- Choices.
  void Start(std::size_t node, bool found = false);
  void Crash(std::size_t node, std::size_t kept);
  void Wipe(std::size_t node);
  // The disk refuses a write: of what was not synced `kept` batches remain, and the process goes on
  // as a member without a disk.
  void FillDisk(std::size_t node, std::size_t kept);
  void MakeRoom(std::size_t node);       // Its member starts from what the disk holds.
  void Deliver(std::size_t flight);      // And takes it away.
  void DeliverCopy(std::size_t flight);  // It stays in flight.
  void Lose(std::size_t flight) { flights.erase(flights.begin() + static_cast<long>(flight)); }
  void EndSync(std::size_t node);  // The oldest one under way.
  void Fire(std::size_t node);     // Its timer; time passes until then if it must.
  void Transfer(std::size_t node);
  // The client sends its order to the node; it is answered in `history` if at all.
  void Submit(std::size_t node, std::size_t client);
  void NextOrder(std::size_t client);  // Gives the present one up, answered or not.

  // ---- Fair play: everything is delivered in order and in time for so long.
  using Trouble = coordination::Trouble;
  void Run(net::Span span, const Trouble& trouble = {});
  // Runs until a client's order is acknowledged, sent again and again to whoever is primary.
  bool Acknowledges(std::size_t client, net::Span most, const Trouble& trouble = {});

  std::optional<std::size_t> Primary() const;  // One that serves now.
  Document DocumentAt(std::size_t node) const;
  bool up(std::size_t node) const { return nodes[node].member.has_value(); }
  void Check();
  std::uint64_t Fingerprint() const;
  // Everybody's state in a line each, for a failing test.
  std::string Describe() const;

  std::vector<Node> nodes;
  std::vector<Flight> flights;
  std::vector<Order> orders;       // Of each client.
  std::vector<std::size_t> seeds;  // That processes are started with: the first three nodes.
  net::Time now{std::chrono::seconds(100)};
  History history;

 private:
  using Event = std::function<void(Member&, Step&, MemberOutput&)>;
  void StartMember(std::size_t node, bool found, bool after_failure);
  void Run(std::size_t node, const Event& event);
  void Carry(std::size_t node, const MemberOutput& out);
  std::string NameOf(std::size_t node) const;

  std::size_t failures_;
  std::uint64_t order_count_ = 0;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_WORLD_H_
