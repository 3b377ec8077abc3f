#include <memory>

#include "medlarwinch/cli/command_registry.h"
#include "medlarwinch/cli/explain_command.h"
#include "medlarwinch/cli/log_explain.h"
#include "medlarwinch/cli/log_status.h"
#include "medlarwinch/cli/metrics_command.h"
#include "medlarwinch/cli/plot_command.h"
#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/cli/rotate_keys_command.h"
#include "medlarwinch/cli/status_command.h"

namespace medlarwinch {
namespace {

// Option values of one command.
struct SystemArguments {
  std::string subject;
  std::string service;
  std::string at;
  std::string since;
  std::string until;
  std::string last = "15m";
  std::string address;
  std::vector<std::string> files;
  std::vector<std::string> logs;
};
using ArgumentsPtr = std::shared_ptr<SystemArguments>;

// Time before and after `--at` that is searched; a decision and its causes are
// only seconds apart.
constexpr Millis kAtSearchMargin{60'000};

std::string CheckEndpoint(const std::string& text) {
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  return IsOk(endpoint) ? "" : ErrorOf(endpoint).message;
}

std::string CheckTime(const std::string& text) {
  const Result<TimePoint> time = ParseTime(text, TimePoint{0});
  return IsOk(time) ? "" : ErrorOf(time).message;
}

std::string CheckDuration(const std::string& text) {
  const Result<Millis> duration = ParseDuration(text);
  return IsOk(duration) ? "" : ErrorOf(duration).message;
}

// Returns `default_time` for an empty text; other texts were validated by the
// option checks.
TimePoint TimeOrDefault(const std::string& text, TimePoint now,
                        TimePoint default_time) {
  const Result<TimePoint> time = ParseTime(text, now);
  return IsOk(time) ? ValueOf(time) : default_time;
}

ExplainQuery MakeQuery(const SystemArguments& arguments, TimePoint now) {
  const Result<Millis> last = ParseDuration(arguments.last);
  const Millis duration = IsOk(last) ? ValueOf(last) : kAtSearchMargin;
  ExplainQuery query;
  query.subject = arguments.subject;
  query.service = arguments.service;
  query.until = TimeOrDefault(arguments.until, now, now);
  query.since = TimeOrDefault(arguments.since, now, query.until - duration);
  if (arguments.at.empty()) return query;
  const TimePoint at = TimeOrDefault(arguments.at, now, now);
  query.since = at - kAtSearchMargin;
  query.until = at + kAtSearchMargin;
  return query;
}

// Covers the whole time range of the logs unless the arguments limit it.
LogQuery MakeLogQuery(const SystemArguments& arguments,
                      const LogCollection& logs) {
  const TimePoint begin = logs.records.front().time;
  const TimePoint end = logs.records.back().time;
  LogQuery query{arguments.subject, TimeOrDefault(arguments.since, end, begin),
                 TimeOrDefault(arguments.until, end, end)};
  if (arguments.at.empty()) return query;
  const TimePoint at = TimeOrDefault(arguments.at, end, end);
  query.since = at - kAtSearchMargin;
  query.until = at + kAtSearchMargin;
  return query;
}

Result<CommandOutput> ExplainLogs(const SystemArguments& arguments) {
  const Result<LogCollection> logs = ReadLogs(arguments.logs);
  if (!IsOk(logs)) return ErrorOf(logs);
  const LogQuery query = MakeLogQuery(arguments, ValueOf(logs));
  return ToOutput<LogExplanation>(ExplainFromLogs(ValueOf(logs), query));
}

Result<CommandOutput> RunLogStatus(const SystemArguments& arguments) {
  const Result<LogCollection> logs = ReadLogs(arguments.logs);
  if (!IsOk(logs)) return ErrorOf(logs);
  const TimePoint end = ValueOf(logs).records.back().time;
  return ToOutput<LogStatus>(
      StatusFromLogs(ValueOf(logs), TimeOrDefault(arguments.until, end, end)));
}

Result<CommandOutput> Plot(const SystemArguments& arguments) {
  if (arguments.logs.empty()) return ToOutput(RunPlot(arguments.files));
  const Result<LogCollection> logs = ReadLogs(arguments.logs);
  if (!IsOk(logs)) return ErrorOf(logs);
  return ToOutput<PlotReport>(PlotFromLogs(ValueOf(logs)));
}

CLI::Option* AddLogsOption(CLI::App& command, const ArgumentsPtr& arguments) {
  return command.add_option(
      "--logs", arguments->logs,
      "Use collected log files, or directories of them, as the source");
}

void AddExplain(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<SystemArguments>();
  CLI::App* command = app.add_subcommand(
      "explain",
      "Show what the system did, when, why, and based on which document");
  command
      ->add_option("SUBJECT", arguments->subject,
                   "Service, address of an upstream or balancer, or identifier "
                   "of a flow or request; in logs a flow, its caller, an "
                   "upstream, an agent, a process, or KEY=VALUE")
      ->required();
  command->add_option("--service", arguments->service,
                      "Search only the account of this service");
  CLI::Option* at = command->add_option(
      "--at", arguments->at,
      "Time (UTC); searches one minute before and after it");
  at->check(CheckTime);
  command
      ->add_option("--since", arguments->since, "Start of the time range (UTC)")
      ->check(CheckTime)
      ->excludes(at);
  command
      ->add_option("--until", arguments->until, "End of the time range (UTC)")
      ->check(CheckTime)
      ->excludes(at);
  command
      ->add_option("--last", arguments->last,
                   "Length of the time range before --until, without --since")
      ->check(CheckDuration)
      ->excludes(at)
      ->capture_default_str();
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 explain 127.0.2.1:9000 \\\n"
      "    --since 2026-01-31T12:00:00Z --until 2026-01-31T12:05:00Z\n"
      "  medlarwinch explain '10.7.0.5:1040>198.18.0.1:443' --logs logs/");
  AddLogsOption(*command, arguments);
  command->callback([arguments, &selected] {
    const bool needs_platform = arguments->logs.empty();
    selected = {"explain", needs_platform,
                [arguments](const CommandContext& context) {
                  if (!arguments->logs.empty()) return ExplainLogs(*arguments);
                  return ToOutput(
                      RunExplain(context, MakeQuery(*arguments, context.now)));
                }};
  });
}

void AddStatus(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<SystemArguments>();
  CLI::App* command = app.add_subcommand(
      "status",
      "Print the state of the daemons and their view of the upstreams");
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 \\\n"
      "    --admin 127.0.1.1:7300,127.0.2.1:7300 status\n"
      "  medlarwinch status --logs logs/ --until 2026-01-31T12:05:00Z");
  CLI::Option* logs = AddLogsOption(*command, arguments);
  command
      ->add_option("--until", arguments->until,
                   "With --logs: print the state as of this time (UTC)")
      ->check(CheckTime)
      ->needs(logs);
  command->callback([arguments, &selected] {
    selected = {"status", false, [arguments](const CommandContext& context) {
                  if (!arguments->logs.empty()) return RunLogStatus(*arguments);
                  return ToOutput(RunStatus(context));
                }};
  });
}

Result<CommandOutput> FetchMetrics(const CommandContext& context,
                                   const std::string& address) {
  const Result<Endpoint> admin = ParseEndpoint(address);
  if (!IsOk(admin)) return ErrorOf(admin);
  return ToOutput(RunMetrics(context, ValueOf(admin)));
}

void AddMetrics(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<SystemArguments>();
  CLI::App* command =
      app.add_subcommand("metrics", "Print the metrics of one daemon");
  command->add_option("ADDRESS", arguments->address, "Admin address, IPv4:port")
      ->required()
      ->check(CheckEndpoint);
  command->footer("Example:\n  medlarwinch metrics 127.0.1.1:7300");
  command->callback([arguments, &selected] {
    selected = {"metrics", false, [arguments](const CommandContext& context) {
                  return FetchMetrics(context, arguments->address);
                }};
  });
}

void AddPlot(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<SystemArguments>();
  CLI::App* command = app.add_subcommand(
      "plot",
      "Plot flows by upstream and latency by tenant or, from logs, flow "
      "resets and drops by reason, as SVG");
  CLI::Option* files = command->add_option(
      "FILE", arguments->files, "Files with samples printed by `metrics`");
  AddLogsOption(*command, arguments)->excludes(files);
  command->footer(
      "Example:\n"
      "  for i in 1 2 3 4 5; do\n"
      "    medlarwinch metrics 127.0.2.1:7300 >> samples.txt; sleep 1\n"
      "  done\n"
      "  medlarwinch plot samples.txt > load.svg\n"
      "  medlarwinch plot --logs logs/ > day.svg");
  command->callback([arguments, &selected] {
    selected = {"plot", false, [arguments](const CommandContext&) {
                  return Plot(*arguments);
                }};
  });
}

void AddKeys(CLI::App& app, SelectedCommand& selected) {
  CLI::App* keys = app.add_subcommand("keys", "Manage the key ring");
  keys->require_subcommand(1);
  CLI::App* command = keys->add_subcommand(
      "rotate", "Add an epoch to keys/ring and make it the current one");
  command->footer(
      "Example:\n  medlarwinch --platform 127.0.9.1:8080 keys rotate");
  command->callback([&selected] {
    selected = {"keys rotate", true, [](const CommandContext& context) {
                  return ToOutput(RunRotateKeys(context));
                }};
  });
}

}  // namespace

void AddSystemCommands(CLI::App& app, SelectedCommand& selected) {
  AddStatus(app, selected);
  AddExplain(app, selected);
  AddMetrics(app, selected);
  AddPlot(app, selected);
  AddKeys(app, selected);
}

}  // namespace medlarwinch
