#include <chrono>

#include "medlarwinch/standins/load_generator.h"
#include "medlarwinch/standins/process_main.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kStopTimeout{4'000};

void Stop(LoadGenerator& caller) { caller.Stop(kStopTimeout); }

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  return medlarwinch::RunStandin(
      argc, argv, medlarwinch::ParseLoadGeneratorSettings,
      medlarwinch::LoadGenerator::Start, medlarwinch::Stop);
}
