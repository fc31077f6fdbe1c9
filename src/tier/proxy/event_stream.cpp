#include "tier/proxy/event_stream.h"

#include <utility>

#include "tier/proxy/headers.h"

namespace shelflink::proxy {
namespace {

// Takes a line off the front of the text, without its end.
std::string_view NextLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == text.npos ? text.size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// The value of a field where the line is one of that name.
std::optional<std::string_view> FieldValue(std::string_view line, std::string_view name) {
  if (line.substr(0, name.size()) != name) return std::nullopt;
  line.remove_prefix(name.size());
  if (line.empty()) return line;
  if (line.front() != ':') return std::nullopt;
  line.remove_prefix(1);
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

std::optional<std::uint64_t> IdOf(std::string_view event) {
  std::optional<std::uint64_t> id;
  while (!event.empty()) {
    if (const auto value = FieldValue(NextLine(event), "id")) id = WholeNumber(*value);
  }
  return id;
}

std::string DataOf(std::string_view event) {
  std::string data;
  bool first = true;
  while (!event.empty()) {
    const auto value = FieldValue(NextLine(event), "data");
    if (!value) continue;
    if (!std::exchange(first, false)) data += '\n';
    data += *value;
  }
  return data;
}

// Blank lines and comments only, as they keep a connection alive.
bool SaysNothing(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = NextLine(event);
    if (!line.empty() && line.front() != ':') return false;
  }
  return true;
}

}  // namespace

std::size_t EventStream::EventLength(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = text.find('\n', at);
    if (end == text.npos) return 0;
    const bool blank = end == at || (end == at + 1 && text[at] == '\r');
    at = end + 1;
    if (blank) return at;
  }
  return 0;
}

EventStream::Verdict EventStream::Judge(std::optional<std::uint64_t> id) {
  if (!id) {
    numbered_ = false;
    // Of a further run it cannot be told where it belongs.
    return joined_ ? Verdict::kGap : Verdict::kGoesOn;
  }
  if (joined_ && last_id_) {
    if (*id <= *last_id_) return Verdict::kDropped;
    if (dense_ && *id != *last_id_ + 1) return Verdict::kGap;
  }
  if (last_id_ && events_ > 0 && *id != *last_id_ + 1) dense_ = false;
  last_id_ = id;
  return Verdict::kGoesOn;
}

EventStream::Taken EventStream::Take(std::string_view bytes,
                                     const std::function<void(const Event&)>& on_event) {
  buffer_.erase(0, consumed_);
  buffer_.append(bytes);
  consumed_ = 0;
  kept_.clear();
  const std::string_view text = buffer_;
  bool dropped = false;
  Taken taken;
  while (const std::size_t length = EventLength(text.substr(consumed_))) {
    const std::string_view event = text.substr(consumed_, length);
    if (SaysNothing(event)) {
      consumed_ += length;
      if (dropped) kept_.append(event);
      continue;
    }
    const auto id = IdOf(event);
    const Verdict verdict = Judge(id);
    if (verdict == Verdict::kGap) {
      taken.broken = true;
      break;
    }
    if (verdict == Verdict::kDropped && !std::exchange(dropped, true)) {
      kept_.assign(text.substr(0, consumed_));
    }
    consumed_ += length;
    if (verdict == Verdict::kDropped) continue;
    if (dropped) kept_.append(event);
    ++taken.events;
    ++events_;
    if (on_event) on_event({id, DataOf(event)});
  }
  taken.bytes = dropped ? std::string_view(kept_) : text.substr(0, consumed_);
  if (buffer_.size() - consumed_ > kLongestEvent) taken.broken = true;
  return taken;
}

void EventStream::Rejoin() {
  buffer_.clear();
  consumed_ = 0;
  joined_ = events_ > 0;
}

}  // namespace shelflink::proxy
