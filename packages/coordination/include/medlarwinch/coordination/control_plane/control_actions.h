#pragma once

#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Interval between calls of TickBalancer() and TickAgent().
inline constexpr Millis kControlTickInterval{250};
/// A tick that is late by more than this means that the process was paused.
inline constexpr Millis kPauseThreshold{1'000};
inline constexpr Millis kHeartbeatInterval{1'000};
/// Initial and maximum delay between attempts to reach a seed.
inline constexpr Millis kInitialJoinDelay{500};
inline constexpr Millis kMaxJoinDelay{8'000};
/// Time after which an unanswered fetch may be sent again.
inline constexpr Millis kFetchTimeout{3'000};

/// A control message to send.
struct OutgoingMessage {
  Endpoint to;
  ControlMessage message;
};

/// A request for records or members of another daemon.
struct OutgoingFetch {
  Endpoint to;
  FetchRequest request;
};

/// A decision. It is always logged, and also recorded in the account when this
/// process is responsible for recording it.
struct Decision {
  AccountEntry entry;
  bool is_accounted = true;
};

/// Side effects that a step of the control state requests from its caller.
struct ControlActions {
  std::vector<OutgoingMessage> messages;
  std::vector<OutgoingFetch> fetches;
  std::vector<Decision> decisions;
  /// True when a new view must be published to readers.
  bool view_changed = false;
  /// True when a mean changed. This alone does not require a new view at once.
  bool means_changed = false;
};

/// A record read from the platform or a peer, with the result of parsing it.
struct ReceivedRecord {
  Record record;
  /// Set when the text is invalid.
  std::optional<Error> error;
  /// Set for a valid service document.
  std::optional<HealthPolicy> health;
  /// Origin of the record, for logs and the account.
  std::string source;
  /// True when this process read it from the platform.
  bool is_from_platform = false;
};

}  // namespace medlarwinch
