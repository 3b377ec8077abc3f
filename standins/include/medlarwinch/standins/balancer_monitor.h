#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "medlarwinch/standins/event_log.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// The balancer to monitor and the conditions for adding it to the fabric.
struct MonitoredBalancer {
  std::string name;
  Endpoint admin;
  Endpoint data;
  std::string domain;
  /// Address of the fabric's control server.
  Endpoint fabric;
  /// Number of documents that must be in force before the balancer joins the
  /// fabric.
  size_t required_documents = 0;
};

/// Health-checks one balancer by polling its status. Adds it to the fabric
/// while it is ready and removes it when it drains or stops responding. Logs
/// config_seen for each version that comes into force.
class BalancerMonitor {
 public:
  /// `log` must outlive the monitor.
  BalancerMonitor(const MonitoredBalancer& balancer, EventLog& log);

  /// Stops polling and leaves the balancer's fabric membership unchanged.
  ~BalancerMonitor();
  BalancerMonitor(const BalancerMonitor&) = delete;
  BalancerMonitor& operator=(const BalancerMonitor&) = delete;

  bool is_ready() const { return is_ready_; }
  /// Number of ready agents in the balancer's membership view.
  int ready_agents() const { return ready_agents_; }

 private:
  void Run();
  // Returns whether the balancer reports that it is ready.
  bool Poll();
  void UpdateFabricMembership(bool is_in_fabric);

  MonitoredBalancer balancer_;
  EventLog& log_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> is_ready_{false};
  std::atomic<int> ready_agents_{0};
  std::map<std::string, uint64_t> seen_versions_;
  bool is_in_fabric_ = false;
  std::thread thread_;
};

}  // namespace medlarwinch
