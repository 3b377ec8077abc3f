#include "medlarwinch/coordination/owner_search.h"

#include <algorithm>

namespace medlarwinch {

bool Contains(std::span<const Endpoint> agents, const Endpoint& agent) {
  return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

std::vector<Endpoint> NextAgentsToQuery(const UpstreamDirectory& directory,
                                        const OwnerSearch& search,
                                        const FlowTuple& flow,
                                        std::span<const ServiceId> allowed,
                                        TimePoint now) {
  struct ScoredAgent {
    bool is_allowed;
    uint64_t score;
    Endpoint agent;
    ServiceId service;
  };
  const bool is_first_round = search.queried.empty();
  std::vector<ScoredAgent> scored;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!MayOwnFlows(directory, upstream, now)) continue;
    if (Contains(search.queried, agent)) continue;
    if (Contains(search.denied, agent)) continue;
    const ServiceId service = upstream.report.service;
    const bool is_allowed = Contains(allowed, service);
    scored.push_back(
        ScoredAgent{is_allowed, PlacementScore(flow, agent), agent, service});
  }
  std::sort(scored.begin(), scored.end(),
            [](const ScoredAgent& a, const ScoredAgent& b) {
              if (a.is_allowed != b.is_allowed) return a.is_allowed;
              return a.score > b.score;
            });
  const size_t queried = std::min(kMaxSearchedAgents, search.queried.size());
  const size_t remaining = kMaxSearchedAgents - queried;
  std::map<ServiceId, size_t> queried_per_service;
  std::vector<Endpoint> next;
  for (const ScoredAgent& candidate : scored) {
    if (next.size() >= std::min(remaining, kMaxAgentsPerSearchRound)) break;
    // Agents of other services are queried in a separate round: they own the
    // flow only when an earlier configuration sent it there.
    if (!next.empty() && !candidate.is_allowed && scored.front().is_allowed) {
      break;
    }
    if (is_first_round && ++queried_per_service[candidate.service] >
                              kFirstRoundAgentsPerService) {
      continue;
    }
    next.push_back(candidate.agent);
  }
  return next;
}

bool IsDeniedByAllQueried(const UpstreamDirectory& directory,
                          const OwnerSearch& search, TimePoint now) {
  for (const Endpoint& agent : search.queried) {
    if (Contains(search.denied, agent)) continue;
    const auto found = directory.upstreams.find(agent);
    if (found == directory.upstreams.end()) continue;
    if (MayOwnFlows(directory, found->second, now)) return false;
  }
  return true;
}

}  // namespace medlarwinch
