#include "medlarwinch/daemon/packet_router.h"

#include <utility>

namespace medlarwinch {
namespace {

static_assert(kMaxRouteCandidates == kMaxCandidates,
              "a packet must have room for all candidates of a route");

}  // namespace

RoutedPacket RouteFabricPacket(const RoutingTables& tables, const KeySet& keys,
                               const Endpoint& service_address,
                               const Endpoint& caller, ByteView payload) {
  RoutedPacket routed;
  const std::variant<ServiceIndex, DropReason> service =
      FindService(tables, service_address);
  if (const DropReason* reason = std::get_if<DropReason>(&service)) {
    routed.decision = DropPacket{*reason};
    return routed;
  }
  routed.service = std::get<ServiceIndex>(service);
  const Result<PacketHeader> parsed = ParsePacketHeader(payload);
  if (!IsOk(parsed)) {
    routed.decision = DropPacket{DropReason::kMalformedPacket};
    return routed;
  }
  const PacketHeader& header = ValueOf(parsed);
  const std::optional<FlowIdentifier> identifier = VerifyFlowIdentifier(
      keys, tables.services[routed.service].service, header.destination);
  routed.kind =
      header.is_long ? PacketKind::kNew : PacketKind::kWithoutIdentifier;
  if (identifier.has_value()) routed.kind = PacketKind::kEstablished;
  routed.decision =
      DecideRoute(tables, routed.service, identifier, caller, header.source);
  return routed;
}

AddressedDatagram MakeForwardedDatagram(const RoutingTables& tables,
                                        const KeySet& keys,
                                        const RoutedPacket& routed,
                                        const Endpoint& fabric,
                                        FabricPacket packet) {
  const ServiceTable& table = tables.services[routed.service];
  ForwardedPacket forwarded;
  forwarded.service = table.service;
  forwarded.service_address = packet.service_address;
  forwarded.caller = packet.caller;
  forwarded.fabric_address = fabric;
  forwarded.mean_flows_per_slot = table.mean_flows_per_slot;
  forwarded.payload = std::move(packet.payload);
  Endpoint agent;
  if (const RouteToOwner* owner = std::get_if<RouteToOwner>(&routed.decision)) {
    agent = owner->agent;
  }
  if (const RouteToCandidates* route =
          std::get_if<RouteToCandidates>(&routed.decision)) {
    const CandidateList& list = route->candidates;
    forwarded.candidates.assign(list.agents.begin(),
                                list.agents.begin() + list.size);
    forwarded.accepting_candidates = static_cast<uint8_t>(list.accepting);
    agent = list.agents.front();
  }
  return AddressedDatagram{
      agent,
      EncodeDataMessage(keys.mac_key(), DataMessage(std::move(forwarded)))};
}

}  // namespace medlarwinch
