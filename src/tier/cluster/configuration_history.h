// The configuration as one process holds it and passes it on. It travels in steps: differences
// from one version to a later one, or the whole, each compressed once by whoever made it and passed
// on as it came. What somebody needs is answered by the steps from the version that he has, as long
// as these are remembered, else by the whole.
//
// A body is a CBOR array of steps. One without steps announces a version: whoever lacks it asks.
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

  static constexpr std::size_t kLargestUpdate = 16U << 10;         // Bytes that nobody asked for.
  static constexpr std::size_t kMostSteps = 64;                    // Remembered,
  static constexpr std::size_t kMostStepBytes = 256U << 10;        // of so many bytes together.
  static constexpr std::size_t kLargestConfiguration = 32U << 20;  // Of one step, as it is read.

  // Null: none yet.
  const Pointer& current() const { return current_; }
  std::uint64_t version() const { return current_ ? current_->version : 0; }

  // `next` comes into force here.
  void Advance(Pointer next);

  // Goes on to `version` by what somebody sent. kConflict: the steps lead on from a version that is
  // not here, or there are none; ask for those from version() on. kInvalid: it cannot be read, or
  // leads elsewhere. Nothing has changed then.
  Result<void> Take(std::uint64_t version, std::string_view body);

  // What leads from `version` (0: none) to the newest. Requires that there is one.
  std::string BodySince(std::uint64_t version) const;

  // What others are told after a step from `version` on: the steps where these are small, else an
  // announcement: who has it already, or is to have more than that, asks for what he needs.
  std::string UpdateSince(std::uint64_t version) const;
  static std::string Announcement() { return EncodeSteps({}, 0); }

 private:
  struct Step {
    std::uint64_t base = 0;  // 0: the whole.
    std::uint64_t version = 0;
    std::string bytes;  // Compressed.
  };

  static std::string EncodeSteps(const std::deque<Step>& steps, std::size_t first);
  static Result<std::deque<Step>> DecodeSteps(std::string_view body);
  static Result<Pointer> Follow(const Pointer& from, const Step& step);
  void Remember(Step step);
  // None: it is not remembered what led on from there.
  std::optional<std::size_t> StepFrom(std::uint64_t version) const;
  const Step& Whole() const;

  Pointer current_;
  std::deque<Step> steps_;  // Each leads on from the one before; the last to current_.
  std::size_t step_bytes_ = 0;
  mutable Step whole_;  // Of an older version: not asked for since.
};

}  // namespace shelflink::cluster

#endif  // SHELFLINK_TIER_CLUSTER_CONFIGURATION_HISTORY_H_
