#include "medlarwinch/coordination/request_path/routing_table.h"

#include <algorithm>
#include <optional>

#include "medlarwinch/coordination/request_path/address_owners.h"
#include "medlarwinch/coordination/request_path/slow_start.h"
#include "medlarwinch/coordination/request_path/table_changes.h"
#include "medlarwinch/coordination/request_path/upstream_state.h"
#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

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

// Returns true if the set of upstreams that accept new flows, or their slots,
// differ. The steps of a slow start do not count.
bool IsMembershipChanged(const ServiceTable& last,
                         const UpstreamStates& states) {
  size_t unchanged = 0;
  size_t last_count = 0;
  for (const TableUpstream& upstream : last.upstreams) {
    if (upstream.weights.accepting <= 0) continue;
    ++last_count;
    const auto found = states.find(upstream.agent);
    if (found != states.end() && AcceptsNewFlows(found->second) &&
        found->second.upstream.weights.owning == upstream.weights.owning) {
      ++unchanged;
    }
  }
  const auto count = static_cast<size_t>(std::count_if(
      states.begin(), states.end(),
      [](const auto& entry) { return AcceptsNewFlows(entry.second); }));
  return unchanged != last_count || unchanged != count;
}

bool HasPreviousWeights(const ServiceTable& table) {
  return std::any_of(table.upstreams.begin(), table.upstreams.end(),
                     [](const TableUpstream& upstream) {
                       return upstream.weights.previous > 0;
                     });
}

// Copies the previous weights into `states` and returns the time at which they
// expire.
TimePoint CopyPreviousWeights(const ServiceInput& service,
                              const ServiceTable& last,
                              UpstreamStates& states) {
  const bool last_is_empty =
      std::none_of(last.upstreams.begin(), last.upstreams.end(),
                   [](const TableUpstream& upstream) {
                     return upstream.weights.accepting > 0;
                   });
  const bool is_changed = !last_is_empty && IsMembershipChanged(last, states);
  if (!is_changed &&
      (service.now >= last.previous_until || !HasPreviousWeights(last))) {
    return TimePoint{0};
  }
  for (const TableUpstream& upstream : last.upstreams) {
    // An agent that left has no entry, or one with `has_left`. An agent
    // whose address another service uses now has no entry.
    const auto found = states.find(upstream.agent);
    if (found == states.end() || found->second.has_left) {
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
  const auto mean_flows =
      service.input.mean_flows_by_service.find(table.service);
  if (mean_flows != service.input.mean_flows_by_service.end()) {
    table.mean_flows_per_slot = mean_flows->second;
  }
  table.seed = HashKey(table.service);
  if (last != nullptr) {
    table.previous_until = CopyPreviousWeights(service, *last, states);
  }
  for (const auto& [address, state] : states) {
    if (state.upstream.weights == UpstreamWeights{}) continue;
    table.upstreams.push_back(state.upstream);
    if (state.is_doubtful) table.doubtful.insert(address);
  }
  const bool is_same = last != nullptr && last->upstreams == table.upstreams;
  table.index = is_same
                    ? last->index
                    : std::make_shared<const CandidateIndex>(table.upstreams);
  return table;
}

// Returns the earlier of two times; a negative time means never.
TimePoint EarlierTime(TimePoint a, TimePoint b) {
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
  UpstreamStates states = DecideUpstreams(service, agents);
  for (const auto& [address, member] : agents) {
    if (AcceptsNewFlows(states.at(address))) {
      update.next_change =
          EarlierTime(update.next_change, NextSlowStartStep(service, *member));
    }
  }
  const ServiceTable* last_table = FindTable(last, service.document.service);
  AppendTableChanges(service, states, last_table, update.changes);
  ServiceTable table = MakeTable(service, states, last_table);
  if (table.previous_until > service.now) {
    update.next_change = EarlierTime(update.next_change, table.previous_until);
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
  const AgentsByService agents = GroupAgents(input);
  for (size_t index = 0; index < input.documents.size(); ++index) {
    const RoutedDocument& routed = input.documents[index];
    UpdateService(ServiceInput{input, agents, *routed.document, routed.version,
                               static_cast<ServiceIndex>(index), now},
                  last, update);
  }
  return update;
}

}  // namespace medlarwinch
