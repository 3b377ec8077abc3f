#include "medlarwinch/bench/allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

thread_local uint64_t t_allocation_count = 0;

void* Allocate(std::size_t size) {
  ++t_allocation_count;
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

}  // namespace

namespace medlarwinch {

uint64_t AllocationCount() { return t_allocation_count; }

}  // namespace medlarwinch

void* operator new(std::size_t size) { return Allocate(size); }
void* operator new[](std::size_t size) { return Allocate(size); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t) noexcept {
  std::free(memory);
}
