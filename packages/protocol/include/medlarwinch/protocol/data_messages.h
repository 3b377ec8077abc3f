#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/protocol/packet_header.h"
#include "medlarwinch/protocol/serialization.h"
#include "medlarwinch/state/key_state.h"

namespace medlarwinch {

inline constexpr uint32_t kMaxCandidates = 6;
/// Maximum size of a response that is stored for replay to a repeated
/// idempotency key, in bytes.
inline constexpr uint32_t kMaxStoredResponseBytes = 4'096;

/// A packet between the fabric and a balancer, in either direction. The
/// encapsulation is defined by the fabric and carries no MAC.
struct FabricPacket {
  Endpoint service_address;
  Endpoint caller;
  Bytes payload;

  friend bool operator==(const FabricPacket&, const FabricPacket&) = default;
};

/// A caller's packet that a balancer forwards to an agent, or an agent to the
/// next candidate.
struct ForwardedPacket {
  std::string service;
  Endpoint service_address;
  Endpoint caller;
  /// Address that the reply is sent to, as a FabricPacket.
  Endpoint fabric_address;
  /// Data addresses of the candidate agents in the order in which they are
  /// tried. Empty if a verified flow identifier named the receiver.
  std::vector<Endpoint> candidates;
  /// Index of the current receiver in `candidates`.
  uint8_t candidate_index = 0;
  /// Number of leading candidates that belong to the current routing table and
  /// may accept a new flow. The others may only own an established one.
  uint8_t accepting_candidates = 0;
  /// Mean flows per slot of the service, as known to the balancer. Negative if
  /// unknown.
  double mean_flows_per_slot = -1;
  /// Lowest load among the candidates that forwarded the new flow, and the
  /// index of that candidate. The load is negative if there is none.
  double lowest_load = -1;
  uint8_t least_loaded_index = 0;
  /// True if the flow was returned to the least loaded candidate, which must
  /// accept it.
  bool must_accept = false;
  Bytes payload;

  friend bool operator==(const ForwardedPacket&,
                         const ForwardedPacket&) = default;
};

/// Requests that the home agent of an idempotency key records that `holder` is
/// about to run its request.
struct KeyReservationRequest {
  uint64_t query_id = 0;
  std::string service;
  KeyHash key;
  Endpoint holder;
  int64_t holder_boot = 0;
  /// A previous holder that has confirmed that it never runs the request. Its
  /// record is replaced. Port 0 means none.
  Endpoint superseded_holder;
  int64_t superseded_holder_boot = 0;

  friend bool operator==(const KeyReservationRequest&,
                         const KeyReservationRequest&) = default;
};

struct KeyReservationReply {
  uint64_t query_id = 0;
  KeyHash key;
  ReserveState state = ReserveState::kGranted;
  /// The current holder of the key if the state is kHeldElsewhere.
  Endpoint holder;
  int64_t holder_boot = 0;

  friend bool operator==(const KeyReservationReply&,
                         const KeyReservationReply&) = default;
};

/// Queries the agent of an earlier attempt for the state of an idempotency key.
/// An agent that does not know the key records it as cancelled and never runs
/// it.
struct KeyQuery {
  uint64_t query_id = 0;
  std::string service;
  KeyHash key;
  uint16_t boot_tag = 0;
  /// Boot tag of the sender.
  uint16_t sender_boot_tag = 0;

  friend bool operator==(const KeyQuery&, const KeyQuery&) = default;
};

struct KeyQueryReply {
  uint64_t query_id = 0;
  KeyHash key;
  /// Boot tag from the query. It lets the receiver ignore a late reply about
  /// another boot of the same agent.
  uint16_t boot_tag = 0;
  KeyState state = KeyState::kMayHaveRun;
  uint16_t status = 0;
  /// The stored response. Valid if the state is kRan and `has_response` is set.
  bool has_response = false;
  Bytes response;

  friend bool operator==(const KeyQueryReply&, const KeyQueryReply&) = default;
};

/// The record of an idempotency key that a draining home agent transfers to the
/// next home agent.
struct KeyRecord {
  KeyHash key;
  Endpoint holder;
  int64_t holder_boot = 0;
  /// Remaining retention time of the record, in milliseconds.
  uint32_t remaining_ms = 0;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

inline constexpr uint32_t kMaxTransferredRecords = 24;

struct KeyTransfer {
  uint64_t query_id = 0;
  std::string service;
  std::vector<KeyRecord> records;

  friend bool operator==(const KeyTransfer&, const KeyTransfer&) = default;
};

struct KeyTransferReply {
  uint64_t query_id = 0;

  friend bool operator==(const KeyTransferReply&,
                         const KeyTransferReply&) = default;
};

/// All messages that an agent receives at its data address.
using DataMessage =
    std::variant<ForwardedPacket, KeyReservationRequest, KeyReservationReply,
                 KeyQuery, KeyQueryReply, KeyTransfer, KeyTransferReply>;

/// Encodes a message between daemons and appends its MAC.
Bytes EncodeDataMessage(const SipKey& key, const DataMessage& message);

/// Verifies the MAC and decodes the message. Fails with kUnauthentic or
/// kInvalidInput.
Result<DataMessage> DecodeDataMessage(const SipKey& key, ByteView bytes);

Bytes EncodeFabricPacket(const FabricPacket& packet);

/// Fails with kInvalidInput.
Result<FabricPacket> DecodeFabricPacket(ByteView bytes);

template <typename Archive>
void serialize(Archive& archive, FabricPacket& packet) {
  archive(packet.service_address, packet.caller,
          Bounded(packet.payload, static_cast<uint32_t>(kMaxPacketBytes)));
}

template <typename Archive>
void serialize(Archive& archive, ForwardedPacket& packet) {
  archive(Bounded(packet.service, kMaxNameBytes), packet.service_address,
          packet.caller, packet.fabric_address,
          Bounded(packet.candidates, kMaxCandidates), packet.candidate_index,
          packet.accepting_candidates, packet.mean_flows_per_slot,
          packet.lowest_load, packet.least_loaded_index, packet.must_accept,
          Bounded(packet.payload, static_cast<uint32_t>(kMaxPacketBytes)));
}

template <typename Archive>
void serialize(Archive& archive, KeyHash& key) {
  archive(key.high, key.low);
}

template <typename Archive>
void serialize(Archive& archive, KeyReservationRequest& message) {
  archive(message.query_id, Bounded(message.service, kMaxNameBytes),
          message.key, message.holder, message.holder_boot,
          message.superseded_holder, message.superseded_holder_boot);
}

template <typename Archive>
void serialize(Archive& archive, KeyReservationReply& message) {
  archive(message.query_id, message.key,
          BoundedEnum(message.state, ReserveState::kFull), message.holder,
          message.holder_boot);
}

template <typename Archive>
void serialize(Archive& archive, KeyQuery& message) {
  archive(message.query_id, Bounded(message.service, kMaxNameBytes),
          message.key, message.boot_tag, message.sender_boot_tag);
}

template <typename Archive>
void serialize(Archive& archive, KeyQueryReply& message) {
  archive(message.query_id, message.key, message.boot_tag,
          BoundedEnum(message.state, KeyState::kOtherBoot), message.status,
          message.has_response,
          Bounded(message.response, kMaxStoredResponseBytes));
}

template <typename Archive>
void serialize(Archive& archive, KeyRecord& record) {
  archive(record.key, record.holder, record.holder_boot, record.remaining_ms);
}

template <typename Archive>
void serialize(Archive& archive, KeyTransfer& message) {
  archive(message.query_id, Bounded(message.service, kMaxNameBytes),
          Bounded(message.records, kMaxTransferredRecords));
}

template <typename Archive>
void serialize(Archive& archive, KeyTransferReply& message) {
  archive(message.query_id);
}

}  // namespace medlarwinch
