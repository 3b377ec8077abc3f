#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings of the stand-in upstream.
struct UpstreamSettings {
  Endpoint listen;
  std::string service;
  /// Name in answers and logs, such as "probe-hub/2".
  std::string name;
  /// File to which executions are appended.
  std::string execution_log;
  /// Time that a short request takes.
  int64_t work_ms = 2;
  /// For this long after the start, work takes `cold_factor` times as long.
  int64_t cold_ms = 0;
  int64_t cold_factor = 10;
  /// Short requests in progress above which further ones are shed; 0 never
  /// sheds.
  int64_t shed_above = 0;
  /// Share of short requests that fail with 500 without being executed.
  int64_t fail_percent = 0;
  /// What /health says, independent of what requests meet.
  bool reports_healthy = true;
  int threads = 2;
};

/// Parses the settings; fails with kInvalidInput and all mistakes.
Result<UpstreamSettings> ParseUpstreamSettings(const std::string& file,
                                               const std::string& text);

}  // namespace medlarwinch
