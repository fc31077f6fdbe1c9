# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/proxy
# Build directory: /work/clones/store/release/tests/tier/proxy
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.front_test]=] "/work/clones/store/release/tests/tier/proxy/tier_front_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.front_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.endpoint_test]=] "/work/clones/store/release/tests/tier/proxy/tier_endpoint_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.endpoint_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.stream_test]=] "/work/clones/store/release/tests/tier/proxy/tier_stream_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.stream_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;3;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.mutation_test]=] "/work/clones/store/release/tests/tier/proxy/tier_mutation_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.mutation_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;4;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.parts_test]=] "/work/clones/store/release/tests/tier/proxy/tier_parts_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.parts_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;5;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.batch_requests_test]=] "/work/clones/store/release/tests/tier/proxy/tier_batch_requests_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.batch_requests_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;6;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.calls_test]=] "/work/clones/store/release/tests/tier/proxy/tier_calls_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.calls_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;7;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
add_test([=[tier.page_json_test]=] "/work/clones/store/release/tests/tier/proxy/tier_page_json_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.page_json_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;10;shelflink_tier_test;/work/clones/store/tests/tier/proxy/CMakeLists.txt;0;")
