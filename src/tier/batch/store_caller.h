// Asks the primary store of a partition, and asks again while it cannot be reached or is no longer
// the primary: the newest row of the placement decides whom, until the question's time is over.
//
// Every question must be safe to repeat, because an answer that was lost is asked for again.
// Limits: kMostQuestions under way; one more is answered kUnavailable at once.
#ifndef SHELFLINK_TIER_BATCH_STORE_CALLER_H_
#define SHELFLINK_TIER_BATCH_STORE_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"
#include "tier/batch/messages.h"
#include "tier/cluster/view.h"
#include "tier/foundation/result.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

constexpr std::size_t kMostQuestions = 2048;

// Where the newest view is found; the reference holds until the caller's event is over.
using ViewSource = std::function<const cluster::View&()>;

class StoreCaller {
 public:
  struct Question {
    MessageKind kind = kRead;
    JobRef job;  // Its partition and epoch are filled in for each try.
    // The message of one try.
    std::function<std::string(const JobRef& job)> encode;
    net::Time until;  // No try begins or goes on after it.
    // Called once, never from inside Ask: the store's answer; its certain refusal (kNotFound,
    // kConflict, kExhausted, kInvalid, kTooLarge); at the end of the time kUnavailable if certainly
    // no try had any effect, else kUnknown.
    std::function<void(Result<std::string>)> done;
  };

  struct Counters {
    std::uint64_t questions = 0;
    std::uint64_t tries = 0;
    std::uint64_t given_up = 0;
  };

  StoreCaller(net::Loop& loop, transport::Hub& hub, ViewSource view);
  ~StoreCaller();  // Questions under way are dropped without an answer.
  StoreCaller(const StoreCaller&) = delete;
  StoreCaller& operator=(const StoreCaller&) = delete;

  void Ask(Question question);
  // The placement has changed: what waits for another row, or asks a store that lost its place,
  // asks again at once.
  void OnPlacement();
  const Counters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // Shared with answers on their way, which hold it weakly.
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_STORE_CALLER_H_
