#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include "medlarwinch/standins/event_log.h"
#include "medlarwinch/standins/upstream_settings.h"

namespace medlarwinch {

/// State shared by all sessions of one simulated upstream.
struct UpstreamServerState {
  UpstreamSettings settings;
  std::unique_ptr<EventLog> log;
  std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  /// Short requests in progress.
  std::atomic<int64_t> in_progress{0};
  std::atomic<int64_t> feeds{0};
  std::atomic<uint64_t> executed{0};
  std::atomic<uint64_t> shed{0};
  std::atomic<uint64_t> failed{0};
  std::atomic<uint64_t> cancelled{0};
  std::atomic<uint64_t> expired{0};
  std::atomic<uint64_t> sequence{0};
  /// Settings that POST /control/set changes at run time.
  std::atomic<int64_t> work_ms{0};
  std::atomic<int64_t> shed_above{0};
  std::atomic<int64_t> fail_percent{0};
  std::atomic<bool> reports_healthy{true};
};

}  // namespace medlarwinch
