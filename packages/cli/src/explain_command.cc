#include "medlarwinch/cli/explain_command.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

#include "medlarwinch/cli/daemon_status.h"
#include "medlarwinch/cli/document_path.h"
#include "medlarwinch/cli/history_object.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/account_json.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr const char* kAccountKeyPrefix = "account/";
constexpr int64_t kMillisPerMinute = 60'000;

// Returns the minute in a key "account/SERVICE/PROCESS-MINUTE[.PART]", -1 when
// the key has none.
int64_t MinuteFromKey(const std::string& key) {
  const size_t dash = key.rfind('-');
  if (dash == std::string::npos) return -1;
  int64_t minute = -1;
  const std::from_chars_result parsed =
      std::from_chars(key.data() + dash + 1, key.data() + key.size(), minute);
  return parsed.ec == std::errc() ? minute : -1;
}

// Adds the matching entries of one object to the report. A part that was
// written again after its response was lost may repeat lines of an earlier one,
// so lines in `seen_lines` are skipped.
void ReadAccountObject(const PlatformObject& object, const ExplainQuery& query,
                       const std::set<std::string>& names,
                       std::set<std::string>& seen_lines,
                       ExplainReport& report) {
  std::istringstream lines(object.value);
  for (std::string line; std::getline(lines, line);) {
    const Result<AccountEntry> parsed = ParseAccountLine(line);
    if (!IsOk(parsed)) {
      report.warnings.push_back(object.key + ": " + ErrorOf(parsed).message);
      continue;
    }
    const AccountEntry& entry = ValueOf(parsed);
    if (entry.time < query.since || entry.time > query.until) continue;
    if (!MatchesAnyName(entry, names) || !seen_lines.insert(line).second)
      continue;
    report.actions.push_back(ExplainedAction{entry, "", ""});
  }
}

// Adds the other addresses of each member that has one of its addresses in
// `names`. Does nothing when no daemon can be queried.
void AddAliases(const CommandContext& context, std::set<std::string>& names) {
  const Result<std::vector<Endpoint>> addresses = FindAdminAddresses(context);
  if (!IsOk(addresses)) return;
  for (const ObservedMember& member :
       MergeMembers(FetchStatuses(ValueOf(addresses)))) {
    const MemberEntry& entry = member.entry;
    std::set<std::string> member_addresses;
    for (const Endpoint& address : {entry.id, entry.data, entry.upstream}) {
      if (address.port != 0) member_addresses.insert(ToString(address));
    }
    const bool matches_subject = std::any_of(
        member_addresses.begin(), member_addresses.end(),
        [&names](const std::string& name) { return names.count(name) > 0; });
    if (matches_subject)
      names.insert(member_addresses.begin(), member_addresses.end());
  }
}

// A document on the platform with its history.
struct StoredDocument {
  uint64_t version = 0;
  std::string text;
  std::vector<HistoryEntry> history;
};

StoredDocument FetchDocument(PlatformClient& client,
                             const std::string& service) {
  StoredDocument record;
  const Result<PlatformObject> object = client.Get(DocumentKey(service));
  if (IsOk(object)) {
    record.version = ValueOf(object).version;
    record.text = ValueOf(object).value;
  }
  const Result<PlatformObject> history = client.Get(HistoryKey(service));
  if (!IsOk(history)) return record;
  Result<std::vector<HistoryEntry>> entries =
      ParseHistory(ValueOf(history).value);
  if (IsOk(entries)) record.history = TakeValue(std::move(entries));
  return record;
}

void AddDocumentCause(const StoredDocument& record, ExplainedAction& action) {
  const Reason& reason = action.entry.reason;
  for (const HistoryEntry& entry : record.history) {
    if (entry.version != reason.document_version) continue;
    action.applied_by = entry.operator_name + " at " + FormatTime(entry.time);
  }
  if (reason.path.empty() || record.version == 0) return;
  const std::optional<DocumentPathValue> value =
      FindDocumentPath(record.text, reason.path);
  if (!value.has_value()) return;
  action.current_text = reason.path + ": " + value->value + " (version " +
                        std::to_string(record.version) + ", " +
                        (value->line > 0 ? "line " + std::to_string(value->line)
                                         : std::string("default")) +
                        ")";
}

void AddDocumentCauses(PlatformClient& client, ExplainReport& report) {
  std::map<std::string, StoredDocument> records;
  for (ExplainedAction& action : report.actions) {
    const std::string& document = action.entry.reason.document;
    if (document.empty()) continue;
    const auto found = records.find(document);
    if (found != records.end()) {
      AddDocumentCause(found->second, action);
      continue;
    }
    const StoredDocument record = FetchDocument(client, document);
    AddDocumentCause(record, action);
    records.emplace(document, record);
  }
}

std::string FormatFacts(const std::map<std::string, std::string>& facts) {
  std::string text;
  for (const auto& [name, value] : facts) {
    if (!text.empty()) text += " ";
    text += name + "=" + value;
  }
  return text;
}

std::string FormatCause(const ExplainedAction& action) {
  const Reason& reason = action.entry.reason;
  std::string text = reason.path.empty() ? "" : reason.path + " in ";
  text += "document " + reason.document + " version " +
          std::to_string(reason.document_version);
  if (!action.applied_by.empty()) text += ", applied by " + action.applied_by;
  return text;
}

std::string FormatAction(const ExplainedAction& action) {
  const AccountEntry& entry = action.entry;
  std::string text =
      FormatTime(entry.time) + " " + entry.action + " " + entry.subject + "\n";
  if (!entry.service.empty()) text += "  service: " + entry.service + "\n";
  text += "  process: " + entry.process + "\n";
  text += "  rule:    " + entry.reason.rule + "\n";
  if (!entry.reason.document.empty()) {
    text += "  because: " + FormatCause(action) + "\n";
  }
  if (!action.current_text.empty()) {
    text += "  now:     " + action.current_text + "\n";
  }
  if (!entry.reason.facts.empty()) {
    text += "  facts:   " + FormatFacts(entry.reason.facts) + "\n";
  }
  return text;
}

}  // namespace

bool MatchesAnyName(const AccountEntry& entry,
                    const std::set<std::string>& names) {
  for (const std::string& name : names) {
    const bool is_named = entry.service == name || entry.subject == name ||
                          entry.process == name ||
                          entry.process == "agent/" + name ||
                          entry.process == "balancer/" + name;
    if (is_named) return true;
    for (const auto& [fact, value] : entry.reason.facts) {
      if (value == name) return true;
    }
  }
  return false;
}

Result<ExplainReport> RunExplain(const CommandContext& context,
                                 const ExplainQuery& query) {
  PlatformClient client = MakePlatformClient(context);
  ExplainReport report;
  report.query = query;
  std::set<std::string> names = {query.subject};
  AddAliases(context, names);
  std::string prefix = kAccountKeyPrefix;
  const std::string service =
      query.service.empty() ? query.subject : query.service;
  const bool is_service = IsOk(client.Get(DocumentKey(service)));
  if (is_service || !query.service.empty()) prefix += service + "/";
  const Result<std::vector<PlatformObject>> objects = client.List(prefix);
  if (!IsOk(objects)) return ErrorOf(objects);
  std::set<std::string> seen_lines;
  for (const PlatformObject& object : ValueOf(objects)) {
    const int64_t minute = MinuteFromKey(object.key);
    const bool is_outside = minute < query.since.value / kMillisPerMinute ||
                            minute > query.until.value / kMillisPerMinute;
    if (is_outside) continue;
    ++report.objects_read;
    ReadAccountObject(object, query, names, seen_lines, report);
  }
  std::stable_sort(report.actions.begin(), report.actions.end(),
                   [](const ExplainedAction& a, const ExplainedAction& b) {
                     return a.entry.time < b.entry.time;
                   });
  AddDocumentCauses(client, report);
  return report;
}

ExitCode ExitCodeOf(const ExplainReport& report) {
  return report.actions.empty() ? kExitFailed : kExitOk;
}

std::string FormatText(const ExplainReport& report) {
  std::string text = report.query.subject + " from " +
                     FormatTime(report.query.since) + " to " +
                     FormatTime(report.query.until) + ": " +
                     std::to_string(report.actions.size()) + " actions in " +
                     std::to_string(report.objects_read) + " account objects\n";
  for (const ExplainedAction& action : report.actions) {
    text += FormatAction(action);
  }
  for (const std::string& warning : report.warnings) {
    text += "warning: " + warning + "\n";
  }
  return text;
}

nlohmann::json ToJson(const ExplainReport& report) {
  nlohmann::json actions = nlohmann::json::array();
  for (const ExplainedAction& action : report.actions) {
    nlohmann::json json =
        nlohmann::json::parse(FormatAccountLine(action.entry));
    json["time"] = FormatTime(action.entry.time);
    json["applied_by"] = action.applied_by;
    json["current_text"] = action.current_text;
    actions.push_back(std::move(json));
  }
  return {{"subject", report.query.subject},
          {"since", FormatTime(report.query.since)},
          {"until", FormatTime(report.query.until)},
          {"objects_read", report.objects_read},
          {"actions", actions},
          {"warnings", report.warnings}};
}

}  // namespace medlarwinch
