# One test a mutant (mutants.cmake of the folder above): a state machine with one text replaced, explored
# until something is broken.
add_library(tier_mutant_main OBJECT mutant_main.cpp)
target_link_libraries(tier_mutant_main PRIVATE tier_coordination_world gaugecart_warnings)

function(coordination_mutant name file text replacement)
  tier_mutated_source(mutated ${name} coordination/${file} "${text}" "${replacement}")
  add_executable(tier_mutant_${name} ${mutated})
  target_link_libraries(tier_mutant_${name} PRIVATE tier_mutant_main tier_coordination_world
    gaugecart_warnings)
  target_compile_options(tier_mutant_${name} PRIVATE -Wno-unused-parameter -Wno-unused-variable
    $<$<CONFIG:Debug>:-O1>)
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name})
endfunction()

coordination_mutant(votes_are_not_stored witness.cpp
  [=[  step.storage.Apply(batch);
  step.wants_sync = true;]=] "")
coordination_mutant(votes_against_a_lease witness.cpp
  [=[  return std::max(granted_until_ - now, net::Span::zero());]=] [=[  return {};]=])
coordination_mutant(lease_after_an_accepted_vote witness.cpp
  [=[  if (state_.value && state_.value->primary != primary) return false;]=] "")
coordination_mutant(lower_ballots_are_accepted witness.cpp
  [=[  if (!MayFollow(step.now, request, reply)) return reply;
  if (request.ballot != state_.accepted) {]=]
  [=[  if (!MayFollow(step.now, request, reply) && reply.blocking == Ballot()) return reply;
  reply.blocking = {};
  if (request.ballot != state_.accepted) {]=])
coordination_mutant(earlier_proposals_are_ignored proposer.cpp
  [=[value_ = found_ ? *found_ : own;]=] [=[value_ = own;]=])
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
  if (record().number > 0) return true;]=])
coordination_mutant(too_few_replicas_suffice choice.cpp
  [=[  AddUpTo(chosen, situation.silent, situation.least);]=] "")
