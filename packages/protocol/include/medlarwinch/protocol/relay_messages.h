#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <variant>

#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/coordination/packet_path/unlisted_agents.h"
#include "medlarwinch/protocol/bounded_number.h"
#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/codec.h"
#include "medlarwinch/protocol/serialization.h"

namespace medlarwinch {

/// Maximum size of a relayed packet, in bytes: 1,200 bytes of data, a header,
/// and some headroom.
inline constexpr uint32_t kMaxFlowPacketBytes = 1'400;
/// Maximum size of a message between balancers and agents, in bytes.
inline constexpr uint32_t kMaxRelayMessageBytes = 1'700;

/// Limits of decoded figures: times and durations in milliseconds, numbers of
/// requests, and rates per second.
inline constexpr int64_t kMaxDecodedTimeMs = int64_t{1} << 53;
inline constexpr int64_t kMaxDecodedDurationMs = 86'400'000;
inline constexpr double kMaxDecodedCount = 1'000'000;

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

/// Version of the extended messages: ExtendedPoll, ExtendedStatus,
/// RelayedOpening and OpeningRefused.
inline constexpr uint32_t kExtendedProtocolVersion = 1;

/// Agent to balancer: the version of the extended messages that the agent
/// reads. A balancer sends such messages only to agents that have offered them.
struct ProtocolOffer {
  uint32_t version = 0;

  friend bool operator==(const ProtocolOffer&, const ProtocolOffer&) = default;
};

/// Balancer to agent, in place of AgentPoll.
struct ExtendedPoll {
  AgentPoll poll;
  BalancerTerms terms;

  friend bool operator==(const ExtendedPoll&, const ExtendedPoll&) = default;
};

/// Agent to balancer, in place of AgentStatus, in reply to an ExtendedPoll.
struct ExtendedStatus {
  AgentStatus status;
  EvacuationView evacuations;
  AgentLoad load;

  friend bool operator==(const ExtendedStatus&,
                         const ExtendedStatus&) = default;
};

/// Balancer to agent, or agent to agent, in place of RelayedPacket for a packet
/// that opens a flow.
struct RelayedOpening {
  RelayHeader header;
  OpeningContext context;
  Bytes packet;

  friend bool operator==(const RelayedOpening&,
                         const RelayedOpening&) = default;
};

/// Agent to the balancer that relayed an opening: no agent takes it, and it was
/// delivered to no upstream.
struct OpeningRefused {
  FlowTuple flow;
  OpeningContext context;

  friend bool operator==(const OpeningRefused&,
                         const OpeningRefused&) = default;
};

/// Agent to the balancer that relayed a copy of an opening: no agent takes it
/// now, it was delivered to no upstream, and the caller's next copy is awaited.
struct OpeningDeclined {
  FlowTuple flow;
  uint32_t copy = 0;

  friend bool operator==(const OpeningDeclined&,
                         const OpeningDeclined&) = default;
};

/// Balancer to listed agents, and from these to each balancer that polls them:
/// agents that are in use although a restored store does not list them.
struct UnlistedAgents {
  std::vector<Endpoint> agents;

  friend bool operator==(const UnlistedAgents&,
                         const UnlistedAgents&) = default;
};

template <typename Archive>
void serialize(Archive& archive, StoreRevision& revision) {
  archive(revision.era, revision.number);
}

template <typename Archive>
void serialize(Archive& archive, Millis& duration) {
  archive(Clamped(duration.value, 0, kMaxDecodedDurationMs));
}

template <typename Archive>
void serialize(Archive& archive, TimePoint& time) {
  archive(Clamped(time.value, 0, kMaxDecodedTimeMs));
}

template <typename Archive>
void serialize(Archive& archive, RouteTerms& terms) {
  archive(BoundedEnum(terms.kind, RequestKind::kUpload), terms.priority,
          terms.latency_objective, terms.request_timeout);
}

template <typename Archive>
void serialize(Archive& archive, ServiceTerms& terms) {
  archive(Clamped(terms.cold_openings_per_second, 0, kMaxDecodedCount),
          terms.cold_time);
}

template <typename Archive>
void serialize(Archive& archive, OpeningContext& context) {
  archive(context.relayed_at, context.copy, context.terms);
}

template <typename Archive>
void serialize(Archive& archive, EvacuationView& view) {
  archive(view.is_known, view.revision,
          Bounded(view.failure_domains, kMaxEvacuatedDomains));
}

template <typename Archive>
void serialize(Archive& archive, RouteResponses& route) {
  archive(route.service_address, route.responses, route.median_ms,
          route.median_bytes);
}

template <typename Archive>
void serialize(Archive& archive, RouteBaseline& baseline) {
  archive(baseline.service_address, baseline.median_ms, baseline.median_bytes);
}

template <typename Archive>
void serialize(Archive& archive, AgentLoad& load) {
  archive(Clamped(load.work_ms, 0, static_cast<double>(kMaxDecodedDurationMs)),
          Clamped(load.suspected_failures, 0, 1), load.cold_openings_left,
          Bounded(load.routes, kMaxReportedRoutes));
}

template <typename Archive>
void serialize(Archive& archive, BalancerTerms& terms) {
  archive(terms.evacuations, terms.service, terms.link_kbps, terms.upload_flows,
          Bounded(terms.baselines, kMaxReportedRoutes));
}

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
          report.slots, report.flows,
          Clamped(report.mean_outstanding, 0, kMaxDecodedCount),
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

template <typename Archive>
void serialize(Archive& archive, ProtocolOffer& message) {
  archive(message.version);
}

template <typename Archive>
void serialize(Archive& archive, ExtendedPoll& message) {
  archive(message.poll, message.terms);
}

template <typename Archive>
void serialize(Archive& archive, ExtendedStatus& message) {
  archive(message.status, message.evacuations, message.load);
}

template <typename Archive>
void serialize(Archive& archive, RelayedOpening& message) {
  archive(message.header, message.context,
          Bounded(message.packet, kMaxFlowPacketBytes));
}

template <typename Archive>
void serialize(Archive& archive, OpeningRefused& message) {
  archive(message.flow, message.context);
}

template <typename Archive>
void serialize(Archive& archive, OpeningDeclined& message) {
  archive(message.flow, message.copy);
}

template <typename Archive>
void serialize(Archive& archive, UnlistedAgents& message) {
  archive(Bounded(message.agents, kMaxNamedAgents));
}

/// New messages are appended, so that processes of different versions read each
/// other's older messages.
using RelayMessage =
    std::variant<RelayedPacket, OwnershipQuery, FlowOwnershipReply, AgentPoll,
                 AgentStatus, OwnershipBatchQuery, OwnershipBatchReply,
                 BalancerCount, ProtocolOffer, ExtendedPoll, ExtendedStatus,
                 RelayedOpening, OpeningRefused, UnlistedAgents,
                 OpeningDeclined>;

/// Replaces the content of `bytes` with the encoding of `message`.
void EncodeRelayMessage(const RelayMessage& message, Bytes& bytes);

/// Fails with kInvalidInput on bytes that are not one encoded message.
Result<RelayMessage> DecodeRelayMessage(ByteView bytes);

}  // namespace medlarwinch
