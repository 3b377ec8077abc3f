// The pacing of uploads at a balancer with a narrow link.
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// The attempt of a caller ends this long after its last copy of an opening. An
// opening that was held for longer, because the process was suspended, would
// open a flow that nobody wants.
constexpr Millis kHeldOpeningExpiry{800};
constexpr double kHeldOpeningLogLinesPerSecond = 5;

}  // namespace

bool BalancerNode::PacesUploads() const {
  return has_upload_route_ && IsPacedLink(settings_.link_kbps);
}

UploadPacketEffect BalancerNode::RecordUpload(const FlowPacket& packet,
                                              ByteView datagram,
                                              TimePoint now) {
  if (!PacesUploads() || is_stopping_) return {};
  const RelayRoute* route = FindRoute(relay_.routes, packet.destination);
  if (route == nullptr || route->terms.kind != RequestKind::kUpload) return {};
  const FlowTuple flow = FlowFromCaller(packet);
  const UploadPacketEffect effect =
      RecordUploadPacket(relay_.uploads, packet, settings_.link_kbps, now);
  switch (effect.action) {
    case UploadPacketAction::kRelay:
      break;
    case UploadPacketAction::kHold:
      held_openings_.Hold(flow, effect.due, datagram);
      LogHeldOpening(flow, effect.due - now);
      break;
    case UploadPacketAction::kRenewHeld:
      held_openings_.Renew(flow);
      break;
    case UploadPacketAction::kDrop:
      LogDroppedPackets(
          log_limiter_,
          DropPackets{flow, PacketDropReason::kLeftToRetransmission}, now);
      break;
  }
  const bool is_copy_dropped =
      effect.action == UploadPacketAction::kRenewHeld ||
      effect.action == UploadPacketAction::kDrop;
  if (packet.is_syn && is_copy_dropped) {
    RecordUnrelayedCopy(relay_, flow, packet.acknowledged, now);
  }
  for (const FlowTuple& reported : TakeFlowsToReport(relay_.uploads, now)) {
    PollUploadAgent(reported);
  }
  return effect;
}

void BalancerNode::LogHeldOpening(const FlowTuple& flow, Millis hold) {
  const TimePoint now = MonotonicNow();
  if (!log_limiter_.AllowLine("opening_held", kHeldOpeningLogLinesPerSecond,
                              now)) {
    return;
  }
  Log(LogLevel::kInfo, "opening_held",
      {{"flow", FormatFlow(flow)},
       {"hold_ms", hold.value},
       {"uploads", static_cast<int64_t>(CountUploads(relay_.uploads, now))},
       {"link_kbps", static_cast<int64_t>(settings_.link_kbps)}});
}

void BalancerNode::RelayHeldOpening(const HeldPacket& held) {
  const Millis held_for = BootTimeNow() - held.received_at;
  if (held_for >= kHeldOpeningExpiry) return;
  relay_.arrival_delay = held_for;
  const std::optional<FlowPacket> packet = platform_.decode_packet(held.bytes);
  if (!packet.has_value()) return;
  actions_.clear();
  HandleCallerPacket(relay_, *packet, held.bytes, MonotonicNow(), actions_);
  ExecuteActions(actions_, held.bytes, held.received_at);
}

void BalancerNode::PollUploadAgent(const FlowTuple& flow) {
  const CachedFlow* cached = relay_.cache.Find(flow);
  if (cached == nullptr) return;
  const auto known = relay_.directory.upstreams.find(cached->agent);
  if (known == relay_.directory.upstreams.end()) return;
  PollAgent(cached->agent, known->second.is_listed);
}

}  // namespace medlarwinch
