#include "medlarwinch/node/node_metrics.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(NodeMetricsTest)

// Guards against resets and refusals that are not exported under their reason.
BOOST_AUTO_TEST_CASE(AgentCounters_Rendered_HaveOneSeriesForEachReason) {
  AgentRelay relay;
  relay.counters.resets[static_cast<size_t>(FlowResetReason::kUpstreamLost)] =
      2;
  relay.counters.forwarded_openings[static_cast<size_t>(RefusalReason::kBusy)] =
      7;
  relay.gate.refused_cold = 3;
  relay.admission
      .decisions[ClassIndex({RequestKind::kDownload, 2})]
                [static_cast<size_t>(AdmissionReason::kKeptForUrgent)] = 3;
  Metrics metrics;
  SetAgentMetrics(relay, "probe-hub", metrics);
  const std::string text = metrics.Render();
  for (const char* expected :
       {"# TYPE medlarwinch_agent_resets_total counter",
        "medlarwinch_agent_resets_total{reason=\"upstream_lost\","
        "service=\"probe-hub\"} 2\n",
        "medlarwinch_agent_openings_passed_on_total{reason=\"busy\","
        "service=\"probe-hub\"} 7\n",
        "medlarwinch_agent_openings_refused_cold_total{"
        "service=\"probe-hub\"} 3\n",
        "medlarwinch_agent_openings_decided_total{kind=\"download\","
        "priority=\"2\",reason=\"kept_for_urgent\",service=\"probe-hub\"} 3\n",
        "# TYPE medlarwinch_agent_flows gauge"}) {
    BOOST_TEST(text.find(expected) != std::string::npos, expected);
  }
}

// Guards against a withdrawal that the metrics do not show.
BOOST_AUTO_TEST_CASE(UpstreamShares_FeatureOn_AreRendered) {
  BalancerRelay relay;
  KnownUpstream& upstream =
      relay.directory.upstreams[Endpoint{0x0a020001, 8'000}];
  upstream.flow_share.share = 0.25;
  Metrics metrics;
  SetBalancerMetrics(relay, 0, 0, metrics);
  BOOST_TEST(metrics.Render().find("upstream_share") == std::string::npos);
  relay.directory.detects_outliers = true;
  SetBalancerMetrics(relay, 0, 0, metrics);
  BOOST_TEST(metrics.Render().find(
                 "medlarwinch_upstream_share{agent=\"10.2.0.1:8000\"} 0.25") !=
             std::string::npos);
}

// Guards against a spill that operators can't attribute to a service and kind.
BOOST_AUTO_TEST_CASE(SpillShares_Rendered_NameServiceAndKind) {
  BalancerRelay relay;
  const ServiceId service = MakeServiceId("wayfinder");
  relay.routes.configuration.service_names[service] = "wayfinder";
  relay.directory.spills[service]
      .shares[static_cast<size_t>(RequestKind::kUnsafe)] = 0.25;
  Metrics metrics;
  SetBalancerMetrics(relay, 0, 0, metrics);
  BOOST_TEST(metrics.Render().find("medlarwinch_balancer_spill_share{kind="
                                   "\"unsafe\",service=\"wayfinder\"} 0.25") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(BalancerCounters_Rendered_AreCounters) {
  BalancerRelay relay;
  relay.counters.searches_unresolved = 4;
  Metrics metrics;
  SetBalancerMetrics(relay, 0, 0, metrics);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("medlarwinch_balancer_searches_unresolved_total 4\n") !=
             std::string::npos);
  BOOST_TEST(text.find("# TYPE medlarwinch_balancer_flows_cached gauge") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
