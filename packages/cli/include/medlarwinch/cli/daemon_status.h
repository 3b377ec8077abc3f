#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// A member as one daemon sees it.
struct ObservedMember {
  MemberEntry entry;
  /// True when it looks lost but its withdrawal was refused.
  bool is_doubtful = false;

  friend bool operator==(const ObservedMember&,
                         const ObservedMember&) = default;
};

/// What a daemon answered to GET /status.
struct DaemonStatus {
  Endpoint admin;
  /// Why there is no answer; empty when there is one.
  std::string error;
  /// Control address of the daemon.
  std::string id;
  std::string phase;
  /// Set for an agent.
  std::string service;
  /// Versions in force by service.
  std::map<std::string, uint64_t> documents;
  uint64_t key_ring_version = 0;
  /// Time since the platform last answered this daemon; nothing when it never
  /// did, or for an agent that has not asked.
  std::optional<Millis> platform_age;
  std::vector<ObservedMember> members;
  /// Mean flows per slot by service.
  std::map<std::string, double> mean_flows_per_slot;
  /// What began the drain of an agent; empty when it is not draining.
  std::string drain_trigger;
  Millis drain_elapsed;
  /// Numbers that the daemon gives of itself, such as "flows".
  std::map<std::string, double> numeric_fields;

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Reads the JSON text of /status. Fields that are missing keep their defaults.
/// Fails with kInvalidInput when it is no JSON object.
Result<DaemonStatus> ParseDaemonStatus(const Endpoint& admin,
                                       const std::string& json);

/// Returns the admin addresses of the context or, without any, those of the
/// balancers in the objects "bootstrap/DOMAIN" at the context's admin port.
/// Fails as PlatformClient::List().
Result<std::vector<Endpoint>> FindAdminAddresses(const CommandContext& context);

/// Asks the daemons at `addresses`, one after the other.
std::vector<DaemonStatus> FetchStatuses(const std::vector<Endpoint>& addresses);

/// Returns the newest entry of each member that any of the daemons knows.
std::vector<ObservedMember> MergeMembers(
    const std::vector<DaemonStatus>& statuses);

}  // namespace medlarwinch
