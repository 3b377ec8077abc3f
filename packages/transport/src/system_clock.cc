#include "medlarwinch/transport/system_clock.h"

#include <chrono>
#include <cstdio>
#include <ctime>

namespace medlarwinch {
namespace {

constexpr int64_t kMillisPerSecond = 1'000;
constexpr int64_t kNanosPerMilli = 1'000'000;

}  // namespace

TimePoint MonotonicNow() {
  return TimePoint{std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count()};
}

TimePoint BootTimeNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{static_cast<int64_t>(time.tv_sec) * kMillisPerSecond +
                   time.tv_nsec / kNanosPerMilli};
}

TimePoint WallNow() {
  return TimePoint{std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()};
}

std::string FormatTime(TimePoint time) {
  const std::time_t seconds = time.value / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  char millis[8];
  std::snprintf(millis, sizeof(millis), ".%03dZ",
                static_cast<int>(time.value % kMillisPerSecond));
  return std::string(text, size) + millis;
}

}  // namespace medlarwinch
