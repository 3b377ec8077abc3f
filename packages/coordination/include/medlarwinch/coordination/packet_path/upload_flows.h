#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "medlarwinch/coordination/packet_path/relay_routes.h"

namespace medlarwinch {

/// Links of at least this rate, in kbit/s, carry the windows of many uploads at
/// once and are not paced.
inline constexpr uint32_t kUnpacedLinkKbps = 50'000;
/// Bytes on a link for each byte of an upload's data. A relayed packet with
/// 1,200 bytes of data has 36 bytes of packet header, 33 of relay header and 28
/// of UDP and IP headers.
inline constexpr double kLinkBytesPerDataByte = 1'300.0 / 1'200.0;
/// Data that a caller sends before the first acknowledgement, in bytes: 16
/// packets of 1,200 bytes.
inline constexpr uint32_t kUploadWindowBytes = 19'200;

/// Returns true if uploads over a link of `link_kbps` are paced; 0 is unknown.
constexpr bool IsPacedLink(uint32_t link_kbps) {
  return link_kbps > 0 && link_kbps < kUnpacedLinkKbps;
}

/// An upload flow that passes a balancer.
struct PassingUpload {
  /// Time at which its opening was or will be relayed; empty for a flow whose
  /// opening was not seen.
  std::optional<TimePoint> relayed_at;
  /// The upload counts as in progress until then.
  TimePoint active_until;
  /// Data of the caller that has passed.
  uint64_t bytes = 0;
};

/// The upload flows that pass a balancer, and the time at which the link has
/// carried those opened so far.
struct UploadFlows {
  std::unordered_map<FlowTuple, PassingUpload, FlowTupleHash> flows;
  /// In microseconds of the balancer's clock.
  int64_t link_free_at_us = 0;
  /// Moving average of the data of an upload, in bytes.
  double mean_bytes = 80'000;
  /// Number of uploads that the agents of all active ones were last told.
  uint32_t reported = 0;
  TimePoint reported_at;
  uint64_t held_openings = 0;
  /// Openings that were left to the caller's next copy.
  uint64_t dropped_openings = 0;
};

/// How a caller's packet is handled.
enum class UploadPacketAction : uint8_t {
  kRelay = 0,
  /// Relay the opening at `UploadPacketEffect::due`.
  kHold = 1,
  /// Drop the opening: an earlier copy is held and stands for it.
  kRenewHeld = 2,
  /// Drop the opening: the link has no room for the upload before the caller
  /// sends its last copy.
  kDrop = 3,
};

/// What follows for a caller's packet from the pacing of uploads.
struct UploadPacketEffect {
  UploadPacketAction action = UploadPacketAction::kRelay;
  TimePoint due;
  /// The packet starts an upload: the agent to which it is relayed is polled at
  /// once, so that it knows the link and the number of uploads before the first
  /// acknowledgement.
  bool starts_upload = false;
};

/// Records a caller's packet on a route of kind upload, received over a paced
/// link of `link_kbps`. Openings are spaced by the time in which the uploads'
/// share of the link carries one upload: no acknowledgement can pace the first
/// window, and two of them overrun the queue of a narrow link.
UploadPacketEffect RecordUploadPacket(UploadFlows& uploads,
                                      const FlowPacket& packet,
                                      uint32_t link_kbps, TimePoint now);

/// Returns the flows whose agents are to be polled because the number of
/// uploads has changed; at most 16, and not more often than each 20 ms.
std::vector<FlowTuple> TakeFlowsToReport(UploadFlows& uploads, TimePoint now);

/// Removes flows that have been idle for 2 s. To be called with each round of
/// polls.
void RefreshUploadFlows(UploadFlows& uploads, TimePoint now);

/// Number of uploads in progress. Those whose opening is held are not.
uint32_t CountUploads(const UploadFlows& uploads, TimePoint now);

/// Returns true if any route is of kind upload.
bool HasUploadRoute(const RelayConfiguration& configuration);

}  // namespace medlarwinch
