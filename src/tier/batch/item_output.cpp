#include "tier/batch/item_output.h"

#include <algorithm>

namespace shelflink::batch {

bool ItemOutput::Take(const proxy::Event& event) {
  if (!event.id) return false;
  if (all_.last_event_id && *event.id != *all_.last_event_id + 1) return false;
  const std::size_t separator = all_.events == 0 ? 0 : 1;
  if (all_.text.size() + separator + event.data.size() > kLargestResultText) return false;
  all_.text.append(separator, '\n');
  all_.text += event.data;
  ++all_.events;
  all_.last_event_id = event.id;
  return true;
}

std::optional<OutputPart> ItemOutput::Unconfirmed() const {
  if (all_.events == confirmed_events_) return std::nullopt;
  OutputPart part;
  part.offset = confirmed_bytes_;
  part.text = all_.text.substr(confirmed_bytes_);
  part.events = all_.events;
  part.last_event_id = all_.last_event_id;
  return part;
}

void ItemOutput::Confirm(std::uint64_t events, std::uint64_t bytes) {
  confirmed_events_ = std::max(confirmed_events_, events);
  confirmed_bytes_ = std::max(confirmed_bytes_, bytes);
}

void ItemOutput::ForgetConfirmed() {
  confirmed_events_ = 0;
  confirmed_bytes_ = 0;
}

}  // namespace shelflink::batch
