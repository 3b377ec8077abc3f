#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings of the load tool.
struct LoadGeneratorSettings {
  /// Ingress of the fabric.
  std::vector<Endpoint> targets;
  /// Address of the tool's sockets; its port is not used.
  Endpoint local;
  int sockets = 2;
  std::string service;
  Endpoint service_address;
  /// First IPv4 address of the simulated callers.
  Endpoint first_caller;
  std::string event_log;
  uint64_t seed = 1;

  /// Flows by class.
  int64_t feeds = 0;
  int64_t uploaders = 0;
  int64_t downloaders = 0;
  int64_t echoers = 0;
  /// Pairs of flows that send the same key of a request that may not be
  /// repeated.
  int64_t duplicate_uploaders = 0;

  int64_t feed_interval_ms = 1'000;
  int64_t upload_interval_ms = 500;
  int64_t download_interval_ms = 1'000;
  int64_t echo_interval_ms = 500;
  int64_t download_bytes = 50'000;
  /// Work time that uploads ask the upstream for; below 0 uses its own.
  int64_t upload_work_ms = -1;
  std::string upload_path = "/samples";
  std::string download_path = "/report";
  std::string tenant;
  /// Flows are opened evenly over this time.
  int64_t ramp_ms = 2'000;
  /// Short requests after which a flow is closed and another is opened; 0 keeps
  /// the flow.
  int64_t requests_per_flow = 0;
  int64_t request_deadline_ms = 10'000;
};

/// Parses the settings; fails with kInvalidInput and all mistakes.
Result<LoadGeneratorSettings> ParseLoadGeneratorSettings(
    const std::string& file, const std::string& text);

}  // namespace medlarwinch
