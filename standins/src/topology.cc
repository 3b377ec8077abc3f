#include "medlarwinch/standins/topology.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kLoopback = 127U << 24;
constexpr uint16_t kServicePort = 4433;

Topology Trinacria() {
  Topology topology;
  topology.name = "trinacria";
  topology.domains = {"catania", "palermo", "ragusa"};
  topology.services = {{"probe-hub", {}, 7, 4, "/samples", "/report"},
                       {"report-desk", {}, 3, 4, "/samples", "/report"}};
  topology.client_latency_ms = 1;
  topology.domain_latency_ms = 1.5;
  return topology;
}

Topology Bagmati() {
  Topology topology;
  topology.name = "bagmati";
  topology.domains = {"ktm-teku", "ktm-balaju", "lalitpur-jawa",
                      "bhaktapur-sal"};
  topology.services = {{"kiosk-desk", {}, 7, 3, "/orders", "/manifest"},
                       {"depot-manifest", {}, 4, 3, "/orders", "/manifest"}};
  topology.client_latency_ms = 3;
  topology.domain_latency_ms = 0.5;
  return topology;
}

}  // namespace

Endpoint Topology::LoopbackAddress(uint32_t group, uint32_t index,
                                   uint16_t port) const {
  return Endpoint{kLoopback | net << 16 | group << 8 | index, port};
}

size_t Topology::ServiceIndex(const std::string& service) const {
  size_t index = 0;
  while (index < services.size() && services[index].name != service) ++index;
  return index;
}

Topology MakeTopology(const Scenario& scenario, uint32_t net) {
  Topology topology = scenario.topology == "bagmati" ? Bagmati() : Trinacria();
  topology.net = net;
  uint32_t index = 0;
  for (TopologyService& service : topology.services) {
    service.address = topology.LoopbackAddress(10, ++index, kServicePort);
    const auto hosts = scenario.hosts.find(service.name);
    if (hosts != scenario.hosts.end()) service.hosts = hosts->second;
  }
  return topology;
}

}  // namespace medlarwinch
