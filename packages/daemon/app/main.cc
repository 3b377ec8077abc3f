#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "medlarwinch/daemon/roles.h"

namespace medlarwinch {
namespace {

constexpr int kExitInvalidSettings = 1;
constexpr int kExitUsage = 2;

static_assert(std::atomic<int>::is_always_lock_free,
              "a signal handler may only use lock-free atomics");

void CountTerminationSignal(int /*signal*/) { ++g_termination_signal_count; }

void InstallSignalHandlers() {
  struct sigaction action {};
  action.sa_handler = CountTerminationSignal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  // A peer that closes its connection must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
}

struct Arguments {
  std::string settings_file;
  bool is_check_only = false;
};

CLI::App* AddRoleCommand(CLI::App& app, const std::string& name,
                         const std::string& description, Arguments& arguments) {
  CLI::App* role = app.add_subcommand(name, description);
  role->add_option("--settings", arguments.settings_file,
                   "YAML file with the settings of this daemon")
      ->required();
  role->add_flag("--check", arguments.is_check_only,
                 "check the settings and exit");
  return role;
}

int RunRole(const Arguments& arguments, bool is_agent) {
  const Result<Settings> settings =
      LoadSettings(arguments.settings_file, is_agent);
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return kExitInvalidSettings;
  }
  if (arguments.is_check_only) {
    std::cout << arguments.settings_file << ": settings are valid\n";
    return 0;
  }
  InstallSignalHandlers();
  return is_agent ? RunAgent(ValueOf(settings))
                  : RunBalancer(ValueOf(settings));
}

int Main(int argc, char** argv) {
  CLI::App app{"A layer-4 load balancer", "medlarwinchd"};
  app.require_subcommand(1);
  Arguments arguments;
  AddRoleCommand(app, "balancer",
                 "Forwards the packets that arrive at an entry VM", arguments);
  const CLI::App* agent = AddRoleCommand(
      app, "agent", "Accepts flows and forwards their requests to the upstream",
      arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    app.exit(error);
    std::cerr << app.help();
    return kExitUsage;
  }
  return RunRole(arguments, agent->parsed());
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) { return medlarwinch::Main(argc, argv); }
