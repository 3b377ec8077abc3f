#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace medlarwinch {

using Bytes = std::vector<uint8_t>;
using ByteView = std::span<const uint8_t>;

}  // namespace medlarwinch
