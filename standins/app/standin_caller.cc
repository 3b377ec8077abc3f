#include <chrono>

#include "medlarwinch/standins/load_generator.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kStopWait{4'000};

void Stop(LoadCaller& caller) { caller.Stop(kStopWait); }

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  return medlarwinch::RunStandin(argc, argv, medlarwinch::ParseCallerSettings,
                                 medlarwinch::LoadCaller::Start,
                                 medlarwinch::Stop);
}
