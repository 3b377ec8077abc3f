#include "medlarwinch/coordination/packet_path/flow_placement.h"

#include <algorithm>
#include <map>

#include "medlarwinch/coordination/packet_path/admission_class.h"
#include "medlarwinch/coordination/packet_path/domain_spill.h"
#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/coordination/packet_path/placement_limits.h"
#include "medlarwinch/coordination/packet_path/unlisted_agents.h"
#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

// Load above which requests start to queue, so that another service of the
// route may get the flow.
constexpr double kQueueingLoad = 0.7;
// Minimum load difference for using the other service. Prevents two busy
// services from exchanging flows.
constexpr double kMinLoadDifference = 0.2;
// A cold upstream takes 1.6 times as long for a request on both deployments.
constexpr double kColdCapacityFactor = 0.6;
// Bounds of the expected number of busy slots per flow. The minimum is used
// before any flow was seen.
constexpr double kMinFlowLoad = 0.02;
constexpr double kMaxFlowLoad = 0.5;
// Bounds of an upstream's service time relative to its service. An upstream
// that fails its requests at once must not attract more than twice its share.
constexpr double kMinRelativeWork = 0.5;
constexpr double kMaxRelativeWork = 2;
// Longest service time that is believed, in milliseconds.
constexpr double kMaxReportedWorkMs = 60'000;
// Load difference that justifies a hop to another failure domain.
constexpr double kRemoteLoadPenalty = 0.03;

struct ServiceLoad {
  double mean_outstanding = 0;
  double flows = 0;
  /// Sum of the service times of the upstreams that report one, and their
  /// number.
  double work_ms = 0;
  double measured = 0;
  /// The failure domain that the flow should go to; null if none is drawn.
  const std::string* drawn_domain = nullptr;
};

bool ReportsWork(const AgentLoad& load) {
  return load.work_ms > 0 && load.work_ms <= kMaxReportedWorkMs;
}

double LoadPerFlow(const ServiceLoad& load) {
  if (load.flows <= 0) return kMinFlowLoad;
  return std::clamp(load.mean_outstanding / load.flows, kMinFlowLoad,
                    kMaxFlowLoad);
}

double EffectiveSlots(const AgentReport& report) {
  const double slots = std::max<uint32_t>(report.slots, 1);
  return report.is_cold ? slots * kColdCapacityFactor : slots;
}

double RequestLoad(const KnownUpstream& upstream, double load_per_flow) {
  const AgentReport& report = upstream.report;
  return std::max<double>(report.mean_outstanding, report.outstanding) +
         (upstream.placed_since_report + 1) * load_per_flow;
}

double ExpectedLoad(const KnownUpstream& upstream, double load_per_flow) {
  const AgentReport& report = upstream.report;
  const double load_by_flows =
      (report.flows + upstream.placed_since_report + 1) * load_per_flow;
  return (load_by_flows + RequestLoad(upstream, load_per_flow)) / 2 /
         EffectiveSlots(report);
}

double RelativeWork(const AgentLoad& load, const ServiceLoad& service) {
  if (!ReportsWork(load) || service.measured == 0) return 1;
  return std::clamp(load.work_ms * service.measured / service.work_ms,
                    kMinRelativeWork, kMaxRelativeWork);
}

// Expected wait in units of the average service time of the service, so that
// it compares with loads. A flow of one request only needs room now; other
// flows stay, and are placed for the load that they will bring.
double ExpectedWait(const KnownUpstream& upstream, RequestKind kind,
                    const ServiceLoad& service) {
  const double load = IsLongRequest(kind)
                          ? RequestLoad(upstream, kMaxFlowLoad) /
                                EffectiveSlots(upstream.report)
                          : ExpectedLoad(upstream, LoadPerFlow(service));
  return load * RelativeWork(upstream.load, service);
}

ServiceId PickService(const RelayRoute& route, uint64_t random_value) {
  double total = 0;
  for (const RouteTarget& target : route.targets) total += target.weight;
  double rest =
      static_cast<double>(random_value >> 11) / 9007199254740992.0 * total;
  for (const RouteTarget& target : route.targets) {
    rest -= target.weight;
    if (rest < 0) return target.service;
  }
  return route.targets.back().service;
}

struct RankedCandidate {
  PlacementCandidate candidate;
  double cost = 0;
  uint64_t score = 0;
  PlacementClass placement = PlacementClass::kUsual;
  /// In the failure domain that was drawn for the flow, if one is drawn.
  bool is_in_drawn_domain = true;
};

bool IsBetter(const RankedCandidate& a, const RankedCandidate& b) {
  if (a.placement != b.placement) return a.placement < b.placement;
  if (a.is_in_drawn_domain != b.is_in_drawn_domain) {
    return a.is_in_drawn_domain;
  }
  if (a.cost != b.cost) return a.cost < b.cost;
  return a.score > b.score;
}

// Null while domains are not drawn.
const std::string* DrawDomainOf(const UpstreamDirectory& directory,
                                ServiceId service, RequestKind kind,
                                const FlowTuple& flow) {
  if (!directory.spills_by_domain) return nullptr;
  const auto spill = directory.spills.find(service);
  if (spill == directory.spills.end()) return &directory.own_failure_domain;
  return &DrawDomain(spill->second, directory.own_failure_domain, kind, flow);
}

bool HasHigherScore(const RankedCandidate& a, const RankedCandidate& b) {
  return a.score > b.score;
}

}  // namespace

uint64_t PlacementScore(const FlowTuple& flow, const Endpoint& agent) {
  return HashKeyWithNode(HashFlow(flow), agent);
}

std::vector<PlacementCandidate> RankUpstreams(
    const UpstreamDirectory& directory, const RelayRoute& route,
    const FlowTuple& flow, uint64_t random_value, size_t max, TimePoint now) {
  std::vector<PlacementCandidate> chosen;
  if (route.targets.empty()) return chosen;
  std::map<ServiceId, ServiceLoad> loads;
  RecentPlacements recent;
  std::vector<const KnownUpstream*> accepting;
  for (const auto& [agent, upstream] : directory.upstreams) {
    const ServiceId service = upstream.report.service;
    if (!HasTarget(route, service) || !AcceptsFlows(upstream, now)) continue;
    if (!MayPlaceFlow(directory, upstream)) continue;
    ServiceLoad& load = loads[service];
    load.mean_outstanding += upstream.report.mean_outstanding;
    load.flows += upstream.report.flows;
    if (directory.detects_outliers) AddPlacements(recent, upstream);
    if (ReportsWork(upstream.load)) {
      load.work_ms += upstream.load.work_ms;
      load.measured += 1;
    }
    accepting.push_back(&upstream);
  }
  for (auto& [service, load] : loads) {
    load.drawn_domain =
        DrawDomainOf(directory, service, route.terms.kind, flow);
  }
  std::map<ServiceId, std::vector<RankedCandidate>> ranked;
  for (const KnownUpstream* upstream : accepting) {
    const ServiceId service = upstream->report.service;
    const Endpoint& agent = upstream->entry.agent;
    const ServiceLoad& service_load = loads[service];
    const std::string* drawn = service_load.drawn_domain;
    const double load =
        directory.places_by_wait
            ? ExpectedWait(*upstream, route.terms.kind, service_load)
            : ExpectedLoad(*upstream, LoadPerFlow(service_load));
    const double cost = load + (upstream->is_local ? 0 : kRemoteLoadPenalty);
    const uint64_t score = PlacementScore(flow, agent);
    ranked[service].push_back(RankedCandidate{
        PlacementCandidate{agent, service, load}, cost, score,
        ClassifyPlacement(directory, recent, *upstream, score),
        drawn == nullptr || upstream->entry.failure_domain == *drawn});
  }
  for (auto& [service, list] : ranked) {
    const size_t choices = std::min(kPlacementChoices, list.size());
    std::nth_element(list.begin(), list.begin() + choices - 1, list.end(),
                     HasHigherScore);
    list.resize(choices);
    std::sort(list.begin(), list.end(), IsBetter);
  }
  ServiceId first = PickService(route, random_value);
  for (const auto& [service, list] : ranked) {
    if (ranked.count(first) == 0) first = service;
    const double first_load = ranked.at(first).front().candidate.load;
    if (first_load > kQueueingLoad &&
        list.front().candidate.load < first_load - kMinLoadDifference) {
      first = service;
    }
  }
  // Alternates between the services, so that a forwarded opening reaches an
  // upstream of another service when those of the first one are busy.
  for (size_t rank = 0; rank < kPlacementChoices; ++rank) {
    if (ranked.count(first) != 0 && rank < ranked[first].size()) {
      chosen.push_back(ranked[first][rank].candidate);
    }
    if (rank == 0) continue;
    for (const auto& [service, list] : ranked) {
      if (service == first || rank > list.size()) continue;
      chosen.push_back(list[rank - 1].candidate);
    }
  }
  if (chosen.size() > max) chosen.resize(max);
  return chosen;
}

bool MayAcceptSoon(const UpstreamDirectory& directory, const RelayRoute& route,
                   TimePoint now) {
  if (!directory.is_complete || !IsListProven(directory)) return true;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (upstream.report.phase == UpstreamPhase::kAbsent) continue;
    if (upstream.report.phase == UpstreamPhase::kDraining) continue;
    if (!HasTarget(route, upstream.report.service)) continue;
    if (IsEvacuated(directory.evacuations, upstream.entry.failure_domain)) {
      continue;
    }
    if (MayOwnFlows(directory, upstream, now)) return true;
  }
  return false;
}

}  // namespace medlarwinch
