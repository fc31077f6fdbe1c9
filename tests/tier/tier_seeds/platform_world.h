// The platform as the tier's processes and clients see it: the list of endpoints, which runs
// behind, and the duties with their fences. What it is told is judged as the operators judge it.
#ifndef SHELFLINK_TESTS_TIER_SEEDS_PLATFORM_WORLD_H_
#define SHELFLINK_TESTS_TIER_SEEDS_PLATFORM_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "net/virtual.h"
#include "tier/cluster/view.h"
#include "tier/platform/platform.h"
#include "tier_seeds/deployment.h"
#include "tier_seeds/journal.h"

namespace shelflink::tier_seeds {

class PlatformWorld {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  PlatformWorld(net::VirtualNet& net, Journal& journal, const Deployment& deployment);

  // As a core process on that machine reaches it.
  std::unique_ptr<platform::Platform> Connect(net::Loop& loop, std::uint32_t host);
  // The endpoints as they are now; callers see them after the lag.
  void SetList(std::vector<cluster::EndpointEntry> entries);
  std::vector<cluster::EndpointEntry> ListSeen() const;
  void SetUp(bool up);
  void SetLostAnswers(double share);
  // Each way to it and back takes so much longer.
  void SetSlower(net::Span by) { slower_ = by; }
  // For how long callers could see that the endpoint is draining or gone; the time does not run
  // while the platform is down or loses answers. None: the list does not show it so.
  std::optional<net::Span> ShownAsLeaving(const std::string& endpoint) const;

  bool Reaches(std::uint32_t host) const { return up_ && net_.Reaches(host, kPlatformHost); }
  bool LosesAnswer() { return random_.Chance(lost_answers_); }
  net::Span Way();
  platform::CallResult<void> TakeUsage(const platform::UsageReport& report,
                                       const platform::DutyHolder& holder);
  platform::CallResult<void> TakeScale(const platform::ScaleOrder& order,
                                       const platform::DutyHolder& holder);
  net::VirtualNet& net() { return net_; }

 private:
  struct TroubleSpan {
    net::Time begin{};
    net::Time end = net::Time::max();  // Not over.
  };

  void NoteLeaving(net::Time seen_from, const std::vector<cluster::EndpointEntry>& entries);
  void NoteTrouble();
  // False: a higher fence was seen for the subject.
  bool TakeFence(const std::string& subject, const platform::DutyHolder& holder);

  net::VirtualNet& net_;
  Journal& journal_;
  shelflab::Random random_;
  net::Span lag_;
  bool up_ = true;
  double lost_answers_ = 0;
  net::Span slower_{};
  std::deque<std::pair<net::Time, std::vector<cluster::EndpointEntry>>> lists_;
  std::set<std::string> serving_;                  // Endpoints listed as ready.
  std::map<std::string, net::Time> leaving_from_;  // From when on the list shows it.
  std::vector<TroubleSpan> troubles_;
  std::map<std::string, std::uint64_t> highest_fence_;                         // By subject.
  std::map<std::pair<std::string, std::uint64_t>, std::string> fence_holder_;  // By subject, fence.
  std::map<std::uint64_t, Counts> windows_;
};

}  // namespace shelflink::tier_seeds

#endif  // SHELFLINK_TESTS_TIER_SEEDS_PLATFORM_WORLD_H_
