#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/coordination/packet_path/domain_spill.h"
#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/coordination/shared/store_revision.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Maximum age of the last report of an agent that gets new flows. Allows for
/// the loss of three polls at kAgentPollInterval.
inline constexpr Millis kMaxReportAge{900};
/// Interval at which a balancer polls each agent.
inline constexpr Millis kAgentPollInterval{250};
/// An agent from which nothing was received for this long, and that did not
/// announce a restart, is considered to own no flows. Longer than
/// kMaxReportAge, because a wrong conclusion resets flows.
inline constexpr Millis kAgentTimeout{1'500};
/// As kAgentTimeout, for an agent that announced a restart. Covers the
/// platform's grace period for a stop, 6 s, plus the agent's start.
inline constexpr Millis kAgentRestartTimeout{8'000};

/// An agent as listed in the platform's store.
struct DirectoryEntry {
  Endpoint agent;
  ServiceId service;
  std::string failure_domain;
  /// Revision of the object, used for its conditional removal.
  StoreRevision revision;

  friend bool operator==(const DirectoryEntry&,
                         const DirectoryEntry&) = default;
};

/// What part of its usual new flows an upstream gets from this balancer. Only
/// changed while outliers are detected.
struct FlowShare {
  /// 0 to 1.
  double share = 1;
  /// The upstream's responses look like failures.
  bool is_suspected = false;
  /// Time of the last change of `share`.
  TimePoint changed_at;
  /// Time at which many requests were last queued.
  TimePoint crowded_at;
  /// Number of flows placed, decaying within about two seconds.
  double recent_placements = 0;

  friend bool operator==(const FlowShare&, const FlowShare&) = default;
};

/// What a balancer knows of an agent and its upstream.
struct KnownUpstream {
  DirectoryEntry entry;
  /// False once the entry was removed from the store.
  bool is_listed = false;
  /// True once the entry was removed within its era of the store, until it is
  /// listed again. An entry that a restored store has lost is not withdrawn.
  bool is_withdrawn = false;
  /// True if a restored store lists the entry again although its removal was
  /// seen, until the agent reports. Most likely the agent is gone.
  bool is_resurrected = false;
  /// True for an agent that is known only because a listed agent named it or an
  /// entry of its name can't be decoded, until the store lists it. It gets no
  /// new flows: its failure domain is unknown.
  bool is_only_named = false;
  /// True when the agent is in the balancer's own failure domain.
  bool is_local = false;
  /// The last report; its phase is kUnknown before the first one.
  AgentReport report;
  /// True once the agent has offered the extended messages; until a new process
  /// reports.
  bool reads_extended = false;
  /// The last reported load; empty for an agent without extended messages.
  AgentLoad load;
  /// Time at which `load.routes` was reported.
  TimePoint routes_reported_at;
  /// Time of the last report, or of the first listing before any report.
  TimePoint last_contact;
  /// Time at which a new revision of the entry was last seen.
  TimePoint last_written;
  /// Number of flows that this balancer placed at the agent since its last
  /// report.
  uint32_t placed_since_report = 0;
  FlowShare flow_share;

  friend bool operator==(const KnownUpstream&, const KnownUpstream&) = default;
};

/// Number of removed entries that are remembered. The list that such an entry
/// contradicts is at most seconds old.
inline constexpr size_t kMaxRemovedEntries = 1'024;

/// The agents that a balancer knows, by relay address.
struct UpstreamDirectory {
  std::string own_failure_domain;
  /// True if new flows are placed by expected wait, with the service times that
  /// agents report, and by the kind of their route.
  bool places_by_wait = false;
  std::map<Endpoint, KnownUpstream> upstreams;
  /// True once the complete list was read from the store.
  bool is_complete = false;
  /// Highest revision of a list that was applied.
  StoreRevision listed_revision;
  /// Number of polls of all agents since the first list of the era, counted up
  /// to kPollsToProveList.
  uint32_t polls_in_era = 0;
  /// Revision of the last write of entries that were removed; at most
  /// kMaxRemovedEntries.
  std::map<Endpoint, StoreRevision> removed;
  /// Until this time, missing reports are attributed to this balancer and no
  /// agent is considered failed.
  TimePoint detection_suspended_until;
  /// The failure domains that must get no new flows. Not known while the
  /// deployment does not ask for evacuations.
  EvacuationView evacuations;
  /// Services whose cold upstreams get a limited number of openings.
  std::set<ServiceId> services_with_cold_limit;
  /// Number of balancers that an agent last reported; 0 before the first
  /// report.
  uint32_t reported_balancers = 0;
  /// New flows are withdrawn from upstreams that look like outliers.
  bool detects_outliers = false;
  /// Time at which most upstreams of a service last looked like outliers.
  std::map<ServiceId, TimePoint> services_changed_at;
  /// New flows stay in the own failure domain except for the shares in
  /// `spills`.
  bool spills_by_domain = false;
  std::map<ServiceId, DomainSpill> spills;

  friend bool operator==(const UpstreamDirectory&,
                         const UpstreamDirectory&) = default;
};

/// Replaces the listed entries by `entries`, a complete list as of store
/// revision `revision`. Entries that were written or removed later stay as they
/// are: lists and changes arrive over different connections. Agents that are no
/// longer listed stay known while they respond. The first list of a restored
/// store replaces all entries of the era before.
void ApplyListing(UpstreamDirectory& directory,
                  const std::vector<DirectoryEntry>& entries,
                  const StoreRevision& revision, TimePoint now);

/// Adds or updates a listed entry, unless a later write or removal is known.
void ApplyEntry(UpstreamDirectory& directory, const DirectoryEntry& entry,
                TimePoint now);

/// Records that the store no longer lists `agent`, unless its entry was written
/// after `revision`, the revision of the removed object.
void ApplyRemoval(UpstreamDirectory& directory, const Endpoint& agent,
                  const StoreRevision& revision);

/// Records that the entry of `agent` as of `revision` can't be decoded, unless
/// a later write is known. Most likely another writer has overwritten it, so
/// the agent may run and own flows; it writes the entry again once it is
/// polled.
void ApplyUndecodableEntry(UpstreamDirectory& directory, const Endpoint& agent,
                           const StoreRevision& revision, TimePoint now);

/// The effect of a report.
struct ReportEffect {
  /// True when the report came from a known agent and is newer than its last
  /// one.
  bool is_applied = false;
  UpstreamPhase phase_before = UpstreamPhase::kUnknown;
  bool is_new_process = false;
};

/// Applies the report of the agent at `from`. An agent's report takes
/// precedence over its entry in the store.
ReportEffect ApplyAgentReport(UpstreamDirectory& directory,
                              const Endpoint& from, const AgentReport& report,
                              TimePoint now);

/// Returns true if new flows may be placed at the upstream.
bool AcceptsFlows(const KnownUpstream& upstream, TimePoint now);

/// Returns true if the upstream may own flows. False only when its agent has
/// reported it absent and removed its entry, or when the agent has timed out
/// and failure detection is not suspended. The suspension does not cover agents
/// with a resurrected entry.
bool MayOwnFlows(const UpstreamDirectory& directory,
                 const KnownUpstream& upstream, TimePoint now);

/// Number of known agents, and of those that reported recently. Agents with a
/// resurrected entry are not counted.
struct AgentReachability {
  size_t known = 0;
  size_t reachable = 0;

  friend bool operator==(const AgentReachability&,
                         const AgentReachability&) = default;
};
AgentReachability CountReachableAgents(const UpstreamDirectory& directory,
                                       TimePoint now);

/// How long failure detection is suspended after the balancer's own tick was
/// late or most agents were unreachable. Gives every agent time to report
/// again.
inline constexpr Millis kDetectionSuspension{2'000};
/// A tick that is at least this late shows that the balancer could not read its
/// messages in time.
inline constexpr Millis kMaxRelayTickDelay{150};

/// Extends the suspension of failure detection while the tick is late by
/// `tick_delay` or fewer than two thirds of the known agents are reachable.
void UpdateDetectionSuspension(UpstreamDirectory& directory, Millis tick_delay,
                               TimePoint now);

/// Removes the agents that are not listed in the store and that have been
/// unreachable for so long that they own no flows.
void RemoveUnlistedAgents(UpstreamDirectory& directory, TimePoint now);

/// A listed agent from which nothing was received, and whose entry was not
/// written, for this long is lost together with its VM. Much longer than any
/// outage from which agents recover by themselves, and as long as
/// kMaxFlowLifetime.
inline constexpr Millis kAgentLossTimeout{60'000};
/// As kAgentLossTimeout, for an agent with a resurrected entry. Longer than the
/// platform takes to count a VM as undisturbed again.
inline constexpr Millis kResurrectedAgentTimeout{8'000};

/// Returns the listed agents that are lost and whose entries nobody else
/// removes. Empty while failure detection is suspended.
std::vector<DirectoryEntry> FindLostAgents(const UpstreamDirectory& directory,
                                           TimePoint now);

}  // namespace medlarwinch
