#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// Settings that all commands share.
struct CommandContext {
  /// Address of the platform's object API; port 0 when not set.
  Endpoint platform;
  /// Admin addresses of daemons.
  std::vector<Endpoint> admin;
  /// Admin port of the balancers in the platform's bootstrap lists; 0 disables
  /// their discovery.
  uint16_t admin_port = 0;
  /// Name recorded in the history for a change.
  std::string operator_name;
  /// Time during which failed calls to the platform are retried; also the
  /// timeout of a metrics request.
  Millis timeout{5'000};
  /// Wall-clock time at which the command started.
  TimePoint now;
};

/// Returns a client for the platform at `context.platform`.
PlatformClient MakePlatformClient(const CommandContext& context);

/// Returns a unique identifier for a write to the platform.
std::string NewOperationId(const CommandContext& context);

/// Returns the object key of a service's document, "config/SERVICE".
std::string DocumentKey(const std::string& service);

}  // namespace medlarwinch
