#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "medlarwinch/platform_side/soak_run.h"

namespace medlarwinch {
namespace {

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

int RunSeed(SoakSettings settings, uint64_t seed) {
  settings.seed = seed;
  settings.output_folder += "/seed-" + std::to_string(seed);
  std::filesystem::remove_all(settings.output_folder);
  std::filesystem::create_directories(settings.output_folder);
  boost::asio::io_context loop(1);
  SoakRun soak(loop, settings);
  const Result<Ok> started = soak.Start();
  if (!IsOk(started)) {
    std::cerr << ErrorOf(started).message << "\n";
    return kExitViolated;
  }
  loop.run();
  const CallerCounts counts = soak.Counts();
  std::cout << "seed " << seed << ": " << counts.answered << " of "
            << counts.requests << " requests answered on " << counts.flows
            << " flows, " << soak.misdirected_after_pause()
            << " searched elsewhere after a pause, " << soak.violations().size()
            << " violations\n";
  for (const std::string& violation : soak.violations()) {
    std::cout << "seed " << seed << ": " << violation << "\n";
  }
  if (soak.violations().empty()) {
    std::filesystem::remove_all(settings.output_folder);
    return 0;
  }
  return kExitViolated;
}

int Main(int argc, char** argv) {
  CLI::App app{"Runs the platform daemons under randomly injected faults",
               "platform_soak"};
  SoakSettings settings;
  settings.output_folder = "soak-out";
  uint64_t first = 1;
  uint64_t seeds = 1;
  app.add_option("daemon", settings.daemon_program,
                 "path of medlarwinch_platformd")
      ->required();
  app.add_option("--seed", first, "first seed");
  app.add_option("--seeds", seeds, "number of consecutive seeds to run");
  app.add_option("--seconds", settings.duration_seconds, "duration of each run")
      ->check(CLI::Range(12, 3'600));
  app.add_option("--balancers", settings.balancers)->check(CLI::Range(1, 60));
  app.add_option("--hosts", settings.hub_upstreams,
                 "upstreams of the larger service")
      ->check(CLI::Range(1, 150));
  app.add_option("--users", settings.users)->check(CLI::Range(1, 5'000));
  app.add_flag("--evacuations", settings.evacuations,
               "also evacuate failure domains, with cold upstreams");
  CLI::Option* series = app.add_flag(
      "--series", settings.series,
      "also inject series of faults and of planned work, which overlap");
  app.add_flag("--planned", settings.planned,
               "only series of planned work, which excuse no broken flow")
      ->excludes(series);
  app.add_flag("--count-pauses", settings.counts_pauses,
               "also count flows as broken that are searched at several other "
               "upstreams after a pause");
  app.add_option("--folder", settings.output_folder,
                 "folder for settings files and logs; kept for failed seeds");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    app.exit(error);
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int result = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    result = std::max(result, RunSeed(settings, seed));
  }
  return result;
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) { return medlarwinch::Main(argc, argv); }
