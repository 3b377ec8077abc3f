#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/standins/event_record.h"

namespace medlarwinch {

/// The logs of one run, the only input of the checks.
struct RunLogs {
  /// Event logs of the load generators.
  std::vector<EventRecord> callers;
  /// Execution logs of the upstreams.
  std::vector<EventRecord> upstreams;
  /// Actions and observations of the runner: upstream_started, upstream_killed,
  /// upstream_frozen, upstream_leaving, balancer_started, balancer_gone,
  /// config_applied, config_seen.
  std::vector<EventRecord> steps;
  /// Counters of the fabric by name.
  std::map<std::string, uint64_t> fabric;
};

/// A period during which an agent held a flow.
struct FlowSession {
  std::string flow;
  std::string service;
  std::string agent;
  /// Upstream of the last response; empty before the first response.
  std::string upstream;
  int64_t begin_ms = 0;
  /// INT64_MAX while the flow is open.
  int64_t end_ms = INT64_MAX;
};

/// Lifetime of one upstream process.
struct UpstreamLifetime {
  std::string upstream;
  std::string service;
  std::string agent;
  int64_t slots = 1;
  int64_t begin_ms = 0;
  /// Time of its kill; INT64_MAX if it was not killed.
  int64_t killed_at = INT64_MAX;
  /// Time at which its drain was announced; INT64_MAX if it was not.
  int64_t draining_since = INT64_MAX;
  /// Time until which new work may still start after `draining_since`.
  int64_t new_work_deadline = INT64_MAX;
  std::vector<int64_t> frozen_at;
};

/// Flow sessions and upstream lifetimes of a run, reconstructed from its logs.
class RunHistory {
 public:
  explicit RunHistory(const RunLogs& logs);

  const std::vector<FlowSession>& sessions() const { return sessions_; }
  const std::vector<UpstreamLifetime>& upstream_lifetimes() const {
    return upstream_lifetimes_;
  }

  /// Returns whether the flow was on an upstream that was killed or frozen
  /// between `begin_ms` and `end_ms`. Such a flow cannot be preserved by any
  /// system.
  bool WasOnFailedUpstream(const std::string& flow, int64_t begin_ms,
                           int64_t end_ms) const;

  /// Returns the lifetime of the upstream at `time`, or nullptr if there is
  /// none.
  const UpstreamLifetime* LifetimeAt(const std::string& upstream,
                                     int64_t time) const;

 private:
  void AddStep(const EventRecord& step);
  void AddCallerEvent(const EventRecord& record);
  UpstreamLifetime* LatestLifetime(const std::string& upstream);
  bool OverlapsUpstreamFailure(const FlowSession& session, int64_t begin_ms,
                               int64_t end_ms) const;

  std::vector<FlowSession> sessions_;
  std::map<std::string, std::vector<size_t>> sessions_by_flow_;
  std::vector<UpstreamLifetime> upstream_lifetimes_;
};

}  // namespace medlarwinch
