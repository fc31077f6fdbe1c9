// One leased item on this proxy: waits for a valid lease, runs as a call to an endpoint of its
// route's service, and keeps its output until the store has taken the report of its end.
#ifndef SHELFLINK_TIER_BATCH_ITEM_RUN_H_
#define SHELFLINK_TIER_BATCH_ITEM_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "tier/batch/item_output.h"
#include "tier/batch/messages.h"
#include "tier/configuration/model.h"
#include "tier/proxy/calls.h"

namespace shelflink::batch {

// How a run ended, as the store is told, and whether the endpoints are short of room.
struct RunEnd {
  RunOutcome outcome = RunOutcome::kReturned;
  bool refused = false;
  std::optional<double> retry_after_s;
};

class ItemRun final : public proxy::CallUser {
 public:
  enum class State {
    kAwaitingLease,  // Assigned, but no answered offer vouches for the lease.
    kRunning,
    kReporting,  // Over; the store has not confirmed the report.
  };
  // Told of the end of the run, perhaps from inside an event of the call. The run stays.
  using OnOver = std::function<void(ItemRun& run, const RunEnd& end)>;

  ItemRun(net::Loop& loop, proxy::Calls& calls, Assign assign, OnOver on_over);
  ~ItemRun();  // Cancels the call.
  ItemRun(const ItemRun&) = delete;
  ItemRun& operator=(const ItemRun&) = delete;

  // Sends the item, once. Without its batch route in the configuration the run is over at once.
  void Start(std::shared_ptr<const configuration::Configuration> configuration);
  // Gives the run up, to be continued by another proxy.
  void HandBack();
  // Another configuration is in force. A run whose route leads elsewhere by now goes to no further
  // endpoint, and is handed back if it has not begun.
  void OnConfiguration(const configuration::Configuration& configuration);

  // The lease holds until then at least.
  void Extend(net::Time until);
  bool lease_valid() const { return loop_.Now() < lease_until_; }

  State state() const { return state_; }
  const ItemRef& item() const { return assign_.item; }
  const LeaseId& lease() const { return assign_.lease; }
  std::uint32_t partition() const { return assign_.item.job.partition; }
  std::size_t body_bytes() const { return body_bytes_; }
  std::size_t bytes() const { return body_bytes_ + output_.all().text.size(); }
  ItemOutput& output() { return output_; }
  // From when it was assigned until its first event came; none: none has come.
  std::optional<net::Span> first_event_wait() const;
  // Since the run was over; of no meaning before.
  net::Span since_over() const { return loop_.Now() - over_at_; }
  Finished Report() const;

  bool adopting = false;  // An Adopt that names it is under way.

 private:
  // CallUser.
  bool MaySend() override;
  void OnHead(int status, const proxy::HeaderList& headers,
              std::optional<std::uint64_t> length) override;
  bool OnBody(std::string_view bytes) override;
  void OnEvent(const proxy::Event& event) override;
  void OnEnd(const proxy::CallSummary& summary) override;

  RunEnd EndOf(const proxy::CallSummary& summary) const;
  bool has_progressed() const { return output_.all().events != events_at_start_; }
  void Over(const RunEnd& end);
  void CancelCall();

  net::Loop& loop_;
  proxy::Calls& calls_;
  Assign assign_;
  OnOver on_over_;
  ItemOutput output_;
  std::uint64_t events_at_start_;
  std::size_t body_bytes_;
  State state_ = State::kAwaitingLease;
  net::Time assigned_at_;
  std::optional<net::Time> first_event_at_;
  net::Time over_at_{};
  net::Time lease_until_ = net::Time::min();
  std::shared_ptr<const configuration::Configuration> configuration_;
  const configuration::Route* route_ = nullptr;
  bool superseded_ = false;  // The route leads elsewhere now.
  std::optional<policy::CallId> call_;
  int head_status_ = 0;  // 0: no head yet.
  bool stamped_ = false;
  bool inside_event_ = false;  // What came last is not the whole of an event.
  RunEnd end_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_ITEM_RUN_H_
