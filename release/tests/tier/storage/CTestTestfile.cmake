# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/storage
# Build directory: /work/clones/store/release/tests/tier/storage
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.storage_test]=] "/work/clones/store/release/tests/tier/storage/tier_storage_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.storage_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/storage/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/storage/CMakeLists.txt;0;")
