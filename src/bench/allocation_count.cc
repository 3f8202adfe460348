// Replaces the global operators new and delete to count allocations.

#include "allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocation_count{0};

}  // namespace

void* operator new(std::size_t size) {
  ++allocation_count;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace pollenledge::bench {

std::size_t AllocationCount() { return allocation_count; }

}  // namespace pollenledge::bench
