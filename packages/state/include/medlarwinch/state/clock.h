#pragma once

#include <compare>
#include <cstdint>

namespace medlarwinch {

/// A span of time in milliseconds.
struct Millis {
  int64_t value = 0;

  friend constexpr auto operator<=>(const Millis&, const Millis&) = default;
};

constexpr Millis operator+(Millis a, Millis b) {
  return Millis{a.value + b.value};
}
constexpr Millis operator-(Millis a, Millis b) {
  return Millis{a.value - b.value};
}
constexpr Millis operator*(Millis a, int64_t factor) {
  return Millis{a.value * factor};
}

/// A point in time in milliseconds since an epoch that the source of the value
/// defines: process start for monotonic readings, 1970 for wall-clock readings.
/// Decisions never read a clock; they are handed a TimePoint.
struct TimePoint {
  int64_t value = 0;

  friend constexpr auto operator<=>(const TimePoint&,
                                    const TimePoint&) = default;
};

constexpr TimePoint operator+(TimePoint t, Millis d) {
  return TimePoint{t.value + d.value};
}
constexpr TimePoint operator-(TimePoint t, Millis d) {
  return TimePoint{t.value - d.value};
}
constexpr Millis operator-(TimePoint a, TimePoint b) {
  return Millis{a.value - b.value};
}

}  // namespace medlarwinch
