#pragma once

#include <cstddef>

namespace pollenledge::bench {

/// Allocations by `operator new` since the process started.
std::size_t Allocations();

}  // namespace pollenledge::bench
