#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "medlarwinch/standins/event_log.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// What a watcher needs to know of a balancer.
struct MonitoredBalancer {
  std::string name;
  Endpoint admin;
  Endpoint data;
  std::string domain;
  /// Address of the fabric's /control/.
  Endpoint fabric;
  /// The balancer gets packets once it has this many documents in force.
  size_t documents = 0;
};

/// Polls the status of one balancer, as a fabric's health check does: it adds
/// the balancer to the fabric while it is ready and removes it when it leaves
/// or stops answering. Logs config_seen for each version that comes into force.
class BalancerMonitor {
 public:
  /// `log` outlives the watcher.
  BalancerMonitor(const MonitoredBalancer& balancer, EventLog& log);

  /// Ends the polling; the balancer stays in the fabric as it is.
  ~BalancerMonitor();
  BalancerMonitor(const BalancerMonitor&) = delete;
  BalancerMonitor& operator=(const BalancerMonitor&) = delete;

  bool is_ready() const { return is_ready_; }
  /// Ready agents that the balancer knows.
  int ready_agents() const { return ready_agents_; }

 private:
  void Run();
  // Returns whether the balancer answered that it is ready.
  bool Poll();
  void UpdateFabricMembership(bool is_in_fabric);

  MonitoredBalancer balancer_;
  EventLog& log_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> is_ready_{false};
  std::atomic<int> ready_agents_{0};
  std::map<std::string, uint64_t> versions_;
  bool is_in_fabric_ = false;
  std::thread thread_;
};

}  // namespace medlarwinch
