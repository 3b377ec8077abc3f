#pragma once

#include <unistd.h>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Returns `port` at a loopback address of this process's own, so that test
/// programs of several working copies can run at the same time.
inline Endpoint TestEndpoint(uint16_t port) {
  constexpr uint32_t kFirst = 0x7f400001;  // 127.64.0.1
  constexpr uint32_t kCount = 0x3ffff0;
  return Endpoint{kFirst + static_cast<uint32_t>(getpid()) % kCount, port};
}

}  // namespace medlarwinch
