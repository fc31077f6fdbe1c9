# The store's side.
shelflink_tier_test(batch/job_book_test shelflink_tier_batch_book)
