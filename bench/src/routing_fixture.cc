#include "medlarwinch/bench/routing_fixture.h"

#include "medlarwinch/coordination/shared/rendezvous.h"
#include "medlarwinch/protocol/packet_header.h"

namespace medlarwinch {
namespace {

constexpr uint16_t kControlPort = 7'100;
constexpr uint16_t kDataPort = 7'200;
constexpr uint16_t kServicePort = 443;
constexpr uint32_t kFirstAgentIp = 0x0a000001;
constexpr uint32_t kFirstServiceIp = 0xc0000001;
constexpr uint32_t kFirstCallerIp = 0xac100001;
constexpr uint32_t kSlots = 4;
constexpr TimePoint kNow{1'000'000};

std::string ServiceName(uint32_t index) {
  return "service-" + std::to_string(index);
}

Bytes MakeIdentifier(uint64_t number, size_t size) {
  Bytes identifier;
  uint64_t hash = 0;
  for (size_t index = 0; index < size; ++index) {
    if (index % 8 == 0) hash = HashKeyWithNode(number + index, Endpoint{});
    identifier.push_back(static_cast<uint8_t>(hash >> (8 * (index % 8))));
  }
  return identifier;
}

}  // namespace

RoutingFixture::RoutingFixture(uint32_t services, uint32_t upstreams)
    : service_count_(services), keys_(FleetKey{1}, KeyRing{}) {
  for (uint32_t service = 0; service < services; ++service) {
    ServiceDocument document;
    document.service = ServiceName(service);
    document.addresses = {Endpoint{kFirstServiceIp + service, kServicePort}};
    documents_.push_back(document);
    for (uint32_t index = 0; index < upstreams; ++index) {
      MemberEntry member;
      const uint32_t ip = kFirstAgentIp + service * upstreams + index;
      member.id = Endpoint{ip, kControlPort};
      member.version.phase = MemberPhase::kReady;
      member.service = document.service;
      member.slots = kSlots;
      member.data = Endpoint{ip, kDataPort};
      members_[member.id] = member;
    }
  }
  Rebuild();
}

void RoutingFixture::Rebuild() {
  RoutingInput input{members_, doubtful_, ready_since_, {}, means_};
  for (const ServiceDocument& document : documents_) {
    input.documents.push_back(RoutedDocument{1, &document});
  }
  tables_ = BuildRoutingTables(input, tables_, kNow).tables;
}

void RoutingFixture::WithdrawOneUpstreamPerService() {
  std::set<std::string> withdrawn_services;
  for (auto& [id, member] : members_) {
    if (withdrawn_services.insert(member.service).second) {
      member.version.phase = MemberPhase::kFailed;
    }
  }
  Rebuild();
}

void RoutingFixture::PutAllInSlowStart() {
  int64_t age = 0;
  for (const auto& [id, member] : members_) {
    ready_since_[id] = kNow - Millis{age};
    age = (age + 500) % documents_[0].slow_start.window.value;
  }
  Rebuild();
}

FabricPacket RoutingFixture::OpenPacket(uint64_t number) const {
  const uint32_t service = static_cast<uint32_t>(number % service_count_);
  FabricPacket packet;
  packet.service_address = Endpoint{kFirstServiceIp + service, kServicePort};
  packet.caller =
      Endpoint{kFirstCallerIp + static_cast<uint32_t>(number), 5'000};
  AppendLongHeader(
      kThinProtocolVersion, MakeIdentifier(number, kFlowIdentifierBytes),
      MakeIdentifier(number + 1, kCallerIdentifierBytes), packet.payload);
  return packet;
}

FabricPacket RoutingFixture::EstablishedPacket(uint64_t number,
                                               size_t payload) const {
  const uint32_t service = static_cast<uint32_t>(number % service_count_);
  const ServiceTable& table = tables_.services[service];
  FlowIdentifier identifier;
  identifier.agent = table.upstreams[number % table.upstreams.size()].agent;
  identifier.flow_number = static_cast<uint32_t>(number);
  FabricPacket packet;
  packet.service_address = documents_[service].addresses.front();
  packet.caller =
      Endpoint{kFirstCallerIp + static_cast<uint32_t>(number), 5'000};
  AppendShortHeader(IssueFlowIdentifier(keys_, table.service, identifier),
                    packet.payload);
  packet.payload.resize(packet.payload.size() + payload, 7);
  return packet;
}

}  // namespace medlarwinch
