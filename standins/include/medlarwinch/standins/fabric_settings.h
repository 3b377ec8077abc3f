#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A service and the address at which the fabric announces it.
struct FabricService {
  std::string name;
  Endpoint address;
};

/// A balancer that receives packets from the fabric.
struct FabricBalancer {
  std::string name;
  Endpoint data;
  std::string domain;
};

/// Settings of the simulated network fabric.
struct FabricSettings {
  /// Receives FabricPackets from load generators, each sending for many
  /// callers.
  Endpoint ingress;
  /// Socket facing the balancers and agents.
  Endpoint fabric;
  /// Address of the HTTP control server.
  Endpoint control;
  std::vector<FabricService> services;
  std::vector<FabricBalancer> balancers;
  std::vector<std::string> domains;
  /// Failure domain by IPv4 address, used for the latency of response packets.
  std::map<uint32_t, std::string> host_domains;
  /// One-way latencies.
  double client_latency_ms = 0;
  double domain_latency_ms = 0;
  /// Whether to bind a socket at each service address for callers that send
  /// plain packets.
  bool bind_services = true;
  uint64_t seed = 1;
};

/// Parses the settings; fails with kInvalidInput and lists all errors.
Result<FabricSettings> ParseFabricSettings(const std::string& file,
                                           const std::string& text);

}  // namespace medlarwinch
