// The batch interface of a sidecar: what clients submit, read and end, carried to the store that
// decides. Nothing of a job is kept here; unsure is said as unsure (kUnknown), never guessed.
#ifndef SHELFLINK_TIER_BATCH_FRONT_H_
#define SHELFLINK_TIER_BATCH_FRONT_H_

#include <chrono>
#include <memory>
#include <string>

#include "net/loop.h"
#include "tier/batch/store_caller.h"
#include "tier/foundation/settings.h"
#include "tier/proxy/batch_job_service.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

class Front final : public proxy::BatchJobService {
 public:
  // How long a store is asked on a client's behalf, counted from the client's last byte. A question
  // goes on over a change of the partition's primary; afterwards the client is told that nothing is
  // certain and asks another sidecar.
  struct Timeouts {
    milliseconds submit{3000};
    milliseconds read{1200};  // Beyond the time that the client allows the answer to be held.
    milliseconds body{2500};
    milliseconds end{3000};
    milliseconds longest_wait{10000};  // Of a read that waits for a result.
  };

  Front(net::Loop& loop, transport::Hub& hub, ViewSource view, const Bounds& bounds);
  Front(net::Loop& loop, transport::Hub& hub, ViewSource view, const Bounds& bounds,
        Timeouts timeouts);

  void Submit(const proxy::BatchCaller& caller, proxy::BatchSubmission submission,
              Reply<void> reply) override;
  void Read(const proxy::BatchCaller& caller, const proxy::BatchRead& read,
            Reply<proxy::BatchPage> reply) override;
  void Body(const proxy::BatchCaller& caller, const std::string& job, const std::string& item,
            Reply<std::string> reply) override;
  void End(const proxy::BatchCaller& caller, const std::string& job, Reply<void> reply) override;

  // The view's placement has changed.
  void OnPlacement() { stores_.OnPlacement(); }
  const StoreCaller::Counters& counters() const { return stores_.counters(); }

 private:
  net::Loop& loop_;
  Bounds bounds_;
  Timeouts timeouts_;
  StoreCaller stores_;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_FRONT_H_
