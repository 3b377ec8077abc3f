#pragma once

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/protocol/serialization.h"

namespace medlarwinch {

Bytes EncodeControlMessage(const SipKey& key, const ControlMessage& message);

/// Fails with kUnauthentic if the MAC does not match, and with kInvalidInput if
/// the message can't be decoded.
Result<ControlMessage> DecodeControlMessage(const SipKey& key, ByteView bytes);

Bytes EncodeFetchRequest(const SipKey& key, const FetchRequest& request);
Result<FetchRequest> DecodeFetchRequest(const SipKey& key, ByteView bytes);
Bytes EncodeFetchReply(const SipKey& key, const FetchReply& reply);
Result<FetchReply> DecodeFetchReply(const SipKey& key, ByteView bytes);

template <typename Archive>
void serialize(Archive& archive, UpstreamLoad& load) {
  archive(load.flows, load.requests_in_flight, load.finished, load.failed);
}

template <typename Archive>
void serialize(Archive& archive, Heartbeat& message) {
  archive(message.is_brief);
  if (message.is_brief) {
    archive(message.entry.id, message.entry.version);
  } else {
    archive(message.entry);
  }
  archive(message.load, message.sequence, message.roster_hash);
}

template <typename Archive>
void serialize(Archive& archive, RosterEntry& entry) {
  archive(entry.data, entry.boot,
          BoundedEnum(entry.phase, MemberPhase::kFailed), entry.slots);
}

template <typename Archive>
void serialize(Archive& archive, HeartbeatAck& message) {
  archive(message.sequence, message.recorded, message.mean_flows_per_slot,
          message.roster_hash, Bounded(message.roster, kMaxRosterEntries),
          message.document_version, message.key_ring_version,
          Bounded(message.monitors, kMaxMonitors));
}

template <typename Archive>
void serialize(Archive& archive, SuspicionQuery& message) {
  archive(message.query, message.subject, message.version);
}

template <typename Archive>
void serialize(Archive& archive, SuspicionReply& message) {
  archive(message.query, message.subject, message.has_recent_heartbeat,
          message.age_ms);
}

template <typename Archive>
void serialize(Archive& archive, RecordVersion& record) {
  archive(Bounded(record.name, kMaxNameBytes), record.version);
}

template <typename Archive>
void serialize(Archive& archive, ServiceMean& mean) {
  archive(Bounded(mean.service, kMaxNameBytes), mean.mean_flows_per_slot,
          mean.monitor, mean.sequence);
}

template <typename Archive>
void serialize(Archive& archive, Delta& message) {
  archive(Bounded(message.members, kMaxDeltaMembers),
          Bounded(message.records, kMaxDeltaRecords),
          Bounded(message.means, kMaxDeltaMeans));
}

template <typename Archive>
void serialize(Archive& archive, Digest& message) {
  archive(BoundedEnum(message.scope, DigestScope::kRecords), message.level,
          message.path, message.bucket_hashes, message.records_hash,
          message.reply_requested);
}

template <typename Archive>
void serialize(Archive& archive, FetchRequest& request) {
  archive(Bounded(request.names, kMaxFetchedRecords), request.all_records,
          request.members, Bounded(request.roster_of, kMaxNameBytes));
}

template <typename Archive>
void serialize(Archive& archive, Record& record) {
  archive(Bounded(record.name, kMaxNameBytes), record.version,
          Bounded(record.text, kMaxRecordBytes));
}

template <typename Archive>
void serialize(Archive& archive, FetchReply& reply) {
  archive(Bounded(reply.records, kMaxFetchedRecords),
          Bounded(reply.members, kMaxFetchedMembers),
          Bounded(reply.roster, kMaxFetchedRosterEntries));
}

}  // namespace medlarwinch
