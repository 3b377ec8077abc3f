#include "medlarwinch/standins/run_history.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// All processes share one clock, but the runner logs a kill before it takes
// effect and a load generator logs an event after it happened.
constexpr int64_t kLogTimeToleranceMs = 200;

}  // namespace

RunHistory::RunHistory(const RunLogs& logs) {
  for (const EventRecord& step : logs.steps) AddStep(step);
  for (const EventRecord& record : logs.callers) AddCallerEvent(record);
}

bool RunHistory::WasOnFailedUpstream(const std::string& flow, int64_t begin_ms,
                                     int64_t end_ms) const {
  const auto found = sessions_by_flow_.find(flow);
  if (found == sessions_by_flow_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(), [&](size_t index) {
        return OverlapsUpstreamFailure(sessions_[index], begin_ms, end_ms);
      });
}

const UpstreamLifetime* RunHistory::LifetimeAt(const std::string& upstream,
                                               int64_t time) const {
  const UpstreamLifetime* latest = nullptr;
  for (const UpstreamLifetime& lifetime : upstream_lifetimes_) {
    if (lifetime.upstream == upstream && lifetime.begin_ms <= time)
      latest = &lifetime;
  }
  return latest;
}

void RunHistory::AddStep(const EventRecord& step) {
  const std::string& upstream = step.Field("upstream");
  if (step.event == "upstream_started") {
    UpstreamLifetime lifetime;
    lifetime.upstream = upstream;
    lifetime.service = step.Field("service");
    lifetime.agent = step.Field("agent");
    lifetime.slots = std::max<int64_t>(1, step.Number("slots"));
    lifetime.begin_ms = step.time;
    upstream_lifetimes_.push_back(lifetime);
    return;
  }
  UpstreamLifetime* lifetime = LatestLifetime(upstream);
  if (lifetime == nullptr) return;
  if (step.event == "upstream_killed") {
    lifetime->killed_at = std::min(lifetime->killed_at, step.time);
  } else if (step.event == "upstream_frozen") {
    lifetime->frozen_at.push_back(step.time);
  } else if (step.event == "upstream_leaving") {
    lifetime->draining_since = std::min(lifetime->draining_since, step.time);
    lifetime->new_work_deadline = std::min(lifetime->new_work_deadline,
                                           step.time + step.Number("limit_ms"));
  } else if (step.event == "upstream_restored") {
    // The same process accepts work again; earlier work is checked against the
    // lifetime that ends here.
    UpstreamLifetime restored = *lifetime;
    restored.begin_ms = step.time;
    restored.draining_since = INT64_MAX;
    restored.new_work_deadline = INT64_MAX;
    upstream_lifetimes_.push_back(restored);
  }
}

void RunHistory::AddCallerEvent(const EventRecord& record) {
  const std::string& flow = record.Field("flow");
  if (record.event == "flow_opened") {
    std::vector<size_t>& indices = sessions_by_flow_[flow];
    if (!indices.empty()) {
      FlowSession& earlier = sessions_[indices.back()];
      earlier.end_ms = std::min(earlier.end_ms, record.time);
    }
    indices.push_back(sessions_.size());
    FlowSession session;
    session.flow = flow;
    session.service = record.Field("service");
    session.agent = record.Field("agent");
    session.begin_ms = record.time;
    sessions_.push_back(session);
    return;
  }
  const auto found = sessions_by_flow_.find(flow);
  if (found == sessions_by_flow_.end()) return;
  FlowSession& session = sessions_[found->second.back()];
  if (record.event == "head") {
    session.upstream = record.Field("upstream");
  } else if (record.event == "flow_broken" || record.event == "flow_closed") {
    session.end_ms = std::min(session.end_ms, record.time);
  }
}

UpstreamLifetime* RunHistory::LatestLifetime(const std::string& upstream) {
  for (auto lifetime = upstream_lifetimes_.rbegin();
       lifetime != upstream_lifetimes_.rend(); ++lifetime) {
    if (lifetime->upstream == upstream) return &*lifetime;
  }
  return nullptr;
}

bool RunHistory::OverlapsUpstreamFailure(const FlowSession& session,
                                         int64_t begin_ms,
                                         int64_t end_ms) const {
  // A session that ended before the period is not affected.
  if (session.end_ms < begin_ms - kLogTimeToleranceMs ||
      session.begin_ms > end_ms) {
    return false;
  }
  return std::any_of(
      upstream_lifetimes_.begin(), upstream_lifetimes_.end(),
      [&](const UpstreamLifetime& lifetime) {
        const bool is_same_upstream =
            lifetime.upstream == session.upstream ||
            (!lifetime.agent.empty() && lifetime.agent == session.agent);
        if (!is_same_upstream || lifetime.service != session.service)
          return false;
        const bool is_killed =
            lifetime.killed_at >= session.begin_ms - kLogTimeToleranceMs &&
            lifetime.killed_at <= end_ms + kLogTimeToleranceMs;
        return is_killed ||
               std::any_of(lifetime.frozen_at.begin(), lifetime.frozen_at.end(),
                           [&](int64_t time) {
                             return time >= session.begin_ms -
                                                kLogTimeToleranceMs &&
                                    time <= end_ms + kLogTimeToleranceMs;
                           });
      });
}

}  // namespace medlarwinch
