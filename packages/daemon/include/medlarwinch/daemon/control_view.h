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

/// A document in force.
struct VersionedDocument {
  uint64_t version = 0;
  ServiceDocument document;

  friend bool operator==(const VersionedDocument&,
                         const VersionedDocument&) = default;
};

/// What the control plane of a daemon knows at one moment. Readers get it as a
/// whole behind a shared pointer and never see it change.
struct ControlView {
  /// Grows with each published view.
  uint64_t sequence = 0;
  /// Own entry.
  MemberEntry self;
  /// All known members by control address, withdrawn ones included. An agent
  /// has none here; it uses `roster`.
  std::map<Endpoint, MemberEntry> members;
  /// Members that look lost but whose withdrawal was refused.
  std::set<Endpoint> doubtful;
  /// Time at which a member became ready, on this daemon's monotonic clock.
  std::map<Endpoint, TimePoint> ready_since;
  /// Documents in force by service; an agent has that of its service only.
  std::map<std::string, VersionedDocument> documents;
  std::shared_ptr<const KeySet> keys;
  uint64_t key_ring_version = 0;
  /// Mean flows per slot by service, where known.
  std::map<std::string, double> mean_flows_per_slot;
  /// Upstreams of the agent's own service, itself included; empty on a
  /// balancer.
  std::vector<RosterEntry> roster;
  /// Monotonic time of the last answer of the platform; negative before one.
  TimePoint last_platform_response{-1};
};

}  // namespace medlarwinch
