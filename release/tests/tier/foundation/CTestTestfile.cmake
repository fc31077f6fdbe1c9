# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier/foundation
# Build directory: /work/clones/store/release/tests/tier/foundation
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[tier.cbor_test]=] "/work/clones/store/release/tests/tier/foundation/tier_cbor_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.cbor_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;1;shelflink_tier_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;0;")
add_test([=[tier.settings_test]=] "/work/clones/store/release/tests/tier/foundation/tier_settings_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.settings_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;2;shelflink_tier_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;0;")
add_test([=[tier.json_text_test]=] "/work/clones/store/release/tests/tier/foundation/tier_json_text_test" "--log_level=test_suite" "--report_level=short")
set_tests_properties([=[tier.json_text_test]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/tier/CMakeLists.txt;11;add_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;6;shelflink_tier_test;/work/clones/store/tests/tier/foundation/CMakeLists.txt;0;")
