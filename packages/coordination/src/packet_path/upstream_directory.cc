#include "medlarwinch/coordination/packet_path/upstream_directory.h"

#include <algorithm>
#include <set>

namespace medlarwinch {

namespace {

// Returns true if the directory reflects a later write or removal of the entry,
// or a later era of the store.
bool IsOutdated(const UpstreamDirectory& directory,
                const DirectoryEntry& entry) {
  if (entry.revision.era < directory.listed_revision.era) return true;
  const auto known = directory.upstreams.find(entry.agent);
  const bool is_listed =
      known != directory.upstreams.end() && known->second.is_listed;
  if (is_listed) return entry.revision < known->second.entry.revision;
  const auto removed = directory.removed.find(entry.agent);
  return removed != directory.removed.end() &&
         entry.revision <= removed->second;
}

// Returns true if the entry was removed and is now read from a copy of the
// store that is older than the removal. A later write of the agent has another
// number.
bool IsResurrected(const UpstreamDirectory& directory,
                   const DirectoryEntry& entry) {
  const auto removed = directory.removed.find(entry.agent);
  return removed != directory.removed.end() &&
         entry.revision.era > removed->second.era &&
         entry.revision.number == removed->second.number;
}

}  // namespace

void ApplyEntry(UpstreamDirectory& directory, const DirectoryEntry& entry,
                TimePoint now) {
  if (IsOutdated(directory, entry)) return;
  const auto [position, is_new] = directory.upstreams.try_emplace(entry.agent);
  KnownUpstream& upstream = position->second;
  if (is_new) {
    upstream.last_contact = now;
    upstream.report.service = entry.service;
  }
  // The agent's own report names its service authoritatively; the entry does so
  // only before the first report.
  if (upstream.report.phase == UpstreamPhase::kUnknown) {
    upstream.report.service = entry.service;
  }
  if (is_new || upstream.entry.revision != entry.revision) {
    upstream.last_written = now;
  }
  if (IsResurrected(directory, entry)) upstream.is_resurrected = true;
  directory.removed.erase(entry.agent);
  upstream.entry = entry;
  upstream.is_listed = true;
  upstream.is_withdrawn = false;
  upstream.is_only_named = false;
  upstream.is_local = entry.failure_domain == directory.own_failure_domain;
}

void ApplyListing(UpstreamDirectory& directory,
                  const std::vector<DirectoryEntry>& entries,
                  const StoreRevision& revision, TimePoint now) {
  if (revision.era < directory.listed_revision.era) return;
  if (revision.era > directory.listed_revision.era) directory.polls_in_era = 0;
  std::set<Endpoint> listed;
  for (const DirectoryEntry& entry : entries) listed.insert(entry.agent);
  for (auto& [agent, upstream] : directory.upstreams) {
    if (listed.count(agent) != 0) continue;
    ApplyRemoval(directory, agent, revision);
  }
  for (const DirectoryEntry& entry : entries) ApplyEntry(directory, entry, now);
  directory.listed_revision = std::max(directory.listed_revision, revision);
  directory.is_complete = true;
}

void ApplyRemoval(UpstreamDirectory& directory, const Endpoint& agent,
                  const StoreRevision& revision) {
  const auto found = directory.upstreams.find(agent);
  if (found == directory.upstreams.end()) return;
  KnownUpstream& upstream = found->second;
  if (!upstream.is_listed || upstream.entry.revision > revision) return;
  upstream.is_listed = false;
  upstream.is_withdrawn = upstream.entry.revision.era == revision.era;
  upstream.is_resurrected = false;
  directory.removed.insert_or_assign(agent, upstream.entry.revision);
  if (directory.removed.size() > kMaxRemovedEntries) {
    directory.removed.erase(std::min_element(
        directory.removed.begin(), directory.removed.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void ApplyUndecodableEntry(UpstreamDirectory& directory, const Endpoint& agent,
                           const StoreRevision& revision, TimePoint now) {
  const auto [position, is_new] = directory.upstreams.try_emplace(agent);
  KnownUpstream& upstream = position->second;
  if (is_new) {
    upstream.entry.agent = agent;
    upstream.last_contact = now;
  }
  if (upstream.entry.revision > revision) return;
  upstream.is_listed = false;
  upstream.is_withdrawn = false;
  upstream.is_only_named = true;
}

ReportEffect ApplyAgentReport(UpstreamDirectory& directory,
                              const Endpoint& from, const AgentReport& report,
                              TimePoint now) {
  ReportEffect effect;
  const auto found = directory.upstreams.find(from);
  if (found == directory.upstreams.end()) return effect;
  KnownUpstream& upstream = found->second;
  effect.is_new_process = upstream.report.agent_boot != report.agent_boot;
  if (!effect.is_new_process && report.sequence <= upstream.report.sequence) {
    return effect;
  }
  effect.is_applied = true;
  if (effect.is_new_process) {
    upstream.reads_extended = false;
    upstream.load = AgentLoad{};
    upstream.routes_reported_at = TimePoint{};
  }
  effect.phase_before = upstream.report.phase;
  upstream.report = report;
  upstream.is_resurrected = false;
  upstream.last_contact = now;
  upstream.placed_since_report = 0;
  return effect;
}

bool AcceptsFlows(const KnownUpstream& upstream, TimePoint now) {
  // A balancer that reads the list of agents anew would not find the owner of a
  // flow at an upstream without an entry.
  return !upstream.is_only_named && !upstream.is_withdrawn &&
         upstream.report.phase == UpstreamPhase::kReady &&
         now - upstream.last_contact <= kMaxReportAge;
}

bool MayOwnFlows(const UpstreamDirectory& directory,
                 const KnownUpstream& upstream, TimePoint now) {
  const bool trusts_silence =
      now >= directory.detection_suspended_until || upstream.is_resurrected;
  const Millis time_since_contact =
      trusts_silence ? now - upstream.last_contact : Millis{0};
  switch (upstream.report.phase) {
    case UpstreamPhase::kAbsent:
      // The upstream may have started and taken flows since the report. Its
      // agent removes the entry when it has exited.
      return !upstream.is_withdrawn && time_since_contact < kAgentTimeout;
    case UpstreamPhase::kAgentRestarting:
      return time_since_contact < kAgentRestartTimeout;
    default:
      return time_since_contact < kAgentTimeout;
  }
}

AgentReachability CountReachableAgents(const UpstreamDirectory& directory,
                                       TimePoint now) {
  AgentReachability reachability;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (upstream.is_resurrected) continue;
    ++reachability.known;
    const bool is_reachable = upstream.report.sequence != 0 &&
                              now - upstream.last_contact <= kMaxReportAge;
    if (is_reachable) ++reachability.reachable;
  }
  return reachability;
}

void UpdateDetectionSuspension(UpstreamDirectory& directory, Millis tick_delay,
                               TimePoint now) {
  const AgentReachability reachability = CountReachableAgents(directory, now);
  const bool reaches_most =
      reachability.reachable * 3 >= reachability.known * 2;
  if (tick_delay < kMaxRelayTickDelay && reaches_most) return;
  directory.detection_suspended_until = now + kDetectionSuspension;
}

void RemoveUnlistedAgents(UpstreamDirectory& directory, TimePoint now) {
  std::erase_if(directory.upstreams, [now](const auto& known) {
    const KnownUpstream& upstream = known.second;
    return !upstream.is_listed &&
           now - upstream.last_contact >= kAgentRestartTimeout;
  });
}

std::vector<DirectoryEntry> FindLostAgents(const UpstreamDirectory& directory,
                                           TimePoint now) {
  std::vector<DirectoryEntry> lost;
  if (now < directory.detection_suspended_until) return lost;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!upstream.is_listed) continue;
    const Millis timeout =
        upstream.is_resurrected ? kResurrectedAgentTimeout : kAgentLossTimeout;
    if (now - std::max(upstream.last_contact, upstream.last_written) <
        timeout) {
      continue;
    }
    lost.push_back(upstream.entry);
  }
  return lost;
}

}  // namespace medlarwinch
