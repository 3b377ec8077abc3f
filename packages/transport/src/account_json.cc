#include "medlarwinch/transport/account_json.h"

#include <nlohmann/json.hpp>

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

// Bounds the size of a line, so that one part of an account holds many of them.
constexpr size_t kMaxTextBytes = 512;
constexpr size_t kMaxFacts = 16;

std::string Truncate(const std::string& text) {
  return text.substr(0, kMaxTextBytes);
}

std::string StringField(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

}  // namespace

std::string FormatAccountLine(const AccountEntry& entry) {
  Json facts = Json::object();
  for (const auto& [name, value] : entry.reason.facts) {
    if (facts.size() == kMaxFacts) break;
    facts[Truncate(name)] = Truncate(value);
  }
  const Json json = {{"time_ms", entry.time.value},
                     {"process", Truncate(entry.process)},
                     {"action", Truncate(entry.action)},
                     {"service", Truncate(entry.service)},
                     {"subject", Truncate(entry.subject)},
                     {"rule", Truncate(entry.reason.rule)},
                     {"document", Truncate(entry.reason.document)},
                     {"version", entry.reason.document_version},
                     {"path", Truncate(entry.reason.path)},
                     {"facts", facts}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<AccountEntry> ParseAccountLine(std::string_view line) {
  const Json json = Json::parse(line, nullptr, false);
  const bool is_entry = json.is_object() && json.contains("time_ms") &&
                        json["time_ms"].is_number_integer();
  if (!is_entry) {
    return Error{ErrorCode::kInvalidInput,
                 "the account line is not a JSON object with time_ms"};
  }
  AccountEntry entry;
  entry.time = TimePoint{json["time_ms"].get<int64_t>()};
  entry.process = StringField(json, "process");
  entry.action = StringField(json, "action");
  entry.service = StringField(json, "service");
  entry.subject = StringField(json, "subject");
  entry.reason.rule = StringField(json, "rule");
  entry.reason.document = StringField(json, "document");
  entry.reason.path = StringField(json, "path");
  const auto version = json.find("version");
  if (version != json.end() && version->is_number_unsigned()) {
    entry.reason.document_version = version->get<uint64_t>();
  }
  const auto facts = json.find("facts");
  if (facts == json.end() || !facts->is_object()) return entry;
  for (const auto& [name, value] : facts->items()) {
    if (value.is_string()) entry.reason.facts[name] = value.get<std::string>();
  }
  return entry;
}

}  // namespace medlarwinch
