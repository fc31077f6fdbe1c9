# One number, one document: each check of the order book removed, found by the table or the book's tests.
function(book_mutant name text replacement test cases)
  tier_mutant(${name} configuration/book.cpp "${text}" "${replacement}" TEST configuration/${test}
    RUN ${cases} LIBRARIES shelflink_tier_configuration)
endfunction()

book_mutant(repeats_are_judged_anew
  [=[  if (WasTaken(committed, *version, digest)) return JudgedPlan{};]=] ""
  order_table_test good_orders)
book_mutant(any_base_will_do
  [=[  if (order.base_version < current.version) return Conflict(current.version);]=] ""
  order_table_test one_of_two_on_one_base_wins)
book_mutant(numbers_need_not_rise
  [=[  if (*version <= current.version) {]=] [=[  if (false) {]=]
  order_table_test orders_that_cannot_be_taken)
book_mutant(a_number_alone_makes_the_order
  [=[  return found != committed.end() && found->second == digest;]=]
  [=[  return found != committed.end();]=]
  order_table_test near_repeats)
book_mutant(the_base_is_no_part_of_the_order
  [=[  add(std::to_string(order.base_version) + "\n");]=] ""
  order_table_test near_repeats)
book_mutant(the_method_is_no_part_of_the_order
  [=[  add(order.method == ChangeMethod::kPut ? "PUT " : "PATCH ");]=] ""
  order_table_test near_repeats)
book_mutant(forgotten_orders_are_refused
  [=[  if (MayBeForgotten(committed, order, *version)) {]=] [=[  if (false) {]=]
  book_test remembers_a_bounded_number_of_orders_and_never_refuses_an_older_one)
book_mutant(an_early_order_is_refused_without_a_record
  [=[  if (order.base_version < current.version) return]=]
  [=[  if (order.base_version != current.version) return]=]
  book_test a_refused_order_is_not_taken_when_its_base_has_come)
book_mutant(refusals_stay_when_their_base_has_gone_by
  [=[  for (Write& write : refusals.ForgetBelow(Digits(version))) writes.push_back(std::move(write));]=] ""
  book_test refusals_are_forgotten_when_their_base_has_gone_by)

# What keeps a change of a large document small, and what keeps one order's outcome from another's.
tier_mutant(chunks_are_cut_at_equal_lengths configuration/document_store.cpp
  [=[    const bool is_cut = at + 1 >= kLeastChunk && ((hash >> 32U) & kCutMask) == 0;]=]
  [=[    const bool is_cut = at + 1 >= kLeastChunk;]=]
  TEST configuration/document_store_test RUN a_change_writes_the_chunks_that_it_touches
  LIBRARIES shelflink_tier_configuration)
tier_mutant(chunks_stay_when_nobody_needs_them configuration/document_store.cpp
  [=[    writes.push_back({KeyOf(number), std::nullopt});]=] ""
  TEST configuration/document_store_test RUN a_change_writes_the_chunks_that_it_touches
  LIBRARIES shelflink_tier_configuration)
tier_mutant(items_with_findings_are_remembered configuration/document_reader.cpp
  [=[    if (findings_.size() == findings_before) next.emplace(text, item);]=]
  [=[    next.emplace(text, item);]=]
  TEST configuration/document_reader_test RUN an_item_that_is_wrong_is_told_each_time
  LIBRARIES shelflink_tier_configuration)
tier_mutant(items_are_not_checked_against_each_other configuration/document_reader.cpp
  [=[  CheckWhole(configuration, findings);]=] ""
  TEST configuration/document_reader_test RUN items_that_have_not_changed_are_checked_against_the_others
  LIBRARIES shelflink_tier_configuration)
tier_mutant(removed_items_stay configuration/difference.cpp
  [=[    if (removed.contains(item.name)) continue;]=] ""
  TEST configuration/difference_test RUN what_is_applied_leads_to_the_later_one
  LIBRARIES shelflink_tier_configuration)
tier_mutant(documents_of_any_size_are_taken configuration/book.cpp
  [=[  if (document->size() > most_bytes) {]=] [=[  if (false) {]=]
  TEST configuration/book_test RUN refuses_a_document_beyond_the_bound
  LIBRARIES shelflink_tier_configuration)
