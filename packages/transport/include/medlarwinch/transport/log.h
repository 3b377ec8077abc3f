#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace medlarwinch {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A key=value pair in a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view key_name, std::string text)
      : key(key_name), value(std::move(text)) {}
  LogField(std::string_view key_name, const char* text)
      : key(key_name), value(text) {}
  LogField(std::string_view key_name, int64_t number)
      : key(key_name), value(std::to_string(number)) {}
};

/// Starts logging to standard error. Lines below `level` are discarded. Every
/// line contains the time and `process`.
void InitLog(LogLevel level, const std::string& process);

/// Starts logging to standard output in non-blocking mode. A line that does not
/// fit into the pipe is dropped and counted.
void InitNonBlockingLog(LogLevel level, const std::string& process);

/// Number of lines dropped since InitNonBlockingLog() because the reader was
/// too slow.
uint64_t DroppedLogLines();

/// Parses "debug", "info", "warning" or "error". Any other text yields kInfo.
LogLevel ParseLogLevel(std::string_view text);

/// Writes one line "time=... level=... process=... event=EVENT key=value ...".
/// Values that contain spaces, quotes, '=' or control characters are quoted.
/// Values of more than 1,280 bytes end with "..." after these.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace medlarwinch
