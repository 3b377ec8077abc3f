#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// One line of an EventLog.
struct EventRecord {
  /// Wall-clock milliseconds.
  int64_t time = 0;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  /// Returns the value of a field, or an empty string.
  const std::string& Field(std::string_view name) const;
  /// Returns the value of a field as a number, or 0.
  int64_t Number(std::string_view name) const;
};

/// Parses "time=MS event=E key=value ...". Returns nullopt for a line without a
/// time and an event, such as a partial last line of a killed process.
std::optional<EventRecord> ParseEventLine(std::string_view line);

/// Reads all lines of a file; fails with kNotFound.
Result<std::vector<EventRecord>> ReadEventFile(const std::string& file);

}  // namespace medlarwinch
