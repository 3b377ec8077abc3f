#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_changes.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Parses "2026-01-31T12:00:00Z", with or without milliseconds, or "12:00:00"
/// or "12:00" for the day of `now`, all in UTC. Fails with kInvalidInput.
Result<TimePoint> ParseTime(std::string_view text, TimePoint now);

/// Parses a duration such as "500ms", "90s", "15m" or "2h". Fails with
/// kInvalidInput.
Result<Millis> ParseDuration(std::string_view text);

/// Formats rows as a table with aligned columns; the first row is the header.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

/// Formats changes as lines "  PATH: BEFORE -> AFTER"; an absent value is
/// "(absent)".
std::string FormatChanges(const std::vector<FieldChange>& changes);

}  // namespace medlarwinch
