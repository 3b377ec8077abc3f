#pragma once

#include <nlohmann/json.hpp>

#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/daemon/settings.h"

namespace medlarwinch {

/// A member as the status of a daemon shows it.
nlohmann::json ToJson(const MemberEntry& entry);

/// The entry that a daemon announces of itself at its start.
MemberEntry MakeOwnMemberEntry(const Settings& settings, MemberKind kind,
                               const Endpoint& control);

}  // namespace medlarwinch
