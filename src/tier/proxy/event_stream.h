// Parser for the body of a text/event-stream response: takes bytes as they arrive and returns
// complete events. Joins the runs of a stream that is resumed at other endpoints. Pure.
//
// Reads only the id of an event and, on request, its data; events are forwarded byte for byte. An
// event longer than kMaxEventBytes breaks the stream.
#ifndef SHELFLINK_TIER_PROXY_EVENT_STREAM_H_
#define SHELFLINK_TIER_PROXY_EVENT_STREAM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "tier/proxy/calls.h"

namespace shelflink::proxy {

class EventStream {
 public:
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  struct Output {
    std::string_view bytes;         // Complete events to forward; valid until the next call.
    std::uint32_t event_count = 0;  // Number of events in `bytes`.
    bool broken = false;            // A gap or an oversized event: nothing more may be forwarded.
  };

  // The stream is expected to start after the event `last_id`.
  explicit EventStream(std::optional<std::uint64_t> last_id = std::nullopt) : last_id_(last_id) {}

  // Adds received bytes. `on_event` is called for each complete event that is forwarded; it may be
  // empty.
  Output Feed(std::string_view bytes, const std::function<void(const Event&)>& on_event = nullptr);
  // Bytes received after the last complete event.
  std::string_view incomplete_event() const { return std::string_view(buffer_).substr(consumed_); }
  // The run has broken off and another one continues after last_id(). Drops the incomplete event;
  // events of the new run that have already been forwarded will be dropped too.
  void BeginResumedRun();
  // Whether another run could continue the stream without missing or repeated events.
  bool CanResume() const { return event_count_ == 0 || all_have_ids_; }
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  std::uint64_t event_count() const { return event_count_; }

 private:
  enum class Verdict { kForward, kDuplicate, kGap };

  // Length of the complete event at the start of `text` with its blank line; 0 if it is incomplete.
  static std::size_t EventLength(std::string_view text);
  Verdict CheckOrder(std::optional<std::uint64_t> id);

  std::string buffer_;  // `consumed_` bytes that have been returned, then the incomplete event.
  std::size_t consumed_ = 0;
  std::string filtered_;  // Events to forward, if duplicates between them were dropped.
  std::optional<std::uint64_t> last_id_;
  std::uint64_t event_count_ = 0;
  bool all_have_ids_ = true;
  bool ids_consecutive_ = true;
  bool resumed_ = false;  // The current run continues an earlier one.
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_EVENT_STREAM_H_
