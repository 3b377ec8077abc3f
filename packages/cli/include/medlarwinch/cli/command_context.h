#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// What all commands are given.
struct CommandContext {
  /// The platform's object API; port 0 when it was not given.
  Endpoint platform;
  /// Admin addresses of daemons.
  std::vector<Endpoint> admin;
  /// Admin port of the balancers that are found through the platform; 0 when
  /// they are not to be asked.
  uint16_t admin_port = 0;
  /// Name that the history shows for a change.
  std::string operator_name;
  /// Time in which failed calls are tried again.
  Millis timeout{5'000};
  /// Wall-clock time.
  TimePoint now;
};

/// Returns a client for the platform of the context.
PlatformClient MakePlatformClient(const CommandContext& context);

/// Returns an identifier that no other write has.
std::string NewOperationId(const CommandContext& context);

/// Returns the key of a service's document, "config/SERVICE".
std::string DocumentKey(const std::string& service);

}  // namespace medlarwinch
