# One test per mutant: the replica with one text replaced, run with one case of a test program, which
# must then fail. The text must occur exactly once in its file.
foreach(cases catch_up catch_up_bounds replica)
  add_library(tier_${cases}_cases OBJECT ${cases}_test.cpp)
  target_compile_definitions(tier_${cases}_cases PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(tier_${cases}_cases PRIVATE ${PROJECT_SOURCE_DIR}/tests/tier
    ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(tier_${cases}_cases PRIVATE tier_replica_site Boost::unit_test_framework
    gaugecart_warnings)
endforeach()

function(replica_mutant name file cases case text replacement)
  tier_mutated_source(mutated ${name} coordination/${file} "${text}" "${replacement}")
  add_executable(tier_mutant_${name} ${mutated})
  target_include_directories(tier_mutant_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(tier_mutant_${name} PRIVATE tier_${cases}_cases tier_replica_site
    Boost::unit_test_framework gaugecart_warnings)
  tier_mutant_program(tier_mutant_${name})
  target_compile_options(tier_mutant_${name} PRIVATE $<$<CONFIG:Debug>:-O1>)
  add_test(NAME tier.mutant_${name} COMMAND tier_mutant_${name} --run_test=${case})
  set_tests_properties(tier.mutant_${name} PROPERTIES WILL_FAIL TRUE)
endfunction()

replica_mutant(copied_bytes_are_never_synced replica_learner.cpp catch_up_bounds
  a_learner_replaces_all_values_in_bounded_steps_with_syncs_between
  [=[session_->unsynced_bytes >= options_.copied_bytes_a_sync]=] [=[false]=])
replica_mutant(commits_never_wait_for_a_learner replica_primary.cpp catch_up
  catch_up_ends_under_continuous_writes
  [=[    WaitForLearner(step, follower);
]=] "")
replica_mutant(commits_wait_for_a_learner_forever replica_primary.cpp replica
  commits_wait_for_a_learner_for_a_time_only
  [=[= step.now + options_.join_wait;]=] [=[= net::Time::max();]=])
replica_mutant(copies_in_large_answers replica_primary.cpp catch_up catch_up_ends_on_a_slow_link
  [=[options_.most_copied_bytes)]=] [=[options_.most_message_bytes)]=])
replica_mutant(the_catch_up_timeout_never_grows replica_learner.cpp catch_up catch_up_ends_on_a_link_slower_than_its_timeouts
  [=[    BeMorePatient();
]=] "")
replica_mutant(replies_of_an_earlier_process_count replica_primary.cpp replica
  an_earlier_process_of_a_learner_vouches_for_nothing
  [=[    if (message.session == follower.session) {]=] [=[    if (true) {]=])
replica_mutant(a_malformed_message_is_applied_in_part replica.cpp replica
  a_message_whose_entries_do_not_follow_each_other_leaves_nothing_behind
  [=[  if (!FollowEachOther(message)) return;  // Malformed.
]=] "")
replica_mutant(lost_entries_are_not_detected replica.cpp replica
  a_learner_that_lost_entries_has_not_caught_up
  [=[    if (session_) session_->lost_entries = true;
]=] "")
replica_mutant(resends_do_not_back_off replica_primary.cpp catch_up
  catch_up_ends_on_a_link_slower_than_its_timeouts
  [=[      ++follower.resends;
]=] "")
replica_mutant(complete_before_the_newest_entry replica_learner.cpp catch_up
  the_map_reported_after_catch_up_is_consistent
  [=[  if (applied_.sequence < session_->newest.sequence) return;
]=] "")
replica_mutant(all_of_a_map_is_digested_in_one_step catch_up.cpp catch_up_bounds
  a_learner_that_has_all_compares_a_large_map_in_bounded_steps
  [=[const bool computed = bytes < limits.step_bytes;]=] [=[const bool computed = true;]=])
replica_mutant(all_of_a_map_is_counted_in_one_step catch_up.cpp catch_up_bounds
  an_empty_learner_copies_a_large_map_in_bounded_steps
  [=[if (bytes_ >= enough) {]=] [=[if (false) {]=])
replica_mutant(a_learner_digests_more_than_the_primary_has catch_up.cpp catch_up_bounds
  a_learner_removes_much_that_the_primary_lacks_in_bounded_steps
  [=[return stored.keys <= digest.keys && stored.bytes <= digest.bytes;]=] [=[return true;]=])
replica_mutant(a_learner_replaces_all_in_one_step replica_learner.cpp catch_up_bounds
  a_learner_removes_much_that_the_primary_lacks_in_bounded_steps
  [=[  LimitStoredBytes(StoredMap(step.storage), options_.most_replaced_bytes, contents);
]=] "")
replica_mutant(the_rest_of_a_range_is_forgotten catch_up.cpp catch_up_bounds
  one_key_that_differs_is_found_in_a_large_map
  [=[    pending_.push_front({digest->range, digest->computed || map.IsEmpty(digest->range)});
]=] [=[    if (digest->computed) pending_.push_front({digest->range, true});
]=])
replica_mutant(what_was_not_read_counts_as_different catch_up.cpp catch_up_bounds
  a_learner_that_has_all_compares_a_large_map_in_bounded_steps
  [=[digest->computed || map.IsEmpty(digest->range)]=] [=[true]=])
