# The store's side.
shelflink_tier_test(batch/job_book_test shelflink_tier_batch_book)
shelflink_tier_test(batch/run_queue_test shelflink_tier_batch_book)
if(TARGET shelflink_tier_core)
  shelflink_tier_test(batch/peer_frames_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
  shelflink_tier_test(batch/store_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
  shelflink_tier_test(batch/store_disk_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
  shelflink_tier_test(batch/store_write_failure_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
  # Some hundred runs of whole stores: that takes optimised code.
  target_compile_options(tier_store_write_failure_test PRIVATE $<$<CONFIG:Debug>:-O1>)
  set_tests_properties(tier.store_write_failure_test PROPERTIES TIMEOUT 1800)
  shelflink_tier_test(batch/store_loss_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
endif()
# Measures running stores; no test.
if(TARGET shelflink_tier_cluster_agent)
  add_executable(tier_store_load ${CMAKE_CURRENT_SOURCE_DIR}/store_load.cpp)
  target_link_libraries(tier_store_load PRIVATE shelflink_tier_batch_messages
    shelflink_tier_cluster_agent shelflink_net_glib gaugecart_warnings)
endif()
