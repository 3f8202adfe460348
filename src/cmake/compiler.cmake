set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
# A deployment must not fail to build because a compiler warns of something new.
option(POLLENLEDGE_WERROR "Treat the compiler's warnings as errors" ON)
if(POLLENLEDGE_WERROR)
  add_compile_options(-Werror)
endif()
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
  # Aggregates are filled by designated initializers that leave out defaults.
  -Wno-missing-field-initializers
  # False alarms of g++ 12 in inlined std::string and std::variant operations.
  -Wno-array-bounds -Wno-stringop-overflow -Wno-maybe-uninitialized)

set(POLLENLEDGE_SANITIZER "" CACHE STRING
  "Sanitizers to build with: empty, \"address,undefined\" or \"thread\"")
if(POLLENLEDGE_SANITIZER)
  # The sanitizers' code makes g++ 12 see uninitialized values in libraries.
  add_compile_options(-fsanitize=${POLLENLEDGE_SANITIZER}
    -fno-omit-frame-pointer -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=${POLLENLEDGE_SANITIZER})
endif()
