#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings of the load generator.
struct LoadGeneratorSettings {
  /// Ingress addresses of the fabric.
  std::vector<Endpoint> targets;
  /// Local address of the generator's sockets; the port is not used.
  Endpoint local;
  int sockets = 2;
  std::string service;
  Endpoint service_address;
  /// First IPv4 address of the simulated callers.
  Endpoint first_caller;
  std::string event_log;
  uint64_t seed = 1;

  /// Number of flows of each class.
  int64_t feeds = 0;
  int64_t uploaders = 0;
  int64_t downloaders = 0;
  int64_t echoers = 0;
  /// Pairs of flows that send a non-repeatable request with the same
  /// idempotency key.
  int64_t duplicate_uploaders = 0;

  int64_t feed_interval_ms = 1'000;
  int64_t upload_interval_ms = 500;
  int64_t download_interval_ms = 1'000;
  int64_t echo_interval_ms = 500;
  int64_t download_bytes = 50'000;
  /// Processing time that uploads request from the upstream; negative values
  /// use the upstream's own setting.
  int64_t upload_work_ms = -1;
  std::string upload_path = "/samples";
  std::string download_path = "/report";
  std::string tenant;
  /// Flow openings are spread evenly over this period.
  int64_t ramp_ms = 2'000;
  /// Short requests after which a flow is closed and a new one opened; 0 keeps
  /// the flow open.
  int64_t requests_per_flow = 0;
  int64_t request_deadline_ms = 10'000;
};

/// Parses the settings; fails with kInvalidInput and lists all errors.
Result<LoadGeneratorSettings> ParseLoadGeneratorSettings(
    const std::string& file, const std::string& text);

}  // namespace medlarwinch
