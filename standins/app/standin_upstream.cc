#include <iostream>

#include "medlarwinch/standins/process_main.h"
#include "medlarwinch/standins/upstream_server.h"

namespace medlarwinch {
namespace {

int RunUpstream(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  const Result<UpstreamSettings> settings =
      ParseUpstreamSettings(file, ValueOf(text));
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return 2;
  }
  const Result<std::unique_ptr<UpstreamServer>> server =
      UpstreamServer::Start(ValueOf(settings));
  if (!IsOk(server)) {
    std::cerr << ErrorOf(server).message << "\n";
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
  return file.empty() ? 2 : medlarwinch::RunUpstream(file);
}
