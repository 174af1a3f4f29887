# rillwall_library(NAME LINK ...): adds a static library with the sources of the
# folder, and a test program NAME_test with its *_test.cpp files.
function(rillwall_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp *.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_(test|bench|fuzz)\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARG_LINK})
  if(tests AND RILLWALL_DEVELOPMENT)
    add_executable(${name}_test ${tests} ${CMAKE_SOURCE_DIR}/src/cmake/test_main.cpp)
    target_include_directories(${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    # Path at which tests find example files in docs/ and testsuite/.
    target_compile_definitions(${name}_test PRIVATE RILLWALL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${name}_test ${name} PkgConfig::CPPUNIT rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()
