#include "medlarwinch/node/node_metrics.h"

namespace medlarwinch {
namespace {

uint64_t Total(const std::array<uint64_t, kFlowResetReasons>& counts) {
  uint64_t total = 0;
  for (const uint64_t count : counts) total += count;
  return total;
}

}  // namespace

void SetBalancerMetrics(const BalancerRelay& relay, uint64_t malformed_packets,
                        uint64_t malformed_messages, Metrics& metrics) {
  const BalancerCounters& counters = relay.counters;
  const auto set = [&](const char* name, uint64_t value) {
    metrics.Set(std::string("medlarwinch_balancer_") + name, {},
                static_cast<double>(value));
  };
  set("flows_opened", counters.opened);
  set("opening_copies", counters.open_copies);
  set("packets_relayed", counters.relayed);
  set("owner_searches", counters.searches);
  set("owners_found", counters.found);
  set("searches_unresolved", counters.searches_unresolved);
  set("searches_refused", counters.searches_refused);
  set("openings_dropped_waiting", counters.waiting_for_upstream);
  set("packets_dropped_no_route", counters.dropped_no_route);
  set("packets_malformed", malformed_packets);
  set("messages_malformed", malformed_messages);
  set("flows_cached", relay.cache.size());
  set("flows_evicted", relay.cache.evictions());
  set("resets", Total(counters.resets));
  set("configuration_revision", relay.routes.revision);
  for (size_t reason = 0; reason < kFlowResetReasons; ++reason) {
    metrics.Set(
        "medlarwinch_balancer_resets_by_reason",
        {{"reason", FlowResetReasonName(static_cast<FlowResetReason>(reason))}},
        static_cast<double>(counters.resets[reason]));
  }
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    const MetricLabels labels = {{"agent", ToString(agent)}};
    metrics.Set("medlarwinch_upstream_flows", labels, upstream.report.flows);
    metrics.Set("medlarwinch_upstream_busy", labels, upstream.report.busy);
  }
}

void SetAgentMetrics(const AgentRelay& relay, const std::string& service,
                     Metrics& metrics) {
  const AgentCounters& counters = relay.counters;
  const auto set = [&](const char* name, double value) {
    metrics.Set(std::string("medlarwinch_agent_") + name,
                {{"service", service}}, value);
  };
  set("packets_delivered", static_cast<double>(counters.delivered));
  set("flows_opened", static_cast<double>(counters.opened));
  set("packets_to_callers", static_cast<double>(counters.to_callers));
  set("ownership_denied", static_cast<double>(counters.denied));
  set("openings_dropped", static_cast<double>(counters.dropped_openings));
  set("flows", relay.flows.open);
  set("requests_outstanding", relay.flows.outstanding);
  set("busy", relay.flows.busy);
  for (size_t reason = 0; reason < kRefusalReasons; ++reason) {
    metrics.Set(
        "medlarwinch_agent_openings_passed_on",
        {{"reason", RefusalReasonName(static_cast<RefusalReason>(reason))}},
        static_cast<double>(counters.passed_on[reason]));
  }
  for (size_t reason = 0; reason < kFlowResetReasons; ++reason) {
    metrics.Set(
        "medlarwinch_agent_resets",
        {{"reason", FlowResetReasonName(static_cast<FlowResetReason>(reason))}},
        static_cast<double>(counters.resets[reason]));
  }
}

}  // namespace medlarwinch
