#include <memory>
#include <optional>

#include "medlarwinch/cli/apply_command.h"
#include "medlarwinch/cli/command_registry.h"
#include "medlarwinch/cli/drain_command.h"
#include "medlarwinch/cli/get_command.h"
#include "medlarwinch/cli/history_command.h"
#include "medlarwinch/cli/validate_command.h"

namespace medlarwinch {
namespace {

// Option values of one command.
struct DocumentArguments {
  std::string file;
  std::string service;
  std::string upstream;
  std::optional<uint64_t> if_version;
  size_t count = 10;
  bool is_undrain = false;
};
using ArgumentsPtr = std::shared_ptr<DocumentArguments>;

void AddValidate(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<DocumentArguments>();
  CLI::App* command =
      app.add_subcommand("validate", "Validate a document locally");
  command->add_option("FILE", arguments->file, "Document to validate")
      ->required();
  command->footer(
      "Example:\n  medlarwinch validate docs/examples/probe-hub.yaml");
  command->callback([arguments, &selected] {
    selected = {"validate", false, [arguments](const CommandContext&) {
                  return ToOutput(RunValidate(arguments->file));
                }};
  });
}

void AddApply(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<DocumentArguments>();
  CLI::App* command = app.add_subcommand(
      "apply", "Apply a document unless it was changed concurrently");
  command->add_option("FILE", arguments->file, "Document to apply")->required();
  command->add_option(
      "--if-version", arguments->if_version,
      "Version that the change is based on; 0: there is no document yet. "
      "Default: the version in the header line that `get` prints, or else the "
      "current one");
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 --admin 127.0.1.1:7300 \\\n"
      "    apply docs/examples/probe-hub.yaml --if-version 12");
  command->callback([arguments, &selected] {
    selected = {"apply", true, [arguments](const CommandContext& context) {
                  return ToOutput(RunApply(context, arguments->file,
                                           arguments->if_version));
                }};
  });
}

void AddGet(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<DocumentArguments>();
  CLI::App* command =
      app.add_subcommand("get", "Print the document of a service");
  command->add_option("SERVICE", arguments->service, "Name of the service")
      ->required();
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 get probe-hub > probe-hub.yaml");
  command->callback([arguments, &selected] {
    selected = {"get", true, [arguments](const CommandContext& context) {
                  return ToOutput(RunGet(context, arguments->service));
                }};
  });
}

void AddHistory(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<DocumentArguments>();
  CLI::App* command = app.add_subcommand(
      "history", "Print the last versions of a document, newest first");
  command->add_option("SERVICE", arguments->service, "Name of the service")
      ->required();
  command
      ->add_option("--count", arguments->count, "Number of versions to print")
      ->capture_default_str();
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 history probe-hub --count 3");
  command->callback([arguments, &selected] {
    selected = {"history", true, [arguments](const CommandContext& context) {
                  return ToOutput(RunHistory(context, arguments->service,
                                             arguments->count));
                }};
  });
}

// Runs RunDrain() with the upstream's address parsed.
Result<CommandOutput> Drain(const CommandContext& context,
                            const DocumentArguments& arguments) {
  const Result<Endpoint> upstream = ParseEndpoint(arguments.upstream);
  if (!IsOk(upstream)) return ErrorOf(upstream);
  return ToOutput(RunDrain(context, arguments.service, ValueOf(upstream),
                           arguments.is_undrain));
}

std::string CheckEndpoint(const std::string& text) {
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  return IsOk(endpoint) ? "" : ErrorOf(endpoint).message;
}

void AddDrain(CLI::App& app, SelectedCommand& selected) {
  const ArgumentsPtr arguments = std::make_shared<DocumentArguments>();
  CLI::App* command = app.add_subcommand(
      "drain", "Drain an upstream: add it to drain.upstreams of a document");
  command->add_option("SERVICE", arguments->service, "Name of the service")
      ->required();
  command
      ->add_option("UPSTREAM", arguments->upstream,
                   "Listener of the upstream, IPv4:port")
      ->required()
      ->check(CheckEndpoint);
  command->add_flag("--return", arguments->is_undrain,
                    "Remove the upstream from the list instead");
  command->footer(
      "Example:\n"
      "  medlarwinch --platform 127.0.9.1:8080 --admin 127.0.1.1:7300 \\\n"
      "    drain probe-hub 127.0.2.1:9000");
  command->callback([arguments, &selected] {
    selected = {"drain", true, [arguments](const CommandContext& context) {
                  return Drain(context, *arguments);
                }};
  });
}

}  // namespace

void AddDocumentCommands(CLI::App& app, SelectedCommand& selected) {
  AddValidate(app, selected);
  AddApply(app, selected);
  AddGet(app, selected);
  AddHistory(app, selected);
  AddDrain(app, selected);
}

}  // namespace medlarwinch
