# Strict warnings for our own sources only; users of the installed library do not inherit them.
add_library(fordwood_warnings INTERFACE)
if(FORDWOOD_DEVELOPMENT)
  target_compile_options(fordwood_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wold-style-cast -Wnon-virtual-dtor
    -Woverloaded-virtual -Werror)
endif()
