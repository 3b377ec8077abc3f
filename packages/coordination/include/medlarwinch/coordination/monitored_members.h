#pragma once

#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// What a keeper knows of one member that it keeps.
struct MonitoredMember {
  /// Monotonic time of the last heartbeat, or of the start of keeping.
  TimePoint last_heartbeat;
  /// True once a heartbeat has arrived.
  bool has_heartbeat = false;
  UpstreamLoad load = {};
  /// Versions of the document and the key ring in the last answer to it.
  uint64_t acked_document_version = 0;
  uint64_t acked_key_ring_version = 0;
};

/// The members that this process keeps, by control address.
using MonitoredMembers = std::map<Endpoint, MonitoredMember>;

/// The part of a document in force that liveness depends on.
struct VersionedHealthPolicy {
  uint64_t version = 0;
  HealthPolicy policy;
};

/// Health policies by service; a balancer and a service without a document have
/// the defaults.
using HealthPolicies = std::map<std::string, VersionedHealthPolicy>;

/// Returns the policy that applies to a member.
VersionedHealthPolicy HealthPolicyOf(const HealthPolicies& policies,
                                     const MemberEntry& entry);

/// Starts to keep the members that `self` now is a keeper of, and drops the
/// others and those withdrawn. A member newly kept counts as just heard from.
MonitoredMembers UpdateMonitoredMembers(
    MonitoredMembers monitored, const MemberTable& table, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now);

/// The same for one member whose entry has changed.
MonitoredMembers UpdateMonitoredMember(
    MonitoredMembers monitored, const MemberEntry& entry, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now);

/// Notes a heartbeat of a kept member; one of another member changes nothing.
MonitoredMembers RecordHeartbeat(MonitoredMembers monitored, const Endpoint& id,
                                 const UpstreamLoad& load, TimePoint now);

/// Counts all members as just heard from. Used when the own process was paused,
/// since the silence is then its own.
MonitoredMembers ResetHeartbeatTimes(MonitoredMembers monitored, TimePoint now);

/// Returns the answer to another keeper's query, if this process has one. A
/// keeper that has kept the member for less than fail_after and has heard
/// nothing knows nothing, and stays silent.
std::vector<SuspicionReply> ReplyToSuspicionQuery(
    const MonitoredMembers& monitored, const SuspicionQuery& query,
    Millis fail_after, TimePoint now);

}  // namespace medlarwinch
