# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/operator_api
# Build directory: /work/clones/store/release/tests/tier/operator_api
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.operator_requests_test]=] "/work/clones/store/release/tests/tier/operator_api/tier_operator_requests_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.operator_requests_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;0;")
add_test([=[tier.forwarder_test]=] "/work/clones/store/release/tests/tier/operator_api/tier_forwarder_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.forwarder_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;0;")
add_test([=[tier.operator_server_test]=] "/work/clones/store/release/tests/tier/operator_api/tier_operator_server_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.operator_server_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;3;shelflink_tier_test;/work/clones/store/tests/tier/operator_api/CMakeLists.txt;0;")
