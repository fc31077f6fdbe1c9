// The body of a text/event-stream answer, taken as it comes and given on in whole events, over one
// run at an endpoint or several that continue one another. Pure.
//
// No more of an event is understood than its id and, where somebody wants it, its data; its bytes
// are never made anew. An event that is longer than kLongestEvent breaks the stream.
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
  static constexpr std::size_t kLongestEvent = 1 << 20;

  struct Taken {
    std::string_view bytes;    // Of whole events; there until the next call.
    std::uint32_t events = 0;  // In them.
    bool broken = false;       // What comes must not go on: a gap, or an event without end.
  };

  // The stream is to begin behind that event.
  explicit EventStream(std::optional<std::uint64_t> last_id = std::nullopt) : last_id_(last_id) {}

  // `on_event` may be empty; else it is told each whole event that goes on.
  Taken Take(std::string_view bytes, const std::function<void(const Event&)>& on_event = nullptr);
  // What came behind the last whole event.
  std::string_view rest() const { return std::string_view(buffer_).substr(consumed_); }
  // The run has broken and another continues behind last_id(): what is not whole is dropped, and of
  // what comes the events that have gone on already.
  void Rejoin();
  // Whether another run could continue it so that nothing is missing or comes twice.
  bool CanRejoin() const { return events_ == 0 || numbered_; }
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  std::uint64_t events() const { return events_; }

 private:
  enum class Verdict { kGoesOn, kDropped, kGap };

  // Length of the whole event at the front of the text, its blank line included; 0: not whole.
  static std::size_t EventLength(std::string_view text);
  Verdict Judge(std::optional<std::uint64_t> id);

  std::string buffer_;  // What is not whole, behind `consumed_` bytes that are done with.
  std::size_t consumed_ = 0;
  std::string kept_;  // Events that go on, where others between them were dropped.
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
  bool numbered_ = true;  // Every event had an id.
  bool dense_ = true;     // Ids rose by one each time.
  bool joined_ = false;   // A further run.
};

}  // namespace shelflink::proxy

#endif  // SHELFLINK_TIER_PROXY_EVENT_STREAM_H_
