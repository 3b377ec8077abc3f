#include "medlarwinch/cli/get_command.h"

namespace medlarwinch {

Result<GetReport> RunGet(const CommandContext& context,
                         const std::string& service) {
  PlatformClient client = MakePlatformClient(context);
  const Result<PlatformObject> object = client.Get(DocumentKey(service));
  if (!IsOk(object)) return ErrorOf(object);
  return GetReport{service, ValueOf(object).version, ValueOf(object).value};
}

ExitCode ExitCodeOf(const GetReport& /*report*/) { return kExitOk; }

std::string FormatText(const GetReport& report) {
  return "# " + DocumentKey(report.service) + " version " +
         std::to_string(report.version) + "\n" + report.text;
}

nlohmann::json ToJson(const GetReport& report) {
  return {{"service", report.service},
          {"version", report.version},
          {"text", report.text}};
}

}  // namespace medlarwinch
