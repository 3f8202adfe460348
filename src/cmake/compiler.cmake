set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
# Turn this off for deployment builds: a newer compiler may add warnings, and
# these must not fail the build.
option(POLLENLEDGE_WERROR "Treat compiler warnings as errors" ON)
if(POLLENLEDGE_WERROR)
  add_compile_options(-Werror)
endif()
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
  # Designated initializers omit members that keep their default value.
  -Wno-missing-field-initializers
  # g++ 12 reports false positives in inlined std::string and std::variant code.
  -Wno-array-bounds -Wno-stringop-overflow -Wno-maybe-uninitialized)

set(POLLENLEDGE_SANITIZER "" CACHE STRING
  "Sanitizers to build with: empty, \"address,undefined\" or \"thread\"")
if(POLLENLEDGE_SANITIZER)
  # With sanitizer instrumentation g++ 12 reports false positives about
  # uninitialized values in libraries.
  add_compile_options(-fsanitize=${POLLENLEDGE_SANITIZER}
    -fno-omit-frame-pointer -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=${POLLENLEDGE_SANITIZER})
endif()
