# What the reader of the platform's list waits for, without a bound: found by its tests.
tier_mutant(a_retry_after_is_heeded_for_ever platform/list_reader.cpp
  [=[  const net::Span advised =
      std::min<net::Span>(error.retry_after.value_or(milliseconds(0)), PartOf(drain_, kAdvicePart));]=]
  [=[  const net::Span advised = error.retry_after.value_or(milliseconds(0));]=]
  TEST platform/list_reader_test
  RUN a_whole_list_is_read_within_half_a_drain_of_the_platforms_recovery
  LIBRARIES shelflink_tier_platform)
tier_mutant(pauses_between_failures_grow platform/list_reader.cpp
  [=[  return std::min(pause, longest);]=] [=[  return pause * 8;]=]
  TEST platform/list_reader_test
  RUN a_whole_list_is_read_within_half_a_drain_of_the_platforms_recovery
  LIBRARIES shelflink_tier_platform)
tier_mutant(an_older_reading_follows_a_newer_one platform/list_reader.cpp
  [=[  if (first_page ? sent <= list_started_ : sent < walk_started_) return std::nullopt;]=] ""
  TEST platform/list_reader_test RUN a_late_answer_counts_unless_something_newer_was_read
  LIBRARIES shelflink_tier_platform)
