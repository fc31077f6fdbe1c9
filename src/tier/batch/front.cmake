# The batch interface of the sidecars: submissions read, jobs submitted to the stores, items run.
shelflink_tier_library(shelflink_tier_batch_job_json base64.cpp job_json.cpp)
target_link_libraries(shelflink_tier_batch_job_json PUBLIC shelflink_tier_batch_messages
    shelflink_tier_configuration PRIVATE PkgConfig::CJSON)

shelflink_tier_library(shelflink_tier_batch_front
    store_caller.cpp front.cpp item_output.cpp item_run.cpp offer_schedule.cpp primaries.cpp
    run_table.cpp runner.cpp)
target_link_libraries(shelflink_tier_batch_front PUBLIC shelflink_tier_batch_job_json
    shelflink_tier_batch_messages shelflink_tier_configuration shelflink_tier_transport)
