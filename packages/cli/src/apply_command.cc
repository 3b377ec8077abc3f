#include "medlarwinch/cli/apply_command.h"

#include <charconv>

#include "medlarwinch/cli/daemon_status.h"
#include "medlarwinch/cli/get_command.h"
#include "medlarwinch/cli/history_object.h"
#include "medlarwinch/cli/report_json.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/protocol/document_parser.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
namespace {

constexpr int kMaxHistoryWriteAttempts = 4;

// The document on the platform; version 0 when there is none, no `document`
// when its text is invalid.
struct CurrentDocument {
  uint64_t version = 0;
  std::string text;
  std::optional<ServiceDocument> document;
};

Result<CurrentDocument> FetchCurrent(PlatformClient& client,
                                     const std::string& service) {
  const std::string key = DocumentKey(service);
  const Result<PlatformObject> object = client.Get(key);
  if (!IsOk(object)) {
    if (ErrorOf(object).code == ErrorCode::kNotFound) return CurrentDocument{};
    return ErrorOf(object);
  }
  CurrentDocument current{ValueOf(object).version, ValueOf(object).value, {}};
  Result<ServiceDocument> document = ParseServiceDocument(key, current.text);
  if (IsOk(document)) current.document = TakeValue(std::move(document));
  return current;
}

std::vector<MemberEntry> FetchMembers(const CommandContext& context,
                                      std::vector<std::string>& warnings) {
  const Result<std::vector<Endpoint>> addresses = FindAdminAddresses(context);
  if (!IsOk(addresses)) {
    warnings.push_back(ErrorOf(addresses).message);
    return {};
  }
  const std::vector<DaemonStatus> statuses = FetchStatuses(ValueOf(addresses));
  for (const DaemonStatus& status : statuses) {
    if (!status.error.empty()) warnings.push_back(status.error);
  }
  std::vector<MemberEntry> members;
  for (const ObservedMember& member : MergeMembers(statuses)) {
    members.push_back(member.entry);
  }
  return members;
}

// Checks the change from the current document to the new one and sets the
// changes, refusals and warnings of the report.
void CheckAgainstCurrent(const CommandContext& context,
                         const CurrentDocument& current,
                         const ServiceDocument& document, ApplyReport& report) {
  if (!current.document.has_value()) {
    report.changes = ListChanges(ServiceDocument{}, document);
    if (current.version > 0) {
      report.warnings.push_back(
          "version " + std::to_string(current.version) +
          " on the platform is invalid, so the change was not checked against "
          "it");
    }
    return;
  }
  const std::vector<MemberEntry> members =
      FetchMembers(context, report.warnings);
  const ChangeAssessment assessment =
      AssessChange(*current.document, document, members);
  report.changes = assessment.changes;
  report.moved_percent = assessment.moved_percent;
  report.known_upstreams = assessment.known_upstreams;
  report.refusals = assessment.refusals;
  if (assessment.known_upstreams > 0) return;
  report.warnings.push_back(
      "no upstream of the service is known, so the share of new flows that the "
      "change moves was not checked; pass balancer addresses with --admin");
}

// Appends the version to the history. Retries on conflicts, because other
// operators may write the history at the same time.
Result<uint64_t> AppendToHistory(const CommandContext& context,
                                 PlatformClient& client,
                                 const std::string& service,
                                 const HistoryEntry& entry) {
  const std::string key = HistoryKey(service);
  Result<uint64_t> written = uint64_t{0};
  for (int attempt = 0; attempt < kMaxHistoryWriteAttempts; ++attempt) {
    const Result<PlatformObject> object = client.Get(key);
    PlatformObject history;
    if (IsOk(object)) {
      history = ValueOf(object);
    } else if (ErrorOf(object).code != ErrorCode::kNotFound) {
      return ErrorOf(object);
    }
    Result<std::vector<HistoryEntry>> entries = ParseHistory(history.value);
    if (!IsOk(entries)) return ErrorOf(entries);
    const std::vector<HistoryEntry> updated =
        AppendHistory(TakeValue(std::move(entries)), entry);
    written = client.Put(key, FormatHistory(updated), history.version,
                         NewOperationId(context));
    if (IsOk(written) || ErrorOf(written).code != ErrorCode::kConflict) break;
  }
  return written;
}

ApplyReport MakeConflictReport(ApplyReport report,
                               const CurrentDocument& current,
                               const ServiceDocument& document) {
  report.outcome = ApplyOutcome::kConflict;
  report.version = current.version;
  report.changes =
      ListChanges(current.document.value_or(ServiceDocument{}), document);
  return report;
}

const char* OutcomeName(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
      return "applied";
    case ApplyOutcome::kUnchanged:
      return "unchanged";
    case ApplyOutcome::kRefused:
      return "refused";
    case ApplyOutcome::kConflict:
      return "conflict";
  }
  return "unknown";
}

std::string FormatOutcome(const ApplyReport& report) {
  const std::string version = std::to_string(report.version);
  const std::string key = DocumentKey(report.service);
  switch (report.outcome) {
    case ApplyOutcome::kApplied:
      return key + ": version " + version + " applied, previous version " +
             std::to_string(report.expected_version) + "\n";
    case ApplyOutcome::kUnchanged:
      return key + ": version " + version + " already has this text\n";
    case ApplyOutcome::kRefused:
      return key + ": change refused; version " + version +
             " remains in force\n";
    case ApplyOutcome::kConflict:
      return key +
             ": another writer was first: the change was made for "
             "version " +
             std::to_string(report.expected_version) +
             ", the platform has version " + version +
             "; your document against it:\n";
  }
  return "";
}

}  // namespace

std::optional<uint64_t> ExtractVersionLine(const std::string& service,
                                           std::string& text) {
  const std::string prefix = "# " + DocumentKey(service) + " version ";
  if (text.rfind(prefix, 0) != 0) return std::nullopt;
  const size_t end = text.find('\n');
  if (end == std::string::npos) return std::nullopt;
  uint64_t version = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data() + prefix.size(), text.data() + end, version);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + end) {
    return std::nullopt;
  }
  text.erase(0, end + 1);
  return version;
}

Result<ApplyReport> ApplyText(const CommandContext& context,
                              const std::string& file, std::string text,
                              std::optional<uint64_t> if_version) {
  const Result<ServiceDocument> parsed = ParseServiceDocument(file, text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const ServiceDocument& document = ValueOf(parsed);
  const std::optional<uint64_t> read_version =
      ExtractVersionLine(document.service, text);
  if (!if_version.has_value()) if_version = read_version;
  PlatformClient client = MakePlatformClient(context);
  const Result<CurrentDocument> current_result =
      FetchCurrent(client, document.service);
  if (!IsOk(current_result)) return ErrorOf(current_result);
  const CurrentDocument& current = ValueOf(current_result);
  ApplyReport report;
  report.service = document.service;
  report.version = current.version;
  report.expected_version = if_version.value_or(current.version);
  if (current.version > 0 && current.text == text) {
    report.outcome = ApplyOutcome::kUnchanged;
    return report;
  }
  if (report.expected_version != current.version) {
    return MakeConflictReport(std::move(report), current, document);
  }
  CheckAgainstCurrent(context, current, document, report);
  if (!report.refusals.empty()) {
    report.outcome = ApplyOutcome::kRefused;
    return report;
  }
  const Result<uint64_t> written =
      client.Put(DocumentKey(document.service), text, current.version,
                 NewOperationId(context));
  if (!IsOk(written)) {
    if (ErrorOf(written).code != ErrorCode::kConflict) return ErrorOf(written);
    const Result<CurrentDocument> newer =
        FetchCurrent(client, document.service);
    if (!IsOk(newer)) return ErrorOf(written);
    return MakeConflictReport(std::move(report), ValueOf(newer), document);
  }
  report.version = ValueOf(written);
  const Result<uint64_t> recorded =
      AppendToHistory(context, client, document.service,
                      HistoryEntry{report.version, current.version, context.now,
                                   context.operator_name, report.changes});
  if (!IsOk(recorded)) {
    report.warnings.push_back(
        "the change is applied but could not be added to the history: " +
        ErrorOf(recorded).message);
  }
  return report;
}

Result<ApplyReport> RunApply(const CommandContext& context,
                             const std::string& file,
                             std::optional<uint64_t> if_version) {
  Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) return ErrorOf(text);
  return ApplyText(context, file, TakeValue(std::move(text)), if_version);
}

ExitCode ExitCodeOf(const ApplyReport& report) {
  switch (report.outcome) {
    case ApplyOutcome::kApplied:
    case ApplyOutcome::kUnchanged:
      return kExitOk;
    case ApplyOutcome::kRefused:
      return kExitFailed;
    case ApplyOutcome::kConflict:
      return kExitConflict;
  }
  return kExitFailed;
}

std::string FormatText(const ApplyReport& report) {
  std::string text = FormatOutcome(report) + FormatChanges(report.changes);
  if (report.known_upstreams > 0) {
    text += "moves about " + std::to_string(report.moved_percent) +
            " percent of new flows; " + std::to_string(report.known_upstreams) +
            " upstreams known\n";
  }
  for (const ChangeRefusal& refusal : report.refusals) {
    text += "refused: " + refusal.message + "\n";
  }
  for (const std::string& warning : report.warnings) {
    text += "warning: " + warning + "\n";
  }
  return text;
}

nlohmann::json ToJson(const ApplyReport& report) {
  return {{"outcome", OutcomeName(report.outcome)},
          {"service", report.service},
          {"version", report.version},
          {"expected_version", report.expected_version},
          {"changes", ToJsonList(report.changes)},
          {"moved_percent", report.moved_percent},
          {"known_upstreams", report.known_upstreams},
          {"refusals", ToJsonList(report.refusals)},
          {"warnings", report.warnings}};
}

}  // namespace medlarwinch
