# Cut off: each check that keeps an old primary from being heard removed, found by a test.
set(cluster_core shelflink_tier_core shelflink_virtual)

tier_mutant(a_former_primary_gives_leases cluster/agent.cpp
  [=[    if (answer.epoch < epoch) return false;  // A former primary, however it came to answer.]=]
  ""
  TEST cluster/old_primary_test RUN a_former_primary_gives_no_lease_and_nothing_older
  LIBRARIES ${cluster_core})
tier_mutant(detours_to_a_former_primary_count cluster/agent.cpp
  [=[    if (answer.epoch < epoch) return false;
]=] ""
  TEST cluster/old_primary_test RUN a_detour_to_a_former_primary_changes_nothing
  LIBRARIES ${cluster_core})
tier_mutant(older_parts_are_taken cluster/view_store.cpp
  [=[  if (push.version <= versions_[push.part]) return false;]=]
  [=[  if (push.version == versions_[push.part]) return false;]=]
  TEST cluster/old_primary_test RUN late_pushes_of_a_former_primary_are_dropped
  LIBRARIES ${cluster_core})
tier_mutant(a_new_primary_refuses_retirements cluster/retirement.cpp
  [=[  if ((!known || !enough_left) && stores.may_be_more) {]=] [=[  if (false) {]=]
  TEST cluster/core_service_test RUN a_new_primary_refuses_no_retirement_before_it_knows
  LIBRARIES ${cluster_core})
tier_mutant(parts_are_counted_anew_after_a_lapse cluster/core_service.cpp
  [=[    if (the_epoch != epoch) count = 0;]=] [=[    count = 0;]=]
  TEST cluster/core_service_test RUN a_lease_that_lapsed_for_a_moment_holds_up_no_part_of_the_view
  LIBRARIES ${cluster_core})

# Time without redundancy: what makes repair begin at once, and what the figures count.
tier_mutant(lost_leases_wait_for_the_tick cluster/core_service.cpp
  [=[    if (lease_due < next_tick) lease_timer->ArmAt(lease_due);]=] ""
  TEST cluster/core_service_test RUN a_lost_store_is_replaced_at_the_end_of_its_lease
  LIBRARIES ${cluster_core})
tier_mutant(losses_count_from_when_they_are_seen cluster/redundancy.cpp
  [=[  open.since = std::min(now, copies.missing_since);]=] [=[  open.since = now;]=]
  TEST cluster/cluster_parts_test RUN a_loss_counts_from_when_the_copy_was_last_heard_of
  LIBRARIES shelflink_tier_core)
tier_mutant(moments_count_twice cluster/redundancy.cpp
  [=[  if (ended_at != ended_at_.end()) open.since = std::max(open.since, ended_at->second);]=] ""
  TEST cluster/cluster_parts_test RUN no_moment_counts_twice LIBRARIES shelflink_tier_core)
tier_mutant(a_loss_is_seen_after_its_repair_has_begun cluster/core_service.cpp
  [=[    ObserveCopies();
    keeper.Evaluate();]=] [=[    keeper.Evaluate();]=]
  TEST cluster/core_service_test RUN a_store_that_returns_with_another_disk_is_a_loss
  LIBRARIES ${cluster_core})
# Lists behind documents: each hop without the priority, and documents that nobody needs any more.
tier_mutant(lists_wait_at_the_core cluster/view_publisher.cpp
  [=[kPushKind, encoded, DeliveryOf(push));]=] [=[kPushKind, encoded);]=]
  TEST cluster/agent_test RUN a_list_overtakes_the_documents_that_wait_at_the_core
  LIBRARIES ${cluster_core})
tier_mutant(lists_wait_at_a_relay cluster/view_relay.cpp
  [=[kPushKind, body, DeliveryOf(update));]=] [=[kPushKind, body);]=]
  TEST cluster/agent_test RUN a_list_overtakes_the_documents_that_wait_at_a_relay
  LIBRARIES ${cluster_core})
tier_mutant(documents_that_were_replaced_are_sent cluster/configuration_history.cpp
  [=[  return first && bytes <= kLargestUpdate ? EncodeSteps(steps_, *first) : Announcement();]=]
  [=[  return first ? EncodeSteps(steps_, *first) : Announcement();]=]
  TEST cluster/agent_test RUN documents_that_were_replaced_hold_nothing_up
  LIBRARIES ${cluster_core})
tier_mutant(documents_on_their_way_are_asked_for cluster/view_relay.cpp
  [=[  if (hub_.Receives(*fetch.source, kComingPause)) {]=] [=[  if (false) {]=]
  TEST cluster/agent_test RUN a_document_that_is_coming_is_not_asked_for
  LIBRARIES ${cluster_core})
tier_mutant(all_ask_the_core_at_once cluster/view_relay.cpp
  [=[  return moved_ || store_.versions()[part] >= named_before_[part];]=] [=[  return false;]=]
  TEST cluster/agent_test RUN nobody_asks_the_core_for_what_the_parent_is_about_to_have
  LIBRARIES ${cluster_core})

# Duties: who is refused since a higher fence was seen goes on calling.
tier_mutant(a_refused_report_is_repeated cluster/usage_duty.cpp
  [=[    log::Warning(kModule, "the platform knows a later holder of the duty");
    Stop();]=] [=[    log::Warning(kModule, "the platform knows a later holder of the duty");]=]
  TEST cluster/duty_fence_test RUN a_refused_fence_is_not_used_again_for_that_duty
  LIBRARIES ${cluster_core})
tier_mutant(a_refused_order_is_repeated cluster/scale_duty.cpp
  [=[  if (code == ErrorCode::kConflict && fence == epoch_) {  // A later holder orders now.
    Stop();]=] [=[  if (code == ErrorCode::kConflict && fence == epoch_) {  // A later holder orders now.]=]
  TEST cluster/duty_fence_test RUN an_order_that_was_refused_is_not_repeated_with_its_fence
  LIBRARIES ${cluster_core})

# Large configurations: what keeps the cost of a change with the change, each removed.
tier_mutant(the_whole_goes_to_whoever_asks cluster/configuration_history.cpp
  [=[  return first ? EncodeSteps(steps_, *first) : EncodeSteps({Whole()}, 0);]=]
  [=[  return EncodeSteps({Whole()}, 0);]=]
  TEST cluster/agent_test RUN who_was_away_for_some_changes_asks_for_these
  LIBRARIES ${cluster_core})
tier_mutant(nobody_is_sent_steps_unasked cluster/configuration_history.cpp
  [=[  return first && bytes <= kLargestUpdate ? EncodeSteps(steps_, *first) : Announcement();]=]
  [=[  return Announcement();]=]
  TEST cluster/configuration_history_test RUN a_step_is_as_small_as_the_change
  LIBRARIES ${cluster_core})
tier_mutant(steps_are_taken_from_anywhere cluster/configuration_history.cpp
  [=[    if (step.base != 0 && step.base != here) return NotFromHere();]=] ""
  TEST cluster/configuration_history_test RUN who_lacks_the_base_is_told_so_and_gets_what_lies_between
  LIBRARIES ${cluster_core})
tier_mutant(steps_are_remembered_for_ever cluster/configuration_history.cpp
  [=[  while (steps_.size() > 1 && (steps_.size() > kMostSteps || step_bytes_ > kMostStepBytes)) {]=]
  [=[  while (false) {]=]
  TEST cluster/configuration_history_test RUN what_is_remembered_is_bounded
  LIBRARIES ${cluster_core})
tier_mutant(all_that_return_ask_the_core cluster/view_relay.cpp
  [=[  if (!late_too || !ComesByParent(part)) FetchFromCore(part);]=] [=[  FetchFromCore(part);]=]
  TEST cluster/agent_test RUN all_that_return_at_once_take_a_large_configuration_from_each_other
  LIBRARIES ${cluster_core})
tier_mutant(who_lacks_steps_waits_for_a_renewal cluster/view_relay.cpp
  [=[ErrorCode::kConflict) return AskForSteps(from, push);]=] [=[ErrorCode::kConflict) return;]=]
  TEST cluster/agent_test RUN agents_join_and_take_the_configuration
  LIBRARIES ${cluster_core})
tier_mutant(what_is_told_of_during_a_fetch_waits_for_a_renewal cluster/view_relay.cpp
  [=[    fetch.asked_again = true;]=] ""
  TEST cluster/old_primary_test RUN what_is_told_of_during_a_fetch_is_fetched_after_it
  LIBRARIES ${cluster_core})
tier_mutant(who_asked_too_early_is_not_told cluster/view_relay.cpp
  [=[    if (follows && askers.size() < kMostAskers) askers.insert(from.address);]=] ""
  TEST cluster/agent_test RUN all_that_return_at_once_take_a_large_configuration_from_each_other
  LIBRARIES ${cluster_core})
tier_mutant(large_answers_pile_up_at_the_core cluster/view_publisher.cpp
  [=[  if (answer.size() > kLargeAnswer && hub_.queued_bytes() + answer.size() > kMostWaiting) {]=]
  [=[  if (false) {]=]
  TEST cluster/configuration_history_test RUN a_core_process_holds_a_bounded_number_of_large_answers
  LIBRARIES ${cluster_core})
tier_mutant(a_busy_core_is_asked_with_the_next_renewal cluster/view_relay.cpp
  [=[    if (IsBusy(body)) repair_timer_->ArmAt(loop_.Now() + kBusyPause);]=] ""
  TEST cluster/old_primary_test RUN a_busy_core_is_asked_again_soon LIBRARIES ${cluster_core})
tier_mutant(retirements_are_refused_without_a_record cluster/retirement.cpp
  [=[    return refusals.Refuse(node, order.refusals_seen,
                           {ErrorCode::kConflict, "too few stores would be left"});]=]
  [=[    return MakeError(ErrorCode::kConflict, "too few stores would be left");]=]
  TEST cluster/core_service_test RUN a_refused_retirement_is_not_executed_unless_it_is_confirmed
  LIBRARIES ${cluster_core})
