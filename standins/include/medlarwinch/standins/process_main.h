#pragma once

#include <iostream>
#include <memory>
#include <string>

#include "medlarwinch/protocol/yaml_reader.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts, so that
/// WaitForTermination() receives them. Call it first in main.
void BlockTerminationSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForTermination();

/// Returns the value of `--settings FILE` on the command line, or an empty
/// text after a message on standard error.
std::string ParseSettingsArgument(int argc, char** argv);

/// Runs a stand-in until SIGTERM or SIGINT: reads the file of `--settings`,
/// parses it, starts the server and, after the signal, calls `stop`. Returns
/// the exit code: 2 for a wrong command line or settings, 1 when it can't
/// start.
template <typename Settings, typename Server>
int RunStandin(
    int argc, char** argv,
    Result<Settings> (*parse)(const std::string& file, const std::string& text),
    Result<std::unique_ptr<Server>> (*start)(const Settings&),
    void (*stop)(Server&) = [](Server&) {}) {
  BlockTerminationSignals();
  const std::string file = ParseSettingsArgument(argc, argv);
  if (file.empty()) return 2;
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) {
    std::cerr << ErrorOf(text).message << "\n";
    return 2;
  }
  const Result<Settings> settings = parse(file, ValueOf(text));
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return 2;
  }
  const Result<std::unique_ptr<Server>> server = start(ValueOf(settings));
  if (!IsOk(server)) {
    std::cerr << ErrorOf(server).message << "\n";
    return 1;
  }
  WaitForTermination();
  stop(*ValueOf(server));
  return 0;
}

}  // namespace medlarwinch
