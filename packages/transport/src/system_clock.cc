#include "medlarwinch/transport/system_clock.h"

#include <chrono>

namespace medlarwinch {

TimePoint MonotonicNow() {
  return TimePoint{std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count()};
}

TimePoint WallNow() {
  return TimePoint{std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()};
}

}  // namespace medlarwinch
