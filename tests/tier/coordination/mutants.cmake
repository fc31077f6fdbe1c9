# One test a mutant (mutants.cmake of the folder above): a state machine with one text replaced, explored
# until something is broken.
add_library(tier_mutant_main OBJECT mutant_main.cpp)
target_link_libraries(tier_mutant_main PRIVATE tier_coordination_world gaugecart_warnings)
add_library(tier_second_loss_main OBJECT second_loss_test.cpp)
target_compile_definitions(tier_second_loss_main PRIVATE BOOST_TEST_DYN_LINK)
target_link_libraries(tier_second_loss_main PRIVATE tier_coordination_world gaugecart_warnings
  Boost::unit_test_framework)

# Makes the program tier_mutant_NAME: `main` with the mutated file.
function(add_coordination_mutant main name file text replacement)
  tier_mutated_source(mutated ${name} coordination/${file} "${text}" "${replacement}")
  add_executable(tier_mutant_${name} ${mutated})
  target_link_libraries(tier_mutant_${name} PRIVATE ${main} tier_coordination_world
    gaugecart_warnings)
  tier_mutant_program(tier_mutant_${name})
  target_compile_options(tier_mutant_${name} PRIVATE $<$<CONFIG:Debug>:-O1>)
endfunction()

# Explored until something is found broken.
function(coordination_mutant name file text replacement)
  add_coordination_mutant(tier_mutant_main ${name} ${file} "${text}" "${replacement}")
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name})
endfunction()

# Found by that case of second_loss_test, which passes with the program itself.
function(second_loss_mutant case name file text replacement)
  add_coordination_mutant(tier_second_loss_main ${name} ${file} "${text}" "${replacement}")
  target_link_libraries(tier_mutant_${name} PRIVATE Boost::unit_test_framework)
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name} --run_test=${case})
  set_tests_properties(tier.mutant_${name} PROPERTIES
    PASS_REGULAR_EXPRESSION "error: in \"${case}\"" FAIL_REGULAR_EXPRESSION "AddressSanitizer")
endfunction()

coordination_mutant(votes_are_not_stored witness.cpp
  [=[  step.storage.Apply(batch);
  step.wants_sync = true;]=] "")
coordination_mutant(votes_against_a_lease witness.cpp
  [=[  return std::max(lease_until_ - now, net::Span::zero());]=] [=[  return {};]=])
coordination_mutant(lease_after_an_accepted_vote witness.cpp
  [=[  if (state_.value && state_.value->primary != primary) return false;]=] "")
coordination_mutant(lower_ballots_are_accepted witness.cpp
  [=[  if (!MayAgree(step.now, request, reply)) return reply;
  if (request.ballot != state_.accepted) {]=]
  [=[  if (!MayAgree(step.now, request, reply) && reply.blocking == Ballot()) return reply;
  reply.blocking = {};
  if (request.ballot != state_.accepted) {]=])
coordination_mutant(earlier_proposals_are_ignored proposer.cpp
  [=[value_ = earlier_value_ ? *earlier_value_ : own;]=] [=[value_ = own;]=])
coordination_mutant(one_vote_decides proposer.cpp
  [=[  if (HasQuorum()) phase_ = Phase::kDecided;]=]
  [=[  phase_ = Phase::kDecided;]=])
coordination_mutant(acknowledged_by_the_primary_alone replica_primary.cpp
  [=[    if (disk != options_.disk) limit_by(disk);]=] "")
coordination_mutant(told_before_it_is_synced replica.cpp
  [=[  if (last_wanted_ <= last_synced_) {]=] [=[  if (last_wanted_ <= last_synced_ || true) {]=])
coordination_mutant(entries_of_another_primary_stay replica.cpp
  [=[      if (At(sequence).position == entry.position) continue;
      Truncate(batch, sequence);]=] [=[      continue;]=])
coordination_mutant(who_joins_is_not_waited_for replica_primary.cpp
  [=[  for (const std::string& disk : required_) limit_by(disk);]=] "")
coordination_mutant(an_older_map_is_told replica.cpp
  [=[  if (!reset_due_ || applied_.sequence < told_) return;]=] [=[  if (!reset_due_) return;]=])
coordination_mutant(lease_counted_from_the_answer member_lease.cpp
  [=[  const net::Time until = sent_at + options_.lease]=]
  [=[  const net::Time until = step.now + options_.lease]=])
coordination_mutant(half_a_map_may_lead member_election.cpp
  [=[  if (!has_disk() || acting_ || !replica_.complete()) return false;]=]
  [=[  if (!has_disk() || acting_) return false;
  if (record().epoch > 0) return true;]=])
coordination_mutant(too_few_replicas_suffice member_selection.cpp
  [=[  AddUpTo(chosen, candidates.silent, candidates.min_count);]=] "")
coordination_mutant(a_witness_that_answers_is_taken_for_lost record.cpp
  [=[  if (FindDisk(base.witnesses, member.disk) != nullptr) return nullptr;]=] "")
second_loss_mutant(the_tolerated_number_of_disks_is_lost_at_once
  witnesses_are_always_odd member_selection.cpp
  [=[  return odd || disks <= 2 * failures ? disks : disks - 1;]=]
  [=[  return odd ? disks : disks - 1;]=])
second_loss_mutant(the_tolerated_number_of_disks_is_lost_at_once
  lost_witnesses_are_waited_for record.cpp
  [=[  return replaced > 0 && agreed + replaced >= base.witnesses.size();]=] [=[  return false;]=])
second_loss_mutant(lost_witnesses_that_may_have_decided_alone_block_the_others
  lost_witnesses_cannot_have_decided record.cpp
  [=[  if (replaced >= Majority(base)) return false;  // They may have decided a record alone.]=] "")
second_loss_mutant(a_machine_stays_until_enough_others_have_the_whole_map
  a_leaver_waits_for_nobody member_change.cpp
  [=[  if (FindDisk(record().replicas, options_.self.disk) == nullptr) {
    leaving_ = false;]=]
  [=[  {
    leaving_ = false;]=])

# Repair begins when a loss is known.
tier_mutant(owing_is_judged_with_the_renewals coordination/member_change.cpp
  [=[    if (const auto owing_since = replica_.Owing(replica.disk)) judge_since(*owing_since);]=] ""
  TEST coordination/member_test RUN a_spare_copies_as_soon_as_a_replica_has_owed_for_too_long
  LIBRARIES tier_coordination_world)

# Large entries: leases and records go between their parts.
tier_mutant(leases_wait_behind_entries coordination/group.cpp
  [=[{.urgent = !IsReplicationMessage(message)}]=] [=[{.urgent = false}]=]
  TEST coordination/group_test RUN a_large_entry_in_transit_does_not_cost_the_primary_its_lease
  LIBRARIES shelflink_tier_coordination shelflink_virtual)
tier_mutant(what_is_on_its_way_is_sent_again coordination/replica_primary.cpp
  [=[  follower.sent_at = LeavesAt(step.now, bytes);]=] [=[  follower.sent_at = step.now;]=]
  TEST coordination/replica_test RUN what_is_still_on_its_way_is_neither_sent_again_nor_owed
  LIBRARIES shelflink_tier_replication)
tier_mutant(who_has_not_synced_everything_joins coordination/replica_primary.cpp
  [=[  return found != followers_.end() && found->second.joined &&
         found->second.synced >= applied_.sequence;]=]
  [=[  return found != followers_.end() && found->second.joined;]=]
  TEST coordination/replica_test RUN commits_wait_for_a_learner_for_a_time_only
  LIBRARIES shelflink_tier_replication)

# A refused request is not executed by a copy that was held up: each check of refusals.cpp removed.
function(refusals_mutant name text replacement cases)
  tier_mutant(${name} coordination/refusals.cpp "${text}" "${replacement}"
    TEST coordination/refusals_test RUN ${cases} LIBRARIES shelflink_tier_refusals)
endfunction()
refusals_mutant(refusals_are_not_recorded
  [=[  plan.writes.push_back({RecordKey(id), number});]=] ""
  what_was_refused_is_accepted_only_when_it_is_confirmed)
refusals_mutant(any_confirmation_will_do
  [=[  if (refusals_seen < refusal) return]=] [=[  if (refusals_seen == 0 && refusal > 0) return]=]
  a_later_refusal_needs_a_later_confirmation)
refusals_mutant(dropped_refusals_are_forgotten
  [=[  return dropped && id >= dropped->from ? dropped->number : 0;]=] [=[  return 0;]=]
  the_limit_forgets_no_refusal)
refusals_mutant(the_mark_of_dropped_refusals_moves_up
  [=[    mark.from = std::min(mark.from, earlier->from);]=] ""
  what_was_dropped_may_be_refused_again)
refusals_mutant(what_was_dropped_is_refused_under_its_old_number
  [=[  if (refusals_seen < NumberOf(id)) return plan;]=] [=[  if (NumberOf(id) > 0) return plan;]=]
  what_was_dropped_may_be_refused_again)
