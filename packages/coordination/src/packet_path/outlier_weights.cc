#include "medlarwinch/coordination/packet_path/outlier_weights.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "medlarwinch/coordination/packet_path/response_statistics.h"

namespace medlarwinch {
namespace {

// Agents of a service, and responses at each of them, that a baseline needs.
constexpr size_t kMinBaselineAgents = 4;
constexpr uint32_t kMinBaselineResponses = 5;
// Reported routes are used for this long.
constexpr Millis kRouteReportAge{2'000};

// Share of suspected failures from which an upstream is suspected, and below
// which it no longer is; the latter counts until it has its whole share again.
constexpr double kSuspectFailures = 0.2;
constexpr double kClearFailures = 0.05;
// The same for the median response time divided by the baseline. Upstreams
// differ by 2.5 to 1, so that the slowest have a median of 2.5 baselines when
// most are fast. The factor grows for few responses: the median of n times of
// spread 0.5 has a standard error of about 0.63 / sqrt(n).
constexpr double kSuspectSlowness = 3;
constexpr double kClearSlowness = 2.6;
constexpr double kSlownessMargin = 2;
constexpr uint32_t kMinSlowResponses = 10;
// With more requests for each slot the response times depend on the requests
// before, also of other routes, and say little about the upstream.
constexpr double kCrowdedPerSlot = 1.5;
constexpr double kCrowdedMargin = 1.7;
// Of two upstreams that look about equally bad, the one that is withdrawn
// stays withdrawn.
constexpr double kWithdrawnBadness = 0.2;
// When most upstreams of a service were suspected, nobody is withdrawn for this
// long. The baselines follow the new responses within kResponseSampleAge, and
// until then some upstreams look better than others.
constexpr Millis kServiceChangeTime{10'000};
// At most this fraction of a service's slots is withdrawn.
constexpr double kMaxWithdrawnFraction = 1.0 / 3;
// A recovering upstream's share doubles in this time.
constexpr Millis kDoublingTime{1'000};

// Factor by which recent placements decay in kFlowShareInterval; their time
// constant is about 2 s.
constexpr double kPlacementDecay = 0.95;
// A withdrawn upstream gets one flow a second of each balancer at most, which
// makes about this many recent placements.
constexpr double kMaxTrialPlacements = 2;
constexpr double kMaxFairShares = 2;
// Lower bound of the limit, for balancers that place few flows: an upstream
// gets the next one when about a quarter is left of the one before.
constexpr double kMinPlacementLimit = 1.25;

struct Suspicion {
  KnownUpstream* upstream = nullptr;
  double slowness = 0;
  double badness = 0;
  bool is_slow = false;
};

struct ServiceSuspicions {
  std::vector<Suspicion> members;
  uint32_t slots = 0;
  uint32_t suspected = 0;
  uint32_t withdrawn_slots = 0;
};

struct Slowness {
  double factor = 0;
  uint32_t responses = 0;
};

bool HasRecentRoutes(const KnownUpstream& upstream, TimePoint now) {
  return now - upstream.routes_reported_at <= kRouteReportAge;
}

// Returns the geometric mean over the routes, weighted by responses.
Slowness MeasureSlowness(const KnownUpstream& upstream,
                         const ServiceBaselines& baselines, TimePoint now) {
  Slowness slowness;
  const auto known = baselines.find(upstream.report.service);
  if (known == baselines.end() || !HasRecentRoutes(upstream, now)) {
    return slowness;
  }
  double sum = 0;
  for (const RouteResponses& route : upstream.load.routes) {
    if (route.responses < kMinBaselineResponses) continue;
    const uint32_t responses =
        std::min<uint32_t>(route.responses, kResponseSamples);
    for (const RouteBaseline& baseline : known->second) {
      if (baseline.service_address != route.service_address) continue;
      // Times are whole milliseconds: a median of 0 counts as 1.
      const double median = std::max<uint32_t>(route.median_ms, 1);
      sum += responses * std::log(median / baseline.median_ms);
      slowness.responses += responses;
    }
  }
  if (slowness.responses == 0) return slowness;
  slowness.factor = std::exp(sum / slowness.responses);
  return slowness;
}

// Returns true if the upstream has yet to show that it works. An upstream that
// fails a third of its requests may serve its first few trial flows well.
bool IsOnTrial(const FlowShare& flow_share) {
  return flow_share.is_suspected || flow_share.share < 1;
}

bool IsSlow(const KnownUpstream& upstream, const Slowness& slowness,
            TimePoint now) {
  if (upstream.report.is_cold) return false;
  if (IsOnTrial(upstream.flow_share)) {
    return slowness.responses >= kMinBaselineResponses &&
           slowness.factor > kClearSlowness;
  }
  if (slowness.responses < kMinSlowResponses) return false;
  const bool was_crowded =
      now - upstream.flow_share.crowded_at <= kResponseSampleAge;
  const double margin =
      std::exp(kSlownessMargin / std::sqrt(slowness.responses)) *
      (was_crowded ? kCrowdedMargin : 1);
  return slowness.factor > kSuspectSlowness * margin;
}

Suspicion Judge(KnownUpstream& upstream, const ServiceBaselines& baselines,
                TimePoint now) {
  const double failures = upstream.load.suspected_failures;
  const Slowness slowness = MeasureSlowness(upstream, baselines, now);
  Suspicion suspicion;
  suspicion.upstream = &upstream;
  suspicion.slowness = slowness.factor;
  const AgentReport& report = upstream.report;
  if (report.mean_outstanding > report.slots * kCrowdedPerSlot) {
    upstream.flow_share.crowded_at = now;
  }
  suspicion.is_slow = IsSlow(upstream, slowness, now);
  const double threshold =
      IsOnTrial(upstream.flow_share) ? kClearFailures : kSuspectFailures;
  const bool is_failing = failures >= threshold;
  upstream.flow_share.is_suspected = is_failing || suspicion.is_slow;
  if (is_failing) suspicion.badness = failures;
  if (suspicion.is_slow) {
    suspicion.badness = std::max(suspicion.badness, 1 - 1 / suspicion.slowness);
  }
  if (upstream.flow_share.share <= kTrialShare)
    suspicion.badness += kWithdrawnBadness;
  return suspicion;
}

bool IsWorse(const Suspicion& a, const Suspicion& b) {
  return a.badness > b.badness;
}

void SetShare(const Suspicion& suspicion, double share, FlowShareReason reason,
              const ServiceSuspicions& service, TimePoint now,
              std::vector<FlowShareChange>& changes) {
  FlowShare& current = suspicion.upstream->flow_share;
  if (current.share == share) return;
  FlowShareChange change;
  change.agent = suspicion.upstream->entry.agent;
  change.reason = reason;
  change.before = current.share;
  change.after = share;
  change.suspected_failures = suspicion.upstream->load.suspected_failures;
  change.slowness = suspicion.slowness;
  change.upstreams = static_cast<uint32_t>(service.members.size());
  change.suspected = service.suspected;
  change.withdrawn_slots = service.withdrawn_slots;
  change.slots = service.slots;
  changes.push_back(change);
  current.share = share;
  current.changed_at = now;
}

void Recover(const Suspicion& suspicion, const ServiceSuspicions& service,
             TimePoint now, std::vector<FlowShareChange>& changes) {
  const FlowShare& current = suspicion.upstream->flow_share;
  if (current.share >= 1 || now - current.changed_at < kDoublingTime) return;
  SetShare(suspicion, std::min(1.0, current.share * 2),
           FlowShareReason::kRecovering, service, now, changes);
}

// The worst upstreams are withdrawn, as far as the bound allows. Upstreams that
// recover count by the part of their flows that they do not get yet.
void DecideShares(ServiceSuspicions& service, bool has_changed, TimePoint now,
                  std::vector<FlowShareChange>& changes) {
  if (has_changed) {
    for (const Suspicion& member : service.members) {
      SetShare(member, 1, FlowShareReason::kMostSuspected, service, now,
               changes);
    }
    return;
  }
  double budget = service.slots * kMaxWithdrawnFraction;
  for (const Suspicion& member : service.members) {
    const FlowShare& current = member.upstream->flow_share;
    if (current.is_suspected) continue;
    budget -= member.upstream->report.slots * (1 - current.share);
  }
  for (const Suspicion& member : service.members) {
    if (!member.upstream->flow_share.is_suspected) {
      Recover(member, service, now, changes);
      continue;
    }
    const uint32_t slots = member.upstream->report.slots;
    if (slots > budget) {
      SetShare(member, 1, FlowShareReason::kOthersWorse, service, now, changes);
      continue;
    }
    budget -= slots;
    service.withdrawn_slots += slots;
    SetShare(
        member, kTrialShare,
        member.is_slow ? FlowShareReason::kSlow : FlowShareReason::kFailures,
        service, now, changes);
  }
}

uint32_t MedianOf(std::vector<uint32_t>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

struct AgentMedians {
  std::vector<uint32_t> times_ms;
  std::vector<uint32_t> bytes;
};

}  // namespace

void ApplyAgentLoad(KnownUpstream& upstream, const AgentLoad& load,
                    TimePoint now) {
  std::vector<RouteResponses> routes = load.routes;
  if (routes.empty()) {
    routes = std::move(upstream.load.routes);
  } else {
    upstream.routes_reported_at = now;
  }
  upstream.load = load;
  upstream.load.routes = std::move(routes);
  const double failures = load.suspected_failures;
  upstream.load.suspected_failures =
      std::isfinite(failures) ? std::clamp(failures, 0.0, 1.0) : 0;
}

ServiceBaselines ComputeBaselines(const UpstreamDirectory& directory,
                                  TimePoint now) {
  std::map<std::pair<ServiceId, Endpoint>, AgentMedians> medians;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!AcceptsFlows(upstream, now) || !HasRecentRoutes(upstream, now)) {
      continue;
    }
    for (const RouteResponses& route : upstream.load.routes) {
      if (route.responses < kMinBaselineResponses) continue;
      AgentMedians& all =
          medians[{upstream.report.service, route.service_address}];
      all.times_ms.push_back(route.median_ms);
      all.bytes.push_back(route.median_bytes);
    }
  }
  ServiceBaselines baselines;
  for (auto& [key, all] : medians) {
    std::vector<RouteBaseline>& routes = baselines[key.first];
    if (all.times_ms.size() < kMinBaselineAgents) continue;
    if (routes.size() >= kMaxReportedRoutes) continue;
    routes.push_back(RouteBaseline{key.second,
                                   std::max(MedianOf(all.times_ms), 1U),
                                   std::max(MedianOf(all.bytes), 1U)});
  }
  return baselines;
}

const char* FlowShareReasonName(FlowShareReason reason) {
  switch (reason) {
    case FlowShareReason::kFailures:
      return "failures";
    case FlowShareReason::kSlow:
      return "slow";
    case FlowShareReason::kRecovering:
      return "recovering";
    case FlowShareReason::kMostSuspected:
      return "most_suspected";
    case FlowShareReason::kOthersWorse:
      return "others_worse";
  }
  return "invalid";
}

std::vector<FlowShareChange> UpdateFlowShares(UpstreamDirectory& directory,
                                              const ServiceBaselines& baselines,
                                              TimePoint now) {
  std::vector<FlowShareChange> changes;
  if (!directory.detects_outliers) return changes;
  std::map<ServiceId, ServiceSuspicions> services;
  for (auto& [agent, upstream] : directory.upstreams) {
    upstream.flow_share.recent_placements *= kPlacementDecay;
    if (!AcceptsFlows(upstream, now)) continue;
    ServiceSuspicions& service = services[upstream.report.service];
    service.members.push_back(Judge(upstream, baselines, now));
    service.slots += upstream.report.slots;
    if (upstream.flow_share.is_suspected) ++service.suspected;
  }
  for (auto& [id, service] : services) {
    std::sort(service.members.begin(), service.members.end(), IsWorse);
    if (service.suspected * 2 > service.members.size()) {
      directory.services_changed_at.insert_or_assign(id, now);
    }
    const auto changed = directory.services_changed_at.find(id);
    const bool has_changed = changed != directory.services_changed_at.end() &&
                             now - changed->second < kServiceChangeTime;
    DecideShares(service, has_changed, now, changes);
  }
  return changes;
}

void RecordPlacement(const UpstreamDirectory& directory,
                     KnownUpstream& upstream) {
  upstream.placed_since_report += 1;
  if (directory.detects_outliers) upstream.flow_share.recent_placements += 1;
}

void AddPlacements(RecentPlacements& recent, const KnownUpstream& upstream) {
  RecentPlacements::Group& group =
      recent.groups[{upstream.report.service, upstream.is_local}];
  group.placements += upstream.flow_share.recent_placements;
  group.slots += upstream.report.slots * upstream.flow_share.share;
}

PlacementClass ClassifyPlacement(const UpstreamDirectory& directory,
                                 const RecentPlacements& recent,
                                 const KnownUpstream& upstream,
                                 uint64_t score) {
  if (!directory.detects_outliers) return PlacementClass::kUsual;
  const FlowShare& flow_share = upstream.flow_share;
  if (flow_share.share < 1) {
    // The high bits of the score of a candidate are biased, the low ones are
    // not.
    const double draw =
        static_cast<double>(static_cast<uint32_t>(score)) / 4294967296.0;
    if (draw >= flow_share.share) return PlacementClass::kWithdrawn;
    if (flow_share.share <= kTrialShare &&
        flow_share.recent_placements >= kMaxTrialPlacements) {
      return PlacementClass::kWithdrawn;
    }
  }
  const auto group =
      recent.groups.find({upstream.report.service, upstream.is_local});
  if (group == recent.groups.end() || group->second.slots <= 0) {
    return PlacementClass::kUsual;
  }
  const double fair =
      group->second.placements * upstream.report.slots / group->second.slots;
  const double limit = std::max(fair * kMaxFairShares, kMinPlacementLimit);
  return flow_share.recent_placements + 1 > limit ? PlacementClass::kSaturated
                                                  : PlacementClass::kUsual;
}

}  // namespace medlarwinch
