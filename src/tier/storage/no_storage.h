// Of a process without a disk: it remembers nothing, so it must vouch for nothing.
#ifndef SHELFLINK_TIER_STORAGE_NO_STORAGE_H_
#define SHELFLINK_TIER_STORAGE_NO_STORAGE_H_

#include "tier/storage/storage.h"

namespace shelflink::storage {

// Takes every batch and keeps none; a sync is never told.
class NoStorage : public Storage {
 public:
  std::optional<std::string> Get(std::string_view) const override { return std::nullopt; }
  void Scan(std::string_view, std::string_view, const Visitor&) const override {}
  void Apply(const Batch&) override {}
  void Sync(Synced) override {}
  Usage usage() const override { return {}; }
  Failure failure() const override { return Failure::kNone; }
  std::string failure_text() const override { return ""; }
  Result<void> Recover() override { return BOOST_OUTCOME_V2_NAMESPACE::success(); }
};

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_NO_STORAGE_H_
