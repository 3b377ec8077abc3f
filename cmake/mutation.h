#pragma once

#include <random>

#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// Returns `bytes` with one to four random mutations (truncated, changed or
/// inserted bytes), for tests that feed corrupt input to decoders.
inline Bytes Mutate(Bytes bytes, std::mt19937& random) {
  const uint32_t changes = 1 + random() % 4;
  for (uint32_t change = 0; change < changes; ++change) {
    const size_t at = bytes.empty() ? 0 : random() % bytes.size();
    const uint32_t kind = random() % 4;
    if (kind == 0) bytes.resize(at);
    if (kind == 1 && !bytes.empty()) bytes[at] = static_cast<uint8_t>(random());
    if (kind == 2) {
      bytes.insert(bytes.begin() + static_cast<ptrdiff_t>(at), 0xff);
    }
    if (kind == 3 && !bytes.empty()) bytes[at] = 0xff;
  }
  return bytes;
}

}  // namespace medlarwinch
