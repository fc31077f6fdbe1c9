# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/policy
# Build directory: /work/clones/store/release/tests/tier/policy
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.policy_module_test]=] "/work/clones/store/release/tests/tier/policy/tier_policy_module_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.policy_module_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;0;")
add_test([=[tier.policy_parts_test]=] "/work/clones/store/release/tests/tier/policy/tier_policy_parts_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.policy_parts_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;0;")
add_test([=[tier.policy_scenarios_test]=] "/work/clones/store/release/tests/tier/policy/tier_policy_scenarios_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.policy_scenarios_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;3;shelflink_tier_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;0;")
add_test([=[tier.policy_mutants_test]=] "/work/clones/store/release/tests/tier/policy/tier_policy_mutants_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.policy_mutants_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;12;shelflink_tier_test;/work/clones/store/tests/tier/policy/CMakeLists.txt;0;")
