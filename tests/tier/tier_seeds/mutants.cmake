# One program a mutant (mutants.cmake of the folder above): a text of the product replaced, played until a day
# finds something.
set(mutant_seeds 60)
set(mutant_options "")  # What days the seeds play, as options of tier_seeds.
function(tier_seeds_mutant name file text replacement)
  tier_mutated_source(mutated ${name} ${file} "${text}" "${replacement}")
  add_executable(tier_seeds_mutant_${name} main.cpp ${mutated})
  target_link_libraries(tier_seeds_mutant_${name} PRIVATE tier_seeds_world CLI11::CLI11 ${ARGN}
    gaugecart_warnings)
  tier_mutant_program(tier_seeds_mutant_${name})
  target_compile_options(tier_seeds_mutant_${name} PRIVATE $<$<CONFIG:Debug>:-O1>)
  add_test(NAME tier.seeds_mutant_${name}
    COMMAND tier_seeds_mutant_${name} --until-found --from 1 --count ${mutant_seeds}
      ${mutant_options})
  set_tests_properties(tier.seeds_mutant_${name} PROPERTIES TIMEOUT 600)
endfunction()

tier_seeds_mutant(orders_taken_are_forgotten configuration/book.cpp
  [=[  if (WasTaken(committed, *version, digest)) return JudgedPlan{};]=] "" PkgConfig::GLIB)
tier_seeds_mutant(any_base_is_current configuration/book.cpp
  [=[  if (order.base_version < current.version) return Conflict(current.version);]=] ""
  PkgConfig::GLIB)
tier_seeds_mutant(surplus_answers_are_taken proxy/response_classifier.cpp
  [=[if (!id.empty() && id != expected.request_id)]=] [=[if (id.empty())]=])
tier_seeds_mutant(all_requests_may_run_again proxy/active_call.cpp
  [=[      repeatable(request.batch]=] [=[      repeatable(true || request.batch]=])
tier_seeds_mutant(quotas_are_not_heeded batch/job_book.cpp
  [=[  if (!Fits(submit, owner, TokensOf(submit.items))) {]=] [=[  if (false) {]=] PkgConfig::GLIB)
tier_seeds_mutant(drains_are_not_told cluster/view_codec.cpp
  [=[  entry.draining = reader.Bool();]=] [=[  entry.draining = reader.Bool() && false;]=])

# What was acknowledged stands on too few disks: seen where disks are lost while all others lose power.
set(mutant_options --close-with-loss)
tier_seeds_mutant(told_before_it_is_synced coordination/replica.cpp
  [=[  if (last_wanted_ <= last_synced_) {]=] [=[  if (last_wanted_ <= last_synced_ || true) {]=]
  PkgConfig::GLIB)
tier_seeds_mutant(acknowledged_by_the_primary_alone coordination/replica_primary.cpp
  [=[    if (disk != options_.disk) limit_by(disk);]=] "" PkgConfig::GLIB)
