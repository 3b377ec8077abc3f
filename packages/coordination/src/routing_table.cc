#include "medlarwinch/coordination/routing_table.h"

#include <algorithm>
#include <optional>

#include "medlarwinch/coordination/address_owners.h"
#include "medlarwinch/coordination/rendezvous.h"
#include "medlarwinch/coordination/slow_start.h"

namespace medlarwinch {
namespace {

// What a member's entry and the document say about one upstream.
struct UpstreamState {
  TableUpstream upstream;
  bool is_doubtful = false;
  Reason reason;
};

using UpstreamStates = std::map<Endpoint, UpstreamState>;

struct ServiceInput {
  const RoutingInput& input;
  const ServiceDocument& document;
  uint64_t version = 0;
  ServiceIndex index = 0;
  TimePoint now{0};
};

Reason MakeReason(const ServiceInput& service, std::string rule,
                  std::string path) {
  Reason reason;
  reason.rule = std::move(rule);
  reason.document = service.document.service;
  reason.document_version = service.version;
  reason.path = std::move(path);
  return reason;
}

bool IsDrainedByDocument(const ServiceDocument& document,
                         const MemberEntry& member) {
  const std::vector<Endpoint>& drained = document.drain.upstreams;
  return std::find(drained.begin(), drained.end(), member.upstream) !=
         drained.end();
}

// Time since the member became ready; nothing when it is not known.
std::optional<Millis> TimeSinceReady(const ServiceInput& service,
                                     const MemberEntry& member) {
  const auto found = service.input.ready_since.find(member.id);
  if (found == service.input.ready_since.end()) return std::nullopt;
  return service.now - found->second;
}

void Accept(const ServiceInput& service, const MemberEntry& member,
            UpstreamState& state) {
  const Millis since_ready = TimeSinceReady(service, member)
                                 .value_or(service.document.slow_start.window);
  state.upstream.weights.accepting =
      member.slots * SlowStartShare(since_ready, service.document.slow_start);
  state.upstream.weights.owning = member.slots;
}

UpstreamState Classify(const ServiceInput& service, const MemberEntry& member) {
  const MemberPhase phase = member.version.phase;
  UpstreamState state;
  state.upstream.agent = member.data;
  if (service.input.doubtful.contains(member.id) &&
      (phase == MemberPhase::kReady || phase == MemberPhase::kFailed) &&
      !IsDrainedByDocument(service.document, member)) {
    Accept(service, member, state);
    state.is_doubtful = true;
    state.reason = MakeReason(service, "withdrawal_refused",
                              "health.max_withdrawn_percent");
    return state;
  }
  state.upstream.is_lost = phase == MemberPhase::kFailed;
  if (phase == MemberPhase::kDraining) {
    state.upstream.weights.owning = member.slots;
    state.reason = MakeReason(service, "member_draining", "");
    return state;
  }
  if (phase != MemberPhase::kReady) {
    state.reason = MakeReason(
        service, std::string("member_") + MemberPhaseName(phase), "");
    return state;
  }
  if (IsDrainedByDocument(service.document, member)) {
    state.upstream.weights.owning = member.slots;
    state.reason = MakeReason(service, "document_drain", "drain.upstreams");
    return state;
  }
  Accept(service, member, state);
  state.reason = MakeReason(service, "member_ready", "");
  return state;
}

bool TakesNewFlows(const UpstreamState& state) {
  return state.upstream.weights.accepting > 0;
}

// Returns the agents of the service whose data address is theirs. Of several
// members with one address the newest one counts.
std::map<Endpoint, const MemberEntry*> FindAgents(const ServiceInput& service,
                                                  const EndpointMap& owners) {
  std::map<Endpoint, const MemberEntry*> agents;
  for (const auto& [id, member] : service.input.members) {
    if (member.kind != MemberKind::kAgent ||
        member.service != service.document.service) {
      continue;
    }
    const auto owner = owners.find(member.data);
    if (owner == owners.end() || owner->second != service.index) continue;
    const auto [entry, is_added] = agents.emplace(member.data, &member);
    if (!is_added && IsNewerAtAddress(member, *entry->second)) {
      entry->second = &member;
    }
  }
  return agents;
}

// Withdrawals for health never leave a service without an upstream: when no
// other one takes new flows, those that look failed stay in use.
void KeepLastUpstreams(const ServiceInput& service,
                       const std::map<Endpoint, const MemberEntry*>& agents,
                       UpstreamStates& states) {
  for (const auto& [address, state] : states) {
    if (TakesNewFlows(state)) return;
  }
  for (const auto& [address, member] : agents) {
    if (member->version.phase != MemberPhase::kFailed ||
        IsDrainedByDocument(service.document, *member)) {
      continue;
    }
    UpstreamState& state = states[address];
    Accept(service, *member, state);
    state.upstream.is_lost = false;
    state.is_doubtful = true;
    state.reason = MakeReason(service, "last_upstreams_kept",
                              "health.max_withdrawn_percent");
  }
}

const ServiceTable* FindTable(const RoutingTables& tables,
                              const std::string& service) {
  const auto found =
      std::lower_bound(tables.services.begin(), tables.services.end(), service,
                       [](const ServiceTable& table, const std::string& name) {
                         return table.service < name;
                       });
  if (found == tables.services.end() || found->service != service) {
    return nullptr;
  }
  return &*found;
}

// True when the upstreams that take new flows, or their slots, differ. The
// steps of a slow start do not count.
bool IsMembershipChanged(const ServiceTable& last,
                         const UpstreamStates& states) {
  size_t unchanged = 0;
  size_t last_count = 0;
  for (const TableUpstream& upstream : last.upstreams) {
    if (upstream.weights.accepting <= 0) continue;
    ++last_count;
    const auto found = states.find(upstream.agent);
    if (found != states.end() && TakesNewFlows(found->second) &&
        found->second.upstream.weights.owning == upstream.weights.owning) {
      ++unchanged;
    }
  }
  const auto count = static_cast<size_t>(std::count_if(
      states.begin(), states.end(),
      [](const auto& entry) { return TakesNewFlows(entry.second); }));
  return unchanged != last_count || unchanged != count;
}

bool HasPrevious(const ServiceTable& table) {
  return std::any_of(table.upstreams.begin(), table.upstreams.end(),
                     [](const TableUpstream& upstream) {
                       return upstream.weights.previous > 0;
                     });
}

// Enters the previous weights into `states` and returns the time at which they
// end.
TimePoint KeepPrevious(const ServiceInput& service, const ServiceTable& last,
                       UpstreamStates& states) {
  const bool last_is_empty =
      std::none_of(last.upstreams.begin(), last.upstreams.end(),
                   [](const TableUpstream& upstream) {
                     return upstream.weights.accepting > 0;
                   });
  const bool is_changed = !last_is_empty && IsMembershipChanged(last, states);
  if (!is_changed &&
      (service.now >= last.previous_until || !HasPrevious(last))) {
    return TimePoint{0};
  }
  for (const TableUpstream& upstream : last.upstreams) {
    // An agent that left, or whose address another service uses now, has no
    // entry or one that says so.
    const auto found = states.find(upstream.agent);
    if (found == states.end() || found->second.reason.rule == "member_left") {
      continue;
    }
    found->second.upstream.weights.previous =
        is_changed ? upstream.weights.accepting : upstream.weights.previous;
  }
  return is_changed ? service.now + kPreviousTableLifetime
                    : last.previous_until;
}

ServiceTable MakeTable(const ServiceInput& service, UpstreamStates& states,
                       const ServiceTable* last) {
  ServiceTable table;
  table.service = service.document.service;
  table.document_version = service.version;
  table.candidates = std::clamp<uint32_t>(service.document.balance.candidates,
                                          1, kMaxAcceptingCandidates);
  const auto mean = service.input.means.find(table.service);
  if (mean != service.input.means.end()) {
    table.mean_flows_per_slot = mean->second;
  }
  table.seed = HashKey(table.service);
  if (last != nullptr) {
    table.previous_until = KeepPrevious(service, *last, states);
  }
  for (const auto& [address, state] : states) {
    if (state.upstream.weights == UpstreamWeights{}) continue;
    table.upstreams.push_back(state.upstream);
    if (state.is_doubtful) table.doubtful.insert(address);
  }
  const bool is_same = last != nullptr && last->upstreams == table.upstreams;
  table.index = is_same ? last->index : CandidateIndex(table.upstreams);
  return table;
}

std::string ActionOf(const UpstreamState& state) {
  if (state.is_doubtful) return "keep_doubtful_upstream";
  if (TakesNewFlows(state)) return "accept_upstream";
  return state.upstream.weights.owning > 0 ? "drain_upstream"
                                           : "withdraw_upstream";
}

void AppendChanges(const ServiceInput& service, const UpstreamStates& states,
                   const ServiceTable* last,
                   std::vector<TableChange>& changes) {
  const ServiceTable none;
  const ServiceTable& before = last != nullptr ? *last : none;
  std::map<Endpoint, std::string> actions;
  for (const TableUpstream& upstream : before.upstreams) {
    UpstreamState state;
    state.upstream = upstream;
    state.is_doubtful = before.doubtful.contains(upstream.agent);
    actions[upstream.agent] = ActionOf(state);
  }
  for (const auto& [address, state] : states) {
    const std::string action = ActionOf(state);
    const auto found = actions.find(address);
    const std::string old =
        found != actions.end() ? found->second : "withdraw_upstream";
    if (found != actions.end()) actions.erase(found);
    if (action == old) continue;
    TableChange change{action, service.document.service, ToString(address),
                       state.reason};
    change.reason.facts["before"] = old;
    changes.push_back(std::move(change));
  }
  for (const auto& [address, old] : actions) {
    if (old == "withdraw_upstream") continue;
    TableChange change{"withdraw_upstream", service.document.service,
                       ToString(address),
                       MakeReason(service, "no_member_at_address", "")};
    change.reason.facts["before"] = old;
    changes.push_back(std::move(change));
  }
}

// The earlier of two times, of which a negative one stands for never.
TimePoint Earlier(TimePoint a, TimePoint b) {
  if (a.value < 0) return b;
  if (b.value < 0) return a;
  return std::min(a, b);
}

TimePoint NextSlowStartStep(const ServiceInput& service,
                            const MemberEntry& member) {
  const Millis window = service.document.slow_start.window;
  const std::optional<Millis> since_ready = TimeSinceReady(service, member);
  if (!since_ready.has_value() || *since_ready >= window) return TimePoint{-1};
  const int64_t step = std::max<int64_t>(window.value / kSlowStartSteps, 1);
  return service.now + Millis{std::min(step, (window - *since_ready).value)};
}

void UpdateService(const ServiceInput& service, const RoutingTables& last,
                   RoutingUpdate& update) {
  const std::map<Endpoint, const MemberEntry*> agents =
      FindAgents(service, update.tables.service_by_agent);
  UpstreamStates states;
  for (const auto& [address, member] : agents) {
    states.emplace(address, Classify(service, *member));
    if (TakesNewFlows(states.at(address))) {
      update.next_change =
          Earlier(update.next_change, NextSlowStartStep(service, *member));
    }
  }
  KeepLastUpstreams(service, agents, states);
  const ServiceTable* last_table = FindTable(last, service.document.service);
  AppendChanges(service, states, last_table, update.changes);
  ServiceTable table = MakeTable(service, states, last_table);
  if (table.previous_until > service.now) {
    update.next_change = Earlier(update.next_change, table.previous_until);
  }
  update.tables.services.push_back(std::move(table));
}

void AppendClaimChanges(const RoutingTables& last, RoutingUpdate& update) {
  for (const AddressClaim& claim : update.tables.refused_claims) {
    if (last.refused_claims.contains(claim)) continue;
    Reason reason;
    reason.rule = "address_held_by_other_service";
    reason.document = claim.service;
    reason.path = "addresses";
    update.changes.push_back(TableChange{"refuse_contested_address",
                                         claim.service, ToString(claim.address),
                                         reason});
  }
}

}  // namespace

RoutingUpdate BuildRoutingTables(const RoutingInput& input,
                                 const RoutingTables& last, TimePoint now) {
  RoutingUpdate update;
  update.tables.service_by_agent = FindAgentOwners(input);
  ServiceAddresses addresses = AssignServiceAddresses(input, last);
  update.tables.service_by_address = std::move(addresses.holders);
  update.tables.refused_claims = std::move(addresses.refused_claims);
  AppendClaimChanges(last, update);
  for (size_t index = 0; index < input.documents.size(); ++index) {
    const RoutedDocument& routed = input.documents[index];
    UpdateService(ServiceInput{input, *routed.document, routed.version,
                               static_cast<ServiceIndex>(index), now},
                  last, update);
  }
  return update;
}

}  // namespace medlarwinch
