#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_changes.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Limits on the entries and size of the object "history/SERVICE".
inline constexpr size_t kMaxHistoryEntries = 100;
inline constexpr size_t kMaxHistoryBytes = 128 * 1'024;

/// One applied version of a document.
struct HistoryEntry {
  uint64_t version = 0;
  /// Version that it replaced; 0 for the first.
  uint64_t previous_version = 0;
  TimePoint time;
  std::string operator_name;
  std::vector<FieldChange> changes;

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

/// Returns the object key of a service's history, "history/SERVICE".
std::string HistoryKey(const std::string& service);

/// Formats entries (oldest first) as JSON Lines.
std::string FormatHistory(const std::vector<HistoryEntry>& entries);

/// Parses the output of FormatHistory(). Fails with kInvalidInput.
Result<std::vector<HistoryEntry>> ParseHistory(const std::string& text);

/// Inserts an entry in version order and drops the oldest entries above the
/// limits. At least one entry is kept.
std::vector<HistoryEntry> AppendHistory(std::vector<HistoryEntry> entries,
                                        HistoryEntry entry);

}  // namespace medlarwinch
