# One test a mutant: a source file with one text replaced, and the case that must find it. A text
# that does not stand in its file exactly once is an error, so that no mutant is the program itself.
foreach(suite exchange_table live_rules stale_list stale_list_tolerance)
  add_library(tier_proxy_${suite}_cases OBJECT ${suite}_test.cpp)
  target_include_directories(tier_proxy_${suite}_cases PRIVATE ${PROJECT_SOURCE_DIR}/tests/tier
    ${PROJECT_SOURCE_DIR}/src)
  target_compile_definitions(tier_proxy_${suite}_cases PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(tier_proxy_${suite}_cases PUBLIC shelflink_tier_proxy shelflink_virtual
    Boost::unit_test_framework PRIVATE gaugecart_warnings)
endforeach()
target_link_libraries(tier_proxy_stale_list_cases PUBLIC shelflink_tier_proxy_program
  shelflink_tier_core shelflink_tier_coordination)
target_link_libraries(tier_proxy_stale_list_tolerance_cases PUBLIC shelflink_tier_proxy_program
  shelflink_tier_core)

function(proxy_mutant name suite case file text replacement)
  tier_mutated_source(mutated ${name} ../${file} "${text}" "${replacement}")
  add_executable(tier_proxy_mutant_${name} ${mutated})
  target_include_directories(tier_proxy_mutant_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(tier_proxy_mutant_${name} PRIVATE tier_proxy_${suite}_cases
    gaugecart_warnings)
  tier_mutant_program(tier_proxy_mutant_${name})
  add_test(NAME tier.proxy_mutant_${name} COMMAND tier_proxy_mutant_${name} --run_test=${case})
  set_tests_properties(tier.proxy_mutant_${name} PROPERTIES
    PASS_REGULAR_EXPRESSION "failures? (is|are) detected in the test module")
endfunction()

proxy_mutant(early_answers_count_as_unsent exchange_table every_cell_of_the_table
  tier/proxy/endpoint_calls.cpp
  [=[milliseconds(0), true, true, true}]=] [=[milliseconds(0), true, true, false}]=])
proxy_mutant(reused_after_an_early_answer exchange_table every_cell_of_the_table
  sidecar/upstream.cpp [=[written_ && !early_ && !skipped_]=] [=[written_ && !skipped_]=])
proxy_mutant(reused_after_a_surplus_answer exchange_table every_cell_of_the_table
  sidecar/upstream.cpp [=[written_ && !early_ && !skipped_]=] [=[written_ && !early_]=])
proxy_mutant(bytes_behind_an_answer_stay exchange_table every_cell_of_the_table
  sidecar/upstream.cpp [=[parser_->keep_alive() && incoming_.empty();]=]
  [=[parser_->keep_alive();]=])
proxy_mutant(a_reset_counts_as_unsent exchange_table
  a_request_on_a_dead_idle_connection_is_retried_only_if_idempotent
  tier/proxy/endpoint_calls.cpp
  [=[    case OutcomeCode::kReset:
      return FailAttempt(active, key, Outcome::kReset);]=]
  [=[    case OutcomeCode::kReset:
      return EndNotRun(active, key, Outcome::kNeverSent);]=])
proxy_mutant(a_reset_ends_an_answer exchange_table
  a_response_without_length_is_complete_on_close_and_not_on_reset
  sidecar/upstream.cpp
  [=[    if (fault != net::Fault::kNone && fault != net::Fault::kEnd) return Broken();
    const bool ended = fault == net::Fault::kEnd;]=]
  [=[    const bool ended = fault != net::Fault::kNone;]=])
proxy_mutant(a_client_that_left_is_served live_rules
  nothing_is_sent_for_a_client_that_disconnected_while_the_proxy_was_suspended
  tier/proxy/http_frontend.cpp [=[return !client->HasLeft();]=] [=[return true;]=])
proxy_mutant(a_deadline_counts_from_the_last_byte live_rules
  the_deadline_counts_from_the_requests_first_byte
  tier/proxy/http_frontend.cpp [=[call.deadline = began + *wait;]=]
  [=[call.deadline = loop_.Now() + *wait;]=])
proxy_mutant(a_client_that_does_not_read_holds_for_ever live_rules
  a_client_that_does_not_read_is_cut_off_at_the_routes_timeout
  sidecar/upstream.cpp
  [=[return end_ ? timer_->ArmAt(*end_) : timer_->Cancel();]=] [=[return timer_->Cancel();]=])
proxy_mutant(a_body_may_come_for_ever live_rules
  a_body_that_is_incomplete_at_the_routes_timeout_is_408
  sidecar/server.cpp
  [=[timer_->ArmAt(whole_by_ ? std::min(*whole_by_, paced_end) : paced_end);]=]
  [=[timer_->ArmAt(paced_end);]=])
proxy_mutant(silence_ends_a_stream live_rules silence_alone_does_not_end_a_stream
  tier/proxy/endpoint_calls.cpp
  [=[if (!responsive && (active->request.batch || CanFailOver(*active, key))) return std::nullopt;]=]
  [=[if (!responsive) return std::nullopt;]=])
proxy_mutant(half_an_event_is_whole live_rules
  an_unchunked_stream_that_ends_inside_an_event_is_truncated
  tier/proxy/endpoint_calls.cpp
  [=[  if (!partial.empty() && active->ends_at_close) return FailAttempt(active, key, Outcome::kReset);]=]
  "")
proxy_mutant(half_an_event_is_kept_over_a_resumption live_rules
  versions_are_forwarded_in_heads_and_events_across_a_resumption
  tier/proxy/event_stream.cpp
  [=[  buffer_.clear();
  consumed_ = 0;
  resumed_]=] [=[  resumed_]=])
proxy_mutant(connection_drops_the_protocols_headers live_rules
  protocol_headers_are_forwarded_even_if_connection_lists_them
  tier/proxy/headers.cpp [=[!IsProtocolHeader(name) && ]=] "")

# The list of endpoints while the control plane is unavailable.
proxy_mutant(a_list_counts_as_published_once_it_is_read stale_list
  a_list_that_was_read_while_the_lease_had_lapsed_is_published
  tier/cluster/endpoint_watch.cpp
  [=[  if (!published_) published_ = publish_(*entries_);]=]
  [=[  if (!published_) publish_(*entries_);
  published_ = true;]=])
proxy_mutant(draining_endpoints_become_ready_again stale_list
  an_endpoint_seen_draining_stays_draining
  tier/proxy/endpoint_registry.cpp
  [=[known.draining = WasDraining(entry.id);]=] [=[known.draining = entry.draining;]=])
proxy_mutant(removed_endpoints_are_forgotten_at_once stale_list
  an_endpoint_seen_draining_stays_draining_after_its_removal
  tier/proxy/endpoint_registry.cpp
  [=[    RecordRemoval(current->first);]=] [=[    draining_ids_.erase(current->first);]=])
proxy_mutant(an_endpoint_listed_again_stays_among_the_removed_ones stale_list
  a_draining_endpoint_that_is_listed_again_is_not_forgotten_with_the_removed_ones
  tier/proxy/endpoint_registry.cpp
  [=[  if (WasDraining(id)) std::erase(removed_draining_ids_, id);]=] "")
proxy_mutant(connections_ignore_drains stale_list
  a_connection_that_opens_after_the_drain_carries_no_request
  tier/proxy/endpoint_registry.cpp
  [=[known.address, known.takes_requests(), 0);]=] [=[known.address, true, 0);]=])
proxy_mutant(no_renewal_reports_the_lists_age stale_list no_proxy_reads_while_the_core_does
  tier/cluster/core_service.cpp
  [=[    answer.endpoints_age = endpoint_lists.Age();]=] "")
proxy_mutant(no_proxy_reads_the_list_itself stale_list a_drain_takes_effect_without_any_core_process
  tier/proxy/list_fallback.cpp
  [=[  poller_->Start(loop_.Now() + slot * static_cast<int>(choice_.rank_in_group()));]=] "")
proxy_mutant(no_proxy_reads_while_a_disk_is_slow stale_list
  a_drain_takes_effect_while_disks_of_the_core_take_seconds_to_sync
  tier/proxy/list_fallback.cpp
  [=[  poller_->Start(loop_.Now() + slot * static_cast<int>(choice_.rank_in_group()));]=] "")
proxy_mutant(the_first_list_of_members_waits stale_list
  a_drain_takes_effect_while_disks_of_a_core_that_has_just_started_take_seconds_to_sync
  tier/cluster/core_service.cpp
  [=[(first_epoch > kFirstEpoch && now < led_since + hearing)]=] [=[now < led_since + hearing]=])
proxy_mutant(a_proxy_missing_from_the_list_counts_as_named stale_list
  proxies_missing_from_the_list_of_members_ask_those_that_it_names
  tier/proxy/list_fallback.cpp
  [=[proxies_by_rank_.size(), entries_per_page_);]=] [=[proxies_by_rank_.size() + 1, entries_per_page_);]=])
proxy_mutant(no_proxy_asks_another stale_list a_drain_takes_effect_at_proxies_that_ask_the_readers
  tier/proxy/list_fallback.cpp
  [=[  StartOrStopReading();
  FetchFromReader();]=]
  [=[  StartOrStopReading();]=])
proxy_mutant(no_standby_reader_takes_over stale_list
  a_drain_takes_effect_after_the_only_reader_has_ended
  tier/proxy/reader_choice.cpp
  [=[  if (++consecutive_failures_ >= OthersInActiveGroup()) ActivateNextGroup();]=] "")
proxy_mutant(a_standby_reader_never_stops stale_list
  a_standby_reader_keeps_within_the_rate_and_stops_once_the_reader_is_back
  tier/proxy/reader_choice.cpp
  [=[    SetActiveGroup(std::min(active_group_, rank / readers_));]=] "")
proxy_mutant(a_failing_platform_is_asked_by_all stale_list
  a_platform_that_fails_is_not_asked_by_the_whole_fleet
  tier/proxy/reader_choice.cpp
  [=[  if (answer == ReaderAnswer::kPlatformFailing && active_group_ > 0) return false;]=] "")
proxy_mutant(a_proxy_reads_for_ever stale_list proxies_stop_reading_once_the_core_reads
  tier/proxy/list_fallback.cpp
  [=[    Deactivate();
]=] "")
proxy_mutant(items_ignore_the_list_state stale_list
  a_send_by_a_stale_list_is_a_violation_and_items_wait_for_a_renewal
  tier/proxy/endpoint_calls.cpp
  [=[  return active.request.batch ? !AllowsBatchItems(list) : !AllowsRequests(list);]=]
  [=[  return !AllowsRequests(list);]=])
proxy_mutant(requests_ignore_the_list_state stale_list
  a_send_by_a_stale_list_is_a_violation_and_items_wait_for_a_renewal
  tier/proxy/endpoint_calls.cpp
  [=[  return active.request.batch ? !AllowsBatchItems(list) : !AllowsRequests(list);]=]
  [=[  return active.request.batch && !AllowsBatchItems(list);]=])
proxy_mutant(an_unanswered_call_for_the_list_is_awaited_for_ever stale_list
  a_drain_takes_effect_soon_after_a_platform_that_was_silent_answers_again
  tier/platform/list_poller.cpp
  [=[    timer_->ArmAt(give_up_at_);]=] [=[    timer_->Cancel();]=])
proxy_mutant(late_answers_of_the_platform_are_dropped stale_list the_list_of_a_slow_platform_is_read
  tier/platform/list_poller.cpp
  [=[  const bool in_time = awaiting_ && call.number == last_call_;]=]
  [=[  const bool in_time = awaiting_ && call.number == last_call_;
  if (!in_time) return;]=])
proxy_mutant(slow_answers_are_no_failure stale_list_tolerance
  the_drain_limit_is_suspended_while_the_platform_is_slow
  tier/platform/list_reader.cpp
  [=[ return PartOf(drain_, kSlowAnswerPart);]=] [=[ return drain_;]=])
proxy_mutant(a_failure_is_tolerated_for_ever stale_list_tolerance
  a_stale_list_is_a_violation_some_time_after_the_platform_was_slow
  tier/proxy/list_fallback.cpp
  [=[ && now < seen_at + settings_.bounds.drain / kRecoveryDivisor;]=] [=[;]=])
proxy_mutant(a_stale_list_is_always_tolerated stale_list_tolerance
  a_stale_list_is_a_violation_if_the_proxy_reads_too_seldom
  tier/proxy/list_fallback.cpp
  [=[  return PlatformIsFailing(now) ? ListState::kPlatformUnavailable : ListState::kStale;]=]
  [=[  return ListState::kPlatformUnavailable;]=])
proxy_mutant(a_first_list_waits_for_the_next_check stale_list_tolerance
  a_proxy_whose_first_list_is_old_reads_at_once
  tier/proxy/list_fallback.cpp
  [=[  ArmAt(loop_.Now() + (age_known ? net::Span() : settings_.bounds.drain / kCheckDivisor));]=] "")
proxy_mutant(a_first_list_stays_unverified stale_list_tolerance
  a_stale_first_list_is_a_violation_once_the_proxy_has_been_in_touch_long_enough
  tier/proxy/list_fallback.cpp
  [=[{ has_been_fresh_ = has_been_fresh_ || IsFresh(loop_.Now()); }]=] [=[{}]=])
proxy_mutant(a_first_list_needs_no_verification stale_list_tolerance
  no_request_uses_a_first_list_before_a_newer_one_was_requested
  tier/proxy/list_fallback.cpp
  [=[  return !has_been_fresh_ && now >= resumed_at_ + startup_grace;]=] [=[  return now < net::Time() + startup_grace;]=])
proxy_mutant(a_first_list_is_tolerated_in_an_unknown_fleet stale_list_tolerance
  no_request_uses_a_first_list_before_a_newer_one_was_requested
  tier/proxy/list_fallback.cpp
  [=[    if (has_been_fresh_) platform_failed_at_ = loop_.Now();]=] [=[    platform_failed_at_ = loop_.Now();]=])
proxy_mutant(pages_always_hold_fifty stale_list a_drain_takes_effect_with_a_list_of_small_pages
  tier/proxy/list_fallback.cpp
  [=[  entries_per_page_ = entries;]=] "")
proxy_mutant(silent_readers_are_waited_for stale_list_tolerance
  a_drain_takes_effect_at_proxies_whose_readers_are_all_cut_off
  tier/proxy/reader_choice.cpp
  [=[  if (++consecutive_failures_ >= OthersInActiveGroup()) ActivateNextGroup();]=] "")
proxy_mutant(a_list_hides_its_readers_failure stale_list_tolerance
  the_drain_limit_is_suspended_for_proxies_that_ask_while_the_platform_is_silent
  tier/proxy/list_fallback.cpp
  [=[reading.value().in_trouble ? ReaderAnswer::kPlatformFailing : ReaderAnswer::kNewerList;]=]
  [=[ReaderAnswer::kNewerList;]=])
proxy_mutant(a_former_reader_forgets_the_failure stale_list_tolerance
  the_drain_limit_is_suspended_for_a_former_reader_as_a_silent_platform_answers_again
  tier/proxy/list_fallback.cpp
  [=[  if (poller_) platform_failed_at_ = std::max(platform_failed_at_, poller_->trouble_seen_at());
]=] "")
