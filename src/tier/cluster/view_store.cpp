#include "tier/cluster/view_store.h"

#include "tier/cluster/view_codec.h"

namespace shelflink::cluster {

Result<bool> ViewStore::Take(const Push& push) {
  if (push.version <= versions_[push.part]) return false;
  const Result<void> taken = TakeBody(push);
  if (!taken) return taken.error();
  versions_[push.part] = push.version;
  if (push.part != Part::kConfiguration) bodies_[static_cast<std::size_t>(push.part)] = push.body;
  return true;
}

Push ViewStore::PushOf(Part part, const Version& have) const {
  if (part == Part::kConfiguration) {
    return {part, versions_[part], configuration_.BodySince(have.count)};
  }
  return {part, versions_[part], bodies_[static_cast<std::size_t>(part)]};
}

Push ViewStore::UpdateOf(Part part, const Version& before) const {
  if (part != Part::kConfiguration) return PushOf(part, before);
  return {part, versions_[part], configuration_.UpdateSince(before.count)};
}

Result<void> ViewStore::TakeBody(const Push& push) {
  switch (push.part) {
    case Part::kConfiguration:
      return TakeConfiguration(push);
    case Part::kEndpoints:
      return TakeEndpoints(push);
    case Part::kPlacement:
      return TakePlacement(push);
    case Part::kMembers:
      return TakeMembers(push);
  }
  return MakeError(ErrorCode::kInvalid, "unknown part of the view");
}

Result<void> ViewStore::TakeConfiguration(const Push& push) {
  Result<void> taken = configuration_.Take(push.version.count, push.body);
  if (taken) view_.configuration = configuration_.current();
  return taken;
}

Result<void> ViewStore::TakeEndpoints(const Push& push) {
  auto entries = DecodeEndpoints(push.body);
  if (!entries) return entries.error();
  view_.endpoints =
      std::make_shared<const EndpointList>(EndpointList{push.version, std::move(entries.value())});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ViewStore::TakePlacement(const Push& push) {
  auto rows = DecodePlacement(push.body);
  if (!rows) return rows.error();
  view_.placement =
      std::make_shared<const Placement>(Placement{push.version, std::move(rows.value())});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ViewStore::TakeMembers(const Push& push) {
  auto members = DecodeMembers(push.body);
  if (!members) return members.error();
  view_.members =
      std::make_shared<const Members>(Members{push.version, std::move(members.value())});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace shelflink::cluster
