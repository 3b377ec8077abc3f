#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/standins/scenario.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// One service of a topology.
struct TopologyService {
  std::string name;
  Endpoint address;
  int64_t hosts = 0;
  int64_t slots = 0;
  std::string upload_path;
  std::string download_path;
};

/// A deployment from section 1 of the design, on loopback addresses
/// 127.NET.x.y.
struct Topology {
  std::string name;
  uint32_t net = 0;
  std::vector<std::string> domains;
  std::vector<TopologyService> services;
  double client_latency_ms = 0;
  double domain_latency_ms = 0;

  /// Loopback address 127.NET.`group`.`index`.
  Endpoint LoopbackAddress(uint32_t group, uint32_t index, uint16_t port) const;
  Endpoint PlatformApi() const { return LoopbackAddress(1, 1, 8080); }
  Endpoint PlatformControl() const { return LoopbackAddress(1, 1, 8081); }
  Endpoint FabricIngress() const { return LoopbackAddress(1, 2, 9000); }
  Endpoint FabricSocket() const { return LoopbackAddress(1, 2, 9001); }
  Endpoint FabricControl() const { return LoopbackAddress(1, 2, 9002); }
  Endpoint BalancerAddress(uint32_t number, uint16_t port) const {
    return LoopbackAddress(2, number, port);
  }
  /// Address of host `number` (starting at 1) of the service with index
  /// `service`.
  Endpoint HostAddress(size_t service, uint32_t number, uint16_t port) const {
    return LoopbackAddress(20 + static_cast<uint32_t>(service), number, port);
  }
  /// Failure domain of the balancer or host with the given number.
  const std::string& DomainOf(uint32_t number) const {
    return domains[number % domains.size()];
  }
  /// Index of the service with the given name; services.size() if there is
  /// none.
  size_t ServiceIndex(const std::string& service) const;
};

/// Ports of a daemon.
inline constexpr uint16_t kControlPort = 7100;
inline constexpr uint16_t kDataPort = 7200;
inline constexpr uint16_t kAdminPort = 7300;
inline constexpr uint16_t kUpstreamPort = 8000;

/// Returns the topology of a scenario at 127.`net`.0.0/16.
Topology MakeTopology(const Scenario& scenario, uint32_t net);

}  // namespace medlarwinch
