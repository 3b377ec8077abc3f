#include <iostream>

#include "medlarwinch/standins/platform_service.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

int RunPlatform(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  YamlReader reader(file, ValueOf(text));
  PlatformSettings settings;
  settings.api = reader.RequiredEndpoint("api");
  settings.control = reader.RequiredEndpoint("control");
  settings.writes_per_second = reader.Number(
      "writes_per_second", settings.writes_per_second, 1, 1'000'000);
  settings.reads_per_second = reader.Number(
      "reads_per_second", settings.reads_per_second, 1, 1'000'000);
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) {
    std::cerr << ErrorOf(finished).message << "\n";
    return 2;
  }
  const Result<std::unique_ptr<PlatformService>> service =
      PlatformService::Start(settings);
  if (!IsOk(service)) {
    std::cerr << ErrorOf(service).message << "\n";
    return 1;
  }
  WaitForTermination();
  return 0;
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  medlarwinch::BlockTerminationSignals();
  const std::string file = medlarwinch::SettingsArgument(argc, argv);
  return file.empty() ? 2 : medlarwinch::RunPlatform(file);
}
