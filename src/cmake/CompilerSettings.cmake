# Compiler settings for every target: C++20, warnings, optional sanitizers.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

set(RILLWALL_SANITIZE "" CACHE STRING "Sanitizers: address,undefined or thread")
if(RILLWALL_SANITIZE)
  add_compile_options(-fsanitize=${RILLWALL_SANITIZE} -fno-omit-frame-pointer -g1)
  add_link_options(-fsanitize=${RILLWALL_SANITIZE})
endif()

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
