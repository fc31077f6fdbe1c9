# Tests of the batch interface of the sidecars.
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0)
pkg_check_modules(CJSON REQUIRED IMPORTED_TARGET libcjson)
shelflink_tier_test(batch/base64_test shelflink_tier_batch_job_json PkgConfig::GLIB)
shelflink_tier_test(batch/json_text_test shelflink_tier_batch_job_json PkgConfig::GLIB PkgConfig::CJSON)
if(TARGET shelflink_tier_configuration)
  shelflink_tier_test(batch/job_json_test shelflink_tier_batch_job_json)
endif()
