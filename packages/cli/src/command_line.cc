#include "medlarwinch/cli/command_line.h"

#include <sodium.h>

#include <algorithm>

#include "medlarwinch/cli/command_registry.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr const char* kFooter =
    "Exit codes: 0 success; 1 negative result, such as an invalid document;\n"
    "2 invalid command line; 3 conflict with a concurrent change; 4 the\n"
    "platform or a daemon did not answer.\n"
    "Example:\n"
    "  medlarwinch --platform 127.0.9.1:8080 get probe-hub";

// Values of the options that are common to all commands.
struct GlobalOptions {
  std::string platform;
  std::vector<std::string> admin;
  uint16_t admin_port = 0;
  std::string output = "text";
  std::string operator_name = "unknown";
  int64_t timeout_ms = 5'000;
};

std::string CheckEndpoint(const std::string& text) {
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  return IsOk(endpoint) ? "" : ErrorOf(endpoint).message;
}

void AddGlobalOptions(CLI::App& app, GlobalOptions& options) {
  app.add_option("--platform", options.platform,
                 "Address of the platform's object API, IPv4:port")
      ->envname("MEDLARWINCH_PLATFORM")
      ->check(CheckEndpoint);
  app.add_option("--admin", options.admin,
                 "Admin addresses of daemons, IPv4:port,...")
      ->delimiter(',')
      ->allow_extra_args(false)
      ->envname("MEDLARWINCH_ADMIN")
      ->check(CheckEndpoint);
  app.add_option("--admin-port", options.admin_port,
                 "Without --admin: query the balancers in the platform's "
                 "bootstrap lists at this port of their control address")
      ->check(CLI::Range(1, 65'535));
  app.add_option("--output", options.output, "Output format: text or json")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  app.add_option("--operator", options.operator_name,
                 "Name recorded in the history for a change")
      ->envname("USER")
      ->capture_default_str();
  app.add_option("--timeout-ms", options.timeout_ms,
                 "Time during which failed calls are retried, in ms")
      ->check(CLI::Range(1, 600'000))
      ->capture_default_str();
}

// The addresses were validated by the option checks.
CommandContext MakeContext(const GlobalOptions& options) {
  CommandContext context;
  const Result<Endpoint> platform = ParseEndpoint(options.platform);
  if (IsOk(platform)) context.platform = ValueOf(platform);
  for (const std::string& text : options.admin) {
    const Result<Endpoint> admin = ParseEndpoint(text);
    if (IsOk(admin)) context.admin.push_back(ValueOf(admin));
  }
  context.admin_port = options.admin_port;
  context.operator_name = options.operator_name;
  context.timeout = Millis{options.timeout_ms};
  context.now = WallNow();
  return context;
}

int PrintOutput(const Result<CommandOutput>& result, const std::string& command,
                bool is_json, std::ostream& out, std::ostream& err) {
  if (IsOk(result)) {
    const CommandOutput& output = ValueOf(result);
    if (is_json) {
      out << output.json.dump(2, ' ', false,
                              nlohmann::json::error_handler_t::replace)
          << "\n";
    } else {
      out << output.text;
    }
    return output.code;
  }
  const Error& error = ErrorOf(result);
  if (is_json) {
    const nlohmann::json json = {{"error",
                                  {{"command", command},
                                   {"code", ErrorCodeName(error.code)},
                                   {"message", error.message}}}};
    out << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
        << "\n";
  } else {
    err << "medlarwinch " << command << ": " << ErrorCodeName(error.code)
        << ": " << error.message << "\n";
  }
  return ExitCodeFor(error);
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err) {
  if (sodium_init() < 0) {
    err << "medlarwinch: cannot initialize libsodium\n";
    return kExitFailed;
  }
  CLI::App app{"Operates the medlarwinch load balancer", "medlarwinch"};
  GlobalOptions options;
  SelectedCommand selected;
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(kFooter);
  AddGlobalOptions(app, options);
  AddDocumentCommands(app, selected);
  AddSystemCommands(app, selected);
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(std::move(reversed));
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, out, err);
    return code == 0 ? kExitOk : kExitUsage;
  }
  if (selected.needs_platform && options.platform.empty()) {
    err << "medlarwinch " << selected.name
        << ": platform address missing; set --platform or "
           "MEDLARWINCH_PLATFORM\n";
    return kExitUsage;
  }
  return PrintOutput(selected.action(MakeContext(options)), selected.name,
                     options.output == "json", out, err);
}

}  // namespace medlarwinch
