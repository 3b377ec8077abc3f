#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"

namespace medlarwinch {

/// Most sequence numbers that an end may have in flight: 16 packets of 1,200
/// bytes, four times over for retransmissions.
inline constexpr uint32_t kSequenceWindow = 76'800;
/// An opening that the caller has not completed is forgotten after this time;
/// callers give up openings after 1.4 s.
inline constexpr Millis kHalfOpenTimeout{3'000};
/// An ended flow is still handed to its upstream for this long, so that the
/// upstream answers late retransmissions of both ends.
inline constexpr Millis kEndedFlowRetention{4'000};

struct FlowTupleHash {
  size_t operator()(const FlowTuple& flow) const { return HashFlow(flow); }
};

/// A flow that has just been opened counts as a request for this long, since
/// its first request follows within a round trip.
inline constexpr Millis kFirstRequestWindow{200};

/// A flow that the upstream beside the agent holds.
struct TrackedFlow {
  /// Lowest and highest sequence number that the upstream has used.
  uint32_t upstream_first = 0;
  uint32_t upstream_end = 0;
  /// Highest sequence number that the caller has used.
  uint32_t caller_end = 0;
  bool has_caller_end = false;
  /// The caller has acknowledged the upstream's opening.
  bool is_open = false;
  bool caller_finished = false;
  bool upstream_finished = false;
  /// A request waits or runs at the upstream.
  bool is_outstanding = false;
  /// The caller has sent a request at some time.
  bool had_request = false;
  TimePoint outstanding_since;
  TimePoint last_used;
};

/// The flows of one upstream and the requests on them, as seen from the packets
/// that pass. The upstream processes one request of a flow at a time.
struct FlowTracker {
  std::unordered_map<FlowTuple, TrackedFlow, FlowTupleHash> flows;
  uint32_t open = 0;
  /// Requests that wait or run.
  uint32_t outstanding = 0;
  /// Average of `outstanding` over about a second.
  double mean_outstanding = 0;
  /// Integral of `outstanding` over time since the last average, in
  /// milliseconds.
  double outstanding_integral = 0;
  TimePoint integrated_until;
  TimePoint averaged_until;
  /// Flows opened lately, oldest first, that may not have had a request yet.
  std::deque<std::pair<TimePoint, FlowTuple>> recently_opened;
};

/// Requests that wait or run, and those about to come on flows that were opened
/// within kFirstRequestWindow.
uint32_t CommittedRequests(const FlowTracker& flows, TimePoint now);

/// Whether `packet`, written by the caller, belongs to a flow that the upstream
/// holds: it acknowledges something that this upstream wrote.
bool OwnsFlow(const FlowTracker& flows, const FlowPacket& packet);

/// Notes a packet of the caller that is handed to the upstream.
void RecordCallerPacket(FlowTracker& flows, const FlowPacket& packet,
                        TimePoint now);

/// How long the answer to a request took, when a packet begins one.
struct UpstreamPacketEffect {
  bool starts_response = false;
  Millis response_time{0};
};

/// Notes a packet that the upstream wrote.
UpstreamPacketEffect RecordUpstreamPacket(FlowTracker& flows,
                                          const FlowPacket& packet,
                                          TimePoint now);

/// Forgets a flow.
void RemoveFlow(FlowTracker& flows, const FlowTuple& flow, TimePoint now);

/// Renews the average and forgets flows that have ended, were never completed,
/// or are idle for `idle`.
void RefreshFlows(FlowTracker& flows, Millis idle, TimePoint now);

}  // namespace medlarwinch
