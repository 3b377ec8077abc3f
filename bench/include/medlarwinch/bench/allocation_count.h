#pragma once

#include <cstdint>

namespace medlarwinch {

/// Number of allocations by operator new on the calling thread since its start.
/// Programs that link this function count them; others are not affected.
uint64_t AllocationCount();

}  // namespace medlarwinch
