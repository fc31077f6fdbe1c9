# Queued messages: what may overtake what, what may be replaced, and what may have left.
tier_mutant(urgent_messages_wait transport/outbox.cpp
  [=[  return !urgent_.empty();]=] [=[  return ordinary_.empty();]=]
  TEST transport/hub_test RUN hub/AnUrgentMessageOvertakesWhatWaits
  LIBRARIES shelflink_tier_transport shelflink_virtual)
tier_mutant(urgent_messages_cut_others transport/outbox.cpp
  [=[  if (ordinary_.begun()) return false;]=] ""
  TEST transport/frames_test RUN UrgentFramesGoBeforeAllThatHasNotBegunToLeave
  LIBRARIES shelflink_tier_transport)
tier_mutant(what_has_begun_is_replaced transport/outbox.cpp
  [=[begun() ? first_ + 1 : first_;]=] [=[first_;]=]
  TEST transport/frames_test RUN OfASlotOnlyTheNewestWaitsAtThePlaceOfTheOldest
  LIBRARIES shelflink_tier_transport)
tier_mutant(places_ignore_replacements transport/outbox.cpp
  [=[  return std::min(chunks_[first_].place + front_written_, next);]=]
  [=[  return chunks_[first_].place + front_written_;]=]
  TEST transport/frames_test RUN OfASlotOnlyTheNewestWaitsAtThePlaceOfTheOldest
  LIBRARIES shelflink_tier_transport)
tier_mutant(the_greeting_is_overtaken transport/connection.cpp
  [=[Append(EncodeHello(self_, dial_), {.urgent = true});]=]
  [=[Append(EncodeHello(self_, dial_), {});]=]
  TEST transport/connection_test RUN connection/NothingOvertakesTheGreeting
  LIBRARIES shelflink_tier_transport)
tier_mutant(long_frames_leave_in_one_piece transport/connection.cpp
  [=[  const bool may_be_cut = !delivery.urgent && delivery.slot == 0;]=]
  [=[  const bool may_be_cut = false;]=]
  TEST transport/connection_test RUN connection/AnUrgentFrameGoesBetweenThePartsOfALongOne
  LIBRARIES shelflink_tier_transport)
tier_mutant(parts_grow_without_a_bound transport/connection.cpp
  [=[  if (parts_.size() + part.bytes.size() > kLargestFrame) return Break(NameOf(FrameFault::kTooLong));]=]
  "" TEST transport/connection_test RUN connection/PartsThatMakeNoFrameEndTheConnection
  LIBRARIES shelflink_tier_transport)
# Who counts of two that claim one address.
tier_mutant(a_claim_from_any_host_counts transport/hub_connections.cpp
  [=[  if (both_accepted && other.FromClaimedHost() != greeted.FromClaimedHost()) {]=]
  [=[  if (false) {]=]
  TEST transport/hub_test RUN hub/AClaimFromAnotherHostDoesNotDisplaceTheProcessItself
  LIBRARIES shelflink_tier_transport shelflink_virtual)
