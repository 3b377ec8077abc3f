#include "medlarwinch/standins/platform_service.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

Result<PlatformSettings> ParsePlatformSettings(const std::string& file,
                                               const std::string& text) {
  YamlReader reader(file, text);
  PlatformSettings settings;
  settings.api = reader.RequiredEndpoint("api");
  settings.control = reader.RequiredEndpoint("control");
  settings.writes_per_second = reader.Number(
      "writes_per_second", settings.writes_per_second, 1, 1'000'000);
  settings.reads_per_second = reader.Number(
      "reads_per_second", settings.reads_per_second, 1, 1'000'000);
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  return medlarwinch::RunStandin(argc, argv, medlarwinch::ParsePlatformSettings,
                                 medlarwinch::PlatformService::Start);
}
