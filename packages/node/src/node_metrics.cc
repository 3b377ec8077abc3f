#include "medlarwinch/node/node_metrics.h"

#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Sets one counter for each reason by which `counts` is indexed.
template <typename Reason, size_t kCount>
void SetByReason(const std::string& name, MetricLabels labels,
                 const std::array<uint64_t, kCount>& counts,
                 const char* (*name_of)(Reason), Metrics& metrics) {
  for (size_t reason = 0; reason < kCount; ++reason) {
    labels["reason"] = name_of(static_cast<Reason>(reason));
    metrics.SetTotal(name, labels, static_cast<double>(counts[reason]));
  }
}

}  // namespace

void SetBalancerMetrics(const BalancerRelay& relay, uint64_t malformed_packets,
                        uint64_t malformed_messages, Metrics& metrics) {
  const BalancerCounters& counters = relay.counters;
  const auto count = [&](const char* name, uint64_t total) {
    metrics.SetTotal(std::string("medlarwinch_balancer_") + name + "_total", {},
                     static_cast<double>(total));
  };
  count("flows_opened", counters.opened);
  count("opening_copies", counters.open_retransmissions);
  count("packets_relayed", counters.relayed);
  count("owner_searches", counters.searches);
  count("owners_found", counters.owners_found);
  count("searches_unresolved", counters.searches_unresolved);
  count("searches_refused", counters.searches_refused);
  count("openings_dropped_waiting", counters.waiting_for_upstream);
  count("packets_dropped_no_route", counters.dropped_no_route);
  count("packets_malformed", malformed_packets);
  count("messages_malformed", malformed_messages);
  count("flows_evicted", relay.cache.evictions());
  count("log_lines_dropped", DroppedLogLines());
  SetByReason("medlarwinch_balancer_resets_total", {}, counters.resets,
              FlowResetReasonName, metrics);
  metrics.Set("medlarwinch_balancer_flows_cached", {},
              static_cast<double>(relay.cache.size()));
  metrics.Set("medlarwinch_balancer_configuration_revision", {},
              static_cast<double>(relay.routes.revision));
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    const MetricLabels labels = {{"agent", ToString(agent)}};
    metrics.Set("medlarwinch_upstream_flows", labels, upstream.report.flows);
    metrics.Set("medlarwinch_upstream_busy", labels,
                upstream.report.mean_outstanding);
  }
}

void SetAgentMetrics(const AgentRelay& relay, const std::string& service,
                     Metrics& metrics) {
  const AgentCounters& counters = relay.counters;
  const MetricLabels labels = {{"service", service}};
  const auto count = [&](const char* name, uint64_t total) {
    metrics.SetTotal(std::string("medlarwinch_agent_") + name + "_total",
                     labels, static_cast<double>(total));
  };
  count("packets_delivered", counters.delivered);
  count("flows_opened", counters.opened);
  count("packets_to_callers", counters.to_callers);
  count("ownership_denied", counters.denied);
  count("openings_dropped", counters.dropped_openings);
  count("log_lines_dropped", DroppedLogLines());
  SetByReason("medlarwinch_agent_openings_passed_on_total", labels,
              counters.forwarded_openings, RefusalReasonName, metrics);
  SetByReason("medlarwinch_agent_resets_total", labels, counters.resets,
              FlowResetReasonName, metrics);
  metrics.Set("medlarwinch_agent_flows", labels, relay.flows.open);
  metrics.Set("medlarwinch_agent_requests_outstanding", labels,
              relay.flows.outstanding);
  metrics.Set("medlarwinch_agent_busy", labels, relay.flows.mean_outstanding);
}

}  // namespace medlarwinch
