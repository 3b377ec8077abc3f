#include "medlarwinch/coordination/control_plane/agent_control.h"

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/control_plane/member_table.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxAgentSeeds = 16;
constexpr size_t kSeedsPerAttempt = 3;

void SendHeartbeat(AgentStep& step, const std::vector<Endpoint>& targets,
                   const UpstreamLoad& load) {
  Heartbeat heartbeat;
  heartbeat.entry = step.state.self;
  heartbeat.load = load;
  heartbeat.sequence = ++step.state.heartbeat_sequence;
  heartbeat.roster_hash = step.state.roster_hash;
  heartbeat.is_brief = !step.state.needs_full_entry;
  for (const Endpoint& target : targets) {
    step.actions.messages.push_back(OutgoingMessage{target, heartbeat});
  }
}

// Fetches the document, key ring or roster if the monitor holds a newer one.
void FetchNewerVersions(AgentStep& step, const Endpoint& from,
                        const HeartbeatAck& ack, TimePoint now) {
  if (now < step.state.fetch_deadline) return;
  FetchRequest request;
  const std::string document = kDocumentPrefix + step.state.self.service;
  const RecordVersion announced[] = {{document, ack.document_version},
                                     {kKeyRingName, ack.key_ring_version}};
  for (const RecordVersion& version : announced) {
    if (!ShouldFetch(step.state.records, version)) continue;
    request.names.push_back(version.name);
  }
  const bool needs_roster =
      ack.roster_hash != step.state.roster_hash && ack.roster.empty();
  if (needs_roster) request.roster_of = step.state.self.service;
  if (request.names.empty() && !needs_roster) return;
  step.state.fetch_deadline = now + kFetchTimeout;
  step.actions.fetches.push_back(OutgoingFetch{from, std::move(request)});
}

void RefuteRecord(AgentStep& step, const MemberVersion& recorded,
                  const UpstreamLoad& load) {
  const MemberVersion version =
      RefutingVersion(step.state.self.version, recorded);
  // A monitor that holds another version needs the full entry.
  step.state.needs_full_entry |= recorded != step.state.self.version;
  if (version == step.state.self.version) return;
  AccountEntry entry;
  entry.action = "raise_incarnation";
  entry.service = step.state.self.service;
  entry.subject = ToString(step.state.self.id);
  entry.reason.rule = "recorded_above_own_version";
  entry.reason.facts["recorded_phase"] = MemberPhaseName(recorded.phase);
  entry.reason.facts["incarnation"] = std::to_string(version.incarnation);
  step.actions.decisions.push_back(Decision{entry, true});
  step.state.self.version = version;
  step.actions.view_changed = true;
  SendHeartbeat(step, step.state.monitors, load);
}

void UpdateMonitors(AgentStep& step, const std::vector<Endpoint>& monitors,
                    const UpstreamLoad& load) {
  if (monitors.empty() || monitors == step.state.monitors) return;
  std::vector<Endpoint> added;
  for (const Endpoint& monitor : monitors) {
    if (std::find(step.state.monitors.begin(), step.state.monitors.end(),
                  monitor) == step.state.monitors.end()) {
      added.push_back(monitor);
    }
  }
  step.state.monitors = monitors;
  step.state.needs_full_entry = true;
  SendHeartbeat(step, added, load);
}

void UpdateRoster(AgentStep& step, const std::vector<RosterEntry>& roster,
                  uint64_t hash) {
  if (hash == step.state.roster_hash) return;
  step.state.roster = roster;
  step.state.roster_hash = hash;
  step.actions.view_changed = true;
}

}  // namespace

AgentControl StartAgentControl(const MemberEntry& self,
                               const std::vector<Endpoint>& seeds) {
  AgentControl state;
  state.self = self;
  return AddAgentSeeds(std::move(state), seeds);
}

AgentControl AddAgentSeeds(AgentControl state,
                           const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    if (std::find(state.seeds.begin(), state.seeds.end(), seed) !=
        state.seeds.end()) {
      continue;
    }
    if (state.seeds.size() == kMaxAgentSeeds) break;
    state.seeds.push_back(seed);
    // A new seed may be contacted without waiting for the join delay.
    state.next_join = TimePoint{-1};
  }
  return state;
}

bool HasLostMonitors(const AgentControl& state, TimePoint now) {
  return state.last_ack.value < 0 || now - state.last_ack > kMonitorTimeout;
}

AgentStep TickAgent(AgentControl state, const UpstreamLoad& load, TimePoint now,
                    Random& random) {
  AgentStep step{std::move(state), {}};
  if (HasLostMonitors(step.state, now) && now >= step.state.next_join) {
    SendHeartbeat(step, PickRandom(step.state.seeds, kSeedsPerAttempt, random),
                  load);
    step.state.next_join = now + Jitter(step.state.join_delay, random);
    step.state.join_delay = std::min(step.state.join_delay * 2, kMaxJoinDelay);
  }
  if (now < step.state.next_heartbeat) return step;
  SendHeartbeat(step, step.state.monitors, load);
  step.state.needs_full_entry = step.state.monitors.empty();
  step.state.next_heartbeat = now + kHeartbeatInterval;
  return step;
}

AgentStep HandleAgentMessage(AgentControl state, const Endpoint& from,
                             const ControlMessage& message,
                             const UpstreamLoad& load, TimePoint now) {
  AgentStep step{std::move(state), {}};
  const HeartbeatAck* ack = std::get_if<HeartbeatAck>(&message);
  if (ack == nullptr) return step;
  step.state.last_ack = now;
  step.state.join_delay = kInitialJoinDelay;
  UpdateMonitors(step, ack->monitors, load);
  RefuteRecord(step, ack->recorded, load);
  if (ack->mean_flows_per_slot >= 0 &&
      ack->mean_flows_per_slot != step.state.mean_flows_per_slot) {
    step.state.mean_flows_per_slot = ack->mean_flows_per_slot;
    step.actions.view_changed = true;
  }
  if (!ack->roster.empty()) UpdateRoster(step, ack->roster, ack->roster_hash);
  FetchNewerVersions(step, from, *ack, now);
  return step;
}

AgentStep HandleAgentRecords(AgentControl state,
                             const std::vector<ReceivedRecord>& received) {
  AgentStep step{std::move(state), {}};
  step.state.fetch_deadline = TimePoint{-1};
  for (const ReceivedRecord& item : received) {
    ApplyRecordOutcome outcome = ApplyRecord(
        std::move(step.state.records), item.record, item.error, item.source);
    step.state.records = std::move(outcome.store);
    for (AccountEntry& entry : outcome.decisions) {
      step.actions.decisions.push_back(Decision{std::move(entry), false});
    }
    if (outcome.accepted) step.actions.view_changed = true;
  }
  return step;
}

AgentStep HandleAgentRoster(AgentControl state,
                            const std::vector<RosterEntry>& roster) {
  AgentStep step{std::move(state), {}};
  if (!roster.empty()) UpdateRoster(step, roster, HashRoster(roster));
  return step;
}

AgentStep ChangeAgentPhase(AgentControl state, MemberPhase phase,
                           const UpstreamLoad& load, TimePoint now) {
  AgentStep step{std::move(state), {}};
  if (phase <= step.state.self.version.phase) return step;
  step.state.self.version.phase = phase;
  step.state.needs_full_entry = true;
  SendHeartbeat(step, step.state.monitors, load);
  step.state.next_heartbeat = now + kHeartbeatInterval;
  step.actions.view_changed = true;
  return step;
}

}  // namespace medlarwinch
