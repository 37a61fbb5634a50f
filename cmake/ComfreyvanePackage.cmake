# Build rules shared by all packages.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options json url)
find_package(OpenSSL REQUIRED)

find_program(COMFREYVANE_CCACHE ccache)
if(COMFREYVANE_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${COMFREYVANE_CCACHE})
endif()

option(COMFREYVANE_ASAN "Build with address and undefined sanitizers" OFF)
option(COMFREYVANE_TSAN "Build with the thread sanitizer" OFF)

# Units that include the whole gateway take about 3 GB each to compile: this
# pool keeps them to half of the machine's memory.
cmake_host_system_information(RESULT memory_mib QUERY TOTAL_PHYSICAL_MEMORY)
math(EXPR large_unit_jobs "${memory_mib} / 2 / 3072")
if(large_unit_jobs LESS 1)
  set(large_unit_jobs 1)
endif()
set_property(GLOBAL APPEND PROPERTY JOB_POOLS comfreyvane_large_units=${large_unit_jobs})

# comfreyvane_large_units(TARGET) puts the compilers of a target into that pool.
function(comfreyvane_large_units target)
  set_target_properties(${target} PROPERTIES JOB_POOL_COMPILE comfreyvane_large_units)
endfunction()

add_library(comfreyvane_options INTERFACE)
target_compile_options(comfreyvane_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
# False: GCC inlines Asio's operator new to aligned_alloc and calls its operator delete, which frees.
target_compile_options(comfreyvane_options INTERFACE
  $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_include_directories(comfreyvane_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_include_directories(comfreyvane_options SYSTEM INTERFACE /usr/include/jsoncpp)
target_link_libraries(comfreyvane_options INTERFACE Threads::Threads)
if(COMFREYVANE_ASAN)
  target_compile_options(comfreyvane_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(comfreyvane_options INTERFACE -fsanitize=address,undefined)
endif()
if(COMFREYVANE_TSAN)
  # GCC cannot instrument atomic fences, which Boost.Asio uses.
  target_compile_options(comfreyvane_options INTERFACE
    -fsanitize=thread -fno-omit-frame-pointer -Wno-tsan)
  target_link_options(comfreyvane_options INTERFACE -fsanitize=thread)
endif()

set_property(GLOBAL PROPERTY COMFREYVANE_PACKAGES "")

# comfreyvane_package(NAME [USES package...] [LIBRARIES target...])
# Declares the library comfreyvane_NAME from src/comfreyvane/NAME. A package
# may use only packages declared before it, which keeps the order acyclic.
function(comfreyvane_package name)
  cmake_parse_arguments(ARG "" "" "USES;LIBRARIES" ${ARGN})
  get_property(known GLOBAL PROPERTY COMFREYVANE_PACKAGES)
  foreach(used ${ARG_USES})
    if(NOT used IN_LIST known)
      message(FATAL_ERROR "package ${name} uses ${used}, which is not declared before it")
    endif()
  endforeach()
  set_property(GLOBAL APPEND PROPERTY COMFREYVANE_PACKAGES ${name})
  set(folder ${CMAKE_SOURCE_DIR}/src/comfreyvane/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
  list(TRANSFORM ARG_USES PREPEND comfreyvane_)
  if(sources)
    add_library(comfreyvane_${name} STATIC ${sources})
    target_link_libraries(comfreyvane_${name} PUBLIC comfreyvane_options ${ARG_USES} ${ARG_LIBRARIES})
  else()
    add_library(comfreyvane_${name} INTERFACE)
    target_link_libraries(comfreyvane_${name} INTERFACE comfreyvane_options ${ARG_USES} ${ARG_LIBRARIES})
  endif()
endfunction()

# Declares one Criterion program a package from tests/comfreyvane/NAME.
# Criterion cannot map its arena under the thread sanitizer, so that build
# takes the in-process runner in tests/support instead. The global property
# COMFREYVANE_TEST_LIBRARIES_NAME lists what else a program links, and
# COMFREYVANE_TEST_SUITES_NAME the suites that are tests of their own in ctest,
# so that KNOWN-RED.txt can name them.
function(comfreyvane_tests)
  if(NOT BUILD_TESTING)
    return()
  endif()
  get_property(packages GLOBAL PROPERTY COMFREYVANE_PACKAGES)
  foreach(name ${packages})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/comfreyvane/${name}/*.cc)
    if(NOT sources)
      continue()
    endif()
    if(COMFREYVANE_TSAN)
      list(APPEND sources ${CMAKE_SOURCE_DIR}/tests/support/in_process_runner.cc)
    endif()
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name}_test PRIVATE comfreyvane_${name} rapidcheck)
    get_property(extra GLOBAL PROPERTY COMFREYVANE_TEST_LIBRARIES_${name})
    target_link_libraries(${name}_test PRIVATE ${extra})
    if(NOT COMFREYVANE_TSAN)
      target_link_libraries(${name}_test PRIVATE criterion)
    endif()
    get_property(suites GLOBAL PROPERTY COMFREYVANE_TEST_SUITES_${name})
    if(NOT suites OR COMFREYVANE_TSAN)
      add_test(NAME ${name} COMMAND ${name}_test)
      continue()
    endif()
    list(JOIN suites "|" pattern)
    add_test(NAME ${name} COMMAND ${name}_test --filter "!(@(${pattern})/*)")
    foreach(suite ${suites})
      add_test(NAME ${suite} COMMAND ${name}_test --filter "${suite}/*")
    endforeach()
  endforeach()
endfunction()

# Declares one Google Benchmark program a package from the files *_bench.cc and
# *_figures.cc in bench/comfreyvane/NAME, and one program from each
# *_experiment.cc there.
function(comfreyvane_benchmarks)
  if(COMFREYVANE_ASAN OR COMFREYVANE_TSAN)
    return()
  endif()
  find_package(benchmark REQUIRED)
  get_property(packages GLOBAL PROPERTY COMFREYVANE_PACKAGES)
  foreach(name ${packages})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/comfreyvane/${name}/*_bench.cc
      ${CMAKE_SOURCE_DIR}/bench/comfreyvane/${name}/*_figures.cc)
    if(sources)
      add_executable(${name}_bench ${sources})
      target_link_libraries(${name}_bench PRIVATE comfreyvane_${name} benchmark::benchmark)
    endif()
    file(GLOB experiments CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/comfreyvane/${name}/*_experiment.cc)
    foreach(experiment ${experiments})
      get_filename_component(program ${experiment} NAME_WE)
      add_executable(${program} ${experiment})
      target_link_libraries(${program} PRIVATE comfreyvane_${name})
    endforeach()
  endforeach()
endfunction()

# Declares the program that measures the costs of all parts by size.
function(comfreyvane_capacity)
  if(COMFREYVANE_ASAN OR COMFREYVANE_TSAN)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/capacity/*.cc)
  add_executable(capacity ${sources})
  target_link_libraries(capacity PRIVATE comfreyvane_wire comfreyvane_peer)
endfunction()

# comfreyvane_program(NAME SOURCE USES package...)
# Declares a program of one source file. It is not installed by this.
function(comfreyvane_program name source)
  cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
  list(TRANSFORM ARG_USES PREPEND comfreyvane_)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARG_USES})
endfunction()
