#include <iostream>

#include "medlarwinch/standins/packet_fabric.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

int RunFabric(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  const Result<FabricSettings> settings =
      ParseFabricSettings(file, ValueOf(text));
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return 2;
  }
  const Result<std::unique_ptr<PacketFabric>> fabric =
      PacketFabric::Start(ValueOf(settings));
  if (!IsOk(fabric)) {
    std::cerr << ErrorOf(fabric).message << "\n";
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
  return file.empty() ? 2 : medlarwinch::RunFabric(file);
}
