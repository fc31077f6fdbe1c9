#include "tier/cluster/retirement.h"

#include <algorithm>

#include "tier/cluster/control_state.h"

namespace shelflink::cluster {
namespace {

bool IsNamed(const PartitionRow& row, const StoreRecord& store) {
  return Names(row, store.disk) || row.primary == store.address ||
         std::count(row.backups.begin(), row.backups.end(), store.address) > 0;
}

}  // namespace

Result<coordination::JudgedPlan> PlanRetirement(const coordination::Contents& committed,
                                                const operator_api::RetireOrder& order,
                                                const KnownStores& stores,
                                                const PlacementRules& rules) {
  const std::string& node = order.node;
  if (committed.contains(RetireKey(node))) return coordination::JudgedPlan{};
  const bool known = std::any_of(stores.all.begin(), stores.all.end(),
                                 [&](const StoreCandidate& store) { return store.node == node; });
  const bool enough_left = MayRetire(stores.all, node, rules);
  if ((!known || !enough_left) && stores.may_be_more) {
    return MakeError(ErrorCode::kUnavailable, "the stores have not all been heard of yet");
  }
  const coordination::RefusalRecords refusals(committed, kRefusedRetirements);
  if (!known) {
    return refusals.Refuse(node, order.refusals_seen,
                           {ErrorCode::kNotFound, "no store of that name is known"});
  }
  if (!enough_left) {
    return refusals.Refuse(node, order.refusals_seen,
                           {ErrorCode::kConflict, "too few stores would be left"});
  }
  return refusals.Accept(node, order.refusals_seen, {{RetireKey(node), EncodeNumber(1)}});
}

Result<operator_api::RetireState> RetirementState(const coordination::Contents& contents,
                                                  const std::string& node) {
  if (!contents.contains(RetireKey(node))) {
    return MakeError(ErrorCode::kNotFound, "nobody asked for this store to be emptied");
  }
  const auto stores = StoresOf(contents);
  const auto store = stores.find(node);
  if (store == stores.end()) return operator_api::RetireState::kRunning;
  const std::vector<PartitionRow> rows = RowsOf(contents);
  const bool named = std::any_of(rows.begin(), rows.end(), [&](const PartitionRow& row) {
    return IsNamed(row, store->second);
  });
  return named ? operator_api::RetireState::kRunning : operator_api::RetireState::kCompleted;
}

}  // namespace shelflink::cluster
