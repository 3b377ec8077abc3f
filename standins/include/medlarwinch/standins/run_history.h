#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/standins/event_record.h"

namespace medlarwinch {

/// What one run left behind. The checks read nothing else.
struct RunLogs {
  /// Event logs of the load tools.
  std::vector<EventRecord> callers;
  /// Execution logs of the upstreams.
  std::vector<EventRecord> upstreams;
  /// What the runner did and saw: upstream_started, upstream_killed,
  /// upstream_frozen, upstream_leaving, balancer_started, balancer_gone,
  /// config_applied, config_seen.
  std::vector<EventRecord> steps;
  /// Counts of the fabric by name.
  std::map<std::string, uint64_t> fabric;
};

/// One time that a flow was accepted by an agent.
struct FlowSession {
  std::string flow;
  std::string service;
  std::string agent;
  /// Upstream that answered last; empty before the first answer.
  std::string upstream;
  int64_t begin_ms = 0;
  /// INT64_MAX while the flow is open.
  int64_t end_ms = INT64_MAX;
};

/// The life of one process of an upstream.
struct UpstreamLifetime {
  std::string upstream;
  std::string service;
  std::string agent;
  int64_t slots = 1;
  int64_t begin_ms = 0;
  /// When it was killed, or INT64_MAX.
  int64_t killed_at = INT64_MAX;
  /// When it was told to leave, or INT64_MAX.
  int64_t leaving_since = INT64_MAX;
  /// Until when new work may still start after `leaving`.
  int64_t new_work_deadline = INT64_MAX;
  std::vector<int64_t> frozen_at;
};

/// Flows and upstreams over the time of a run, reconstructed from its logs.
class RunHistory {
 public:
  explicit RunHistory(const RunLogs& logs);

  const std::vector<FlowSession>& sessions() const { return sessions_; }
  const std::vector<UpstreamLifetime>& upstream_lifetimes() const {
    return upstream_lifetimes_;
  }

  /// True when a flow was on an upstream that was killed or frozen, at some
  /// time between `from` and `until`. No system can keep such a flow.
  bool WasOnFailedUpstream(const std::string& flow, int64_t begin_ms,
                           int64_t end_ms) const;

  /// The life of the upstream at `time`; nullptr when there was none.
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
