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
  /// All fields but time, process and event.
  std::map<std::string, std::string> fields;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Log records of several processes, sorted by time after SortLogs().
struct LogCollection {
  std::vector<LogRecord> records;
  size_t file_count = 0;
  /// Lines that are not records, such as the output of other programs.
  size_t unparsed_lines = 0;
  /// Number of lines that the processes' rate limits suppressed, by event.
  std::map<std::string, uint64_t> suppressed;
};

/// Returns the value of a field; empty when the record lacks it.
std::string FieldOf(const LogRecord& record, const std::string& key);

/// Parses "time=... process=... event=... key=value ...". RenderText before
/// `time=`, such as the prefix of a log collector, is skipped. Returns nullopt
/// for lines without a time, a process and an event.
std::optional<LogRecord> ParseLogLine(std::string_view line);

/// Appends the records in `text`; call SortLogs() afterwards.
void AddLogText(const std::string& text, LogCollection& logs);
void SortLogs(LogCollection& logs);

/// Reads files and all files directly inside directories. Fails with kNotFound
/// when a path cannot be read and with kInvalidInput when there is no record.
Result<LogCollection> ReadLogs(const std::vector<std::string>& paths);

/// Formats the counts of suppressed lines, one line per event.
std::string FormatSuppressed(const std::map<std::string, uint64_t>& suppressed);

/// Formats the record as "TIME PROCESS EVENT key=value ...", without the field
/// "level".
std::string FormatRecord(const LogRecord& record);

}  // namespace medlarwinch
