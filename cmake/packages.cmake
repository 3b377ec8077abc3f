# Helpers shared by the build files of all packages.

add_compile_options(-Wall -Wextra -Wpedantic)

# Defines the library medlarwinch_<name> from the sources below src/ of the
# calling folder.
function(medlarwinch_library name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  add_library(medlarwinch_${name} STATIC ${sources})
  target_include_directories(medlarwinch_${name}
                             PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(medlarwinch_${name} PUBLIC ${ARGN})
endfunction()

# Defines one Boost.Test program from the *_test.cc files below tests/ of the
# calling folder.
function(medlarwinch_tests name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  if(NOT sources OR MEDLARWINCH_PLATFORM_ONLY)
    return()
  endif()
  add_executable(${name}_tests ${sources}
                               ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
  target_include_directories(${name}_tests
                             PRIVATE ${PROJECT_SOURCE_DIR}/cmake
                                     ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  target_compile_definitions(${name}_tests PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name}_tests PRIVATE Boost::unit_test_framework rapidcheck
                                              ${ARGN})
  add_test(NAME ${name}_tests COMMAND ${name}_tests)
  set_tests_properties(${name}_tests PROPERTIES TIMEOUT 120)
endfunction()
