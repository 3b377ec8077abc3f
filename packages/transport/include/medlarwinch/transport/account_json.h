#pragma once

#include <string>
#include <string_view>

#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Formats an entry as one line of JSON without a line end. Bytes that are not
/// UTF-8 are replaced; facts and texts longer than 512 bytes are cut.
std::string FormatAccountLine(const AccountEntry& entry);

/// Parses a line that FormatAccountLine() made. Fails with kInvalidInput.
Result<AccountEntry> ParseAccountLine(std::string_view line);

}  // namespace medlarwinch
