# Nothing above the seam (src/net) may know a clock, a socket, a thread or the machine's randomness:
# else a seeded run is not the program that serves.
set(forbidden "steady_clock|system_clock|high_resolution_clock|random_device|std::rand|clock_gettime|\
gettimeofday|std::time\\(|this_thread|std::thread|sys/socket\\.h|netinet/|::recv\\(|::send\\(|::socket\\(|\
asio/(ip|io_context|steady_timer|system_timer|post|signal_set)|boost/asio\\.hpp|tcp_stream")
file(GLOB_RECURSE sources ${ROOT}/src/sidecar/* ${ROOT}/src/control/* ${ROOT}/src/metrics/* ${ROOT}/src/seeds/* ${ROOT}/src/emulator/* ${ROOT}/src/recovery/* ${ROOT}/src/peers/* ${ROOT}/src/coordination/* ${ROOT}/src/ownership/*
  ${ROOT}/src/policy/* ${ROOT}/src/measures/* ${ROOT}/src/deadlines.h ${ROOT}/src/mix.h ${ROOT}/src/draws.h ${ROOT}/src/validate.* ${ROOT}/src/settings.* ${ROOT}/include/*)
list(LENGTH sources count)
if(count LESS 20)
  message(FATAL_ERROR "found only ${count} files above the seam")
endif()
foreach(source IN LISTS sources)
  file(STRINGS ${source} lines REGEX "${forbidden}")
  if(lines)
    message(FATAL_ERROR "${source} reaches past the seam: ${lines}")
  endif()
endforeach()
message(STATUS "${count} files keep to the seam")
