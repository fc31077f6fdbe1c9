# One number, one document: each check of the order book removed, found by the table or the book's tests.
function(book_mutant name text replacement test cases)
  tier_mutant(${name} configuration/book.cpp "${text}" "${replacement}" TEST configuration/${test}
    RUN ${cases} LIBRARIES shelflink_tier_configuration)
endfunction()

book_mutant(repeats_are_judged_anew
  [=[  if (WasTaken(committed, *version, digest)) return std::vector<Write>{};]=] ""
  order_table_test good_orders)
book_mutant(any_base_will_do
  [=[  if (order.base_version != current.version) {]=] [=[  if (false) {]=]
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
