#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/packet_path/upstream_directory.h"

namespace medlarwinch {

/// Share of its usual new flows that a withdrawn upstream keeps, so that it can
/// show that it works again. Together with the bound on attraction, twice the
/// fair share, it stays below a tenth.
inline constexpr double kTrialShare = 0.02;

/// Interval at which UpdateFlowShares() is to be called.
inline constexpr Millis kFlowShareInterval{100};

/// Baselines of the routes of each service.
using ServiceBaselines = std::map<ServiceId, std::vector<RouteBaseline>>;

/// Stores the load that an agent reported. Figures out of bounds are corrected.
/// A report without routes leaves the earlier ones in force.
void ApplyAgentLoad(KnownUpstream& upstream, const AgentLoad& load,
                    TimePoint now);

/// Returns for each route the medians over the agents of a service. A route has
/// a baseline if enough agents reported enough responses.
ServiceBaselines ComputeBaselines(const UpstreamDirectory& directory,
                                  TimePoint now);

enum class FlowShareReason : uint8_t {
  kFailures = 0,
  kSlow = 1,
  /// Looks like an outlier no longer.
  kRecovering = 2,
  /// Most upstreams of the service look like outliers.
  kMostSuspected = 3,
  /// Others are worse, and no more slots may be withdrawn.
  kOthersWorse = 4,
};
const char* FlowShareReasonName(FlowShareReason reason);

/// A change of an upstream's share, with the figures that it was decided on.
struct FlowShareChange {
  Endpoint agent;
  FlowShareReason reason = FlowShareReason::kFailures;
  double before = 1;
  double after = 1;
  double suspected_failures = 0;
  /// Median response time divided by the usual one; 0 if unknown.
  double slowness = 0;
  /// Upstreams of the service, those that are suspected, and withdrawn slots.
  uint32_t upstreams = 0;
  uint32_t suspected = 0;
  uint32_t withdrawn_slots = 0;
  uint32_t slots = 0;
};

/// Decides the share of new flows of each upstream and returns the changes.
std::vector<FlowShareChange> UpdateFlowShares(UpstreamDirectory& directory,
                                              const ServiceBaselines& baselines,
                                              TimePoint now);

/// Records that a new flow was placed at the upstream.
void RecordPlacement(const UpstreamDirectory& directory,
                     KnownUpstream& upstream);

/// How an upstream ranks for a new flow; a lower value goes first.
enum class PlacementClass : uint8_t {
  kUsual = 0,
  /// Has just got twice its fair share.
  kSaturated = 1,
  kWithdrawn = 2,
};

/// The recent placements at the upstreams of each service, local and remote
/// ones apart, because the placement prefers local ones.
struct RecentPlacements {
  struct Group {
    double placements = 0;
    /// Slots, each counted by the share of its upstream.
    double slots = 0;
  };
  std::map<std::pair<ServiceId, bool>, Group> groups;
};

/// Adds an upstream that accepts flows.
void AddPlacements(RecentPlacements& recent, const KnownUpstream& upstream);

/// Returns how the upstream ranks for a flow with the given PlacementScore. Of
/// an upstream with a reduced share only this share of the flows finds it
/// kUsual. While outliers are not detected, all are kUsual.
PlacementClass ClassifyPlacement(const UpstreamDirectory& directory,
                                 const RecentPlacements& recent,
                                 const KnownUpstream& upstream, uint64_t score);

}  // namespace medlarwinch
