#include "medlarwinch/standins/upstream_settings.h"

#include "medlarwinch/protocol/yaml_reader.h"

namespace medlarwinch {

Result<UpstreamSettings> ParseUpstreamSettings(const std::string& file,
                                               const std::string& text) {
  constexpr int64_t kMaxMillis = 600'000;
  YamlReader reader(file, text);
  UpstreamSettings settings;
  settings.listen = reader.RequiredEndpoint("listen");
  settings.service = reader.RequiredString("service");
  settings.name = reader.RequiredString("name");
  settings.execution_log = reader.RequiredString("execution_log");
  settings.work_ms = reader.Integer("work_ms", settings.work_ms, 0, kMaxMillis);
  settings.cold_ms = reader.Integer("cold_ms", settings.cold_ms, 0, kMaxMillis);
  settings.cold_factor =
      reader.Integer("cold_factor", settings.cold_factor, 1, 1'000);
  settings.shed_above =
      reader.Integer("shed_above", settings.shed_above, 0, 1'000'000);
  settings.fail_percent =
      reader.Integer("fail_percent", settings.fail_percent, 0, 100);
  settings.reports_healthy =
      reader.Boolean("says_well", settings.reports_healthy);
  settings.threads =
      static_cast<int>(reader.Integer("threads", settings.threads, 1, 16));
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

}  // namespace medlarwinch
