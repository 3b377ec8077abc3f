#pragma once

#include <atomic>

#include "medlarwinch/daemon/settings.h"

namespace medlarwinch {

/// Number of termination signals that the process has received. Set by the
/// signal handler in main; the roles poll it.
extern std::atomic<int> g_termination_signals;

/// Runs a balancer until a termination signal; returns the exit code.
int RunBalancer(const Settings& settings);

/// Runs an agent until a termination signal and the end of its drain; returns
/// the exit code.
int RunAgent(const Settings& settings);

}  // namespace medlarwinch
