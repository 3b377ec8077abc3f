#include "medlarwinch/daemon/packet_router.h"

#include <boost/test/unit_test.hpp>

#include "seeded_property.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kServiceCount = 3;
constexpr uint32_t kAddressCount = 8;

std::string ServiceName(uint32_t index) {
  return "service-" + std::to_string(index);
}
Endpoint DataAddress(uint32_t index) {
  return Endpoint{0x7f000101 + index, 7'200};
}
Endpoint ServiceAddress(uint32_t index) {
  return Endpoint{0x0a000001 + index, 443};
}

// Random members of three services that share a few data addresses, so that
// addresses are reused, and two successive tables made from them.
struct RandomTables {
  RandomTables() {
    for (uint32_t index = 0; index < kServiceCount; ++index) {
      documents[index].service = ServiceName(index);
      documents[index].addresses = {ServiceAddress(index)};
      documents[index].balance.candidates = *rc::gen::inRange<uint32_t>(1, 6);
    }
    AddMembers();
    tables = Build(RoutingTables{});
    AddMembers();
    tables = Build(tables);
  }

  void AddMembers() {
    const uint32_t count = *rc::gen::inRange<uint32_t>(0, 10);
    for (uint32_t index = 0; index < count; ++index) {
      MemberEntry member;
      member.id = Endpoint{*rc::gen::inRange<uint32_t>(1, 12), 7'100};
      member.version.boot = *rc::gen::inRange(1, 4);
      member.version.phase = static_cast<MemberPhase>(*rc::gen::inRange(0, 5));
      member.service =
          ServiceName(*rc::gen::inRange<uint32_t>(0, kServiceCount + 1));
      member.slots = *rc::gen::inRange<uint32_t>(1, 5);
      member.data = DataAddress(*rc::gen::inRange<uint32_t>(0, kAddressCount));
      members[member.id] = member;
    }
  }

  RoutingTables Build(const RoutingTables& last) {
    RoutingInput input{members, {}, {}, {}, {}};
    for (const ServiceDocument& document : documents) {
      input.documents.push_back(RoutedDocument{1, &document});
    }
    return BuildRoutingTables(input, last, TimePoint{0}).tables;
  }

  // Returns true if a live member at `agent` belongs to a service other than
  // `service`, or if only members of other services are at that address.
  bool BelongsToOtherService(const Endpoint& agent,
                             const std::string& service) const {
    bool has_own = false;
    bool has_other = false;
    for (const auto& [id, member] : members) {
      if (member.data != agent) continue;
      const bool is_live = member.version.phase < MemberPhase::kLeft;
      if (member.service == service) has_own = true;
      if (member.service != service) {
        has_other = true;
        if (is_live) return true;
      }
    }
    return has_other && !has_own;
  }

  std::array<ServiceDocument, kServiceCount> documents;
  std::map<Endpoint, MemberEntry> members;
  RoutingTables tables;
};

// Returns a packet with a valid, corrupted, foreign or random identifier.
Bytes MakePacket(const KeySet& keys) {
  const KeySet foreign_keys(FleetKey{9}, KeyRing{});
  FlowIdentifier identifier;
  identifier.agent =
      DataAddress(*rc::gen::inRange<uint32_t>(0, kAddressCount + 1));
  const bool is_foreign = *rc::gen::arbitrary<bool>();
  FlowIdentifierBytes destination = IssueFlowIdentifier(
      is_foreign ? foreign_keys : keys,
      ServiceName(*rc::gen::inRange<uint32_t>(0, kServiceCount)), identifier);
  if (*rc::gen::arbitrary<bool>()) {
    destination[*rc::gen::inRange<size_t>(0, destination.size())] ^=
        *rc::gen::arbitrary<uint8_t>();
  }
  Bytes packet;
  if (*rc::gen::arbitrary<bool>()) {
    AppendShortHeader(destination, packet);
  } else {
    AppendLongHeader(kThinProtocolVersion, destination, Bytes(8, 1), packet);
  }
  if (*rc::gen::inRange(0, 5) == 0) {
    packet.resize(*rc::gen::inRange<size_t>(0, packet.size()));
  }
  return packet;
}

std::vector<Endpoint> AgentsOf(const RoutingDecision& decision) {
  if (const RouteToOwner* owner = std::get_if<RouteToOwner>(&decision)) {
    return {owner->agent};
  }
  if (const RouteToCandidates* route =
          std::get_if<RouteToCandidates>(&decision)) {
    const CandidateList& list = route->candidates;
    return std::vector<Endpoint>(list.agents.begin(),
                                 list.agents.begin() + list.size);
  }
  return {};
}

BOOST_AUTO_TEST_SUITE(PacketRouterOverRandomTables)

// Guards against a packet of one service that reaches an agent of another,
// through the table, a reused address or the identifier.
BOOST_AUTO_TEST_CASE(AnyIdentifier_Routed_NeverReachesOtherService) {
  const KeySet keys(FleetKey{1}, KeyRing{});
  CheckSeeded(
      [&keys] {
        const RandomTables random;
        for (int index = 0; index < 20; ++index) {
          const uint32_t service =
              *rc::gen::inRange<uint32_t>(0, kServiceCount);
          const Bytes packet = MakePacket(keys);
          const RoutedPacket routed =
              RouteFabricPacket(random.tables, keys, ServiceAddress(service),
                                Endpoint{1, 2}, packet);
          for (const Endpoint& agent : AgentsOf(routed.decision)) {
            RC_ASSERT(
                !random.BelongsToOtherService(agent, ServiceName(service)));
          }
        }
      },
      1'000);
}

// Guards against a balancer that knows the documents but no member yet and
// therefore can't route established flows.
BOOST_AUTO_TEST_CASE(NoMembers_ValidIdentifier_RoutesToNamedAgent) {
  const KeySet keys(FleetKey{1}, KeyRing{});
  ServiceDocument document;
  document.service = ServiceName(0);
  document.addresses = {ServiceAddress(0)};
  const RoutingInput input{{}, {}, {}, {RoutedDocument{1, &document}}, {}};
  const RoutingTables tables =
      BuildRoutingTables(input, RoutingTables{}, TimePoint{0}).tables;
  FlowIdentifier identifier;
  identifier.agent = DataAddress(3);
  Bytes packet;
  AppendShortHeader(IssueFlowIdentifier(keys, ServiceName(0), identifier),
                    packet);
  const RoutedPacket routed = RouteFabricPacket(tables, keys, ServiceAddress(0),
                                                Endpoint{1, 2}, packet);
  BOOST_CHECK(routed.decision == RoutingDecision(RouteToOwner{DataAddress(3)}));
  const RoutedPacket unknown = RouteFabricPacket(
      tables, keys, ServiceAddress(1), Endpoint{1, 2}, packet);
  BOOST_CHECK(unknown.decision ==
              RoutingDecision(DropPacket{DropReason::kUnknownServiceAddress}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
