// The newest parts of the view at a core process: pushes them into the relay tree and answers
// whoever asks for one.
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
  // Bytes that wait to leave this process, beyond which large answers are put off.
  static constexpr std::size_t kMostWaiting = 4U << 20;
  static constexpr std::size_t kLargeAnswer = 16U << 10;

  explicit ViewPublisher(transport::Hub& hub) : hub_(hub) {}

  // Of no effect unless it is newer than what stands.
  void Publish(const Push& push, const std::vector<net::Address>& targets);
  // The same of a configuration, of which only what has changed goes out: how many bytes to each
  // target.
  std::size_t Publish(const ConfigurationHistory::Pointer& configuration,
                      const std::vector<net::Address>& targets);
  const PartVersions& versions() const { return versions_; }
  // kNotFound where that version is not here, kExhausted where too much waits to leave already.
  Result<std::string> Answer(std::string_view fetch) const;

 private:
  void Send(const Push& push, const std::string& encoded, const std::vector<net::Address>& targets);

  transport::Hub& hub_;
  PartVersions versions_;
  ConfigurationHistory configuration_;
  std::string encoded_[kParts];  // As they go out; of all parts but the configuration.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_PUBLISHER_H_
