# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/coordination
# Build directory: /work/clones/store/release/tests/tier/coordination
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.group_test]=] "/work/clones/store/release/tests/tier/coordination/tier_group_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.group_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;0;")
add_test([=[tier.storm_test]=] "/work/clones/store/release/tests/tier/coordination/tier_storm_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.storm_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;0;")
add_test([=[tier.explorer_test]=] "/work/clones/store/release/tests/tier/coordination/tier_explorer_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.explorer_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;12;shelflink_tier_test;/work/clones/store/tests/tier/coordination/CMakeLists.txt;0;")
