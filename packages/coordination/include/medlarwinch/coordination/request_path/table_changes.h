#pragma once

#include <vector>

#include "medlarwinch/coordination/request_path/routing_table.h"
#include "medlarwinch/coordination/request_path/upstream_state.h"

namespace medlarwinch {

/// Appends one change for each upstream that accepts new flows, drains, stays
/// in use as doubtful or is withdrawn in `states` but not in `last` (null when
/// the service had no table).
void AppendTableChanges(const ServiceInput& service,
                        const UpstreamStates& states, const ServiceTable* last,
                        std::vector<TableChange>& changes);

}  // namespace medlarwinch
