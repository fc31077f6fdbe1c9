# Cut off: each check that keeps an old primary from being heard removed, found by a test.
set(cluster_core shelflink_tier_core shelflink_virtual)

tier_mutant(a_former_primary_gives_leases cluster/agent.cpp
  [=[    if (answer.epoch < epoch) {  // A former primary, however it came to answer.]=]
  [=[    if (false) {]=]
  TEST cluster/old_primary_test RUN a_former_primary_gives_no_lease_and_nothing_older
  LIBRARIES ${cluster_core})
tier_mutant(detours_to_a_former_primary_count cluster/agent.cpp
  [=[!answer.value().accepted || answer.value().epoch < epoch) {]=]
  [=[!answer.value().accepted) {]=]
  TEST cluster/old_primary_test RUN a_detour_to_a_former_primary_changes_nothing
  LIBRARIES ${cluster_core})
tier_mutant(older_parts_are_taken cluster/view_store.cpp
  [=[  if (push.version <= versions_[push.part]) return false;]=]
  [=[  if (push.version == versions_[push.part]) return false;]=]
  TEST cluster/old_primary_test RUN late_pushes_of_a_former_primary_are_dropped
  LIBRARIES ${cluster_core})
tier_mutant(a_new_primary_refuses_retirements cluster/core_service.cpp
  [=[    if ((!known || !enough_left) && keeper.Patient()) {]=] [=[    if (false) {]=]
  TEST cluster/core_service_test RUN a_new_primary_refuses_no_retirement_before_it_knows
  LIBRARIES ${cluster_core})
tier_mutant(parts_are_counted_anew_after_a_lapse cluster/core_service.cpp
  [=[    if (the_epoch != epoch) count = 0;]=] [=[    count = 0;]=]
  TEST cluster/core_service_test RUN a_lease_that_lapsed_for_a_moment_holds_up_no_part_of_the_view
  LIBRARIES ${cluster_core})

# Lists behind documents: each hop without the priority, and documents that nobody needs any more.
tier_mutant(lists_wait_at_the_core cluster/view_publisher.cpp
  [=[kPushKind, encoded, DeliveryOf(push.part));]=] [=[kPushKind, encoded);]=]
  TEST cluster/agent_test RUN a_list_overtakes_the_documents_that_wait_at_the_core
  LIBRARIES ${cluster_core})
tier_mutant(lists_wait_at_a_relay cluster/agent.cpp
  [=[kPushKind, body, DeliveryOf(push.part));]=] [=[kPushKind, body);]=]
  TEST cluster/agent_test RUN a_list_overtakes_the_documents_that_wait_at_a_relay
  LIBRARIES ${cluster_core})
tier_mutant(documents_that_were_replaced_are_sent cluster/messages.cpp
  [=[kFirstSlot = kPushKind;]=] [=[kFirstSlot = 0;]=]
  TEST cluster/agent_test RUN documents_that_were_replaced_hold_nothing_up
  LIBRARIES ${cluster_core})
tier_mutant(documents_on_their_way_are_asked_for cluster/agent.cpp
  [=[    return source && hub.Receives(*source, kComingPause);]=] [=[    return false;]=]
  TEST cluster/agent_test RUN a_document_that_is_coming_is_not_asked_for
  LIBRARIES ${cluster_core})
tier_mutant(all_ask_the_core_at_once cluster/agent.cpp
  [=[    return moved || store.versions()[part] >= named_before[part];]=] [=[    return false;]=]
  TEST cluster/agent_test RUN nobody_asks_the_core_for_what_the_parent_is_about_to_have
  LIBRARIES ${cluster_core})
