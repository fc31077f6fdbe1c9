// The configuration that one process holds and forwards. It is transferred in steps: differences
// between two versions, or the whole configuration, compressed once by the process that creates
// them and forwarded unchanged. A fetch is answered with the steps from the version that the
// receiver holds if these are kept, otherwise with the whole configuration.
//
// A body is a CBOR array of steps. One without steps announces a version, which has to be fetched.
#ifndef SHELFLINK_TIER_CLUSTER_CONFIGURATION_HISTORY_H_
#define SHELFLINK_TIER_CLUSTER_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tier/configuration/model.h"
#include "tier/foundation/result.h"

namespace shelflink::cluster {

class ConfigurationHistory {
 public:
  using Pointer = std::shared_ptr<const configuration::Configuration>;

  static constexpr std::size_t kLargestUpdate = 16U << 10;   // Bytes of an unsolicited update.
  static constexpr std::size_t kMostSteps = 64;              // Kept,
  static constexpr std::size_t kMostStepBytes = 256U << 10;  // and their total size.
  static constexpr std::size_t kLargestConfiguration = 32U << 20;  // One step, uncompressed.

  // Null: there is none yet.
  const Pointer& current() const { return current_; }
  std::uint64_t version() const { return current_ ? current_->version : 0; }

  // Makes `next` the current configuration.
  void Advance(Pointer next);

  // Advances to `version` with a received body. kConflict: the steps begin at a version that is not
  // held here, or there are none; fetch those from version() on. kInvalid: the body cannot be
  // decoded or leads to another version. Nothing changes on errors.
  Result<void> Take(std::uint64_t version, std::string_view body);

  // The body that leads from `version` (0: none) to the current one, which must exist.
  std::string BodySince(std::uint64_t version) const;

  // The update to forward after advancing from `version`: the steps if they are small, otherwise an
  // announcement, after which each receiver fetches what it needs.
  std::string UpdateSince(std::uint64_t version) const;
  static std::string Announcement() { return EncodeSteps({}, 0); }

 private:
  struct Step {
    std::uint64_t base = 0;  // 0: the whole configuration.
    std::uint64_t version = 0;
    std::string bytes;  // Compressed.
  };

  static std::string EncodeSteps(const std::deque<Step>& steps, std::size_t first);
  static Result<std::deque<Step>> DecodeSteps(std::string_view body);
  static Result<Pointer> Follow(const Pointer& from, const Step& step);
  void Remember(Step step);
  // None: the step that begins there is not kept.
  std::optional<std::size_t> StepFrom(std::uint64_t version) const;
  const Step& Whole() const;

  Pointer current_;
  std::deque<Step> steps_;  // Consecutive; the last one leads to current_.
  std::size_t step_bytes_ = 0;
  mutable Step whole_;  // Cached; may be of an older version.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CONFIGURATION_HISTORY_H_
