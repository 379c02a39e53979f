# External libraries and the helper functions with which every package declares itself.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(yaml-cpp REQUIRED)
if(ZINC_TESTS)
  find_package(GTest REQUIRED)
endif()

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(ZINC_SANITIZERS)
  add_compile_options(-fsanitize=${ZINC_SANITIZERS} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${ZINC_SANITIZERS})
endif()

find_program(CCACHE ccache)
if(CCACHE)
  # The base directory lets several worktrees share one cache.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()

# Adds every child directory that holds a CMakeLists.txt.
function(zinc_add_packages)
  file(GLOB children CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
  foreach(child ${children})
    get_filename_component(directory ${child} DIRECTORY)
    add_subdirectory(${directory})
  endforeach()
endfunction()

# Declares a library from all sources in its directory: zinc_library(LibName dependency...).
function(zinc_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} INTERFACE ${ARGN})
  endif()
endfunction()

# Declares a program from all sources in its directory: zinc_program(name dependency...).
function(zinc_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Declares a GoogleTest program from all sources in its directory and registers it with CTest.
function(zinc_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gtest_main rapidcheck)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()
