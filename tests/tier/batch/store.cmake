# The store's side.
shelflink_tier_test(batch/job_book_test shelflink_tier_batch_book)
if(TARGET shelflink_tier_core)
  shelflink_tier_test(batch/store_test shelflink_tier_store shelflink_tier_core shelflink_virtual)
endif()
