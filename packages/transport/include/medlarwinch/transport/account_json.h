#pragma once

#include <string>
#include <string_view>

#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Formats an entry as one line of JSON without a trailing newline. Invalid
/// UTF-8 is replaced, and texts, including the names and values of facts, are
/// truncated to 512 bytes.
std::string FormatAccountLine(const AccountEntry& entry);

/// Parses a line written by FormatAccountLine(). Fails with kInvalidInput.
Result<AccountEntry> ParseAccountLine(std::string_view line);

}  // namespace medlarwinch
