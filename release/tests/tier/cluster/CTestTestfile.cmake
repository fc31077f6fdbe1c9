# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/cluster
# Build directory: /work/clones/store/release/tests/tier/cluster
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.placement_test]=] "/work/clones/store/release/tests/tier/cluster/tier_placement_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.placement_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.agent_test]=] "/work/clones/store/release/tests/tier/cluster/tier_agent_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.agent_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;4;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.core_service_test]=] "/work/clones/store/release/tests/tier/cluster/tier_core_service_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.core_service_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;5;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.usage_test]=] "/work/clones/store/release/tests/tier/cluster/tier_usage_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.usage_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;6;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.cluster_messages_test]=] "/work/clones/store/release/tests/tier/cluster/tier_cluster_messages_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.cluster_messages_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;7;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.cluster_parts_test]=] "/work/clones/store/release/tests/tier/cluster/tier_cluster_parts_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.cluster_parts_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;8;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
add_test([=[tier.failover_test]=] "/work/clones/store/release/tests/tier/cluster/tier_failover_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.failover_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;9;shelflink_tier_test;/work/clones/store/tests/tier/cluster/CMakeLists.txt;0;")
