#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/state/member_entry.h"

namespace medlarwinch {

/// Limits that normally keep a control message within one unfragmented datagram
/// of about 1,400 bytes.
inline constexpr uint32_t kMaxDeltaMembers = 12;
inline constexpr uint32_t kMaxDeltaRecords = 24;
inline constexpr uint32_t kMaxDeltaMeans = 24;
inline constexpr uint32_t kMaxRosterEntries = 48;
inline constexpr uint32_t kMaxMonitors = 5;
inline constexpr uint32_t kDigestBuckets = 16;
/// Deepest level of the digest tree. A bucket at this level covers one of 2^24
/// parts of the hash space.
inline constexpr uint8_t kMaxDigestLevel = 5;
/// Maximum size of a document or of the key ring, in bytes.
inline constexpr uint32_t kMaxRecordBytes = 64 * 1'024;
inline constexpr uint32_t kMaxFetchedRecords = 64;

/// Load counters that an agent maintains for its own upstream.
struct UpstreamLoad {
  uint32_t flows = 0;
  uint32_t requests_in_flight = 0;
  /// Requests finished and failed since the previous heartbeat.
  uint32_t finished = 0;
  uint32_t failed = 0;

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// Sent once a second by every member to each of its monitors.
struct Heartbeat {
  /// True when only the id and version of the entry are sent. The receiver
  /// takes the other fields from its table. A receiver that does not know the
  /// sender replies with an empty record and gets the full entry with the next
  /// heartbeat.
  bool is_brief = false;
  MemberEntry entry;
  UpstreamLoad load;
  uint64_t sequence = 0;
  /// Hash of the roster that the sender holds. The ack contains the roster
  /// only when it differs.
  uint64_t roster_hash = 0;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// One upstream of a service, as listed for the agents of that service.
struct RosterEntry {
  Endpoint data;
  int64_t boot = 0;
  MemberPhase phase = MemberPhase::kStarting;
  uint32_t slots = 0;

  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};

struct HeartbeatAck {
  uint64_t sequence = 0;
  /// Version of the sender's entry at the monitor.
  MemberVersion recorded;
  /// Mean flows per slot of the service; negative when unknown.
  double mean_flows_per_slot = -1;
  uint64_t roster_hash = 0;
  /// The roster, when it differs from the sender's and has at most
  /// kMaxRosterEntries entries. A larger one is fetched separately.
  std::vector<RosterEntry> roster;
  /// Active versions of the service's document and of the key ring at the
  /// monitor; 0 when there is none.
  uint64_t document_version = 0;
  uint64_t key_ring_version = 0;
  /// Control addresses of the current monitors of the sender.
  std::vector<Endpoint> monitors;

  friend bool operator==(const HeartbeatAck&, const HeartbeatAck&) = default;
};

/// Queries another monitor whether it has received recent heartbeats of a
/// member.
struct SuspicionQuery {
  uint64_t query = 0;
  Endpoint subject;
  MemberVersion version;

  friend bool operator==(const SuspicionQuery&,
                         const SuspicionQuery&) = default;
};

struct SuspicionReply {
  uint64_t query = 0;
  Endpoint subject;
  /// True when a heartbeat arrived within the fail_after time of the service.
  bool has_recent_heartbeat = false;
  /// Milliseconds since the last heartbeat.
  uint32_t age_ms = 0;

  friend bool operator==(const SuspicionReply&,
                         const SuspicionReply&) = default;
};

/// Version of a record stored on the platform: a document ("config/NAME") or
/// the key ring ("keys/ring").
struct RecordVersion {
  std::string name;
  uint64_t version = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

struct ServiceMean {
  std::string service;
  double mean_flows_per_slot = 0;
  /// Monitor that computed the mean, and its update counter. A mean with a
  /// higher counter replaces one with a lower counter.
  Endpoint monitor;
  uint64_t sequence = 0;

  friend bool operator==(const ServiceMean&, const ServiceMean&) = default;
};

/// Updates that balancers gossip. A receiver forwards those that are new to it.
struct Delta {
  std::vector<MemberEntry> members;
  std::vector<RecordVersion> records;
  std::vector<ServiceMean> means;

  friend bool operator==(const Delta&, const Delta&) = default;
};

/// The data set that a digest covers.
enum class DigestScope : uint8_t { kMembers = 0, kRecords = 1 };

/// Hashes of the sender's data set, as one node of a hash tree: level 0 covers
/// everything, and each further level covers one bucket of the level above.
struct Digest {
  DigestScope scope = DigestScope::kMembers;
  /// Depth of the node, at most kMaxDigestLevel.
  uint8_t level = 0;
  /// Bucket numbers on the path from the root to the node, four bits for each
  /// level.
  uint64_t path = 0;
  /// Hash of each bucket, over member entries or, when the scope is kRecords,
  /// over record versions.
  std::array<uint64_t, kDigestBuckets> bucket_hashes{};
  /// Hash of all record versions.
  uint64_t records_hash = 0;
  /// True when the receiver should send its own digest if the two differ.
  bool reply_requested = false;

  friend bool operator==(const Digest&, const Digest&) = default;
};

using ControlMessage = std::variant<Heartbeat, HeartbeatAck, SuspicionQuery,
                                    SuspicionReply, Delta, Digest>;

/// Requests records over TCP and, when `members` is set, the member table.
struct FetchRequest {
  std::vector<std::string> names;
  bool all_records = false;
  bool members = false;
  /// Service whose roster is requested; empty for none.
  std::string roster_of;

  friend bool operator==(const FetchRequest&, const FetchRequest&) = default;
};

struct Record {
  std::string name;
  uint64_t version = 0;
  std::string text;

  friend bool operator==(const Record&, const Record&) = default;
};

struct FetchReply {
  std::vector<Record> records;
  std::vector<MemberEntry> members;
  /// Roster of the requested service.
  std::vector<RosterEntry> roster;

  friend bool operator==(const FetchReply&, const FetchReply&) = default;
};

/// Maximum number of members in one FetchReply.
inline constexpr uint32_t kMaxFetchedMembers = 10'000;
/// Maximum number of roster entries in one FetchReply.
inline constexpr uint32_t kMaxFetchedRosterEntries = 4'096;

}  // namespace medlarwinch
