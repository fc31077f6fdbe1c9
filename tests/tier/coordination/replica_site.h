// Replicas without members on links of a given width and disks of a given speed, in virtual time:
// what a catch-up costs and whether it ends.
//
// The site plays the owner: it assigns epochs, invites whoever is no replica to catch up, and names
// a joined learner as the group does, two decisions after it was seen to have joined.
#ifndef SHELFLINK_TESTS_TIER_COORDINATION_REPLICA_SITE_H_
#define SHELFLINK_TESTS_TIER_COORDINATION_REPLICA_SITE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"
#include "tier/coordination/replica.h"
#include "tier/storage/crash_storage.h"

namespace shelflink::coordination {

using std::chrono::milliseconds;

struct SiteSpeeds {
  net::Span latency = milliseconds(2);              // One way.
  std::uint64_t bytes_per_second = 30'000'000 / 8;  // Of each link, each way.
  net::Span sync = milliseconds(12);
};

// What went over the links to one replica or learner.
struct Traffic {
  std::uint64_t appended = 0;         // Bytes of Append.
  std::uint64_t copied = 0;           // Bytes of CatchUpReply.
  std::uint64_t largest_copied = 0;   // Of one CatchUpReply.
  std::uint64_t most_on_the_way = 0;  // Bytes that waited for the link at one time.
};

class ReplicaSite {
 public:
  // Opens the storage of a disk; its syncs are posted to the loop.
  using OpenStorage =
      std::function<std::unique_ptr<storage::Storage>(net::Loop& loop, const std::string& disk)>;
  struct Node {
    storage::CrashDisk disk;
    std::unique_ptr<net::Loop> loop;  // Of its storage.
    std::unique_ptr<storage::Storage> storage;
    std::optional<Replica> replica;  // None: it is down.
    std::uint64_t lives = 0;
    net::Span slower{};                                    // Its syncs take so much longer.
    std::map<std::string, std::string, std::less<>> told;  // The map as its owner knows it.
    Position told_to;
    std::size_t resets = 0;
  };
  struct Acknowledged {
    net::Span longest{};
    net::Span total{};
    std::size_t count = 0;
  };

  // `names`: the founding replicas; the first one is the primary. Without `open` the disks are
  // crash disks.
  explicit ReplicaSite(const std::vector<std::string>& names, SiteSpeeds speeds = {},
                       OpenStorage open = nullptr, DigestLimits digests = {});
  ~ReplicaSite();
  ReplicaSite(const ReplicaSite&) = delete;
  ReplicaSite& operator=(const ReplicaSite&) = delete;

  // A process on that disk; new or as it was left.
  void Start(const std::string& name);
  // Of the batches that no sync covers the first `kept` remain (crash disks only).
  void Stop(const std::string& name, std::size_t kept = 0);
  Node& At(const std::string& name) { return nodes_[name]; }
  Replica& ReplicaOf(const std::string& name) { return *nodes_[name].replica; }

  // The next epoch; `primary` must be a complete replica.
  void Assign(const std::string& primary, const std::vector<std::string>& replicas);
  // Learners are invited, and named once they have joined.
  void Invite(const std::string& name) { invited_.insert(name); }
  bool Names(const std::string& name) const;

  // A change at the primary; `acknowledged` counts from now on. Refused: false.
  bool Change(std::vector<Write> writes);
  std::size_t open_changes() const { return open_.size(); }

  void Run(net::Span span);
  // `each` is called at every event; false if it does not hold within the span.
  bool RunUntil(const std::function<bool()>& holds, net::Span most,
                const std::function<void()>& each = nullptr);
  net::Time now() const { return now_; }

  // The stored map of a complete replica equals that of the primary.
  bool SameMap(const std::string& one, const std::string& other) const;
  std::uint64_t StateBytes(const std::string& name) const;

  std::map<std::string, Traffic> traffic;  // By receiver.
  // Whether the map that an owner reads after a catch-up is compared with the primary's of that
  // position; costs a pass over the map a change.
  bool checks_maps = false;
  Acknowledged acknowledged;

 private:
  friend class SiteLoop;
  using Event = std::function<void(Step&, ReplicaOutput&)>;
  void After(net::Span span, std::function<void()> step);
  void RunStep(const std::string& name, const Event& event);
  void SyncFor(const std::string& name, Ticket ticket);
  void Carry(const std::string& name, ReplicaOutput& out);
  void SendOver(const std::string& from, const std::string& to, const ReplicaMessage& message);
  void CheckMap(const std::string& name, const Node& node);
  void Tick();
  void Decide(const std::string& learner, std::uint64_t epoch);

  Assignment assignment_;
  SiteSpeeds speeds_;
  OpenStorage open_storage_;
  DigestLimits digests_;
  net::Time now_{std::chrono::seconds(100)};
  std::multimap<net::Time, std::function<void()>> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::pair<std::string, std::string>, net::Time> link_free_;
  std::set<std::string> invited_;
  std::optional<std::string> deciding_;
  std::map<std::uint64_t, net::Time> open_;  // Sequences of changes that are not acknowledged yet.
  std::map<Position, std::uint64_t> map_digests_;  // Of the primary's map.
  Ticket ticket_ = 0;
};

}  // namespace shelflink::coordination

#endif  // SHELFLINK_TESTS_TIER_COORDINATION_REPLICA_SITE_H_
