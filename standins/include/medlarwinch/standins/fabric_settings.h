#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A service address that the fabric announces.
struct FabricService {
  std::string name;
  Endpoint address;
};

/// A balancer that gets packets.
struct FabricBalancer {
  std::string name;
  Endpoint data;
  std::string domain;
};

/// Settings of the stand-in fabric.
struct FabricSettings {
  /// Takes FabricPackets from load tools, each for many callers.
  Endpoint ingress;
  /// Socket towards balancers and agents.
  Endpoint fabric;
  /// HTTP address of /control/.
  Endpoint control;
  std::vector<FabricService> services;
  std::vector<FabricBalancer> balancers;
  std::vector<std::string> domains;
  /// Failure domain by IPv4 address, for the latency of answers.
  std::map<uint32_t, std::string> host_domains;
  /// One-way latencies.
  double client_latency_ms = 0;
  double domain_latency_ms = 0;
  /// True binds a socket at each service address for callers that send plain
  /// packets.
  bool bind_services = true;
  uint64_t seed = 1;
};

/// Parses the settings; fails with kInvalidInput and all mistakes.
Result<FabricSettings> ParseFabricSettings(const std::string& file,
                                           const std::string& text);

}  // namespace medlarwinch
