#pragma once

#include <iostream>
#include <memory>
#include <string>

#include "medlarwinch/protocol/yaml_reader.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {

/// Blocks SIGTERM and SIGINT in the calling thread and in threads it starts
/// later, so that WaitForTermination() receives them. Must be called first in
/// main.
void BlockTerminationSignals();

/// Blocks until SIGTERM or SIGINT arrives.
void WaitForTermination();

/// Returns the value of `--settings FILE` on the command line. Prints a usage
/// message and returns an empty string if it is missing.
std::string ParseSettingsArgument(int argc, char** argv);

/// Runs a stand-in until SIGTERM or SIGINT: reads and parses the `--settings`
/// file, starts the server and calls `stop` after the signal. Returns the exit
/// code: 2 for an invalid command line or settings, 1 if the server cannot
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
