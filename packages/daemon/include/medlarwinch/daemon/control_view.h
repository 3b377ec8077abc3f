#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/protocol/control_messages.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// An active document with its version.
struct VersionedDocument {
  uint64_t version = 0;
  ServiceDocument document;

  friend bool operator==(const VersionedDocument&,
                         const VersionedDocument&) = default;
};

/// Immutable snapshot of what a daemon's control plane knows. Readers share it
/// through a shared pointer.
struct ControlView {
  /// Increases with each published view.
  uint64_t sequence = 0;
  /// This daemon's own entry.
  MemberEntry self;
  /// All known members by control address, including withdrawn ones. Empty on
  /// an agent, which uses `roster` instead.
  std::map<Endpoint, MemberEntry> members;
  /// Members that appear to have failed but whose withdrawal was refused.
  std::set<Endpoint> doubtful;
  /// Time at which a member became ready, on this daemon's monotonic clock.
  std::map<Endpoint, TimePoint> ready_since;
  /// Active documents by service; an agent has only that of its own service.
  std::map<std::string, VersionedDocument> documents;
  std::shared_ptr<const KeySet> keys;
  uint64_t key_ring_version = 0;
  /// Mean flows per slot by service, where known.
  std::map<std::string, double> mean_flows_per_slot;
  /// Upstreams of the agent's own service, including its own; empty on a
  /// balancer.
  std::vector<RosterEntry> roster;
  /// Monotonic time of the platform's last response; negative before the first.
  TimePoint last_platform_response{-1};
};

}  // namespace medlarwinch
