#include <chrono>
#include <iostream>

#include "medlarwinch/standins/load_caller.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kStopWait{4'000};

int RunCaller(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  const Result<CallerSettings> settings =
      ParseCallerSettings(file, ValueOf(text));
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return 2;
  }
  const Result<std::unique_ptr<LoadCaller>> caller =
      LoadCaller::Start(ValueOf(settings));
  if (!IsOk(caller)) {
    std::cerr << ErrorOf(caller).message << "\n";
    return 1;
  }
  WaitForTermination();
  ValueOf(caller)->Stop(kStopWait);
  return 0;
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  medlarwinch::BlockTerminationSignals();
  const std::string file = medlarwinch::SettingsArgument(argc, argv);
  return file.empty() ? 2 : medlarwinch::RunCaller(file);
}
