#include "medlarwinch/coordination/control_plane/balancer_liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "medlarwinch/coordination/control_plane/digest_tree.h"
#include "medlarwinch/coordination/control_plane/monitor_selection.h"
#include "medlarwinch/coordination/control_plane/withdrawal_bound.h"

namespace medlarwinch {
namespace {

template <typename Item>
void Append(std::vector<Item>& items, std::vector<Item> more) {
  items.insert(items.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

std::vector<Endpoint> PushCandidates(const BalancerControl& state) {
  std::vector<Endpoint> candidates;
  for (const auto& [id, record] : state.table.members) {
    if (record.entry.kind != MemberKind::kBalancer) continue;
    if (id == state.self.id) continue;
    if (IsWithdrawn(record.entry.version.phase)) continue;
    candidates.push_back(id);
  }
  return candidates;
}

bool IncludesBalancer(const std::vector<MemberEntry>& changed) {
  return std::any_of(changed.begin(), changed.end(),
                     [](const MemberEntry& entry) {
                       return entry.kind == MemberKind::kBalancer;
                     });
}

// Updates the state derived from the member table after `changed` entries were
// merged. The monitored members are recomputed in full only when the set of
// ready balancers has changed.
void ApplyTableChanges(BalancerControl& state,
                       const std::vector<MemberEntry>& changed, TimePoint now) {
  std::vector<Endpoint> ready = state.ready_balancers;
  if (IncludesBalancer(changed)) ready = ReadyBalancers(state.table);
  if (ready != state.ready_balancers) {
    state.ready_balancers = std::move(ready);
    state.monitored =
        UpdateMonitoredMembers(std::move(state.monitored), state.table,
                               state.self.id, state.ready_balancers, now);
    state.summaries.clear();
  } else {
    for (const MemberEntry& entry : changed) {
      state.monitored =
          UpdateMonitoredMember(std::move(state.monitored), entry,
                                state.self.id, state.ready_balancers, now);
      state.summaries.erase(entry.service);
    }
  }
  std::erase_if(state.doubtful, [&](const Endpoint& id) {
    return state.monitored.find(id) == state.monitored.end();
  });
}

AccountEntry MakeLivenessEntry(const MemberEntry& entry,
                               const Suspicion& suspicion,
                               const VersionedHealthPolicy& health,
                               const SlotCount& count) {
  AccountEntry account;
  account.service = entry.service;
  account.subject = ToString(entry.id);
  account.reason.document = health.version == 0 ? "" : entry.service;
  account.reason.document_version = health.version;
  std::map<std::string, std::string>& facts = account.reason.facts;
  facts["kind"] = MemberKindName(entry.kind);
  facts["heartbeat_age_ms"] = std::to_string(suspicion.heartbeat_age.value);
  facts["fail_after_ms"] = std::to_string(health.policy.fail_after.value);
  facts["keepers_asked"] = std::to_string(suspicion.queried.size());
  facts["keepers_agreed"] = std::to_string(suspicion.confirmed_by.size());
  facts["failed_slots"] = std::to_string(count.failed);
  facts["service_slots"] = std::to_string(count.total);
  facts["data"] = ToString(entry.data);
  return account;
}

Decision MakeWithdrawalDecision(const MemberEntry& entry,
                                const Suspicion& suspicion,
                                const VersionedHealthPolicy& health,
                                const SlotCount& count) {
  AccountEntry account = MakeLivenessEntry(entry, suspicion, health, count);
  const bool is_agent = entry.kind == MemberKind::kAgent;
  account.action = is_agent ? "withdraw_upstream" : "withdraw_balancer";
  account.reason.rule = "missed_heartbeats";
  account.reason.path = "health.fail_after_ms";
  return Decision{account, true};
}

Decision MakeRefusalDecision(const MemberEntry& entry,
                             const Suspicion& suspicion,
                             const VersionedHealthPolicy& health,
                             const SlotCount& count) {
  AccountEntry account = MakeLivenessEntry(entry, suspicion, health, count);
  account.action = "refuse_withdrawal";
  account.reason.rule = "max_withdrawn_percent";
  account.reason.path = "health.max_withdrawn_percent";
  account.reason.facts["max_withdrawn_percent"] =
      std::to_string(health.policy.max_withdrawn_percent);
  return Decision{account, true};
}

// Decides whether a member with a confirmed failure is withdrawn. Returns its
// entry in phase failed if so; otherwise marks it as doubtful and returns
// nothing.
std::vector<MemberEntry> DecideWithdrawal(BalancerControl& state,
                                          ControlActions& actions,
                                          const Suspicion& suspicion,
                                          TimePoint now) {
  MemberEntry entry = state.table.members.at(suspicion.subject).entry;
  const VersionedHealthPolicy health = HealthPolicyOf(state.policies, entry);
  const SlotCount count = CountSlots(state.table, entry);
  const bool is_allowed =
      MayWithdraw(count, SlotsOf(entry), health.policy.max_withdrawn_percent);
  if (is_allowed) {
    entry.version.phase = MemberPhase::kFailed;
    actions.decisions.push_back(
        MakeWithdrawalDecision(entry, suspicion, health, count));
    return {entry};
  }
  state.suspicions.not_before[entry.id] = now + health.policy.fail_after;
  if (state.doubtful.insert(entry.id).second) {
    actions.decisions.push_back(
        MakeRefusalDecision(entry, suspicion, health, count));
    actions.view_changed = true;
  }
  return {};
}

// Refutes a record of this process that is above its own version, by raising
// that version. Returns true if it was raised.
bool RefuteOwnRecord(BalancerControl& state, const MemberVersion& recorded,
                     ControlActions& actions) {
  const MemberVersion version = RefutingVersion(state.self.version, recorded);
  if (version == state.self.version) return false;
  AccountEntry entry;
  entry.action = "raise_incarnation";
  entry.subject = ToString(state.self.id);
  entry.reason.rule = "recorded_above_own_version";
  entry.reason.facts["recorded_phase"] = MemberPhaseName(recorded.phase);
  entry.reason.facts["incarnation"] = std::to_string(version.incarnation);
  actions.decisions.push_back(Decision{entry, true});
  state.self.version = version;
  return true;
}

}  // namespace

void AppendActions(ControlActions& actions, ControlActions more) {
  Append(actions.messages, std::move(more.messages));
  Append(actions.fetches, std::move(more.fetches));
  Append(actions.decisions, std::move(more.decisions));
  actions.view_changed = actions.view_changed || more.view_changed;
  actions.means_changed = actions.means_changed || more.means_changed;
}

BalancerStep DetectPause(BalancerControl state, TimePoint now) {
  BalancerStep step{std::move(state), {}};
  const bool is_paused =
      step.state.last_tick.value >= 0 &&
      now - step.state.last_tick > kControlTickInterval + kPauseThreshold;
  if (!is_paused) return step;
  AccountEntry entry;
  entry.action = "ignore_silence";
  entry.subject = ToString(step.state.self.id);
  entry.reason.rule = "own_tick_late";
  entry.reason.facts["since_tick_ms"] =
      std::to_string((now - step.state.last_tick).value);
  step.actions.decisions.push_back(Decision{entry, false});
  step.state.monitored =
      ResetHeartbeatTimes(std::move(step.state.monitored), now);
  step.state.suspicions.open.clear();
  step.state.last_tick = now;
  return step;
}

void PushUpdates(const BalancerControl& state, ControlActions& actions,
                 const std::vector<MemberEntry>& members,
                 const std::vector<RecordVersion>& records,
                 const std::vector<ServiceMean>& means, Random& random) {
  const std::vector<Delta> deltas = SplitIntoDeltas(members, records, means);
  if (deltas.empty()) return;
  for (const Endpoint& target :
       PickRandom(PushCandidates(state), kGossipFanout, random)) {
    for (const Delta& delta : deltas) {
      actions.messages.push_back(OutgoingMessage{target, delta});
    }
  }
}

BalancerStep MergeRemoteEntries(BalancerControl state,
                                const std::vector<MemberEntry>& entries,
                                const Endpoint& reply_to,
                                Propagation propagation, TimePoint now,
                                Random& random) {
  BalancerStep step{std::move(state), {}};
  bool is_raised = false;
  std::vector<MemberEntry> others;
  for (const MemberEntry& entry : entries) {
    if (entry.id != step.state.self.id) {
      others.push_back(entry);
      continue;
    }
    is_raised |= RefuteOwnRecord(step.state, entry.version, step.actions);
  }
  if (is_raised) others.push_back(step.state.self);
  MergeOutcome merged = MergeEntries(std::move(step.state.table), others, now);
  step.state.table = std::move(merged.table);
  if (reply_to.port != 0) {
    for (Delta& delta : SplitIntoDeltas(merged.newer, {}, {})) {
      step.actions.messages.push_back(
          OutgoingMessage{reply_to, std::move(delta)});
    }
  }
  if (merged.accepted.empty()) return step;
  ApplyTableChanges(step.state, merged.accepted, now);
  if (propagation == Propagation::kNo) {
    merged.accepted = is_raised ? std::vector<MemberEntry>{step.state.self}
                                : std::vector<MemberEntry>{};
  }
  PushUpdates(step.state, step.actions, merged.accepted, {}, {}, random);
  step.actions.view_changed = true;
  if (is_raised) {
    BalancerStep sent = SendHeartbeats(std::move(step.state), now);
    step.state = std::move(sent.state);
    AppendActions(step.actions, std::move(sent.actions));
  }
  return step;
}

BalancerStep SendHeartbeats(BalancerControl state, TimePoint now) {
  BalancerStep step{std::move(state), {}};
  Heartbeat heartbeat;
  heartbeat.entry = step.state.self;
  heartbeat.sequence = ++step.state.heartbeat_sequence;
  const std::vector<Endpoint> monitors =
      MonitorsOf(step.state.self, step.state.ready_balancers);
  heartbeat.is_brief =
      step.state.announced_version == step.state.self.version &&
      step.state.announced_monitors == monitors;
  step.state.announced_version = step.state.self.version;
  step.state.announced_monitors = monitors;
  for (const Endpoint& monitor : monitors) {
    step.actions.messages.push_back(OutgoingMessage{monitor, heartbeat});
  }
  step.state.next_heartbeat = now + kHeartbeatInterval;
  return step;
}

BalancerStep CheckLiveness(BalancerControl state, TimePoint now,
                           Random& random) {
  BalancerStep step{std::move(state), {}};
  ResolvedSuspicions outcome =
      ResolveSuspicions(std::move(step.state.suspicions), step.state.table,
                        step.state.policies, now);
  step.state.suspicions = std::move(outcome.state);
  for (const Suspicion& suspicion : outcome.confirmed) {
    const std::vector<MemberEntry> failed =
        DecideWithdrawal(step.state, step.actions, suspicion, now);
    if (failed.empty()) continue;
    BalancerStep merged =
        MergeRemoteEntries(std::move(step.state), failed, Endpoint{},
                           Propagation::kYes, now, random);
    step.state = std::move(merged.state);
    AppendActions(step.actions, std::move(merged.actions));
  }
  StartedSuspicions start = StartSuspicions(
      std::move(step.state.suspicions), step.state.monitored, step.state.table,
      step.state.policies, step.state.self.id, step.state.ready_balancers, now);
  step.state.suspicions = std::move(start.state);
  for (const OutgoingSuspicionQuery& query : start.queries) {
    step.actions.messages.push_back(OutgoingMessage{query.to, query.query});
  }
  return step;
}

}  // namespace medlarwinch
