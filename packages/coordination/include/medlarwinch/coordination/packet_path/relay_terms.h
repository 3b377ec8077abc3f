#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/shared/store_revision.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// What a route carries, as its configuration says.
enum class RequestKind : uint8_t {
  kUnspecified = 0,
  /// May be repeated; the response is short.
  kSafe = 1,
  /// Must run at most once.
  kUnsafe = 2,
  /// May be repeated; the response is long.
  kDownload = 3,
  /// Must run at most once; the request is long.
  kUpload = 4,
};
inline constexpr size_t kRequestKinds = 5;
const char* RequestKindName(RequestKind kind);

/// What the callers of a route need, as its configuration says.
struct RouteTerms {
  RequestKind kind = RequestKind::kUnspecified;
  /// 0 is the most urgent.
  uint8_t priority = 0;
  /// Time within which a response is worth its full value to the caller; 0 if
  /// the configuration names none.
  Millis latency_objective{0};
  /// Time after which the caller gives up; 0 if the configuration names none.
  Millis request_timeout{0};

  friend bool operator==(const RouteTerms&, const RouteTerms&) = default;
};

/// What the upstreams of a service can take, as its configuration says.
struct ServiceTerms {
  /// Openings a second that an upstream takes while it is cold; 0 is unlimited.
  double cold_openings_per_second = 0;
  /// How long an upstream is cold after its start.
  Millis cold_time{0};

  friend bool operator==(const ServiceTerms&, const ServiceTerms&) = default;
};

/// What a balancer says of an opening that it relays.
struct OpeningContext {
  /// Time at which the balancer relayed this copy, on the balancer's clock that
  /// also counts suspension.
  TimePoint relayed_at;
  /// Number of copies that the caller sent before this one.
  uint32_t copy = 0;
  RouteTerms terms;

  friend bool operator==(const OpeningContext&,
                         const OpeningContext&) = default;
};

/// Maximum number of evacuated failure domains that a process handles.
inline constexpr uint32_t kMaxEvacuatedDomains = 16;

/// The failure domains whose upstreams must get no new flows.
struct EvacuationView {
  /// False until the process has learned the set.
  bool is_known = false;
  /// Revision of the store as of which the set is complete.
  StoreRevision revision;
  /// Sorted; at most kMaxEvacuatedDomains.
  std::vector<std::string> failure_domains;

  friend bool operator==(const EvacuationView&,
                         const EvacuationView&) = default;
};

/// Maximum number of routes in a message about responses.
inline constexpr uint32_t kMaxReportedRoutes = 8;

/// Responses of one upstream to the requests of one route, over the last
/// seconds.
struct RouteResponses {
  Endpoint service_address;
  uint32_t responses = 0;
  /// Medians of the time until the response and of its length.
  uint32_t median_ms = 0;
  uint32_t median_bytes = 0;

  friend bool operator==(const RouteResponses&,
                         const RouteResponses&) = default;
};

/// What is usual for the responses of a route, over all upstreams.
struct RouteBaseline {
  Endpoint service_address;
  uint32_t median_ms = 0;
  uint32_t median_bytes = 0;

  friend bool operator==(const RouteBaseline&, const RouteBaseline&) = default;
};

/// What an agent reports of its upstream's work, besides AgentReport.
struct AgentLoad {
  /// Average time of a request at the upstream without queueing; 0 if unknown.
  double work_ms = 0;
  /// Share of recent requests whose outcome looks like a failure, 0 to 1.
  double suspected_failures = 0;
  /// Openings that the upstream may still take within the current second; only
  /// meaningful while it is cold and its service limits cold openings.
  uint32_t cold_openings_left = 0;
  /// At most kMaxReportedRoutes.
  std::vector<RouteResponses> routes;

  friend bool operator==(const AgentLoad&, const AgentLoad&) = default;
};

/// What a balancer tells an agent with each poll, besides AgentPoll.
struct BalancerTerms {
  EvacuationView evacuations;
  /// Terms of the agent's service.
  ServiceTerms service;
  /// Rate of the balancer's link in kbit/s; 0 if unknown.
  uint32_t link_kbps = 0;
  /// Number of upload flows that currently pass the balancer.
  uint32_t upload_flows = 0;
  /// Baselines of the routes of the agent's service; at most
  /// kMaxReportedRoutes.
  std::vector<RouteBaseline> baselines;

  friend bool operator==(const BalancerTerms&, const BalancerTerms&) = default;
};

}  // namespace medlarwinch
