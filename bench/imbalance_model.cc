// Prints max/mean of the flows per slot for each case and policy as Markdown
// tables. The optional argument is the seed.
#include "medlarwinch/bench/imbalance_model.h"

#include <cstdio>
#include <cstdlib>

namespace medlarwinch {
namespace {

constexpr uint64_t kDefaultSeed = 20261204;
constexpr double kMillisPerSecond = 1'000;

void PrintRow(const ImbalanceCase& model_case, const Placement& placement,
              uint64_t seed) {
  const ImbalanceResult result = RunImbalanceModel(model_case, placement, seed);
  std::printf("| %s | %.3f | %.3f |", placement.Name().c_str(), result.mean,
              result.max);
  if (model_case.events.empty() || model_case.events.front().at.value == 0) {
    std::printf(" - | - |");
  } else {
    std::printf(" %.3f | ", result.after_event);
    if (result.recovery_time.value < 0) {
      std::printf("not within the case |");
    } else {
      std::printf("%.1f s |", static_cast<double>(result.recovery_time.value) /
                                  kMillisPerSecond);
    }
  }
  std::printf(" %.1f %% |\n", result.forwarded * 100);
  std::fflush(stdout);
}

void PrintAll(uint64_t seed) {
  for (const ImbalanceCase& model_case : ImbalanceCases()) {
    std::printf("\n### %s\n\n", model_case.name.c_str());
    std::printf(
        "| policy | mean | max | highest 10 s after an event | at most 1.10 "
        "after | passed on |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const Placement& placement : ImbalancePlacements()) {
      PrintRow(model_case, placement, seed);
    }
  }
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10)
                                 : medlarwinch::kDefaultSeed;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  medlarwinch::PrintAll(seed);
  return 0;
}
