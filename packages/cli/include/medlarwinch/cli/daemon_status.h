#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/cli/command_context.h"
#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// A member as reported by one daemon.
struct ObservedMember {
  MemberEntry entry;
  /// True when the member appears lost but its withdrawal was refused.
  bool is_doubtful = false;

  friend bool operator==(const ObservedMember&,
                         const ObservedMember&) = default;
};

/// Parsed response of a daemon to GET /status.
struct DaemonStatus {
  Endpoint admin;
  /// Why the request failed; empty on success.
  std::string error;
  /// Control address of the daemon.
  std::string id;
  std::string phase;
  /// Set for an agent.
  std::string service;
  /// Versions of the documents in force, by service.
  std::map<std::string, uint64_t> documents;
  uint64_t key_ring_version = 0;
  /// Time since the platform last responded to this daemon; nullopt when it
  /// never did, or for an agent that has not called it.
  std::optional<Millis> platform_age;
  std::vector<ObservedMember> members;
  /// Mean flows per slot by service.
  std::map<std::string, double> flows_per_slot;
  /// What triggered the drain of an agent; empty when it is not draining.
  std::string drain_trigger;
  Millis drain_elapsed;
  /// Top-level numeric fields of the response, such as "flows".
  std::map<std::string, double> numeric_fields;

  friend bool operator==(const DaemonStatus&, const DaemonStatus&) = default;
};

/// Parses the JSON text of /status. Missing fields keep their defaults. Fails
/// with kInvalidInput when the text is not a JSON object.
Result<DaemonStatus> ParseDaemonStatus(const Endpoint& admin,
                                       const std::string& json);

/// Returns the admin addresses of the context. Without any, and with an admin
/// port, returns that port at the addresses of the balancers listed in the
/// objects "bootstrap/DOMAIN". Fails with the errors of PlatformClient::List().
Result<std::vector<Endpoint>> FindAdminAddresses(const CommandContext& context);

/// Requests the status of the daemons at `addresses`, one after the other.
std::vector<DaemonStatus> FetchStatuses(const std::vector<Endpoint>& addresses);

/// Returns the newest entry of each member over all daemons. A member that any
/// daemon reports as doubtful is doubtful in the result.
std::vector<ObservedMember> MergeMembers(
    const std::vector<DaemonStatus>& statuses);

}  // namespace medlarwinch
