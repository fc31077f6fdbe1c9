function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE status OUTPUT_VARIABLE out ERROR_VARIABLE out)
  if(NOT status EQUAL 0)
    message(FATAL_ERROR "failed: ${ARGN}\n${out}")
  endif()
endfunction()

set(work ${BUILD}/consumer_test)
file(REMOVE_RECURSE ${work})
run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${work}/prefix)
run(${CMAKE_COMMAND} -S ${SOURCE} -B ${work}/build -DCMAKE_PREFIX_PATH=${work}/prefix
    -DSANITIZE=${SANITIZE})
run(${CMAKE_COMMAND} --build ${work}/build)
run(${work}/build/consumer)
