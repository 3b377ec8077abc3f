#pragma once

#include <atomic>

#include "medlarwinch/daemon/settings.h"

namespace medlarwinch {

/// Number of termination signals received. Incremented by the signal handler in
/// main and polled by the balancer and the agent.
extern std::atomic<int> g_termination_signal_count;

/// Runs a balancer until a termination signal; returns the exit code.
int RunBalancer(const Settings& settings);

/// Runs an agent until it has received a termination signal or a drain request
/// and has completed its drain; returns the exit code.
int RunAgent(const Settings& settings);

}  // namespace medlarwinch
