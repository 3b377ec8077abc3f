#include "medlarwinch/coordination/request_path/routing_decision.h"

#include <algorithm>
#include <array>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxKeyedIdentifierBytes = 20;
constexpr size_t kEndpointBytes = 6;

}  // namespace

const char* DropReasonName(DropReason reason) {
  switch (reason) {
    case DropReason::kMalformedPacket:
      return "malformed_packet";
    case DropReason::kUnknownServiceAddress:
      return "unknown_service_address";
    case DropReason::kContestedServiceAddress:
      return "contested_service_address";
    case DropReason::kAgentOfOtherService:
      return "agent_of_other_service";
    case DropReason::kNoUpstream:
      return "no_upstream";
  }
  return "unknown";
}

std::variant<ServiceIndex, DropReason> FindService(
    const RoutingTables& tables, const Endpoint& service_address) {
  const auto found = tables.service_by_address.find(service_address);
  if (found == tables.service_by_address.end()) {
    return DropReason::kUnknownServiceAddress;
  }
  if (found->second == kContestedAddress) {
    return DropReason::kContestedServiceAddress;
  }
  return found->second;
}

uint64_t FlowKey(const ServiceTable& table, const Endpoint& caller,
                 std::span<const uint8_t> caller_identifier) {
  std::array<char, kEndpointBytes + kMaxKeyedIdentifierBytes> bytes{};
  for (size_t index = 0; index < 4; ++index) {
    bytes[index] = static_cast<char>(caller.ip >> (24 - 8 * index));
  }
  bytes[4] = static_cast<char>(caller.port >> 8);
  bytes[5] = static_cast<char>(caller.port);
  const size_t size =
      std::min(caller_identifier.size(), kMaxKeyedIdentifierBytes);
  std::copy_n(caller_identifier.begin(), size, bytes.begin() + kEndpointBytes);
  return HashKey(std::string_view(bytes.data(), kEndpointBytes + size),
                 table.seed);
}

RoutingDecision DecideRoute(const RoutingTables& tables, ServiceIndex service,
                            const std::optional<FlowIdentifier>& identifier,
                            const Endpoint& caller,
                            std::span<const uint8_t> caller_identifier) {
  if (identifier.has_value()) {
    const auto owner = tables.service_by_agent.find(identifier->agent);
    // Packets are also sent to an agent that is not known yet: the tag proves
    // that it issued the identifier for this service.
    if (owner == tables.service_by_agent.end() || owner->second == service) {
      return RouteToOwner{identifier->agent};
    }
    return DropPacket{DropReason::kAgentOfOtherService};
  }
  const ServiceTable& table = tables.services[service];
  const uint64_t key = FlowKey(table, caller, caller_identifier);
  const CandidateList candidates = table.index->Choose(key, table.candidates);
  if (candidates.size == 0) return DropPacket{DropReason::kNoUpstream};
  return RouteToCandidates{candidates};
}

}  // namespace medlarwinch
