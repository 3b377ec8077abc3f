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
/// Largest answer that the ledger stores for a repeated key, in bytes.
inline constexpr uint32_t kMaxStoredResponseBytes = 4'096;

/// A packet between the fabric and a balancer, in either direction. This is the
/// encapsulation of the fabric; it carries no tag of ours.
struct FabricPacket {
  Endpoint service_address;
  Endpoint caller;
  Bytes payload;

  friend bool operator==(const FabricPacket&, const FabricPacket&) = default;
};

/// A caller's packet on its way from a balancer to an agent, or from one agent
/// to the next candidate.
struct ForwardedPacket {
  std::string service;
  Endpoint service_address;
  Endpoint caller;
  /// Where the answer goes, as a FabricPacket.
  Endpoint fabric;
  /// Data addresses in the order in which they are tried; empty when a verified
  /// identifier named the receiver.
  std::vector<Endpoint> candidates;
  /// Index of the receiver in `candidates`.
  uint8_t candidate_index = 0;
  /// How many of the candidates, from the front, belong to the current table
  /// and may accept a new flow; the rest may only own an established one.
  uint8_t accepting_candidates = 0;
  /// Mean flows per slot of the service as the balancer knows it; negative when
  /// unknown.
  double mean_flows_per_slot = -1;
  /// Lowest load among the candidates that passed a new flow on, and its index
  /// in `candidates`; the load is negative without one.
  double lowest_load = -1;
  uint8_t least_loaded_index = 0;
  /// True when the flow was sent back to the candidate with the lowest load,
  /// which then takes it.
  bool must_accept = false;
  Bytes payload;

  friend bool operator==(const ForwardedPacket&,
                         const ForwardedPacket&) = default;
};

/// Asks a home agent to record that `holder` is about to run the key.
struct KeyReservationRequest {
  uint64_t query_id = 0;
  std::string service;
  KeyHash key;
  Endpoint holder;
  int64_t holder_boot = 0;
  /// An earlier holder that has said that it never runs the key; its record is
  /// replaced. Port 0 names none.
  Endpoint superseded_holder;
  int64_t superseded_holder_boot = 0;

  friend bool operator==(const KeyReservationRequest&,
                         const KeyReservationRequest&) = default;
};

struct KeyReservationReply {
  uint64_t query_id = 0;
  KeyHash key;
  ReserveState state = ReserveState::kGranted;
  /// The agent that holds the key when the state is kHeldElsewhere.
  Endpoint holder;
  int64_t holder_boot = 0;

  friend bool operator==(const KeyReservationReply&,
                         const KeyReservationReply&) = default;
};

/// Asks the agent of an earlier attempt what became of a key. An agent that
/// does not know the key records it as cancelled and never runs it.
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
  /// Repeats the boot that was asked about, since a late answer about another
  /// boot of the same agent must not count.
  uint16_t boot_tag = 0;
  KeyState state = KeyState::kMayHaveRun;
  uint16_t status = 0;
  /// The stored answer when the state is kRan and `has_response` is set.
  bool has_response = false;
  Bytes response;

  friend bool operator==(const KeyQueryReply&, const KeyQueryReply&) = default;
};

/// A key record that a draining home hands to the next home.
struct KeyRecord {
  KeyHash key;
  Endpoint holder;
  int64_t holder_boot = 0;
  /// Milliseconds until the record may be dropped.
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

/// Everything that arrives at the data address of an agent.
using DataMessage =
    std::variant<ForwardedPacket, KeyReservationRequest, KeyReservationReply,
                 KeyQuery, KeyQueryReply, KeyTransfer, KeyTransferReply>;

/// Encodes and seals a message between daemons.
Bytes EncodeDataMessage(const SipKey& key, const DataMessage& message);

/// Opens and decodes; fails with kUnauthentic or kInvalidInput.
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
          packet.caller, packet.fabric,
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
