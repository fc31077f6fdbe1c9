# Mutants of the behaviour of a core member while its disk refuses writes, and afterwards.
function(full_disk_mutant case name file text replacement)
  tier_mutant(${name} ${file} "${text}" "${replacement}" TEST coordination/full_disk_test
    RUN ${case} LIBRARIES shelflink_tier_coordination shelflink_virtual)
endfunction()

full_disk_mutant(a_member_whose_disk_was_full_accepts_writes_again
  a_disk_failure_is_permanent coordination/group.cpp
  [=[  if (storage_->Recover().has_error()) {]=] [=[  if (storage_->failed()) {]=])
full_disk_mutant(*
  member_state_in_memory_survives_a_disk_failure coordination/group.cpp
  [=[  ++generation_;
  member_ = std::make_unique]=] [=[  if (member_) return;
  ++generation_;
  member_ = std::make_unique]=])
full_disk_mutant(a_member_detects_a_full_disk_in_the_step_that_writes
  messages_of_a_step_with_a_failed_write_are_sent coordination/group.cpp
  [=[  if (step.storage.failed()) {]=] [=[  if (step.storage.failed() && false) {]=])
full_disk_mutant(a_recovered_member_has_a_new_incarnation_and_counts_its_failures
  the_incarnation_survives_a_recovery coordination/group.cpp
  [=[  if (generation_ > 1) member.incarnation = random_();]=] "")
full_disk_mutant(the_owner_never_receives_an_older_map_than_before
  the_owner_receives_an_older_map_after_a_recovery coordination/group.cpp
  [=[  member.told = delivered_sequence_;]=] "")
full_disk_mutant(a_system_with_full_disks_at_its_first_start_bootstraps_later
  a_full_disk_at_the_first_start_prevents_bootstrap coordination/group.cpp
  [=[  member.found = has_disk && may_bootstrap_;]=] [=[  member.found = has_disk && may_bootstrap_ && generation_ == 1;]=])
full_disk_mutant(a_process_with_a_failed_disk_stays_while_a_record_names_the_disk
  a_process_with_a_failed_disk_may_end_at_once coordination/group.cpp
  [=[released = !MayHoldReplica()]=] [=[released = true]=])
full_disk_mutant(a_system_whose_processes_end_between_identity_and_bootstrap_bootstraps_later
  only_the_process_that_drew_an_identity_may_bootstrap coordination/group.cpp
  [=[(identity.is_new || HoldsIdentityOnly(*storage_))]=] [=[identity.is_new]=])
full_disk_mutant(a_disk_that_held_a_record_never_bootstraps_again
  a_disk_that_held_a_record_may_bootstrap_again coordination/group.cpp
  [=[ && !Witness::HasStored(storage);]=] [=[;]=])

# Mutants of the handling of full disks in the explorer's world, detected by its steps "full" and "room".
function(full_disk_world_mutant name text replacement)
  add_coordination_mutant(tier_mutant_main ${name}
    ../../../tests/tier/coordination/world.cpp "${text}" "${replacement}")
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name} 6)
endfunction()

full_disk_world_mutant(a_disk_with_space_again_stays_excluded
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

# Replies of processes whose disks refuse writes.
tier_mutant(a_reply_without_a_disk_counts_as_a_replaced_witness coordination/record.cpp
  [=[  if (base.epoch == 0 || member.disk.empty()) return nullptr;]=]
  [=[  if (base.epoch == 0) return nullptr;]=]
  TEST coordination/member_test RUN an_answer_without_a_disk_is_that_of_no_replaced_witness
  LIBRARIES shelflink_tier_replication tier_coordination_world)
tier_mutant(a_witness_without_a_disk_counts_as_replaced coordination/member_peers.cpp
  [=[  return !found->second.member.disk.empty() && found->second.member.disk != member.disk;]=]
  [=[  return found->second.member.disk != member.disk;]=]
  TEST coordination/member_test
  RUN a_primary_does_not_take_witnesses_without_a_disk_for_replaced_ones
  LIBRARIES shelflink_tier_replication tier_coordination_world)
# The back-off between recovery attempts.
tier_mutant(a_failure_soon_after_a_recovery_restarts_the_back_off coordination/disk_health.cpp
  [=[  if (!soon_after_recovery) back_off_.Reset();]=] [=[  back_off_.Reset();]=]
  TEST coordination/disk_health_test
  RUN a_failure_soon_after_a_recovery_continues_the_back_off
  LIBRARIES shelflink_tier_coordination)
