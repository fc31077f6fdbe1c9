# CMake generated Testfile for 
# Source directory: /work/clones/store/tests
# Build directory: /work/clones/store/release/tests
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
include("/work/clones/store/release/tests/choice_test[1]_include.cmake")
include("/work/clones/store/release/tests/rules_test[1]_include.cmake")
include("/work/clones/store/release/tests/fleet_test[1]_include.cmake")
include("/work/clones/store/release/tests/replay_test[1]_include.cmake")
include("/work/clones/store/release/tests/store_test[1]_include.cmake")
include("/work/clones/store/release/tests/shared_store_test[1]_include.cmake")
include("/work/clones/store/release/tests/sidecar_test[1]_include.cmake")
include("/work/clones/store/release/tests/trouble_test[1]_include.cmake")
include("/work/clones/store/release/tests/handover_test[1]_include.cmake")
add_test([=[readme_example]=] "/work/clones/store/release/tests/readme_example")
set_tests_properties([=[readme_example]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/CMakeLists.txt;157;add_test;/work/clones/store/tests/CMakeLists.txt;0;")
add_test([=[installed_consumer]=] "/usr/bin/cmake" "-DBUILD=/work/clones/store/release" "-DSOURCE=/work/clones/store/tests/consumer" "-DSANITIZE=OFF" "-P" "/work/clones/store/tests/consumer/run.cmake")
set_tests_properties([=[installed_consumer]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/CMakeLists.txt;160;add_test;/work/clones/store/tests/CMakeLists.txt;0;")
add_test([=[source_limits]=] "/usr/bin/cmake" "-DROOT=/work/clones/store" "-P" "/work/clones/store/tests/source_limits.cmake")
set_tests_properties([=[source_limits]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/CMakeLists.txt;164;add_test;/work/clones/store/tests/CMakeLists.txt;0;")
add_test([=[seam]=] "/usr/bin/cmake" "-DROOT=/work/clones/store" "-P" "/work/clones/store/tests/seam.cmake")
set_tests_properties([=[seam]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/clones/store/tests/CMakeLists.txt;167;add_test;/work/clones/store/tests/CMakeLists.txt;0;")
subdirs("tier")
