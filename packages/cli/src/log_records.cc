#include "medlarwinch/cli/log_records.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <sstream>

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/system_clock.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
namespace {

// Parses a value, quoted or plain, at the front of `text` and removes it.
std::string ConsumeValue(std::string_view& text) {
  std::string value;
  if (text.empty() || text.front() != '"') {
    const size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    const bool is_escaped = text.front() == '\\' && text.size() > 1;
    if (is_escaped) text.remove_prefix(1);
    const bool is_line_end = is_escaped && text.front() == 'n';
    value += is_line_end ? '\n' : text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return value;
}

std::string ExtractField(std::map<std::string, std::string>& fields,
                         const std::string& key) {
  const auto found = fields.find(key);
  if (found == fields.end()) return "";
  std::string value = std::move(found->second);
  fields.erase(found);
  return value;
}

Result<std::vector<std::string>> ListFiles(
    const std::vector<std::string>& paths) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
      files.push_back(path);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
      if (entry.is_regular_file()) files.push_back(entry.path().string());
    }
    if (error)
      return Error{ErrorCode::kNotFound, path + ": directory cannot be listed"};
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

std::string FieldOf(const LogRecord& record, const std::string& key) {
  const auto found = record.fields.find(key);
  return found == record.fields.end() ? "" : found->second;
}

std::optional<LogRecord> ParseLogLine(std::string_view line) {
  const size_t begin = line.find("time=");
  if (begin == std::string_view::npos) return std::nullopt;
  line.remove_prefix(begin);
  LogRecord record;
  while (!line.empty()) {
    const size_t equals = line.find('=');
    if (equals == std::string_view::npos) break;
    const std::string key(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    record.fields[key] = ConsumeValue(line);
    const size_t next = std::min(line.find_first_not_of(' '), line.size());
    line.remove_prefix(next);
  }
  const Result<TimePoint> time =
      ParseTime(ExtractField(record.fields, "time"), TimePoint{0});
  if (!IsOk(time)) return std::nullopt;
  record.time = ValueOf(time);
  record.process = ExtractField(record.fields, "process");
  record.event = ExtractField(record.fields, "event");
  if (record.process.empty() || record.event.empty()) return std::nullopt;
  return record;
}

void AddLogText(const std::string& text, LogCollection& logs) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::optional<LogRecord> record = ParseLogLine(line);
    if (!record.has_value()) {
      ++logs.unparsed_lines;
      continue;
    }
    if (record->event == "lines_suppressed") {
      const std::string count = FieldOf(*record, "count");
      uint64_t suppressed_lines = 0;
      std::from_chars(count.data(), count.data() + count.size(),
                      suppressed_lines);
      logs.suppressed[FieldOf(*record, "of")] += suppressed_lines;
      continue;
    }
    logs.records.push_back(std::move(*record));
  }
}

void SortLogs(LogCollection& logs) {
  std::stable_sort(
      logs.records.begin(), logs.records.end(),
      [](const LogRecord& a, const LogRecord& b) { return a.time < b.time; });
}

Result<LogCollection> ReadLogs(const std::vector<std::string>& paths) {
  const Result<std::vector<std::string>> files = ListFiles(paths);
  if (!IsOk(files)) return ErrorOf(files);
  LogCollection logs;
  for (const std::string& file : ValueOf(files)) {
    const Result<std::string> content = ReadTextFile(file);
    if (!IsOk(content)) return ErrorOf(content);
    ++logs.file_count;
    AddLogText(ValueOf(content), logs);
  }
  if (logs.records.empty()) {
    return Error{
        ErrorCode::kInvalidInput,
        "the files contain no log records: a record is a line with time=, "
        "process= and event="};
  }
  SortLogs(logs);
  return logs;
}

std::string FormatSuppressed(
    const std::map<std::string, uint64_t>& suppressed) {
  std::string text;
  for (const auto& [event, count] : suppressed) {
    text += "suppressed by log rate limits: " + std::to_string(count) +
            " lines of " + event + "\n";
  }
  return text;
}

std::string FormatRecord(const LogRecord& record) {
  std::string text =
      FormatTime(record.time) + " " + record.process + " " + record.event;
  for (const auto& [key, value] : record.fields) {
    if (key == "level") continue;
    text += " " + key + "=" + value;
  }
  return text;
}

}  // namespace medlarwinch
