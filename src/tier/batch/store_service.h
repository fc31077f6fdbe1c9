// The messages of a store process: calls for batch jobs go to the server of their partition where
// this store is its primary, and items to proxies that have room.
//
// Whether a partition is served is checked against the steady clock at each call: a store that was
// frozen, cut off or deposed answers kUnavailable.
#ifndef SHELFLINK_TIER_BATCH_STORE_SERVICE_H_
#define SHELFLINK_TIER_BATCH_STORE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/loop.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition_replicas.h"
#include "tier/batch/partition_server.h"
#include "tier/batch/proxy_room.h"
#include "tier/batch/submission_gate.h"
#include "tier/configuration/model.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

class StoreService {
 public:
  struct Options {
    Bounds bounds;
    std::uint64_t issuer = 0;             // Drawn at random at each start of the process.
    std::function<Micros()> time_of_day;  // As most machines have it.
  };
  StoreService(net::Loop& loop, transport::Hub& hub, PartitionReplicas& replicas, Options options);
  ~StoreService();
  StoreService(const StoreService&) = delete;
  StoreService& operator=(const StoreService&) = delete;

  void OnConfiguration(const configuration::Configuration& configuration);
  // Of all partitions served here.
  struct Counts {
    std::uint64_t jobs = 0;
    std::uint64_t items_waiting = 0;
    std::uint64_t items_overdue = 0;  // Of those that wait.
    std::uint64_t items_leased = 0;
  };
  Counts counts() const;
  const JobCounters& counters() const { return counters_; }
  std::uint64_t queued_tokens() const;

 private:
  using Reply = transport::Hub::Reply;

  void RegisterCalls();
  void OnSubmit(std::string_view body, const Reply& reply);
  void BeginSubmit(const std::string& body, const Reply& reply);
  template <typename Message>
  void HandleJobCall(MessageKind kind,
                     std::function<void(PartitionServer&, const Message&, Reply)> handler);
  void OnOffer(const transport::PeerIdentity& from, const Offer& offer, const Reply& reply);
  void OnAdopt(const transport::PeerIdentity& from, const Adopt& adopt, const Reply& reply);
  // Null where this store cannot decide for the partition now. A sender that knows a newer row
  // (`epoch`) is not answered under an older one.
  PartitionServer* Serving(std::uint32_t partition, std::uint64_t epoch);

  void OnPrimary(std::uint32_t partition, PartitionLog& log);
  void OnLost(std::uint32_t partition);
  // A commit of that server failed: another takes its place, if this store still is the primary.
  void LoadLater(std::uint32_t partition, std::uint64_t issuer);

  void ScheduleWork();
  void Work();
  void SendRevocations();
  // Tells proxies that items wait here.
  void TellOfWaiting();
  // Leases items to the proxy, at most so many.
  std::vector<Assign> Lease(const net::Address& proxy, std::uint32_t most);
  std::optional<Assign> LeaseOne(const net::Address& proxy);
  // Items that may be handed out now, over all partitions.
  std::size_t Runnable() const;
  void CorrectClock();
  void OnTimer();
  void ArmTimer();

  struct Served {
    PartitionLog* log = nullptr;
    std::unique_ptr<PartitionServer> server;
    std::uint64_t issuer = 0;  // Of the server's leases; no other server has it.
  };

  net::Loop& loop_;
  transport::Hub& hub_;
  PartitionReplicas& replicas_;
  Options options_;
  JobClock clock_;
  JobBook::Options book_options_;
  JobCounters counters_;
  SubmissionGate gate_;
  std::set<std::string> routes_;
  std::map<std::uint32_t, Served> served_;
  std::uint32_t last_lent_ = 0;  // Partitions take turns behind this one.
  ProxyRoom room_;
  std::optional<net::Time> tell_at_;  // Not before then are more proxies told.
  bool work_posted_ = false;
  net::TimerPtr timer_;
  net::Time armed_for_{};
  bool armed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_SERVICE_H_
