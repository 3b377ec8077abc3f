// Writes the seed files of the targets with binary input: a packet of each kind
// and an encoding of each relay message, with default and with other values.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/protocol/relay_messages.h"

namespace medlarwinch {
namespace {

void WriteSeed(const std::string& folder, const std::string& name,
               const Bytes& bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream file(folder + "/" + name, std::ios::binary);
  file.write(reinterpret_cast<const char*>(bytes.data()),
             static_cast<std::streamsize>(bytes.size()));
}

void WritePackets(const std::string& folder) {
  FlowPacket packet;
  packet.source = Endpoint{0x64400009, 1'030};
  packet.destination = Endpoint{0xc6120003, 8'443};
  packet.sequence = 1'000;
  packet.is_syn = true;
  WriteSeed(folder, "opening", EncodePacket(packet, ""));
  packet.is_syn = false;
  packet.is_ack = true;
  packet.acknowledged = 5'000;
  const Bytes data = EncodePacket(packet, "GET ");
  WriteSeed(folder, "data", data);
  WriteSeed(
      folder, "largest",
      EncodePacket(packet, std::string(platform::kMaxPacketDataBytes, 'x')));
  WriteSeed(folder, "oversized",
            EncodePacket(packet,
                         std::string(platform::kMaxPacketDataBytes + 1, 'x')));
  Bytes bounced = data;
  constexpr size_t kFlagsOffset = 26;
  constexpr uint8_t kBouncedFlag = 32;
  bounced[kFlagsOffset] |= kBouncedFlag;
  WriteSeed(folder, "bounced", bounced);
  WriteSeed(folder, "reset",
            platform::MakeReset(FlowFromCaller(packet), 1'000));
}

template <size_t... kIndices>
std::vector<RelayMessage> DefaultMessages(
    std::index_sequence<kIndices...> /*indices*/) {
  return {RelayMessage(std::in_place_index<kIndices>)...};
}

std::vector<RelayMessage> FilledMessages() {
  RelayHeader header;
  header.purpose = RelayPurpose::kEstablished;
  header.balancer = Endpoint{1, 2};
  header.allowed = {MakeServiceId("probe-hub"), MakeServiceId("report-desk")};
  header.alternates = {{1, 2}, {3, 4}};
  const FlowTuple flow{{1, 2}, {3, 4}};
  const OpeningContext context{
      TimePoint{5'000}, 1,
      RouteTerms{RequestKind::kUpload, 2, Millis{800}, Millis{4'000}}};
  const EvacuationView evacuations{true, {1, 40}, {"catania", "ragusa"}};
  const AgentPoll poll{true, 12};
  const BalancerTerms terms{
      evacuations, {20, Millis{2'000}}, 10'000, 3, {{{3, 4}, 50, 4'000}}};
  AgentStatus status;
  status.report.phase = UpstreamPhase::kDraining;
  status.report.mean_outstanding = 2.5;
  const AgentLoad load{47.5, 0.25, 10, {{{3, 4}, 9, 50, 4}}};
  return {RelayedPacket{header, Bytes(40, 7)},
          OwnershipQuery{flow, 9, header.allowed},
          FlowOwnershipReply{flow, FlowOwnership::kUndetermined, Bytes(36, 1)},
          OwnershipBatchQuery{header.allowed, {{flow, 9}, {flow, 10}}},
          OwnershipBatchReply{{{flow, FlowOwnership::kOwned}}},
          ExtendedPoll{poll, terms},
          ExtendedStatus{status, evacuations, load},
          RelayedOpening{header, context, Bytes(36, 7)},
          OpeningRefused{flow, context},
          OpeningDeclined{flow, 2}};
}

void WriteMessages(const std::string& folder) {
  Bytes bytes;
  for (const RelayMessage& message : DefaultMessages(
           std::make_index_sequence<std::variant_size_v<RelayMessage>>())) {
    EncodeRelayMessage(message, bytes);
    WriteSeed(folder, "default-" + std::to_string(message.index()), bytes);
  }
  for (const RelayMessage& message : FilledMessages()) {
    EncodeRelayMessage(message, bytes);
    WriteSeed(folder, "filled-" + std::to_string(message.index()), bytes);
  }
}

}  // namespace
}  // namespace medlarwinch

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: fuzz_seed_writer CORPUS_FOLDER\n";
    return 2;
  }
  const std::string corpus = argv[1];
  medlarwinch::WritePackets(corpus + "/packet_head");
  medlarwinch::WriteMessages(corpus + "/relay_message");
  return 0;
}
