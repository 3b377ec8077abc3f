#include "medlarwinch/coordination/request_path/table_changes.h"

#include <utility>

namespace medlarwinch {
namespace {

std::string ActionOf(const UpstreamState& state) {
  if (state.is_doubtful) return "keep_doubtful_upstream";
  if (AcceptsNewFlows(state)) return "accept_upstream";
  return state.upstream.weights.owning > 0 ? "drain_upstream"
                                           : "withdraw_upstream";
}

}  // namespace

void AppendTableChanges(const ServiceInput& service,
                        const UpstreamStates& states, const ServiceTable* last,
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
                       MakeServiceReason(service, "no_member_at_address", "")};
    change.reason.facts["before"] = old;
    changes.push_back(std::move(change));
  }
}

}  // namespace medlarwinch
