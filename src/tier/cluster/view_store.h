// The view as one process holds it, with the bodies it came in, so that it can be passed on. Takes
// a part only in a version above the one it has.
#ifndef SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_
#define SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_

#include <string>

#include "tier/cluster/messages.h"
#include "tier/cluster/view.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

class ViewStore {
 public:
  // Whether it was newer and has been taken; kInvalid where its body cannot be read.
  Result<bool> Take(const Push& push);
  const View& view() const { return view_; }
  const PartVersions& versions() const { return versions_; }
  bool Has(Part part) const { return versions_[part] != Version(); }
  // As it came.
  Push PushOf(Part part) const;

 private:
  Result<void> TakeConfiguration(const Push& push);
  Result<void> TakeEndpoints(const Push& push);
  Result<void> TakePlacement(const Push& push);
  Result<void> TakeMembers(const Push& push);
  Result<void> TakeBody(const Push& push);

  View view_;
  PartVersions versions_;
  std::string bodies_[kParts];
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_VIEW_STORE_H_
