#include "medlarwinch/protocol/relay_messages.h"

namespace medlarwinch {

template <typename Archive>
void serialize(Archive& archive, ServiceId& service) {
  archive(service.value);
}

template <typename Archive>
void serialize(Archive& archive, FlowTuple& flow) {
  archive(flow.caller, flow.service_address);
}

template <typename Archive>
void serialize(Archive& archive, RelayHeader& header) {
  archive(Checked(header.purpose, RelayPurpose::kProbe), header.balancer,
          Bounded(header.allowed, kMaxRelayServices),
          Bounded(header.alternates, kMaxRelayAlternates), header.hops);
}

template <typename Archive>
void serialize(Archive& archive, AgentReport& report) {
  archive(report.service, report.agent_boot, report.sequence,
          Checked(report.phase, UpstreamPhase::kAgentRestarting), report.slots,
          report.flows, report.busy, report.outstanding, report.is_cold);
}

template <typename Archive>
void serialize(Archive& archive, RelayedPacket& message) {
  archive(message.header, Bounded(message.packet, kMaxFlowPacketBytes));
}

template <typename Archive>
void serialize(Archive& archive, FlowQuestion& question) {
  archive(question.flow, question.acknowledged,
          Bounded(question.allowed, kMaxRelayServices));
}

template <typename Archive>
void serialize(Archive& archive, FlowAnswer& message) {
  archive(message.flow, Checked(message.ownership, FlowOwnership::kUnsure),
          Bounded(message.packet, kMaxFlowPacketBytes));
}

template <typename Archive>
void serialize(Archive& archive, AgentPoll& message) {
  archive(message.is_listed, message.configuration_revision);
}

template <typename Archive>
void serialize(Archive& archive, AgentStatus& message) {
  archive(message.report, message.configuration_revision);
}

void EncodeRelayMessage(const RelayMessage& message, Bytes& bytes) {
  bytes.clear();
  EncodeTo(message, bytes);
}

Result<RelayMessage> DecodeRelayMessage(ByteView bytes) {
  return Decode<RelayMessage>(bytes);
}

}  // namespace medlarwinch
