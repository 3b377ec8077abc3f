#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// 128-bit hash of a service name and an idempotency key.
struct KeyHash {
  uint64_t high = 0;
  uint64_t low = 0;

  friend auto operator<=>(const KeyHash&, const KeyHash&) = default;
};

/// Hasher for unordered containers; the key is a hash already.
struct KeyHashHasher {
  size_t operator()(const KeyHash& key) const { return key.low; }
};

/// One boot of an agent that holds a key.
struct KeyHolder {
  /// Data address of the agent.
  Endpoint agent;
  /// The agent's boot time; see MemberVersion::boot.
  int64_t boot = 0;

  friend auto operator<=>(const KeyHolder&, const KeyHolder&) = default;
};

/// Reply of a home agent to a reservation.
enum class ReserveState : uint8_t {
  kGranted = 0,
  kHeldElsewhere = 1,
  kFull = 2,
};

/// State of a key at the agent that is queried.
enum class KeyState : uint8_t {
  kCancelled = 0,
  kRunning = 1,
  kRan = 2,
  kMayHaveRun = 3,
  kOtherBoot = 4,
};

}  // namespace medlarwinch
