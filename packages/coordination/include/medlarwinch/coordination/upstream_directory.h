#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// An agent does not get new flows when its last report is older. Three polls
/// of kAgentPollInterval may be lost before that.
inline constexpr Millis kMaxReportAge{900};
/// Time between two polls of an agent by a balancer.
inline constexpr Millis kAgentPollInterval{250};
/// An agent that is silent for this long, without having announced a restart,
/// is taken to hold no flow any more. Longer than kMaxReportAge, since a
/// wrong conclusion resets flows.
inline constexpr Millis kAgentTimeout{1'500};
/// As kAgentTimeout for an agent that announced a restart: the platform's
/// grace period for a stop, 6 s, plus its start.
inline constexpr Millis kAgentRestartTimeout{8'000};

/// An agent as the platform's store lists it.
struct DirectoryEntry {
  Endpoint agent;
  ServiceId service;
  std::string failure_domain;
  /// Revision of the object, for its conditional removal.
  uint64_t revision = 0;

  friend bool operator==(const DirectoryEntry&,
                         const DirectoryEntry&) = default;
};

/// What a balancer knows of one agent and its upstream.
struct KnownUpstream {
  DirectoryEntry entry;
  /// False once the entry has gone from the store.
  bool is_listed = false;
  /// In the balancer's own failure domain.
  bool is_local = false;
  /// The last report; phase kUnknown before the first.
  AgentReport report;
  /// When the last report arrived, or when the entry was first seen.
  TimePoint last_contact;
  /// When the entry was last seen to have been written.
  TimePoint last_written;
  /// Flows that this balancer placed there since the last report.
  uint32_t placed_since_report = 0;

  friend bool operator==(const KnownUpstream&, const KnownUpstream&) = default;
};

/// The agents that a balancer knows, by their relay address.
struct UpstreamDirectory {
  std::string own_failure_domain;
  std::map<Endpoint, KnownUpstream> upstreams;
  /// True once the store's whole list was read.
  bool is_complete = false;
  /// Until then silence says more of this balancer than of the agents.
  TimePoint detection_suspended_until;

  friend bool operator==(const UpstreamDirectory&,
                         const UpstreamDirectory&) = default;
};

/// Replaces the listed entries by `entries`. Agents that are no longer listed
/// stay known while they answer.
void ApplyListing(UpstreamDirectory& directory,
                  const std::vector<DirectoryEntry>& entries, TimePoint now);

/// Adds or updates one listed entry.
void ApplyEntry(UpstreamDirectory& directory, const DirectoryEntry& entry,
                TimePoint now);

/// Notes that the store lists `agent` no longer.
void ApplyRemoval(UpstreamDirectory& directory, const Endpoint& agent);

/// What a report changed.
struct ReportEffect {
  /// The report is from an agent that is known and not older than the last.
  bool is_applied = false;
  UpstreamPhase phase_before = UpstreamPhase::kUnknown;
  bool is_new_process = false;
};

/// Takes the report of the agent at `from`. What an agent says of itself goes
/// before what the store lists.
ReportEffect ApplyAgentReport(UpstreamDirectory& directory,
                              const Endpoint& from, const AgentReport& report,
                              TimePoint now);

/// Whether new flows may be placed at the upstream.
bool AcceptsFlows(const KnownUpstream& upstream, TimePoint now);

/// Whether the upstream may hold flows: false only when it said that it is gone
/// or has been silent for so long that it is taken to be, while this balancer
/// can trust what it hears.
bool MayOwnFlows(const UpstreamDirectory& directory,
                 const KnownUpstream& upstream, TimePoint now);

/// Number of known agents, and of those that were heard lately.
struct AgentReachability {
  size_t known = 0;
  size_t reachable = 0;

  friend bool operator==(const AgentReachability&,
                         const AgentReachability&) = default;
};
AgentReachability CountReachableAgents(const UpstreamDirectory& directory,
                                       TimePoint now);

/// How long silence is distrusted after the balancer was late itself or had
/// lost contact with most agents: until every agent had time to answer again.
inline constexpr Millis kDetectionSuspension{2'000};
/// A tick that is late by this much shows that the balancer could not read its
/// messages in time.
inline constexpr Millis kMaxRelayTickDelay{150};

/// Renews the balancer's trust in silence: not while it is late by `lateness`,
/// and not while it hears fewer than two thirds of the agents it knows.
void UpdateDetectionSuspension(UpstreamDirectory& directory, Millis tick_delay,
                               TimePoint now);

/// Forgets the agents that the store does not list and that are silent for so
/// long that they hold no flows.
void RemoveUnlistedAgents(UpstreamDirectory& directory, TimePoint now);

/// An agent that the store lists, and that is silent and has not written its
/// entry for this long, is lost with its VM: much longer than any disturbance
/// after which agents come back by themselves, and the longest life of a flow.
inline constexpr Millis kAgentLossTimeout{60'000};

/// Returns the listed agents that are lost, whose entries nobody else removes;
/// none while this balancer can't trust what it hears.
std::vector<DirectoryEntry> LostAgents(const UpstreamDirectory& directory,
                                       TimePoint now);

}  // namespace medlarwinch
