# Mutants of what a core member does while its disk refuses and afterwards.
function(full_disk_mutant case name file text replacement)
  tier_mutant(${name} ${file} "${text}" "${replacement}" TEST coordination/full_disk_test
    RUN ${case} LIBRARIES shelflink_tier_coordination shelflink_virtual)
endfunction()

full_disk_mutant(a_member_whose_disk_was_full_stores_again
  a_failure_is_for_good coordination/group.cpp
  [=[  if (storage_->Recover().has_error()) {]=] [=[  if (storage_->failed()) {]=])
full_disk_mutant(*
  what_was_in_memory_survives_a_failure coordination/group.cpp
  [=[  ++generation_;
  member_ = std::make_unique]=] [=[  if (member_) return;
  ++generation_;
  member_ = std::make_unique]=])
full_disk_mutant(a_member_notices_in_the_step_that_writes_that_its_disk_refuses
  what_a_refusing_disk_was_to_store_is_told coordination/group.cpp
  [=[  if (step.storage.failed()) {]=] [=[  if (step.storage.failed() && false) {]=])
full_disk_mutant(who_comes_back_is_another_incarnation_and_counts_its_failures
  the_incarnation_outlasts_a_recovery coordination/group.cpp
  [=[  if (generation_ > 1) member.incarnation = random_();]=] "")
full_disk_mutant(the_owner_is_told_no_older_map_than_before
  the_owner_is_told_an_older_map_after_a_recovery coordination/group.cpp
  [=[  member.told = delivered_sequence_;]=] "")
full_disk_mutant(a_system_whose_disks_are_all_full_at_its_first_start_is_founded_later
  a_full_disk_at_the_first_start_founds_nothing coordination/group.cpp
  [=[  member.found = has_disk && may_bootstrap_;]=] [=[  member.found = has_disk && may_bootstrap_ && generation_ == 1;]=])
full_disk_mutant(a_process_whose_disk_refuses_stays_while_a_record_names_the_disk
  a_process_whose_disk_refuses_may_end_at_once coordination/group.cpp
  [=[released = !MayHoldReplica()]=] [=[released = true]=])
full_disk_mutant(a_system_whose_processes_end_between_identity_and_founding_is_founded_later
  only_the_process_that_drew_an_identity_may_found coordination/group.cpp
  [=[(identity.is_new || HoldsIdentityOnly(*storage_))]=] [=[identity.is_new]=])
full_disk_mutant(a_disk_that_held_a_record_never_founds_again
  a_disk_that_held_a_record_may_found_again coordination/group.cpp
  [=[ && !Witness::HasStored(storage);]=] [=[;]=])

# What the explorer's world does with a full disk, replaced: its steps "full" and "room" find it.
function(full_disk_world_mutant name text replacement)
  add_coordination_mutant(tier_mutant_main ${name}
    ../../../tests/tier/coordination/world.cpp "${text}" "${replacement}")
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name} 6)
endfunction()

full_disk_world_mutant(a_disk_with_room_again_stays_out
  [=[  if (!nodes[node].refuses) return;]=] [=[  return;]=])
full_disk_world_mutant(a_failed_batch_is_kept_in_memory
  [=[  Crash(node, kept);
  nodes[node].refuses = true;
  StartMember(node, false, true);]=]
  [=[  Node& one = nodes[node];
  const auto syncs = std::exchange(one.syncs, {});
  one.disk.Crash(kept);
  for (const auto& [ticket, covered] : syncs) {
    Run(node, [&, told = ticket](Member& member, Step& step, MemberOutput& out) {
      member.OnSynced(step, out, told);
    });
  }]=])

# Answers of processes whose disks refuse.
tier_mutant(an_answer_without_a_disk_counts_as_a_replaced_witness coordination/record.cpp
  [=[  if (base.number == 0 || member.disk.empty()) return nullptr;]=]
  [=[  if (base.number == 0) return nullptr;]=]
  TEST coordination/member_test RUN an_answer_without_a_disk_is_that_of_no_replaced_witness
  LIBRARIES shelflink_tier_replication tier_coordination_world)
tier_mutant(a_witness_without_a_disk_counts_as_gone coordination/member_peers.cpp
  [=[  return !found->second.member.disk.empty() && found->second.member.disk != member.disk;]=]
  [=[  return found->second.member.disk != member.disk;]=]
  TEST coordination/member_test
  RUN a_primary_does_not_take_witnesses_without_a_disk_for_replaced_ones
  LIBRARIES shelflink_tier_replication tier_coordination_world)
# When it is tried again.
tier_mutant(a_failure_soon_after_a_recovery_begins_the_pauses_anew coordination/disk_health.cpp
  [=[  if (!soon_after_recovery) back_off_.Reset();]=] [=[  back_off_.Reset();]=]
  TEST coordination/disk_health_test
  RUN a_failure_soon_after_a_recovery_goes_on_where_the_last_one_stood
  LIBRARIES shelflink_tier_coordination)
