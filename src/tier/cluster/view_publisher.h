// Publishes the newest parts of the view from a core process: pushes them into the relay tree and
// answers fetches.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tier/cluster/configuration_history.h"
#include "tier/cluster/messages.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class ViewPublisher {
 public:
  // Bytes queued for sending beyond which large answers are refused.
  static constexpr std::size_t kMostWaiting = 4U << 20;
  static constexpr std::size_t kLargeAnswer = 16U << 10;

  explicit ViewPublisher(transport::Hub& hub) : hub_(hub) {}

  // No effect unless it is newer than the published version.
  void Publish(const Push& push, const std::vector<net::Address>& targets);
  // The same for a configuration, of which only the changes are sent. Returns the bytes sent to
  // each target.
  std::size_t Publish(const ConfigurationHistory::Pointer& configuration,
                      const std::vector<net::Address>& targets);
  const PartVersions& versions() const { return versions_; }
  // kNotFound: that version is not held here; kExhausted: too much is queued for sending.
  Result<std::string> Answer(std::string_view fetch) const;

 private:
  void Send(const Push& push, const std::string& encoded, const std::vector<net::Address>& targets);

  transport::Hub& hub_;
  PartVersions versions_;
  ConfigurationHistory configuration_;
  std::string encoded_[kParts];  // Encoded pushes; of all parts but the configuration.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_
