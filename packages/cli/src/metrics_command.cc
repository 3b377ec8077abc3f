#include "medlarwinch/cli/metrics_command.h"

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/transport/http_client.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr int kHttpOk = 200;

}  // namespace

Result<MetricsReport> RunMetrics(const CommandContext& context,
                                 const Endpoint& admin) {
  const Result<HttpResponse> response = SendHttpRequest(
      admin, HttpRequest{"GET", "/metrics", "", {}}, context.timeout);
  if (!IsOk(response)) return ErrorOf(response);
  if (ValueOf(response).status != kHttpOk) {
    return Error{ErrorCode::kUnavailable,
                 ToString(admin) + " answered HTTP status " +
                     std::to_string(ValueOf(response).status)};
  }
  return MetricsReport{admin, context.now, ValueOf(response).body};
}

ExitCode ExitCodeOf(const MetricsReport& /*report*/) { return kExitOk; }

std::string FormatText(const MetricsReport& report) {
  return "# sample " + FormatTime(report.time) + " " + ToString(report.admin) +
         "\n" + report.text;
}

nlohmann::json ToJson(const MetricsReport& report) {
  nlohmann::json samples = nlohmann::json::array();
  for (const MetricSample& sample : ParseMetrics(report.text)) {
    samples.push_back({{"name", sample.name},
                       {"labels", sample.labels},
                       {"value", sample.value}});
  }
  return {{"admin", ToString(report.admin)},
          {"time", FormatTime(report.time)},
          {"samples", samples}};
}

}  // namespace medlarwinch
