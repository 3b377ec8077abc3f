#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// One line of a process's log.
struct LogRecord {
  TimePoint time;
  std::string process;
  std::string event;
  /// All other fields of the line.
  std::map<std::string, std::string> fields;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// The records of several processes, in the order of time.
struct LogCollection {
  std::vector<LogRecord> records;
  size_t file_count = 0;
  /// Lines that are no record, such as those of other programs.
  size_t unparsed_lines = 0;
  /// Lines that the processes left out to bound their volume, by event.
  std::map<std::string, uint64_t> suppressed;
};

/// Returns the value of a field, or an empty string.
std::string FieldOf(const LogRecord& record, const std::string& key);

/// Parses "time=... process=... event=... key=value ...". Text before `time=`,
/// such as what a collector puts there, is left out; nothing is returned for
/// lines without a time, a process and an event.
std::optional<LogRecord> ParseLogLine(std::string_view line);

/// Adds the records of `text`; SortLogs() puts them in order.
void AddLogText(const std::string& text, LogCollection& logs);
void SortLogs(LogCollection& logs);

/// Reads files, and all files of folders. Fails with kNotFound when a path
/// can't be read and with kInvalidInput when there is no record in them.
Result<LogCollection> ReadLogs(const std::vector<std::string>& paths);

/// One line for each event of which `suppressed` counts lines.
std::string FormatSuppressed(const std::map<std::string, uint64_t>& suppressed);

/// The record as a line "TIME PROCESS EVENT
/// key=value ...".
std::string FormatRecord(const LogRecord& record);

}  // namespace medlarwinch
