#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "medlarwinch/standins/process_main.h"
#include "medlarwinch/standins/scenario_run.h"

namespace medlarwinch {
namespace {

std::atomic<bool> g_interrupted{false};

void Interrupt(int /*signal*/) { g_interrupted = true; }

struct Arguments {
  std::string file;
  std::string keep;
  uint64_t seed = 1;
  int64_t connections = 0;
  uint32_t net = 0;
};

// Concurrent runs from different build trees use different loopback networks.
uint32_t DefaultNet(const std::string& program_folder) {
  constexpr uint32_t kFirst = 64;
  constexpr uint32_t kCount = 128;
  return kFirst + static_cast<uint32_t>(
                      std::hash<std::string>{}(program_folder) % kCount);
}

std::string NumberText(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", value);
  return text;
}

void PrintLine(const std::string& name, const std::string& value) {
  std::printf("  %-46s %s\n", name.c_str(), value.c_str());
}

void PrintSummary(const RunSummary& summary) {
  std::printf("invariants (violations)\n");
  for (const CheckResult& check : summary.checks) {
    PrintLine(check.name, std::to_string(check.violations));
    for (const std::string& example : check.examples) {
      std::printf("      %s\n", example.c_str());
    }
  }
  std::printf("figures\n");
  for (const auto& [name, value] : summary.metrics) {
    PrintLine(name, NumberText(value));
  }
}

// Returns whether all expectations are satisfied.
bool PrintExpectations(const Scenario& scenario, const RunSummary& summary) {
  bool all_satisfied = true;
  std::printf("expectations\n");
  for (const Expectation& expectation : scenario.expectations) {
    const auto found = summary.metrics.find(expectation.metric);
    const bool is_known = found != summary.metrics.end();
    const bool is_satisfied =
        is_known && IsSatisfied(expectation, found->second);
    all_satisfied = all_satisfied && is_satisfied;
    PrintLine(expectation.metric + " " + expectation.comparison + " " +
                  NumberText(expectation.value),
              std::string(is_satisfied ? "ok" : "FAILED") + "  (" +
                  (is_known ? NumberText(found->second) : "no such metric") +
                  ")");
  }
  return all_satisfied;
}

int RunScenario(const Arguments& arguments, const std::string& program_folder) {
  const Result<std::string> text = ReadTextFile(arguments.file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  const Result<Scenario> parsed = ParseScenario(arguments.file, ValueOf(text));
  if (!IsOk(parsed)) {
    std::cerr << ErrorOf(parsed).message << "\n";
    return 2;
  }
  Scenario scenario = ValueOf(parsed);
  if (arguments.connections > 0) scenario.connections = arguments.connections;
  std::string folder = arguments.keep;
  if (folder.empty()) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "medlarwinch-XXXXXX")
            .string();
    if (mkdtemp(pattern.data()) == nullptr) {
      std::cerr << "cannot create a temporary directory\n";
      return 1;
    }
    folder = pattern;
  } else {
    std::filesystem::create_directories(folder);
    folder = std::filesystem::absolute(folder).string();
  }
  ScenarioRunOptions options;
  options.program_folder = program_folder;
  options.scenario_folder =
      std::filesystem::absolute(arguments.file).parent_path().string();
  options.folder = folder;
  options.seed = arguments.seed;
  options.net = arguments.net > 0 ? arguments.net : DefaultNet(program_folder);
  options.interrupted = &g_interrupted;
  std::printf("scenario %s, seed %llu, %lld connections per host\n",
              arguments.file.c_str(),
              static_cast<unsigned long long>(arguments.seed),
              static_cast<long long>(scenario.connections));
  std::fflush(stdout);
  Result<RunSummary> summary = Error{};
  {
    ScenarioRun run(scenario, options);
    summary = run.Run();
  }
  const bool is_kept = !arguments.keep.empty();
  if (!IsOk(summary)) {
    std::cerr << "run failed: " << ErrorOf(summary).message << "; logs in "
              << folder << "\n";
    return 1;
  }
  PrintSummary(ValueOf(summary));
  const bool all_satisfied = PrintExpectations(scenario, ValueOf(summary));
  if (!is_kept && all_satisfied) {
    std::filesystem::remove_all(folder);
  } else {
    std::printf("logs are in %s\n", folder.c_str());
  }
  std::printf("%s\n", all_satisfied ? "PASSED" : "FAILED");
  return all_satisfied ? 0 : 1;
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  std::signal(SIGTERM, medlarwinch::Interrupt);
  std::signal(SIGINT, medlarwinch::Interrupt);
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Runs a scenario against the daemons and checks the invariants",
               "scenario_runner"};
  medlarwinch::Arguments arguments;
  app.add_option("scenario", arguments.file, "Scenario file")->required();
  app.add_option("--keep", arguments.keep,
                 "Directory in which the logs are stored");
  app.add_option("--seed", arguments.seed, "Seed of the random generators");
  app.add_option("--connections", arguments.connections,
                 "Connections per host, overriding the scenario");
  app.add_option("--net", arguments.net,
                 "Second octet of the loopback addresses");
  CLI11_PARSE(app, argc, argv);
  const std::string program_folder =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  return medlarwinch::RunScenario(arguments, program_folder);
}
