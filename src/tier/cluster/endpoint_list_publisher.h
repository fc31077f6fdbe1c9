// Publishes the endpoint lists that this core process reads from the platform while it is the
// primary, and reports in logs and metrics which lists were published and which were not. A new
// primary publishes the list that the members hold until it has read one itself.
#ifndef SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_PUBLISHER_H_
#define SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_PUBLISHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tier/cluster/cluster_figures.h"
#include "tier/cluster/endpoint_summary.h"
#include "tier/cluster/endpoint_watch.h"
#include "tier/cluster/relay_tree.h"
#include "tier/cluster/view_publisher.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class EndpointListPublisher {
 public:
  // Access to the role of this core process.
  struct Role {
    std::function<bool()> leads;            // Primary with a valid lease.
    std::function<Version()> next_version;  // For a part that is created now.
    std::function<Version()> last_version;
    std::function<const char*()> why_not;  // Why it does not lead, as a clause for the log.
  };

  // The arguments must outlive this object.
  EndpointListPublisher(net::Loop& loop, transport::Hub& hub, ViewPublisher& publisher,
                        const RelayTree& tree, Role role);
  EndpointListPublisher(const EndpointListPublisher&) = delete;
  EndpointListPublisher& operator=(const EndpointListPublisher&) = delete;

  // The source of the lists, which must outlive this object. Null: none are read here.
  void SetWatch(EndpointWatch* watch) { watch_ = watch; }

  // Returns whether it was published. Without a valid lease nothing is, and the watch keeps the
  // list.
  bool Publish(const std::vector<EndpointEntry>& entries);
  // Publishes a list that was read while the lease had expired. Call before answering renewals.
  void PublishPending();
  // The member holds that version of the list: fetches and publishes it, unless one as new is held
  // here. One fetch at a time.
  void Adopt(const net::Address& member, const Version& has);
  // Age of the platform reading behind the published list. None if this process did not read it, or
  // if a newer list has not been published.
  std::optional<std::chrono::milliseconds> Age() const;
  // Sets the figures of endpoint lists.
  void AddFigures(ClusterFigures& figures) const;

 private:
  std::vector<net::Address> PushTargets() const;
  void TellPublished(const EndpointSummary& list);
  void TellNotPublished(const std::vector<EndpointEntry>& entries);
  std::string AgeText() const;

  net::Loop& loop_;
  transport::Hub& hub_;
  ViewPublisher& publisher_;
  const RelayTree& tree_;
  Role role_;
  EndpointWatch* watch_ = nullptr;
  bool adopting_ = false;
  Version read_version_;                 // Of the list read and published here last.
  std::optional<EndpointSummary> last_;  // The same list.
  std::uint64_t published_ = 0;          // Lists since the start; likewise the next.
  std::uint64_t not_published_ = 0;
  std::optional<std::vector<EndpointEntry>> withheld_;  // Read last and not published.
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_PUBLISHER_H_
