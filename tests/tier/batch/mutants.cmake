# What keeps batch jobs is taken out one check at a time; each must be found (docs/design/hardening.md).
set(batch_store_libraries shelflink_tier_store shelflink_tier_core shelflink_virtual)

tier_mutant(lost_copies_are_dropped_at_once cluster/placement_planner.cpp
  [=[  if (CountWhole(partition, copies) < rules_.copies) return;
]=] "" TEST batch/store_loss_test RUN many_lose_power_and_then_disks_are_lost
  LIBRARIES ${batch_store_libraries})
tier_mutant(stalled_copies_are_dropped_at_once cluster/placement_planner.cpp
  [=[if (copy.complete || !lost) continue;]=] [=[if (!lost) continue;]=]
  TEST batch/store_loss_test RUN disks_are_lost_while_a_joiner_comes_for_a_stalled_backup
  LIBRARIES ${batch_store_libraries})
tier_mutant(told_before_it_is_durable batch/partition_server.cpp
  [=[  if (book_.revision() <= durable_) {
    reply(]=] [=[  if (true) {
    Changed();
    reply(]=]
  TEST batch/store_loss_test RUN many_lose_power_and_then_disks_are_lost,promises_hold_*
  LIBRARIES ${batch_store_libraries})
tier_mutant(a_part_of_a_partition_stands_still batch/hosted_partition.cpp
  [=[  return alone && !replica_.complete();]=] [=[  return false;]=]
  TEST batch/store_loss_test RUN a_partition_that_lost_every_complete_copy_takes_new_jobs
  LIBRARIES ${batch_store_libraries})
tier_mutant(leases_count_under_any_placement cluster/agent.cpp
  [=[    if (!relay.IsStale(Part::kPlacement)) lease.ExtendPlacement();]=]
  [=[    lease.ExtendPlacement();]=]
  TEST cluster/agent_test RUN a_lease_decides_nothing_by_a_placement_that_was_replaced
  LIBRARIES shelflink_tier_core shelflink_virtual)
tier_mutant(whoever_ends_inside_an_event_is_whole batch/item_run.cpp
  [=[ && !inside_event_;]=] [=[;]=]
  TEST batch/item_run_test RUN an_answer_that_ends_inside_an_event_is_not_whole
  LIBRARIES shelflink_tier_batch_front shelflink_virtual)
tier_mutant(repeats_are_counted_as_new batch/job_book.cpp
  [=[  if (const auto found = jobs_.FindKey(key)) {]=]
  [=[  const auto found = jobs_.FindKey(key);
  if (found && Fits(submit, owner, TokensOf(submit.items))) {]=]
  TEST batch/job_book_test RUN a_job_that_comes_again_is_never_refused_for_the_quota
  LIBRARIES shelflink_tier_batch_book)
tier_mutant(failures_are_forgotten_by_the_next_primary batch/job_book_runs.cpp
  [=[  Store(RecordKey(RecordKind::kAttempts, at.job->key, at.item), EncodeRecord(item.attempts));
]=] "" TEST batch/job_book_test RUN an_item_that_always_fails_runs_as_often_as_it_may_and_no_more
  LIBRARIES shelflink_tier_batch_book)
tier_mutant(a_report_counts_as_often_as_it_comes batch/job_book_runs.cpp
  [=[  if (std::find(failed.begin(), failed.end(), lease) != failed.end()) return;
]=] "" TEST batch/job_book_test RUN an_item_that_always_fails_runs_as_often_as_it_may_and_no_more
  LIBRARIES shelflink_tier_batch_book)
tier_mutant(impossible_items_run_again batch/job_book_runs.cpp
  [=[      ListItem(*at, ResultState::kDeadLetter, {});
      return;]=] [=[      break;]=]
  TEST batch/job_book_test RUN an_item_that_can_never_be_done_is_given_up_at_once
  LIBRARIES shelflink_tier_batch_book)
# A store on a disk that refuses.
tier_mutant(a_disk_that_failed_is_vouched_for batch/store_disk.cpp
  [=[  if (!storage_->failed()) {]=] [=[  if (true) {]=]
  TEST batch/store_disk_test RUN work_on_a_disk_that_failed_ends_at_once_and_begins_again_with_room
  LIBRARIES ${batch_store_libraries})
tier_mutant(a_disk_that_refused_is_looked_at_no_more batch/store_disk.cpp
  [=[  ArmIn(pauses_.NextPause());]=] ""
  TEST batch/store_disk_test RUN a_full_disk_is_looked_at_at_least_each_second_and_moves_nothing
  LIBRARIES ${batch_store_libraries})
tier_mutant(room_is_looked_for_every_eight_seconds foundation/back_off.cpp
  [=[std::min(2 * pause, bounds_.longest)]=] [=[std::min(2 * pause, 8 * bounds_.longest)]=]
  TEST batch/store_disk_test RUN a_disk_that_cannot_be_opened_is_tried_again_at_least_each_second
  LIBRARIES ${batch_store_libraries})
tier_mutant(every_look_that_finds_room_is_a_return batch/store_disk.cpp
  [=[  if (loop_.Now() - *taking_since_ < probation_) {]=] [=[  if (false) {]=]
  TEST batch/store_disk_test
  RUN a_disk_that_fails_soon_after_each_return_comes_back_ever_more_seldom
  LIBRARIES ${batch_store_libraries})
tier_mutant(a_full_disk_is_never_asked_again batch/hosted_partition.cpp
  [=[  AskFullDisks();
]=] "" TEST batch/store_disk_test RUN a_partition_takes_jobs_again_once_a_backups_disk_has_room
  LIBRARIES ${batch_store_libraries})
tier_mutant(copies_are_taken_whatever_room_is_left batch/replica_host.cpp
  [=[constexpr double kCopyShare = 0.9;]=] [=[constexpr double kCopyShare = 9.0;]=]
  TEST batch/store_disk_test RUN a_disk_with_little_room_takes_no_copies_and_keeps_what_it_has
  LIBRARIES ${batch_store_libraries})
tier_mutant(results_are_taken_whatever_room_is_left batch/replica_host.cpp
  [=[constexpr double kResultShare = 0.95;]=] [=[constexpr double kResultShare = 9.5;]=]
  TEST batch/store_disk_test RUN a_disk_with_hardly_any_room_takes_ends_and_no_results
  LIBRARIES ${batch_store_libraries})
tier_mutant(a_store_whose_disk_refuses_is_silent batch/store_process.cpp
  [=[  work.wait = [this](const storage::Storage& disk) { Wait(disk); };
  work.end_wait = [this] { waiting_.reset(); };
]=] "" TEST batch/store_disk_test RUN the_core_tells_that_a_stores_disk_refuses
  LIBRARIES ${batch_store_libraries})

# Which room goes to which work.
tier_mutant(room_goes_to_stores_in_turn batch/offer_schedule.cpp
  [=[    if (!store.hungry()) continue;]=] [=[    if (store.offering) continue;]=]
  TEST batch/offer_schedule_test
  RUN a_store_that_tells_of_nothing_takes_no_room,one_store_with_work_gets_all_room_*
  LIBRARIES shelflink_tier_batch_front shelflink_tier_batch_book)
tier_mutant(waiting_work_is_told_to_nobody batch/proxy_room.cpp
  [=[    if (!entry.told) ]=] [=[    if (false) ]=]
  TEST batch/offer_schedule_test RUN one_store_with_work_gets_all_room_*,a_small_job_is_spread_*
  LIBRARIES shelflink_tier_batch_book shelflink_tier_batch_front)
tier_mutant(small_stores_get_room_by_what_waits_alone batch/offer_schedule.cpp
  [=[constexpr double kEvenPart = 0.5;]=] [=[constexpr double kEvenPart = 0.0;]=]
  TEST batch/offer_schedule_test RUN no_store_with_work_starves_beside_others_with_more
  LIBRARIES shelflink_tier_batch_front shelflink_tier_batch_book)
tier_mutant(due_times_are_ignored batch/run_queue.cpp
  [=[  owner->second.jobs.emplace(entry.job.due, job);]=]
  [=[  owner->second.jobs.emplace(-entry.job.due, job);]=]
  TEST batch/run_queue_test RUN the_job_due_first_goes_first
  LIBRARIES shelflink_tier_batch_book)
tier_mutant(what_is_late_goes_before_the_rest batch/run_queue.cpp
  [=[  const Micros left = entry.job.due - now;]=] [=[  const Micros left = entry.job.aim;]=]
  TEST batch/run_queue_test RUN what_can_still_be_done_when_due_goes_before_what_cannot
  LIBRARIES shelflink_tier_batch_book)
tier_mutant(every_sidecar_sends_batch_calls_everywhere policy/batch_owners.cpp
  [=[  return next->node_hash == HashOf(node);]=] [=[  return true;]=]
  TEST policy/batch_share_test RUN owners/each_endpoint_has_one_owner_in_its_zone
  LIBRARIES shelflink_tier_policy)
tier_mutant(a_store_without_a_lease_decides batch/hosted_partition.cpp
  [=[  return leading() && newest_epoch_ <= row_.epoch && !around_.storage.failed() &&
         around_.loop.Now() < around_.lease_until();]=]
  [=[  return leading() && newest_epoch_ <= row_.epoch && !around_.storage.failed();]=]
  TEST batch/peer_frames_test RUN peer_frames/a_store_whose_lease_has_run_out_decides_nothing
  LIBRARIES ${batch_store_libraries})
