#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/standins/scenario.h"
#include "medlarwinch/standins/topology.h"

namespace medlarwinch {

/// Renders the settings files of one run.
class SettingsWriter {
 public:
  /// `folder` is the directory of the event and execution logs.
  SettingsWriter(const Scenario& scenario, const Topology& topology,
                 std::string folder, uint64_t seed);

  std::string RenderPlatform() const;
  std::string RenderFabric() const;
  /// `peers` are control addresses of balancers.
  std::string RenderBalancer(uint32_t number,
                             const std::vector<Endpoint>& peers) const;
  /// Settings of the agent on host `host` of service `home_service` while it
  /// serves `service`; both are service indices.
  std::string RenderAgent(size_t home_service, uint32_t host, size_t service,
                          const std::vector<Endpoint>& peers) const;
  std::string RenderUpstream(size_t home_service, uint32_t host,
                             size_t service) const;
  std::string RenderLoadGenerator(size_t service) const;

  /// Name of an upstream, such as "probe-hub/2".
  std::string UpstreamName(size_t home_service, uint32_t host) const;

 private:
  std::string RenderDaemon(const std::string& name, const std::string& domain,
                           const Endpoint& address,
                           const std::vector<Endpoint>& peers) const;

  const Scenario& scenario_;
  const Topology& topology_;
  std::string folder_;
  uint64_t seed_;
};

/// Replaces '/' so that the name can be used in a file name.
std::string ToFileName(const std::string& name);

}  // namespace medlarwinch
