// Separates long prompts from short ones: while an endpoint prefills a long prompt, the events of
// all streams on it are delayed. A few endpoints of a service, the same at every sidecar, are
// preferred for long prompts and the others for short ones. The number follows from the share of
// prefill time that long prompts take. No I/O and no clock.
#ifndef SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_
#define SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shelflink::policy {

class LongPromptPool {
 public:
  // Sets the hashes of the endpoints in service. Pool membership depends only on these and on the
  // share of long prompts.
  void SetEndpoints(std::vector<std::uint64_t> hashes);
  // Whether the prefill time is long compared with the first-event objective.
  static bool IsLong(double prefill_micros, double objective_micros);
  // Records a sent call by the prefill time of its prompt.
  void Note(double prefill_micros, double objective_micros);
  // Whether long prompts are separated at present.
  bool active() const { return size_ > 0; }
  // Whether the endpoint is preferred for long prompts.
  bool Contains(std::uint64_t endpoint_hash) const;
  std::size_t size() const { return size_; }

 private:
  void UpdateSize();

  std::vector<std::uint64_t> hashes_;  // Sorted.
  double long_prefill_micros_ = 0.0;   // Exponentially decaying sum.
  double total_prefill_micros_ = 0.0;
  std::size_t calls_ = 0;
  std::size_t size_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_
