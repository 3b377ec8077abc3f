#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <variant>

#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/codec.h"
#include "medlarwinch/protocol/serialization.h"

namespace medlarwinch {

/// Maximum size of a relayed packet, in bytes: 1,200 bytes of data, a header,
/// and some headroom.
inline constexpr uint32_t kMaxFlowPacketBytes = 1'400;
/// Maximum size of a message between balancers and agents, in bytes.
inline constexpr uint32_t kMaxRelayMessageBytes = 1'700;

/// Balancer to agent, or agent to agent: a caller's packet.
struct RelayedPacket {
  RelayHeader header;
  Bytes packet;

  friend bool operator==(const RelayedPacket&, const RelayedPacket&) = default;
};

/// Agent to balancer: whether the agent's upstream owns the flow. `packet` is a
/// packet of the flow that is returned undelivered, or empty.
struct FlowOwnershipReply {
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;
  Bytes packet;

  friend bool operator==(const FlowOwnershipReply&,
                         const FlowOwnershipReply&) = default;
};

/// Agent to balancer: reply to an OwnershipBatchQuery.
struct OwnershipBatchReply {
  std::vector<ReportedOwnership> flows;

  friend bool operator==(const OwnershipBatchReply&,
                         const OwnershipBatchReply&) = default;
};

/// Balancer to agent: requests a status report.
struct AgentPoll {
  /// False if the store has no entry of the agent, which makes the agent write
  /// it again.
  bool is_listed = true;
  /// Version of the configuration that the balancer has applied.
  uint64_t configuration_version = 0;

  friend bool operator==(const AgentPoll&, const AgentPoll&) = default;
};

/// Agent to balancer: sent in reply to a poll, and unsolicited when the phase
/// changes.
struct AgentStatus {
  AgentReport report;
  /// Highest configuration version that the agent has received from any
  /// balancer. Lets a balancer detect that its store watch has stalled and that
  /// it is behind.
  uint64_t configuration_version = 0;

  friend bool operator==(const AgentStatus&, const AgentStatus&) = default;
};

/// Agent to balancer: how many balancers polled the agent within the last
/// second. Lets each balancer do its share of the work that one of them can do
/// for all.
struct BalancerCount {
  uint32_t balancers = 0;

  friend bool operator==(const BalancerCount&, const BalancerCount&) = default;
};

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
  archive(BoundedEnum(header.purpose, RelayPurpose::kProbe), header.balancer,
          Bounded(header.allowed, kMaxRelayServices),
          Bounded(header.alternates, kMaxRelayAlternates), header.hops);
}

template <typename Archive>
void serialize(Archive& archive, AgentReport& report) {
  archive(report.service, report.agent_boot, report.sequence,
          BoundedEnum(report.phase, UpstreamPhase::kAgentRestarting),
          report.slots, report.flows, report.mean_outstanding,
          report.outstanding, report.is_cold);
}

template <typename Archive>
void serialize(Archive& archive, RelayedPacket& message) {
  archive(message.header, Bounded(message.packet, kMaxFlowPacketBytes));
}

template <typename Archive>
void serialize(Archive& archive, OwnershipQuery& query) {
  archive(query.flow, query.acknowledged,
          Bounded(query.allowed, kMaxRelayServices));
}

template <typename Archive>
void serialize(Archive& archive, QueriedFlow& queried) {
  archive(queried.flow, queried.acknowledged);
}

template <typename Archive>
void serialize(Archive& archive, OwnershipBatchQuery& query) {
  archive(Bounded(query.allowed, kMaxRelayServices),
          Bounded(query.flows, kMaxBatchedFlows));
}

template <typename Archive>
void serialize(Archive& archive, ReportedOwnership& reported) {
  archive(reported.flow,
          BoundedEnum(reported.ownership, FlowOwnership::kUndetermined));
}

template <typename Archive>
void serialize(Archive& archive, OwnershipBatchReply& message) {
  archive(Bounded(message.flows, kMaxBatchedFlows));
}

template <typename Archive>
void serialize(Archive& archive, FlowOwnershipReply& message) {
  archive(message.flow,
          BoundedEnum(message.ownership, FlowOwnership::kUndetermined),
          Bounded(message.packet, kMaxFlowPacketBytes));
}

template <typename Archive>
void serialize(Archive& archive, AgentPoll& message) {
  archive(message.is_listed, message.configuration_version);
}

template <typename Archive>
void serialize(Archive& archive, BalancerCount& message) {
  archive(message.balancers);
}

template <typename Archive>
void serialize(Archive& archive, AgentStatus& message) {
  archive(message.report, message.configuration_version);
}

/// New messages are appended, so that processes of different versions read each
/// other's older messages.
using RelayMessage =
    std::variant<RelayedPacket, OwnershipQuery, FlowOwnershipReply, AgentPoll,
                 AgentStatus, OwnershipBatchQuery, OwnershipBatchReply,
                 BalancerCount>;

/// Replaces the content of `bytes` with the encoding of `message`.
void EncodeRelayMessage(const RelayMessage& message, Bytes& bytes);

/// Fails with kInvalidInput on bytes that are not one encoded message.
Result<RelayMessage> DecodeRelayMessage(ByteView bytes);

}  // namespace medlarwinch
