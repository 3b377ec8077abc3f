#include "medlarwinch/node/node_metrics.h"

#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/node/admission_report.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Sets one counter series for each reason; `counts` is indexed by reason.
template <typename Reason, size_t kCount>
void SetByReason(const std::string& name, MetricLabels labels,
                 const std::array<uint64_t, kCount>& counts,
                 const char* (*reason_name)(Reason), Metrics& metrics) {
  for (size_t reason = 0; reason < kCount; ++reason) {
    labels["reason"] = reason_name(static_cast<Reason>(reason));
    metrics.SetTotal(name, labels, static_cast<double>(counts[reason]));
  }
}

}  // namespace

void SetBalancerMetrics(const BalancerRelay& relay, uint64_t malformed_packets,
                        uint64_t malformed_messages, Metrics& metrics) {
  const BalancerCounters& counters = relay.counters;
  const auto set_total = [&](const char* name, uint64_t total) {
    metrics.SetTotal(std::string("medlarwinch_balancer_") + name + "_total", {},
                     static_cast<double>(total));
  };
  set_total("flows_opened", counters.opened);
  set_total("opening_copies", counters.open_retransmissions);
  set_total("flows_opened_outside_domain", counters.opened_outside_domain);
  set_total("packets_relayed", counters.relayed);
  set_total("owner_searches", counters.searches);
  set_total("owners_found", counters.owners_found);
  set_total("ownership_probes", counters.probes);
  set_total("searches_unresolved", counters.searches_unresolved);
  set_total("searches_refused", counters.searches_refused);
  set_total("outdated_refusals", counters.outdated_refusals);
  set_total("upload_openings_held", relay.uploads.held_openings);
  set_total("upload_openings_dropped", relay.uploads.dropped_openings);
  set_total("openings_dropped_waiting", counters.waiting_for_upstream);
  set_total("packets_dropped_no_route", counters.dropped_no_route);
  set_total("packets_malformed", malformed_packets);
  set_total("messages_malformed", malformed_messages);
  set_total("flows_evicted", relay.cache.evictions());
  set_total("log_lines_dropped", DroppedLogLines());
  SetByReason("medlarwinch_balancer_resets_total", {}, counters.resets,
              FlowResetReasonName, metrics);
  metrics.Set("medlarwinch_balancer_flows_cached", {},
              static_cast<double>(relay.cache.size()));
  metrics.Set("medlarwinch_balancer_upload_flows", {},
              static_cast<double>(relay.uploads.flows.size()));
  metrics.Set("medlarwinch_balancer_configuration_revision", {},
              static_cast<double>(relay.routes.revision.number));
  metrics.Set("medlarwinch_balancer_configuration_version", {},
              static_cast<double>(relay.routes.configuration.version));
  metrics.Set("medlarwinch_balancer_store_era", {},
              static_cast<double>(relay.directory.listed_revision.era));
  const EvacuationView& evacuations = relay.directory.evacuations;
  metrics.Set("medlarwinch_balancer_evacuations_known", {},
              evacuations.is_known ? 1 : 0);
  metrics.Set("medlarwinch_balancer_failure_domains_evacuated", {},
              static_cast<double>(evacuations.failure_domains.size()));
  metrics.Set("medlarwinch_balancer_evacuations_revision", {},
              static_cast<double>(evacuations.revision.number));
  for (const auto& [service, spill] : relay.directory.spills) {
    const std::string name = ServiceName(relay.routes.configuration, service);
    for (size_t index = 1; index < kRequestKinds; ++index) {
      const char* kind = RequestKindName(static_cast<RequestKind>(index));
      metrics.Set("medlarwinch_balancer_spill_share",
                  {{"service", name}, {"kind", kind}}, spill.shares[index]);
    }
  }
  for (const auto& [agent, upstream] : relay.directory.upstreams) {
    const MetricLabels labels = {{"agent", ToString(agent)}};
    metrics.Set("medlarwinch_upstream_flows", labels, upstream.report.flows);
    metrics.Set("medlarwinch_upstream_busy", labels,
                upstream.report.mean_outstanding);
    if (!relay.directory.detects_outliers) continue;
    metrics.Set("medlarwinch_upstream_share", labels,
                upstream.flow_share.share);
    metrics.Set("medlarwinch_upstream_suspected_failures", labels,
                upstream.load.suspected_failures);
  }
}

void SetAgentMetrics(const AgentRelay& relay, const std::string& service,
                     Metrics& metrics) {
  const AgentCounters& counters = relay.counters;
  const MetricLabels labels = {{"service", service}};
  const auto set_total = [&](const char* name, uint64_t total) {
    metrics.SetTotal(std::string("medlarwinch_agent_") + name + "_total",
                     labels, static_cast<double>(total));
  };
  set_total("packets_delivered", counters.delivered);
  set_total("flows_opened", counters.opened);
  set_total("packets_to_callers", counters.to_callers);
  set_total("ownership_denied", counters.denied);
  set_total("openings_dropped", counters.dropped_openings);
  set_total("openings_refused", counters.refused_openings);
  set_total("outdated_openings", counters.outdated_openings);
  set_total("openings_refused_evacuated", relay.gate.refused_evacuated);
  set_total("openings_refused_terms_unknown", relay.gate.refused_terms_unknown);
  set_total("openings_refused_cold", relay.gate.refused_cold);
  set_total("acknowledgements_held", relay.ack_pacing.held_acknowledgements);
  set_total("held_superseded", relay.ack_pacing.superseded);
  set_total("log_lines_dropped", DroppedLogLines());
  SetByReason("medlarwinch_agent_openings_passed_on_total", labels,
              counters.forwarded_openings, RefusalReasonName, metrics);
  SetByReason("medlarwinch_agent_resets_total", labels, counters.resets,
              FlowResetReasonName, metrics);
  const OpeningGate& gate = relay.gate;
  metrics.Set("medlarwinch_agent_evacuations_known", labels,
              gate.evacuations.is_known ? 1 : 0);
  metrics.Set("medlarwinch_agent_evacuated", labels,
              IsEvacuated(gate.evacuations, gate.failure_domain) ? 1 : 0);
  if (relay.flow_tracker.responses.has_value()) {
    SetByReason("medlarwinch_agent_requests_ended_total", labels,
                relay.flow_tracker.responses->totals, RequestOutcomeName,
                metrics);
  }
  SetAdmissionMetrics(relay, labels, metrics);
  metrics.Set("medlarwinch_agent_flows", labels, relay.flow_tracker.open);
  metrics.Set("medlarwinch_agent_requests_outstanding", labels,
              relay.flow_tracker.outstanding);
  metrics.Set("medlarwinch_agent_busy", labels,
              relay.flow_tracker.mean_outstanding);
}

}  // namespace medlarwinch
