#pragma once

#include <compare>
#include <cstdint>

namespace medlarwinch {

/// A duration in milliseconds.
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

/// A point in time in milliseconds since an epoch that depends on its source:
/// process start for monotonic clocks, 1970 for wall clocks. Decisions never
/// read a clock; they take the time as a parameter.
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
