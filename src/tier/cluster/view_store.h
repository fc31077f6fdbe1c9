// The view that one process holds, with the encoded bodies, so that they can be forwarded. A part
// is replaced only by a higher version.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_

#include <string>

#include "tier/cluster/configuration_history.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

class ViewStore {
 public:
  // Returns whether the part was newer and has been stored. kInvalid: its body cannot be decoded;
  // kConflict: it is a change of a configuration that is not held here.
  Result<bool> Take(const Push& push);
  const View& view() const { return view_; }
  const PartVersions& versions() const { return versions_; }
  bool Has(Part part) const { return versions_[part] != Version(); }
  // A push for a receiver that holds version `have`. All parts but the configuration are sent as
  // they were received.
  Push PushOf(Part part, const Version& have) const;
  // The push to forward down the relay tree after this process held version `before`.
  Push UpdateOf(Part part, const Version& before) const;

 private:
  Result<void> TakeConfiguration(const Push& push);
  Result<void> TakeEndpoints(const Push& push);
  Result<void> TakePlacement(const Push& push);
  Result<void> TakeMembers(const Push& push);
  Result<void> TakeBody(const Push& push);

  View view_;
  PartVersions versions_;
  ConfigurationHistory configuration_;
  std::string bodies_[kParts];  // Encoded; of all parts but the configuration.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_
