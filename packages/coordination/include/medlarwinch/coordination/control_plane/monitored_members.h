#pragma once

#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// State that a monitor holds for one member that it monitors.
struct MonitoredMember {
  /// Monotonic time of the last heartbeat, or of the start of monitoring.
  TimePoint last_heartbeat;
  /// True once a heartbeat has arrived.
  bool has_heartbeat = false;
  UpstreamLoad load = {};
  /// Versions of the document and the key ring in the last HeartbeatAck sent to
  /// it.
  uint64_t acked_document_version = 0;
  uint64_t acked_key_ring_version = 0;
};

/// The members that this process monitors, by control address.
using MonitoredMembers = std::map<Endpoint, MonitoredMember>;

/// The health policy of a service, with the version of the active document that
/// sets it.
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

/// Adds the members that `self` has become a monitor of, and removes the others
/// and those withdrawn. The heartbeat timeout of an added member starts at
/// `now`.
MonitoredMembers UpdateMonitoredMembers(
    MonitoredMembers monitored, const MemberTable& table, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now);

/// Does the same for one member whose entry has changed.
MonitoredMembers UpdateMonitoredMember(
    MonitoredMembers monitored, const MemberEntry& entry, const Endpoint& self,
    const std::vector<Endpoint>& ready_balancers, TimePoint now);

/// Records a heartbeat. Has no effect if the member is not monitored.
MonitoredMembers RecordHeartbeat(MonitoredMembers monitored, const Endpoint& id,
                                 const UpstreamLoad& load, TimePoint now);

/// Sets the last heartbeat of all members to `now`. Used after a pause of this
/// process, which would otherwise count as missed heartbeats of the members.
MonitoredMembers ResetHeartbeatTimes(MonitoredMembers monitored, TimePoint now);

/// Returns the reply to another monitor's query, if this process can give one.
/// A monitor that has watched the member for less than fail_after and has
/// received no heartbeat has no evidence either way and does not reply.
std::vector<SuspicionReply> ReplyToSuspicionQuery(
    const MonitoredMembers& monitored, const SuspicionQuery& query,
    Millis fail_after, TimePoint now);

}  // namespace medlarwinch
