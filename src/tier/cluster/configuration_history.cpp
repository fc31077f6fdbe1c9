#include "tier/cluster/configuration_history.h"

#include <algorithm>
#include <utility>

#include "tier/configuration/codec.h"
#include "tier/configuration/difference.h"
#include "tier/foundation/cbor.h"
#include "tier/foundation/cbor_fields.h"
#include "tier/foundation/deflate.h"

namespace shelflink::cluster {
namespace {

using configuration::Configuration;
using configuration::Difference;

Error NotFromHere() {
  return MakeError(ErrorCode::kConflict, "the steps lead on from a configuration that is not here");
}

Error LeadsElsewhere() {
  return MakeError(ErrorCode::kInvalid, "the configuration is not of the version it came under");
}

}  // namespace

// ---- Bodies ----

std::string ConfigurationHistory::EncodeSteps(const std::deque<Step>& steps, std::size_t first) {
  cbor::Writer writer;
  writer.Array(steps.size() - first);
  for (std::size_t index = first; index < steps.size(); ++index) {
    const Step& step = steps[index];
    writer.Array(3).Uint(step.base).Uint(step.version).Bytes(step.bytes);
  }
  return writer.Take();
}

Result<std::deque<ConfigurationHistory::Step>> ConfigurationHistory::DecodeSteps(
    std::string_view body) {
  cbor::Reader reader(body);
  std::deque<Step> steps;
  const std::size_t count = reader.Array();
  for (std::size_t index = 0; index < count && reader.ok(); ++index) {
    const cbor::FieldsReader fields(reader, 3);
    Step step;
    step.base = reader.Uint();
    step.version = reader.Uint();
    step.bytes = reader.Bytes();
    steps.push_back(std::move(step));
  }
  return cbor::CheckWhole(reader, std::move(steps), "steps of the configuration");
}

// ---- Steps ----

void ConfigurationHistory::Advance(Pointer next) {
  const Pointer before = std::exchange(current_, std::move(next));
  if (!before) return;
  const Difference difference = DifferenceOf(*before, *current_);
  Remember({difference.base, difference.version, Deflate(Encode(difference))});
}

Result<ConfigurationHistory::Pointer> ConfigurationHistory::Follow(const Pointer& from,
                                                                   const Step& step) {
  const Result<std::string> bytes = Inflate(step.bytes, kLargestConfiguration);
  if (!bytes) return bytes.error();
  if (step.base == 0) {
    Result<Configuration> whole = configuration::DecodeConfiguration(bytes.value());
    if (!whole) return whole.error();
    if (whole.value().version != step.version) return LeadsElsewhere();
    return Pointer(std::make_shared<const Configuration>(std::move(whole.value())));
  }
  const Result<Difference> difference = configuration::DecodeDifference(bytes.value());
  if (!difference) return difference.error();
  const Difference& read = difference.value();
  if (read.base != step.base || read.version != step.version) return LeadsElsewhere();
  return Pointer(std::make_shared<const Configuration>(Applied(*from, read)));
}

Result<void> ConfigurationHistory::Take(std::uint64_t version, std::string_view body) {
  Result<std::deque<Step>> steps = DecodeSteps(body);
  if (!steps) return steps.error();
  Pointer reached = current_;
  std::deque<Step> taken;
  for (Step& step : steps.value()) {
    const std::uint64_t here = reached ? reached->version : 0;
    if (step.version <= here) continue;
    if (step.base != 0 && step.base != here) return NotFromHere();
    Result<Pointer> next = Follow(reached, step);
    if (!next) return next.error();
    reached = std::move(next.value());
    taken.push_back(std::move(step));
  }
  if (steps.value().empty()) return NotFromHere();
  if (!reached || reached->version != version) return LeadsElsewhere();
  current_ = std::move(reached);
  for (Step& step : taken) Remember(std::move(step));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// The whole leaves nothing to lead on from.
void ConfigurationHistory::Remember(Step step) {
  if (step.base == 0) {
    steps_.clear();
    step_bytes_ = 0;
    whole_ = std::move(step);
    return;
  }
  step_bytes_ += step.bytes.size();
  steps_.push_back(std::move(step));
  while (steps_.size() > 1 && (steps_.size() > kMostSteps || step_bytes_ > kMostStepBytes)) {
    step_bytes_ -= steps_.front().bytes.size();
    steps_.pop_front();
  }
}

// ---- What others need ----

const ConfigurationHistory::Step& ConfigurationHistory::Whole() const {
  if (whole_.version != current_->version) {
    whole_ = {0, current_->version, Deflate(Encode(*current_))};
  }
  return whole_;
}

std::optional<std::size_t> ConfigurationHistory::StepFrom(std::uint64_t version) const {
  if (version == 0) return std::nullopt;
  const auto found = std::find_if(steps_.begin(), steps_.end(),
                                  [&](const Step& step) { return step.base == version; });
  if (found == steps_.end()) return std::nullopt;
  return static_cast<std::size_t>(found - steps_.begin());
}

std::string ConfigurationHistory::BodySince(std::uint64_t version) const {
  const std::optional<std::size_t> first = StepFrom(version);
  return first ? EncodeSteps(steps_, *first) : EncodeSteps({Whole()}, 0);
}

std::string ConfigurationHistory::UpdateSince(std::uint64_t version) const {
  const std::optional<std::size_t> first = StepFrom(version);
  std::size_t bytes = 0;
  for (std::size_t index = first.value_or(steps_.size()); index < steps_.size(); ++index) {
    bytes += steps_[index].bytes.size();
  }
  return first && bytes <= kLargestUpdate ? EncodeSteps(steps_, *first) : Announcement();
}

}  // namespace shelflink::cluster
