#pragma once

#include <cstdint>

namespace medlarwinch {

/// Returns the number of allocations by operator new on the calling thread
/// since its start. Linking this function replaces operator new by a counting
/// version; other programs are not affected.
uint64_t AllocationCount();

}  // namespace medlarwinch
