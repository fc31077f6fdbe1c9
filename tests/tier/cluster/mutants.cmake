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
