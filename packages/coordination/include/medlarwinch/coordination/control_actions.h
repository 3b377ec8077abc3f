#pragma once

#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Interval at which the decisions of a daemon's control state are driven.
inline constexpr Millis kControlTick{250};
/// A tick later than this after its time means that the process was paused.
inline constexpr Millis kLateTick{1'000};
inline constexpr Millis kHeartbeatInterval{1'000};
/// First and longest pause between attempts to reach a first peer.
inline constexpr Millis kJoinPause{500};
inline constexpr Millis kMaxJoinPause{8'000};
/// Time after which an unanswered fetch may be repeated.
inline constexpr Millis kFetchTimeout{3'000};

/// A control message to send.
struct OutgoingMessage {
  Endpoint to;
  ControlMessage message;
};

/// Records or members to fetch from another daemon.
struct OutgoingFetch {
  Endpoint to;
  FetchRequest request;
};

/// A decision: always logged, and recorded in the account when this process is
/// the one that answers for it.
struct Decision {
  AccountEntry entry;
  bool is_accounted = true;
};

/// What a step of the control state asks its shell to do.
struct ControlActions {
  std::vector<OutgoingMessage> messages;
  std::vector<OutgoingFetch> fetches;
  std::vector<Decision> decisions;
  /// True when readers need a new view.
  bool view_changed = false;
  /// True when a mean changed; a new view may wait for it.
  bool means_changed = false;
};

/// A record that was read from the platform or a peer, with the result of its
/// parsing.
struct OfferedRecord {
  Record record;
  /// Set when the text is invalid.
  std::optional<Error> error;
  /// Set for a valid service document.
  std::optional<HealthPolicy> health;
  /// Where the record came from.
  std::string source;
  /// True when this process read it from the platform.
  bool is_from_platform = false;
};

}  // namespace medlarwinch
