#include "medlarwinch/coordination/upstream_directory.h"

#include <algorithm>

namespace medlarwinch {

void ApplyEntry(UpstreamDirectory& directory, const DirectoryEntry& entry,
                TimePoint now) {
  const auto [position, is_new] = directory.upstreams.try_emplace(entry.agent);
  KnownUpstream& upstream = position->second;
  if (is_new) {
    upstream.heard = now;
    upstream.report.service = entry.service;
  }
  // A report names the service first hand; the entry only does before it.
  if (upstream.report.phase == UpstreamPhase::kUnknown) {
    upstream.report.service = entry.service;
  }
  if (is_new || upstream.entry.revision != entry.revision) {
    upstream.written = now;
  }
  upstream.entry = entry;
  upstream.is_listed = true;
  upstream.is_local = entry.failure_domain == directory.own_failure_domain;
}

void ApplyListing(UpstreamDirectory& directory,
                  const std::vector<DirectoryEntry>& entries, TimePoint now) {
  for (auto& [agent, upstream] : directory.upstreams) {
    upstream.is_listed = false;
  }
  for (const DirectoryEntry& entry : entries) ApplyEntry(directory, entry, now);
  directory.is_complete = true;
}

void ApplyRemoval(UpstreamDirectory& directory, const Endpoint& agent) {
  const auto found = directory.upstreams.find(agent);
  if (found == directory.upstreams.end()) return;
  found->second.is_listed = false;
}

ReportEffect TakeReport(UpstreamDirectory& directory, const Endpoint& from,
                        const AgentReport& report, TimePoint now) {
  ReportEffect effect;
  const auto found = directory.upstreams.find(from);
  if (found == directory.upstreams.end()) return effect;
  KnownUpstream& upstream = found->second;
  effect.is_new_process = upstream.report.agent_boot != report.agent_boot;
  if (!effect.is_new_process && report.sequence <= upstream.report.sequence) {
    return effect;
  }
  effect.is_taken = true;
  effect.phase_before = upstream.report.phase;
  upstream.report = report;
  upstream.heard = now;
  upstream.placed = 0;
  return effect;
}

bool AcceptsFlows(const KnownUpstream& upstream, TimePoint now) {
  return upstream.report.phase == UpstreamPhase::kReady &&
         now - upstream.heard <= kReportFreshness;
}

bool MayHoldFlows(const UpstreamDirectory& directory,
                  const KnownUpstream& upstream, TimePoint now) {
  const Millis silence =
      now < directory.distrusted_until ? Millis{0} : now - upstream.heard;
  switch (upstream.report.phase) {
    case UpstreamPhase::kAbsent:
      return false;
    case UpstreamPhase::kAgentRestarting:
      return silence < kRestartGoneAfter;
    default:
      return silence < kAgentGoneAfter;
  }
}

AgentContact CountContact(const UpstreamDirectory& directory, TimePoint now) {
  AgentContact contact;
  for (const auto& [agent, upstream] : directory.upstreams) {
    ++contact.known;
    const bool was_heard = upstream.report.sequence != 0 &&
                           now - upstream.heard <= kReportFreshness;
    if (was_heard) ++contact.heard;
  }
  return contact;
}

void ReviewTrust(UpstreamDirectory& directory, Millis lateness, TimePoint now) {
  const AgentContact contact = CountContact(directory, now);
  const bool hears_most = contact.heard * 3 >= contact.known * 2;
  if (lateness < kLateTick && hears_most) return;
  directory.distrusted_until = now + kDistrustTime;
}

void ForgetUnlisted(UpstreamDirectory& directory, TimePoint now) {
  std::erase_if(directory.upstreams, [now](const auto& known) {
    const KnownUpstream& upstream = known.second;
    return !upstream.is_listed && now - upstream.heard >= kRestartGoneAfter;
  });
}

std::vector<DirectoryEntry> LostAgents(const UpstreamDirectory& directory,
                                       TimePoint now) {
  std::vector<DirectoryEntry> lost;
  if (now < directory.distrusted_until) return lost;
  for (const auto& [agent, upstream] : directory.upstreams) {
    if (!upstream.is_listed) continue;
    if (now - std::max(upstream.heard, upstream.written) < kAgentLostAfter) {
      continue;
    }
    lost.push_back(upstream.entry);
  }
  return lost;
}

}  // namespace medlarwinch
