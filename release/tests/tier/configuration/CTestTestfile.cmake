# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/configuration
# Build directory: /work/clones/store/release/tests/tier/configuration
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.parse_test]=] "/work/clones/store/release/tests/tier/configuration/tier_parse_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.parse_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/configuration/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/configuration/CMakeLists.txt;0;")
add_test([=[tier.book_test]=] "/work/clones/store/release/tests/tier/configuration/tier_book_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.book_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/configuration/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/configuration/CMakeLists.txt;0;")
