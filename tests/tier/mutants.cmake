# Mutants: a source file of the tier with one text replaced, built into a test that must then fail.

# tier_mutated_source(out name file text replacement): writes src/tier/`file` with its one `text`
# replaced and sets `out` to the path of the result. A text that does not stand in the file exactly
# once is an error, so that no mutant is the program itself.
function(tier_mutated_source out name file text replacement)
  get_filename_component(source ${PROJECT_SOURCE_DIR}/src/tier/${file} ABSOLUTE)
  get_filename_component(leaf ${file} NAME)
  set(mutated ${CMAKE_CURRENT_BINARY_DIR}/mutants/${name}/${leaf})
  file(READ ${source} whole)
  string(FIND "${whole}" "${text}" first)
  string(FIND "${whole}" "${text}" last REVERSE)
  if(first EQUAL -1 OR NOT first EQUAL last)
    message(FATAL_ERROR "mutant ${name}: its text stands not exactly once in ${file}")
  endif()
  string(REPLACE "${text}" "${replacement}" whole "${whole}")
  file(CONFIGURE OUTPUT ${mutated} CONTENT "${whole}" @ONLY)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
  set(${out} ${mutated} PARENT_SCOPE)
endfunction()

# tier_mutant_program(target): how a program with a mutated source is built: what the mutation leaves
# unused is no finding, and no symbols, for only whether its test fails is looked at.
function(tier_mutant_program target)
  target_compile_options(${target} PRIVATE -Wno-unused-parameter -Wno-unused-variable
    -Wno-unused-function -Wno-unused-but-set-variable -Wno-unused-const-variable)
  target_link_options(${target} PRIVATE -s)
endfunction()

# tier_mutant(name file text replacement TEST folder/test RUN filter LIBRARIES ...): the mutated
# file in place of that of the first library, linked with the objects of that Boost.Test program (a test
# includes no mutated file). Its test passes only if
# Boost.Test counts a failure in the test cases that `filter` names: a crash, a report of a
# sanitizer or a filter that names nothing does not count as found.
function(tier_mutant name file text replacement)
  cmake_parse_arguments(mutant "" "TEST;RUN" "LIBRARIES" ${ARGN})
  tier_mutated_source(mutated ${name} ${file} "${text}" "${replacement}")
  list(GET mutant_LIBRARIES 0 library)
  get_filename_component(test ${mutant_TEST} NAME)
  add_executable(tier_mutant_${name} $<TARGET_OBJECTS:tier_${test}> ${mutated})
  target_include_directories(tier_mutant_${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests/tier
    ${PROJECT_SOURCE_DIR}/src $<TARGET_PROPERTY:${library},INCLUDE_DIRECTORIES>)
  target_link_libraries(tier_mutant_${name} PRIVATE ${mutant_LIBRARIES} Boost::unit_test_framework
    gaugecart_warnings)
  tier_mutant_program(tier_mutant_${name})
  add_test(NAME tier.mutant_${name}
    COMMAND tier_mutant_${name} --run_test=${mutant_RUN} --report_level=short)
  set_tests_properties(tier.mutant_${name} PROPERTIES
    PASS_REGULAR_EXPRESSION "[1-9][0-9]* assertions? out of [0-9]+ failed")
endfunction()
