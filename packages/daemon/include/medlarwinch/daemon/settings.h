#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings of an agent; section `agent`.
struct AgentSettings {
  std::string service;
  uint32_t slots = 1;
  /// HTTP/1.1 listener of the upstream.
  Endpoint upstream;
  /// PEM files with the certificate and private key for HTTP/3; without them
  /// the agent serves only the thin protocol.
  std::string certificate_file = "";
  std::string private_key_file = "";

  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

/// Settings of one daemon, read once at startup.
struct Settings {
  /// Name used in log lines; defaults to the control address.
  std::string name;
  std::string log_level = "info";
  std::string failure_domain;
  FleetKey fleet_key{};
  /// UDP and TCP address for messages between daemons; also identifies the
  /// daemon.
  Endpoint control;
  /// UDP address for flow packets.
  Endpoint data;
  /// HTTP address of /metrics and /status.
  Endpoint admin;
  /// The platform's object API.
  Endpoint platform;
  /// Control addresses of the balancers to contact first; may be empty.
  std::vector<Endpoint> peers;
  /// Limit of this daemon's calls to the platform per second.
  double platform_calls_per_second = 5;
  std::optional<AgentSettings> agent;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses and validates the settings of a balancer or an agent. Fails with
/// kInvalidInput; for every mistake the message names file, line, path and what
/// is allowed.
Result<Settings> ParseSettings(const std::string& file, const std::string& text,
                               bool is_agent);

/// Reads `file` and parses it; fails with kNotFound when it can't be read.
Result<Settings> LoadSettings(const std::string& file, bool is_agent);

}  // namespace medlarwinch
