#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace medlarwinch {

/// Where a scan of JSON text is in relation to its strings.
struct JsonStringState {
  bool is_inside = false;
  /// True after a backslash within a string.
  bool is_escaped = false;
};

/// Advances `state` by the next character of the text. Returns true if the
/// character is part of a string, or one of its quotes.
bool AdvanceJsonString(JsonStringState& state, char character);

/// Parses JSON text that another process wrote. Returns a discarded value if
/// the text is not valid JSON, has a number outside the range of a double, or
/// nests arrays and objects deeper than 64 levels. Copying, comparing and
/// formatting a value recurse, so that a small text of many brackets would
/// overflow the stack.
nlohmann::json ParseBoundedJson(std::string_view text);

}  // namespace medlarwinch
