#pragma once

#include <cstddef>

namespace pollenledge::bench {

/// Number of allocations by the global `operator new` since the process
/// started, in all threads. Thread-safe.
///
/// A program that links allocation_count.cc uses its replacements of the global
/// operators new and delete.
std::size_t AllocationCount();

}  // namespace pollenledge::bench
