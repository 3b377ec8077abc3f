#include "medlarwinch/standins/event_record.h"

#include <charconv>
#include <fstream>
#include <utility>

namespace medlarwinch {
namespace {

int64_t ParseNumber(std::string_view text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

const std::string& EventRecord::Field(std::string_view name) const {
  static const std::string empty;
  const auto found = fields.find(name);
  return found == fields.end() ? empty : found->second;
}

int64_t EventRecord::Number(std::string_view name) const {
  return ParseNumber(Field(name));
}

std::optional<EventRecord> ParseEventLine(std::string_view line) {
  EventRecord record;
  size_t begin = 0;
  while (begin < line.size()) {
    size_t end = line.find(' ', begin);
    if (end == std::string_view::npos) end = line.size();
    const std::string_view pair = line.substr(begin, end - begin);
    begin = end + 1;
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view key = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    if (key == "time") {
      record.time = ParseNumber(value);
    } else if (key == "event") {
      record.event = std::string(value);
    } else {
      record.fields.emplace(key, value);
    }
  }
  if (record.time == 0 || record.event.empty()) return std::nullopt;
  return record;
}

Result<std::vector<EventRecord>> ReadEventFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return Error{ErrorCode::kNotFound, file + ": cannot be read"};
  }
  std::vector<EventRecord> records;
  std::string line;
  while (std::getline(stream, line)) {
    std::optional<EventRecord> record = ParseEventLine(line);
    if (record.has_value()) records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace medlarwinch
