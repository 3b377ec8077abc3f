#include "medlarwinch/standins/process_main.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace medlarwinch {
namespace {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockTerminationSignals() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForTermination() {
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

std::string ParseSettingsArgument(int argc, char** argv) {
  if (argc == 3 && std::strcmp(argv[1], "--settings") == 0) return argv[2];
  std::cerr << "usage: " << argv[0] << " --settings FILE\n";
  return "";
}

}  // namespace medlarwinch
