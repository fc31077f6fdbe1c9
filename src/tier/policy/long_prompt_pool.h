// Keeps long prompts apart: while an endpoint reads a long prompt, the events of all streams that
// it runs come late. A few of a service's endpoints, the same at every sidecar, are preferred for
// long prompts and the others for short ones; how many follows from what is being read. Pure.
#ifndef SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_
#define SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shelflink::policy {

class LongPromptPool {
 public:
  // Hashes of the endpoints in service; which of them are for long prompts depends on nothing else
  // than these and the share.
  void SetEndpoints(std::vector<std::uint64_t> hashes);
  // A prompt is long if reading it takes this part of the objective or more.
  static bool IsLong(double prefill_micros, double objective_micros);
  // A call has been sent whose prompt takes so long to read.
  void Note(double prefill_micros, double objective_micros);
  // Whether long prompts are kept apart at all.
  bool active() const { return size_ > 0; }
  // Whether the endpoint is one of those for long prompts.
  bool Contains(std::uint64_t endpoint_hash) const;
  std::size_t size() const { return size_; }

 private:
  void UpdateSize();

  std::vector<std::uint64_t> hashes_;  // Sorted.
  double long_prefill_micros_ = 0.0;   // Fading sums of time.
  double total_prefill_micros_ = 0.0;
  std::size_t calls_ = 0;
  std::size_t size_ = 0;
};

}  // namespace shelflink::policy

#endif  // SHELFLINK_TIER_POLICY_LONG_PROMPT_POOL_H_
