#include "medlarwinch/coordination/packet_path/unlisted_agents.h"

namespace medlarwinch {
namespace {

// Returns true if the agent itself has reported recently. An agent that was
// only named does not count, so that names of a lost agent do not circulate.
bool HasReportedRecently(const KnownUpstream& upstream, TimePoint now) {
  return upstream.report.sequence != 0 &&
         now - upstream.last_contact <= kMaxReportAge;
}

bool IsStoreRestorable(const UpstreamDirectory& directory) {
  return directory.listed_revision.era > 0;
}

}  // namespace

bool IsListProven(const UpstreamDirectory& directory) {
  return !IsStoreRestorable(directory) ||
         directory.polls_in_era >= kPollsToProveList;
}

void RecordPollRound(UpstreamDirectory& directory) {
  if (IsListProven(directory)) return;
  ++directory.polls_in_era;
}

std::vector<Endpoint> UnlistedAgentsInUse(const UpstreamDirectory& directory,
                                          TimePoint now) {
  std::vector<Endpoint> unlisted;
  if (!IsStoreRestorable(directory)) return unlisted;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (unlisted.size() >= kMaxNamedAgents) break;
    if (upstream.is_listed) continue;
    if (upstream.report.phase == UpstreamPhase::kAbsent) continue;
    if (!HasReportedRecently(upstream, now)) continue;
    unlisted.push_back(agent);
  }
  return unlisted;
}

std::vector<Endpoint> NamingTargets(const UpstreamDirectory& directory,
                                    TimePoint now) {
  std::vector<Endpoint> targets;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (targets.size() >= kNamingTargets) break;
    if (!upstream.is_listed || !upstream.reads_extended) continue;
    if (!HasReportedRecently(upstream, now)) continue;
    targets.push_back(agent);
  }
  return targets;
}

void AddNamedAgents(UpstreamDirectory& directory,
                    std::span<const Endpoint> agents, TimePoint now) {
  if (!IsStoreRestorable(directory)) return;
  if (agents.size() >= kMaxNamedAgents) directory.polls_in_era = 0;
  for (const Endpoint& agent : agents) {
    const auto [position, is_new] = directory.upstreams.try_emplace(agent);
    if (!is_new) continue;
    KnownUpstream& upstream = position->second;
    upstream.entry.agent = agent;
    upstream.is_only_named = true;
    upstream.last_contact = now;
  }
}

void RecordNamedAgents(NamedAgents& named, std::span<const Endpoint> agents,
                       TimePoint now) {
  for (const Endpoint& agent : agents) {
    if (named.size() >= kMaxNamedAgents && named.count(agent) == 0) continue;
    named.insert_or_assign(agent, now);
  }
}

std::vector<Endpoint> TakeCurrentlyNamed(NamedAgents& named, TimePoint now) {
  std::erase_if(named, [now](const auto& entry) {
    return now - entry.second > kNamedAgentExpiry;
  });
  std::vector<Endpoint> current;
  for (const auto& [agent, named_at] : named) current.push_back(agent);
  return current;
}

}  // namespace medlarwinch
