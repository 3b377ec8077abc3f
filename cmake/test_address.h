#pragma once

#include <unistd.h>

#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Returns a loopback address that no other test process uses, derived from the
/// process id, so that test programs that bind fixed ports can run in parallel.
/// The second byte is 64 or more; scenarios use lower ones.
inline uint32_t ProcessLoopbackIp() {
  constexpr uint32_t kLoopbackNet = 0x7f000000;
  constexpr uint32_t kTestRange = 0x400000;
  constexpr uint32_t kProcessBits = 0x3fffff;
  return kLoopbackNet | kTestRange |
         (static_cast<uint32_t>(getpid()) & kProcessBits);
}

/// Returns the endpoint with `port` at ProcessLoopbackIp().
inline Endpoint TestEndpoint(uint16_t port) {
  return Endpoint{ProcessLoopbackIp(), port};
}

}  // namespace medlarwinch
