#include "medlarwinch/cli/log_status.h"

#include <map>

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

void ResetAtStart(const LogRecord& record, LoggedProcess& process) {
  const size_t starts = process.starts + 1;
  process = LoggedProcess{};
  process.name = record.process;
  process.role = FieldOf(record, "role");
  process.starts = starts;
  process.started = record.time;
}

void ApplyRecord(const LogRecord& record, LoggedProcess& process) {
  process.name = record.process;
  if (record.event == "start") ResetAtStart(record, process);
  process.last_line = record.time;
  if (record.event == "stop") process.stopped = record.time;
  if (record.event == "configuration_in_force") {
    process.configuration_version = FieldOf(record, "version");
    process.configuration_revision = FieldOf(record, "revision");
  }
  if (record.event == "store_lost") {
    process.lost_watches[FieldOf(record, "watch")] = FieldOf(record, "reason");
  }
  if (record.event == "store_regained") {
    process.lost_watches.erase(FieldOf(record, "watch"));
  }
  // Balancers log the same event about agents, without the field `upstream`.
  if (record.event == "upstream_phase" &&
      record.fields.count("upstream") != 0) {
    process.upstream = FieldOf(record, "upstream");
    process.phase = FieldOf(record, "phase");
    process.phase_since = record.time;
  }
}

std::string FormatLostWatches(const LoggedProcess& process) {
  std::string text;
  for (const auto& [watch, reason] : process.lost_watches) {
    if (!text.empty()) text += "; ";
    text += "lost " + watch + ": " + reason;
  }
  return text.empty() ? "-" : text;
}

std::string FormatProcessState(const LoggedProcess& process) {
  if (process.stopped.has_value()) {
    return "stopped " + FormatTime(*process.stopped);
  }
  return "last line " + FormatTime(process.last_line);
}

std::string DashIfEmpty(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

LogStatus StatusFromLogs(const LogCollection& logs, TimePoint until) {
  LogStatus report;
  report.until = until;
  report.suppressed = logs.suppressed;
  std::map<std::string, LoggedProcess> processes;
  for (const LogRecord& record : logs.records) {
    if (record.time > until) break;
    ++report.records;
    ApplyRecord(record, processes[record.process]);
  }
  for (auto& [name, process] : processes) {
    report.processes.push_back(std::move(process));
  }
  return report;
}

ExitCode ExitCodeOf(const LogStatus& /*report*/) { return kExitOk; }

std::string FormatText(const LogStatus& report) {
  std::vector<std::vector<std::string>> rows = {
      {"process", "role", "starts", "state", "configuration", "store",
       "upstream", "phase", "since"}};
  for (const LoggedProcess& process : report.processes) {
    const std::string configuration =
        process.configuration_version.empty()
            ? "-"
            : process.configuration_version + " (revision " +
                  process.configuration_revision + ")";
    rows.push_back(
        {process.name, DashIfEmpty(process.role),
         std::to_string(process.starts), FormatProcessState(process),
         configuration, FormatLostWatches(process),
         DashIfEmpty(process.upstream), DashIfEmpty(process.phase),
         process.phase.empty() ? "-" : FormatTime(process.phase_since)});
  }
  std::string text = FormatTable(rows);
  return text + FormatSuppressed(report.suppressed);
}

nlohmann::json ToJson(const LogStatus& report) {
  nlohmann::json processes = nlohmann::json::array();
  for (const LoggedProcess& process : report.processes) {
    nlohmann::json json = {
        {"name", process.name},
        {"role", process.role},
        {"starts", process.starts},
        {"started", FormatTime(process.started)},
        {"last_line", FormatTime(process.last_line)},
        {"configuration_version", process.configuration_version},
        {"configuration_revision", process.configuration_revision},
        {"lost_watches", process.lost_watches},
        {"upstream", process.upstream},
        {"phase", process.phase}};
    if (process.stopped.has_value()) {
      json["stopped"] = FormatTime(*process.stopped);
    }
    if (!process.phase.empty()) {
      json["phase_since"] = FormatTime(process.phase_since);
    }
    processes.push_back(json);
  }
  return {{"processes", processes},
          {"until", FormatTime(report.until)},
          {"records", report.records},
          {"suppressed", report.suppressed}};
}

}  // namespace medlarwinch
