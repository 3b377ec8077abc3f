#include "medlarwinch/coordination/packet_path/owner_search.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

bool IsInSorted(const std::vector<Endpoint>& agents, const Endpoint& agent) {
  return std::binary_search(agents.begin(), agents.end(), agent);
}

void InsertSorted(std::vector<Endpoint>& agents, const Endpoint& agent) {
  const auto position = std::lower_bound(agents.begin(), agents.end(), agent);
  if (position != agents.end() && *position == agent) return;
  agents.insert(position, agent);
}

}  // namespace

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
  std::vector<ScoredAgent> scored;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!MayOwnFlows(directory, upstream, now)) continue;
    if (IsInSorted(search.asked, agent)) continue;
    const ServiceId service = upstream.report.service;
    scored.push_back(ScoredAgent{Contains(allowed, service),
                                 PlacementScore(flow, agent), agent, service});
  }
  std::sort(scored.begin(), scored.end(),
            [](const ScoredAgent& a, const ScoredAgent& b) {
              if (a.is_allowed != b.is_allowed) return a.is_allowed;
              return a.score > b.score;
            });
  const bool is_first_round = search.last_queried == TimePoint{};
  const size_t remaining =
      kMaxSearchedAgents - std::min(kMaxSearchedAgents, search.asked.size());
  const size_t max_agents =
      is_first_round ? kMaxAgentsPerSearchRound : remaining;
  std::map<ServiceId, size_t> queried_per_service;
  std::vector<Endpoint> next;
  for (const ScoredAgent& candidate : scored) {
    if (next.size() >= max_agents) break;
    // Agents of other services are left to the next round: they own the flow
    // only when an earlier configuration sent it there.
    const bool is_unlikely =
        !candidate.is_allowed && scored.front().is_allowed && !next.empty();
    if (is_first_round && is_unlikely) break;
    if (is_first_round && ++queried_per_service[candidate.service] >
                              kFirstRoundAgentsPerService) {
      continue;
    }
    next.push_back(candidate.agent);
  }
  return next;
}

void AddQueried(OwnerSearch& search, std::span<const Endpoint> agents,
                TimePoint now) {
  search.last_queried = now;
  for (const Endpoint& agent : agents) {
    InsertSorted(search.asked, agent);
    InsertSorted(search.pending, agent);
  }
}

void RecordUndetermined(OwnerSearch& search, const Endpoint& agent) {
  if (!Contains(search.undetermined, agent)) {
    search.undetermined.push_back(agent);
  }
  InsertSorted(search.asked, agent);
  InsertSorted(search.pending, agent);
}

bool HasUnansweredQuery(const OwnerSearch& search) {
  return std::any_of(search.pending.begin(), search.pending.end(),
                     [&](const Endpoint& agent) {
                       return !Contains(search.undetermined, agent);
                     });
}

std::optional<Endpoint> TakeAgentToProbe(OwnerSearch& search,
                                         const UpstreamDirectory& directory,
                                         const FlowTuple& flow,
                                         std::span<const ServiceId> allowed,
                                         TimePoint now) {
  const bool has_unanswered_query = HasUnansweredQuery(search);
  if (has_unanswered_query && now - search.last_queried < kProbeDelay) {
    return std::nullopt;
  }
  // An upstream that does not own the flow answers a probe at once.
  const bool may_be_found =
      has_unanswered_query || !SilentProbedAgents(search).empty();
  if (may_be_found && search.probed.size() >= kMaxProbesWhileUnanswered) {
    return std::nullopt;
  }
  const bool is_probe_open = !search.probed.empty() &&
                             IsInSorted(search.pending, search.probed.back());
  if (is_probe_open && now - search.last_probed < kProbeTimeout) {
    return std::nullopt;
  }
  std::optional<Endpoint> best;
  std::pair<bool, uint64_t> best_rank;
  for (const Endpoint& agent : search.undetermined) {
    if (!IsInSorted(search.pending, agent)) continue;
    if (Contains(search.probed, agent)) continue;
    const auto known = directory.upstreams.find(agent);
    const bool is_allowed = known != directory.upstreams.end() &&
                            Contains(allowed, known->second.report.service);
    const std::pair<bool, uint64_t> rank{is_allowed,
                                         PlacementScore(flow, agent)};
    if (best.has_value() && rank <= best_rank) continue;
    best = agent;
    best_rank = rank;
  }
  if (!best.has_value()) return std::nullopt;
  search.probed.push_back(*best);
  search.last_probed = now;
  return best;
}

std::vector<Endpoint> SilentProbedAgents(const OwnerSearch& search) {
  std::vector<Endpoint> silent;
  for (const Endpoint& agent : search.probed) {
    if (IsInSorted(search.pending, agent)) silent.push_back(agent);
  }
  return silent;
}

std::optional<Endpoint> RemainingAgent(const OwnerSearch& search,
                                       TimePoint now) {
  if (search.pending.size() != 1) return std::nullopt;
  const Endpoint& agent = search.pending.front();
  const bool is_silent = Contains(search.probed, agent) &&
                         now - search.last_probed >= kProbeTimeout;
  if (!is_silent) return std::nullopt;
  return agent;
}

void RecordDenial(OwnerSearch& search, const Endpoint& agent) {
  InsertSorted(search.asked, agent);
  InsertSorted(search.denied, agent);
  const auto found =
      std::lower_bound(search.pending.begin(), search.pending.end(), agent);
  if (found != search.pending.end() && *found == agent) {
    search.pending.erase(found);
  }
}

void RemoveAbsentAgents(OwnerSearch& search, const UpstreamDirectory& directory,
                        TimePoint now) {
  std::erase_if(search.pending, [&](const Endpoint& agent) {
    const auto found = directory.upstreams.find(agent);
    return found == directory.upstreams.end() ||
           !MayOwnFlows(directory, found->second, now);
  });
}

OwnerSearchEvidence CollectEvidence(const OwnerSearch& search,
                                    const UpstreamDirectory& directory,
                                    TimePoint now) {
  OwnerSearchEvidence evidence;
  evidence.search_age = now - search.started;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (IsInSorted(search.denied, agent)) {
      ++evidence.denied;
      continue;
    }
    if (upstream.report.phase != UpstreamPhase::kAbsent) {
      ++evidence.silent;
      continue;
    }
    ++evidence.absent;
    evidence.oldest_absence =
        std::max(evidence.oldest_absence, now - upstream.last_contact);
  }
  return evidence;
}

std::vector<SendOwnershipBatchQuery> TakeBatchQueries(
    OwnerSearches& searches,
    const std::function<std::span<const ServiceId>(const FlowTuple&)>&
        allowed_services) {
  using BatchKey = std::pair<Endpoint, std::vector<ServiceId>>;
  std::vector<SendOwnershipBatchQuery> batches;
  std::map<BatchKey, size_t> open_batches;
  for (auto& [flow, search] : searches) {
    if (search.unsent.empty()) continue;
    const std::span<const ServiceId> services = allowed_services(flow);
    const std::vector<ServiceId> allowed(services.begin(), services.end());
    for (const Endpoint& agent : search.unsent) {
      if (!IsInSorted(search.pending, agent)) continue;
      const auto [position, is_new] =
          open_batches.try_emplace(BatchKey{agent, allowed}, batches.size());
      if (is_new ||
          batches[position->second].query.flows.size() >= kMaxBatchedFlows) {
        position->second = batches.size();
        batches.push_back(SendOwnershipBatchQuery{agent, {allowed, {}}});
      }
      batches[position->second].query.flows.push_back(
          QueriedFlow{flow, search.acknowledged});
    }
    search.unsent.clear();
  }
  return batches;
}

}  // namespace medlarwinch
