// Publishes the lists of endpoints that this core process reads from the platform, while it is the
// primary, and says in log and figures which went out and which did not. A new primary passes on
// the list that the members have until it has read one itself.
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
  // What it needs to know of the role.
  struct Role {
    std::function<bool()> leads;            // With a valid lease.
    std::function<Version()> next_version;  // For a part that is made now.
    std::function<Version()> last_version;
    std::function<const char*()> why_not;  // It does not lead; a clause for the log.
  };

  // All of them outlive it.
  EndpointListPublisher(net::Loop& loop, transport::Hub& hub, ViewPublisher& publisher,
                        const RelayTree& tree, Role role);
  EndpointListPublisher(const EndpointListPublisher&) = delete;
  EndpointListPublisher& operator=(const EndpointListPublisher&) = delete;

  // Where the lists come from; it outlives this. Null: nothing is read here.
  void SetWatch(EndpointWatch* watch) { watch_ = watch; }

  // Whether it is out: without a valid lease nothing is published, and the watch keeps it.
  bool Publish(const std::vector<EndpointEntry>& entries);
  // A list that was read while the lease had lapsed goes out; before any renewal is answered.
  void PublishPending();
  // The member holds that version of the list: it is fetched, and passed on, where nothing as new
  // is here. One at a time.
  void Adopt(const net::Address& member, const Version& has);
  // How old the reading is that the published list stands for; none where it is not of this
  // process's reading, or where a newer one has not been published.
  std::optional<std::chrono::milliseconds> Age() const;
  // Fills in those of lists.
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
  Version read_version_;                 // Of the list that was read and published here last.
  std::optional<EndpointSummary> last_;  // The same list.
  std::uint64_t published_ = 0;          // Lists, since the start, as in the next.
  std::uint64_t not_published_ = 0;
  std::optional<std::vector<EndpointEntry>> withheld_;  // Read last, and not published.
  std::shared_ptr<char> life_ = std::make_shared<char>();
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_ENDPOINT_LIST_PUBLISHER_H_
