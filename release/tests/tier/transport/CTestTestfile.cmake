# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/transport
# Build directory: /work/clones/store/release/tests/tier/transport
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.connection_test]=] "/work/clones/store/release/tests/tier/transport/tier_connection_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.connection_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;0;")
add_test([=[tier.frames_test]=] "/work/clones/store/release/tests/tier/transport/tier_frames_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.frames_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;0;")
add_test([=[tier.glib_loop_test]=] "/work/clones/store/release/tests/tier/transport/tier_glib_loop_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.glib_loop_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;3;shelflink_tier_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;0;")
add_test([=[tier.hub_glib_test]=] "/work/clones/store/release/tests/tier/transport/tier_hub_glib_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.hub_glib_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;4;shelflink_tier_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;0;")
add_test([=[tier.hub_test]=] "/work/clones/store/release/tests/tier/transport/tier_hub_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.hub_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;5;shelflink_tier_test;/work/clones/store/tests/tier/transport/CMakeLists.txt;0;")
