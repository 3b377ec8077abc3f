#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/coordination/packet_path/response_statistics.h"

namespace medlarwinch {

/// Maximum number of sequence numbers in flight in one direction: 16 packets of
/// 1,200 bytes, times four for retransmissions.
inline constexpr uint32_t kSequenceWindow = 76'800;
/// An opening that the caller has not completed is removed after this time.
/// Callers time out after 1.4 s.
inline constexpr Millis kHalfOpenTimeout{3'000};
/// Packets of an ended flow are still delivered to its upstream for this long,
/// so that the upstream responds to late retransmissions of both ends.
inline constexpr Millis kEndedFlowRetention{4'000};

struct FlowTupleHash {
  size_t operator()(const FlowTuple& flow) const { return HashFlow(flow); }
};

/// A new flow counts as one outstanding request for this long, because its
/// first request follows within a round trip.
inline constexpr Millis kFirstRequestWindow{200};

/// A flow that the agent's local upstream owns.
struct TrackedFlow {
  /// Lowest sequence number that the upstream has used, and the one after the
  /// highest.
  uint32_t upstream_first_sequence = 0;
  uint32_t upstream_end_sequence = 0;
  /// True if the agent has seen the upstream's answer to the opening, so that
  /// the sequence numbers above are exact. Else they are a guess.
  bool is_opening_seen = false;
  /// Sequence number of the caller's opening packet; empty if unknown.
  std::optional<uint32_t> opening_sequence;
  /// Sequence number after the highest one that the caller has used.
  uint32_t caller_end_sequence = 0;
  bool has_caller_end_sequence = false;
  /// The caller has acknowledged the upstream's opening packet.
  bool is_open = false;
  bool caller_finished = false;
  bool upstream_finished = false;
  /// A request is queued or running at the upstream.
  bool is_outstanding = false;
  /// The caller has sent at least one request.
  bool had_request = false;
  /// Kind of the requests of the flow's route, if the opening named it.
  RequestKind kind = RequestKind::kUnspecified;
  /// Number of outstanding requests when the last request began, with itself.
  uint32_t requests_at_start = 0;
  TimePoint outstanding_since;
  /// Time of the caller's last packet with new data.
  TimePoint last_caller_data;
  TimePoint last_used;
  /// Only used with FlowTracker::responses.
  RequestProgress request;
};

/// Tracks the flows of one upstream and the requests on them from the packets
/// that pass. The upstream processes one request per flow at a time.
struct FlowTracker {
  std::unordered_map<FlowTuple, TrackedFlow, FlowTupleHash> flows;
  uint32_t open = 0;
  /// Number of requests that are queued or running.
  uint32_t outstanding = 0;
  /// Moving average of `outstanding` over about one second.
  double mean_outstanding = 0;
  /// Time integral of `outstanding` since the last update of the average, in
  /// milliseconds.
  double outstanding_integral = 0;
  TimePoint integrated_until;
  TimePoint averaged_until;
  /// Recently opened flows that may not have had a request yet, oldest first.
  std::deque<std::pair<TimePoint, FlowTuple>> recently_opened;
  /// Outcomes of the requests; empty unless outliers are detected.
  std::optional<ResponseStatistics> responses;
};

/// Returns the number of outstanding requests, plus the requests expected on
/// flows that were opened within kFirstRequestWindow.
uint32_t CommittedRequests(const FlowTracker& tracker, TimePoint now);

/// Returns true if the caller and the upstream have both ended the flow.
bool HasEnded(const TrackedFlow& flow);

/// Returns what the recorded packets say about the owner of a caller's packet:
/// kOwned if it acknowledges a sequence number that this upstream has used;
/// kNotOwned if the whole flow was seen and has not used it; else
/// kUndetermined.
FlowOwnership RecordedOwnership(const FlowTracker& tracker,
                                const FlowTuple& flow, uint32_t acknowledged);

/// Records that the upstream accepted an acknowledgement on a flow whose
/// opening was not seen.
void ExtendAcknowledged(FlowTracker& tracker, const FlowTuple& flow,
                        uint32_t acknowledged);

/// Records that the flows may be those of an earlier incarnation: the recorded
/// sequence numbers prove nothing any more.
void DistrustFlows(FlowTracker& tracker);

/// Records a caller's packet that is delivered to the upstream.
void RecordCallerPacket(FlowTracker& tracker, const FlowPacket& packet,
                        TimePoint now);

/// The response time of a request, set when a packet starts its response.
struct UpstreamPacketEffect {
  bool starts_response = false;
  Millis response_time{0};
  /// Part of the response time after the caller's last packet.
  Millis time_since_request{0};
  uint32_t requests_at_start = 0;
  RequestKind kind = RequestKind::kUnspecified;
};

/// Records a packet sent by the upstream.
UpstreamPacketEffect RecordUpstreamPacket(FlowTracker& tracker,
                                          const FlowPacket& packet,
                                          TimePoint now);

void RemoveFlow(FlowTracker& tracker, const FlowTuple& flow, TimePoint now);

/// Updates the average, and removes flows that have ended, were never
/// completed, or were idle for `idle`.
void RefreshFlows(FlowTracker& tracker, Millis idle, TimePoint now);

}  // namespace medlarwinch
