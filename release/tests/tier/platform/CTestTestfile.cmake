# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/platform
# Build directory: /work/clones/store/release/tests/tier/platform
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.list_reader_test]=] "/work/clones/store/release/tests/tier/platform/tier_list_reader_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.list_reader_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;4;shelflink_tier_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;0;")
add_test([=[tier.instance_page_test]=] "/work/clones/store/release/tests/tier/platform/tier_instance_page_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.instance_page_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;5;shelflink_tier_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;0;")
add_test([=[tier.soup_platform_test]=] "/work/clones/store/release/tests/tier/platform/tier_soup_platform_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.soup_platform_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;6;shelflink_tier_test;/work/clones/store/tests/tier/platform/CMakeLists.txt;0;")
