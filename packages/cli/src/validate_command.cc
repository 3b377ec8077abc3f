#include "medlarwinch/cli/validate_command.h"

#include <sstream>

#include "medlarwinch/protocol/document_parser.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {

Result<ValidateReport> RunValidate(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) return ErrorOf(text);
  ValidateReport report;
  report.file = file;
  const Result<ServiceDocument> document =
      ParseServiceDocument(file, ValueOf(text));
  if (IsOk(document)) {
    report.service = ValueOf(document).service;
    return report;
  }
  std::istringstream lines(ErrorOf(document).message);
  for (std::string line; std::getline(lines, line);) {
    report.errors.push_back(line);
  }
  return report;
}

ExitCode ExitCodeOf(const ValidateReport& report) {
  return report.errors.empty() ? kExitOk : kExitFailed;
}

std::string FormatText(const ValidateReport& report) {
  if (report.errors.empty()) {
    return report.file + ": valid document of " + report.service + "\n";
  }
  std::string text;
  for (const std::string& error : report.errors) text += error + "\n";
  return text;
}

nlohmann::json ToJson(const ValidateReport& report) {
  return {{"file", report.file},
          {"valid", report.errors.empty()},
          {"service", report.service},
          {"mistakes", report.errors}};
}

}  // namespace medlarwinch
