#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Settings that only an agent has; section `agent`.
struct AgentSettings {
  std::string service;
  uint32_t slots = 1;
  /// HTTP/1.1 listener of the upstream.
  Endpoint upstream;
  /// Files with the certificate and the private key in PEM form that callers of
  /// HTTP/3 see; without them the agent serves the thin protocol only.
  std::string certificate_file = "";
  std::string private_key_file = "";

  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

/// Settings of one daemon, read once at its start.
struct Settings {
  /// Name in log lines; the control address when it is not set.
  std::string name;
  std::string log_level = "info";
  std::string failure_domain;
  FleetKey fleet_key{};
  /// UDP and TCP address for messages between daemons; identifies the daemon.
  Endpoint control;
  /// UDP address for packets of flows.
  Endpoint data;
  /// HTTP address of /metrics and /status.
  Endpoint admin;
  /// The platform's object API.
  Endpoint platform;
  /// Control addresses of balancers to ask first; may be empty.
  std::vector<Endpoint> peers;
  /// Calls per second that this daemon may make to the platform.
  double platform_calls_per_second = 5;
  std::optional<AgentSettings> agent;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses and checks the settings of a balancer or an agent. Fails with
/// kInvalidInput; the message names file, line, path and what is allowed for
/// every mistake.
Result<Settings> ParseSettings(const std::string& file, const std::string& text,
                               bool is_agent);

/// Reads `file` and parses it; fails with kNotFound when it can't be read.
Result<Settings> LoadSettings(const std::string& file, bool is_agent);

}  // namespace medlarwinch
