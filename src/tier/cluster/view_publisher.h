// The newest parts of the view at a core process: pushes them into the relay tree and answers
// whoever asks for one.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_

#include <string>
#include <vector>

#include "tier/cluster/messages.h"
#include "tier/transport/hub.h"

namespace shelflink::cluster {

class ViewPublisher {
 public:
  explicit ViewPublisher(transport::Hub& hub) : hub_(hub) {}

  // Of no effect unless it is newer than what stands.
  void Publish(const Push& push, const std::vector<net::Address>& targets);
  const PartVersions& versions() const { return versions_; }
  // kNotFound where that version is not here.
  Result<std::string> Answer(std::string_view fetch) const;

 private:
  transport::Hub& hub_;
  PartVersions versions_;
  std::string encoded_[kParts];  // As they go out.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_
