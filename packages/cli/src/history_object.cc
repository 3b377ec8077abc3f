#include "medlarwinch/cli/history_object.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "medlarwinch/cli/report_json.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

Json ToJson(const HistoryEntry& entry) {
  return {{"version", entry.version},
          {"previous_version", entry.previous_version},
          {"time_ms", entry.time.value},
          {"operator", entry.operator_name},
          {"changes", ToJsonList(entry.changes)}};
}

// Throws Json::exception when a field is missing or has the wrong type.
HistoryEntry ParseEntry(const Json& json) {
  HistoryEntry entry;
  entry.version = json.at("version").get<uint64_t>();
  entry.previous_version = json.at("previous_version").get<uint64_t>();
  entry.time = TimePoint{json.at("time_ms").get<int64_t>()};
  entry.operator_name = json.at("operator").get<std::string>();
  for (const Json& change : json.at("changes")) {
    entry.changes.push_back(FieldChange{change.at("path").get<std::string>(),
                                        change.at("before").get<std::string>(),
                                        change.at("after").get<std::string>()});
  }
  return entry;
}

}  // namespace

std::string HistoryKey(const std::string& service) {
  return "history/" + service;
}

std::string FormatHistory(const std::vector<HistoryEntry>& entries) {
  std::string text;
  for (const HistoryEntry& entry : entries) {
    text += ToJson(entry).dump(-1, ' ', false, Json::error_handler_t::replace);
    text += "\n";
  }
  return text;
}

Result<std::vector<HistoryEntry>> ParseHistory(const std::string& text) {
  std::vector<HistoryEntry> entries;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    try {
      entries.push_back(ParseEntry(Json::parse(line)));
    } catch (const Json::exception& exception) {
      return Error{
          ErrorCode::kInvalidInput,
          std::string("malformed history object: ") + exception.what()};
    }
  }
  return entries;
}

std::vector<HistoryEntry> AppendHistory(std::vector<HistoryEntry> entries,
                                        HistoryEntry entry) {
  const auto position = std::find_if(entries.begin(), entries.end(),
                                     [&entry](const HistoryEntry& other) {
                                       return other.version > entry.version;
                                     });
  entries.insert(position, std::move(entry));
  while (entries.size() > kMaxHistoryEntries) entries.erase(entries.begin());
  while (entries.size() > 1 &&
         FormatHistory(entries).size() > kMaxHistoryBytes) {
    entries.erase(entries.begin());
  }
  return entries;
}

}  // namespace medlarwinch
