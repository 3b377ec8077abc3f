#pragma once

#include <nlohmann/json.hpp>

#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/daemon/settings.h"

namespace medlarwinch {

/// Returns a member as JSON, as shown in the status of a daemon.
nlohmann::json ToJson(const MemberEntry& entry);

/// Creates the member entry that a daemon announces at startup.
MemberEntry MakeOwnMemberEntry(const Settings& settings, MemberKind kind,
                               const Endpoint& control);

}  // namespace medlarwinch
