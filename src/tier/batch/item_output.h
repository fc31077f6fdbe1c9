// The output of one item as its events come in: whole, in order, each once. Pure.
//
// What an endpoint sends is taken only if it continues exactly behind what is there, so that the
// output of two runs can only be joined where the second was asked to continue behind the first.
#ifndef SHELFLINK_TIER_BATCH_ITEM_OUTPUT_H_
#define SHELFLINK_TIER_BATCH_ITEM_OUTPUT_H_

#include <cstdint>
#include <optional>

#include "tier/batch/messages.h"
#include "tier/proxy/calls.h"

namespace shelflink::batch {

class ItemOutput {
 public:
  // `begun`: what earlier runs brought and this one continues.
  explicit ItemOutput(Output begun) : all_(std::move(begun)) {}

  // False: the event has no id, does not follow the last one, or makes the text longer than
  // kLargestResultText. It is not taken then.
  bool Take(const proxy::Event& event);

  const Output& all() const { return all_; }
  // What the store has not confirmed yet; none: it has everything.
  std::optional<OutputPart> Unconfirmed() const;
  // The store has taken what was Unconfirmed when the output had that many events and bytes.
  void Confirm(std::uint64_t events, std::uint64_t bytes);
  // Another store has become the primary: it may know less.
  void ForgetConfirmed();

 private:
  Output all_;
  std::uint64_t confirmed_events_ = 0;
  std::uint64_t confirmed_bytes_ = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_ITEM_OUTPUT_H_
