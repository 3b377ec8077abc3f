#include "medlarwinch/cli/history_command.h"

#include <algorithm>

#include "medlarwinch/cli/report_json.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

Result<HistoryReport> RunHistory(const CommandContext& context,
                                 const std::string& service, size_t count) {
  PlatformClient client = MakePlatformClient(context);
  const Result<PlatformObject> object = client.Get(HistoryKey(service));
  if (!IsOk(object)) return ErrorOf(object);
  Result<std::vector<HistoryEntry>> entries =
      ParseHistory(ValueOf(object).value);
  if (!IsOk(entries)) return ErrorOf(entries);
  HistoryReport report{service, TakeValue(std::move(entries))};
  std::reverse(report.entries.begin(), report.entries.end());
  if (report.entries.size() > count) report.entries.resize(count);
  return report;
}

ExitCode ExitCodeOf(const HistoryReport& /*report*/) { return kExitOk; }

std::string FormatText(const HistoryReport& report) {
  std::string text;
  for (const HistoryEntry& entry : report.entries) {
    text += "version " + std::to_string(entry.version) + " after " +
            std::to_string(entry.previous_version) + " at " +
            FormatTime(entry.time) + " by " + entry.operator_name + "\n" +
            FormatChanges(entry.changes);
  }
  return text;
}

nlohmann::json ToJson(const HistoryReport& report) {
  nlohmann::json entries = nlohmann::json::array();
  for (const HistoryEntry& entry : report.entries) {
    entries.push_back({{"version", entry.version},
                       {"previous_version", entry.previous_version},
                       {"time", FormatTime(entry.time)},
                       {"operator", entry.operator_name},
                       {"changes", ToJsonList(entry.changes)}});
  }
  return {{"service", report.service}, {"entries", entries}};
}

}  // namespace medlarwinch
