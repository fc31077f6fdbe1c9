// The view as one process holds it, with the bodies it came in, so that it can be passed on. Takes
// a part only in a version above the one it has.
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
  // Whether it was newer and has been taken; kInvalid where its body cannot be read, kConflict
  // where it leads on from a configuration that is not here.
  Result<bool> Take(const Push& push);
  const View& view() const { return view_; }
  const PartVersions& versions() const { return versions_; }
  bool Has(Part part) const { return versions_[part] != Version(); }
  // For who has that version; of all parts but the configuration as it came.
  Push PushOf(Part part, const Version& have) const;
  // What is passed on down the relay tree by who had that version until now.
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
  std::string bodies_[kParts];  // Of all parts but the configuration.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_
