#include "tier/proxy/event_stream.h"

#include <utility>

#include "tier/proxy/headers.h"

namespace shelflink::proxy {
namespace {

// Removes the first line from `text` and returns it without its line end.
std::string_view NextLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == text.npos ? text.size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// The value of the line's field if the field has that name.
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
    if (const auto value = FieldValue(NextLine(event), "id")) id = ParseUnsigned(*value);
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

// Whether the event has only blank lines and comments, which endpoints send as keep-alives.
bool IsKeepAlive(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = NextLine(event);
    if (!line.empty() && line.front() != ':') return false;
  }
  return true;
}

}  // namespace

std::size_t EventStream::EventLength(std::string_view text) {
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t end = text.find('\n', position);
    if (end == text.npos) return 0;
    const bool blank = end == position || (end == position + 1 && text[position] == '\r');
    position = end + 1;
    if (blank) return position;
  }
  return 0;
}

EventStream::Verdict EventStream::CheckOrder(std::optional<std::uint64_t> id) {
  if (!id) {
    all_have_ids_ = false;
    // In a resumed run the position of an event without an id is unknown.
    return resumed_ ? Verdict::kGap : Verdict::kForward;
  }
  if (resumed_ && last_id_) {
    if (*id <= *last_id_) return Verdict::kDuplicate;
    if (ids_consecutive_ && *id != *last_id_ + 1) return Verdict::kGap;
  }
  if (last_id_ && event_count_ > 0 && *id != *last_id_ + 1) ids_consecutive_ = false;
  last_id_ = id;
  return Verdict::kForward;
}

EventStream::Output EventStream::Feed(std::string_view bytes,
                                      const std::function<void(const Event&)>& on_event) {
  buffer_.erase(0, consumed_);
  buffer_.append(bytes);
  consumed_ = 0;
  filtered_.clear();
  const std::string_view text = buffer_;
  bool has_duplicates = false;
  Output output;
  while (const std::size_t length = EventLength(text.substr(consumed_))) {
    const std::string_view event = text.substr(consumed_, length);
    if (IsKeepAlive(event)) {
      consumed_ += length;
      if (has_duplicates) filtered_.append(event);
      continue;
    }
    const auto id = IdOf(event);
    const Verdict verdict = CheckOrder(id);
    if (verdict == Verdict::kGap) {
      output.broken = true;
      break;
    }
    if (verdict == Verdict::kDuplicate && !std::exchange(has_duplicates, true)) {
      filtered_.assign(text.substr(0, consumed_));
    }
    consumed_ += length;
    if (verdict == Verdict::kDuplicate) continue;
    if (has_duplicates) filtered_.append(event);
    ++output.event_count;
    ++event_count_;
    if (on_event) on_event({id, DataOf(event)});
  }
  output.bytes = has_duplicates ? std::string_view(filtered_) : text.substr(0, consumed_);
  if (buffer_.size() - consumed_ > kMaxEventBytes) output.broken = true;
  return output;
}

void EventStream::BeginResumedRun() {
  buffer_.clear();
  consumed_ = 0;
  resumed_ = event_count_ > 0;
}

}  // namespace shelflink::proxy
