#include "heartbeat_ack.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/control_plane/balancer_liveness.h"
#include "medlarwinch/coordination/control_plane/monitor_selection.h"

namespace medlarwinch {
namespace {

const ServiceSummary& SummaryOf(BalancerControl& state,
                                const MemberEntry& entry) {
  const std::map<std::string, ServiceSummary>::iterator found =
      state.summaries.find(entry.service);
  if (found != state.summaries.end()) return found->second;
  ServiceSummary summary;
  summary.roster = RosterOf(state.table, entry.service);
  summary.roster_hash = HashRoster(summary.roster);
  summary.monitors = MonitorsOf(entry, state.ready_balancers);
  return state.summaries[entry.service] = std::move(summary);
}

}  // namespace

HeartbeatAck MakeAck(BalancerControl& state, const Heartbeat& heartbeat) {
  const MemberEntry& entry = heartbeat.entry;
  HeartbeatAck ack;
  ack.sequence = heartbeat.sequence;
  ack.key_ring_version = ActiveVersion(state.records, kKeyRingName);
  const std::map<Endpoint, MemberRecord>::const_iterator record =
      state.table.members.find(entry.id);
  if (record != state.table.members.end()) {
    ack.recorded = record->second.entry.version;
  }
  if (entry.kind == MemberKind::kBalancer) return ack;
  const ServiceSummary& summary = SummaryOf(state, entry);
  ack.monitors = summary.monitors;
  ack.roster_hash = summary.roster_hash;
  const bool is_small = summary.roster.size() <= kMaxRosterEntries;
  if (summary.roster_hash != heartbeat.roster_hash && is_small) {
    ack.roster = summary.roster;
  }
  ack.document_version =
      ActiveVersion(state.records, kDocumentPrefix + entry.service);
  const ComputedMeans::const_iterator own =
      state.computed_means.find(entry.service);
  const KnownMeans::const_iterator known = state.means.find(entry.service);
  if (own != state.computed_means.end()) {
    ack.mean_flows_per_slot = own->second;
  } else if (known != state.means.end()) {
    ack.mean_flows_per_slot = known->second.mean.mean_flows_per_slot;
  }
  return ack;
}

bool NeedsAck(const BalancerControl& state, const Endpoint& to,
              const Heartbeat& heartbeat, const HeartbeatAck& ack) {
  const MemberEntry& entry = heartbeat.entry;
  if (ack.recorded != entry.version) return true;
  if (entry.kind == MemberKind::kBalancer) return false;
  if (ack.roster_hash != heartbeat.roster_hash) return true;
  const MonitoredMembers::const_iterator monitored = state.monitored.find(to);
  if (monitored == state.monitored.end()) return true;
  if (monitored->second.acked_document_version != ack.document_version)
    return true;
  if (monitored->second.acked_key_ring_version != ack.key_ring_version)
    return true;
  const std::vector<Endpoint>& monitors = ack.monitors;
  const std::vector<Endpoint>::const_iterator own =
      std::find(monitors.begin(), monitors.end(), state.self.id);
  if (own == monitors.end()) return true;
  const size_t turn = heartbeat.sequence % monitors.size();
  return turn == static_cast<size_t>(own - monitors.begin());
}

bool CompleteEntry(const MemberTable& table, Heartbeat& heartbeat) {
  if (!heartbeat.is_brief) return true;
  const std::map<Endpoint, MemberRecord>::const_iterator known =
      table.members.find(heartbeat.entry.id);
  if (known == table.members.end()) return false;
  const MemberVersion version = heartbeat.entry.version;
  if (known->second.entry.version.boot != version.boot) return false;
  heartbeat.entry = known->second.entry;
  heartbeat.entry.version = version;
  return true;
}

}  // namespace medlarwinch
