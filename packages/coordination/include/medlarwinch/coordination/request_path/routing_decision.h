#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "medlarwinch/coordination/request_path/routing_table.h"
#include "medlarwinch/state/flow_identifier.h"

namespace medlarwinch {

/// Why a packet is dropped instead of forwarded.
enum class DropReason : uint8_t {
  kMalformedPacket = 0,
  kUnknownServiceAddress = 1,
  /// Several documents claim the address.
  kContestedServiceAddress = 2,
  /// A valid identifier names an agent that the member table assigns to another
  /// service.
  kAgentOfOtherService = 3,
  /// No upstream accepts new flows or may own an established one.
  kNoUpstream = 4,
};

inline constexpr size_t kDropReasons = 5;

/// Returns the name of `reason` in lower case, for metrics and log lines.
const char* DropReasonName(DropReason reason);

/// Forward the packet to the agent named by its identifier.
struct RouteToOwner {
  Endpoint agent;

  friend bool operator==(const RouteToOwner&, const RouteToOwner&) = default;
};

/// Forward the packet to candidates: it opens a flow, or its owner is not
/// known.
struct RouteToCandidates {
  CandidateList candidates;

  friend bool operator==(const RouteToCandidates&,
                         const RouteToCandidates&) = default;
};

struct DropPacket {
  DropReason reason = DropReason::kMalformedPacket;

  friend bool operator==(const DropPacket&, const DropPacket&) = default;
};

using RoutingDecision =
    std::variant<RouteToOwner, RouteToCandidates, DropPacket>;

/// Returns the service that owns `service_address`, or the reason why there is
/// none.
std::variant<ServiceIndex, DropReason> FindService(
    const RoutingTables& tables, const Endpoint& service_address);

/// Returns the key that ranks the candidates of a flow. It is derived from the
/// service, the caller's address and the identifier that the caller chose.
uint64_t FlowKey(const ServiceTable& table, const Endpoint& caller,
                 std::span<const uint8_t> caller_identifier);

/// Decides where a packet of the service is sent. `identifier` is the packet's
/// flow identifier if it was verified for this service. Does not allocate.
RoutingDecision DecideRoute(const RoutingTables& tables, ServiceIndex service,
                            const std::optional<FlowIdentifier>& identifier,
                            const Endpoint& caller,
                            std::span<const uint8_t> caller_identifier);

}  // namespace medlarwinch
