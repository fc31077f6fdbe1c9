# A process that cannot know refuses nothing and confirms nothing: each check removed, found by a test.
tier_mutant(an_unreadable_message_refuses_the_order operator_api/forwarder.cpp
  [=[    reply(MakeError(ErrorCode::kUnavailable, "the forwarded order cannot be read"));]=]
  [=[    reply(MakeError(ErrorCode::kInvalid, "the forwarded order cannot be read"));]=]
  TEST operator_api/forwarder_test
  RUN forwarder/a_message_that_cannot_be_read_is_no_refusal_of_the_order
  LIBRARIES shelflink_tier_operator_api shelflink_virtual)
tier_mutant(the_body_limit_follows_an_old_configuration operator_api/server.cpp
  [=[  if (static_cast<std::size_t>(std::max<goffset>(length, 0)) > kBodyLimit) {]=]
  [=[  if (static_cast<std::size_t>(std::max<goffset>(length, 0)) > limits.max_body_bytes) {]=]
  TEST operator_api/operator_server_test RUN server/the_limit_is_the_same_under_every_configuration
  LIBRARIES shelflink_tier_operator_api shelflink_net_glib)
# What was refused stays out, whoever held up a copy of it.
tier_mutant(late_copies_of_refused_orders_are_taken configuration/book.cpp
  [=[  if (order.base_version < current.version) return Conflict(current.version);]=]
  [=[  if (order.base_version != current.version) return Conflict(current.version);]=]
  TEST operator_api/late_order_test RUN a_refused_order_stays_out_whoever_held_up_a_copy_of_it
  LIBRARIES shelflink_tier_configuration ${operator_core})
