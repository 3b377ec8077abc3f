#pragma once

#include <cstdint>
#include <string>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings of the simulated upstream.
struct UpstreamSettings {
  Endpoint listen;
  std::string service;
  /// Name in responses and logs, such as "probe-hub/2".
  std::string name;
  /// File to which request executions are appended.
  std::string execution_log;
  /// Processing time of a short request.
  int64_t work_ms = 2;
  /// For this long after the start, processing takes `cold_factor` times as
  /// long.
  int64_t cold_ms = 0;
  int64_t cold_factor = 10;
  /// Number of short requests in progress above which further ones are shed; 0
  /// disables shedding.
  int64_t shed_above = 0;
  /// Percentage of short requests that fail with status 500 without being
  /// executed.
  int64_t fail_percent = 0;
  /// Status reported by /health, independent of the outcome of requests.
  bool reports_healthy = true;
  int threads = 2;
};

/// Parses the settings; fails with kInvalidInput and lists all errors.
Result<UpstreamSettings> ParseUpstreamSettings(const std::string& file,
                                               const std::string& text);

}  // namespace medlarwinch
