# Tests of the batch interface of the sidecars.
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0)
shelflink_tier_test(batch/base64_test shelflink_tier_batch_job_json PkgConfig::GLIB)
shelflink_tier_test(batch/job_json_test shelflink_tier_batch_job_json)
shelflink_tier_test(batch/item_output_test shelflink_tier_batch_front)
shelflink_tier_test(batch/offer_credit_test shelflink_tier_batch_front)
shelflink_tier_test(batch/item_run_test shelflink_tier_batch_front shelflink_virtual)
shelflink_tier_test(batch/batch_front_test shelflink_tier_batch_front shelflink_virtual)
shelflink_tier_test(batch/runner_test shelflink_tier_batch_front shelflink_virtual)
shelflink_tier_test(batch/batch_history_test shelflink_tier_batch_front shelflink_tier_store shelflink_virtual)

# What a sidecar pays for batch jobs; run by hand (docs/measured/batch-sidecar.md).
add_executable(tier_batch_cost EXCLUDE_FROM_ALL batch_cost.cpp)
target_include_directories(tier_batch_cost PRIVATE ${PROJECT_SOURCE_DIR}/tests/tier)
target_link_libraries(tier_batch_cost PRIVATE shelflink_tier_batch_front shelflink_virtual gaugecart_warnings)
