#pragma once

#include <array>
#include <cstdint>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// When a caller sends the copies of an opening, counted from the first one.
inline constexpr std::array<Millis, 3> kOpeningCopyTimes = {
    Millis{0}, Millis{200}, Millis{600}};
/// Number of copies after the first one.
inline constexpr uint32_t kMaxOpeningRetransmissions =
    static_cast<uint32_t>(kOpeningCopyTimes.size()) - 1;
/// Time from the first copy to the end of the caller's attempt.
inline constexpr Millis kOpeningAttempt{1'400};

/// Returns the time from the first copy to copy number `copy`. Copies beyond
/// the last one count as the last one.
constexpr Millis OpeningCopyTime(uint32_t copy) {
  return kOpeningCopyTimes[copy < kMaxOpeningRetransmissions
                               ? copy
                               : kMaxOpeningRetransmissions];
}

/// Returns the time from copy number `copy` to the end of the caller's attempt.
constexpr Millis TimeToAttemptEnd(uint32_t copy) {
  return kOpeningAttempt - OpeningCopyTime(copy);
}

/// Returns the time from copy number `copy` to the next one, or to the end of
/// the attempt after the last one.
constexpr Millis TimeToNextCopy(uint32_t copy) {
  const bool is_last = copy >= kMaxOpeningRetransmissions;
  return is_last ? TimeToAttemptEnd(copy)
                 : OpeningCopyTime(copy + 1) - OpeningCopyTime(copy);
}

}  // namespace medlarwinch
