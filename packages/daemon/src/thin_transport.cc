#include "medlarwinch/daemon/thin_transport.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "medlarwinch/daemon/flow_forwarding.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Idle flows are searched in slices, so that no call visits hundreds of
// thousands of flows; a full pass takes one minute.
constexpr size_t kIdleSweepSlices = 60;
constexpr Millis kIdleSweepInterval{1'000};
// GoAway is sent up to three times, since packets are lost. The caller answers
// with Pong; a flow that does not answer counts as notified after the last one.
constexpr uint8_t kMaxGoAways = 3;
constexpr Millis kGoAwayInterval{500};
constexpr Millis kGoAwaySliceInterval{20};
constexpr size_t kGoAwaySlices = 10;
// Upper bound of packet reordering in the network.
constexpr Millis kDrainDelayAfterPong{1'000};

}  // namespace

ThinTransport::ThinTransport(AgentIdentity identity, uint32_t first_flow_number,
                             TransportCallbacks callbacks,
                             CallerRequestHandler& handler, Metrics& metrics)
    : identity_(std::move(identity)),
      boot_tag_(BootTag(identity_.boot)),
      callbacks_(std::move(callbacks)),
      handler_(handler),
      metrics_(metrics),
      table_(first_flow_number) {}

void ThinTransport::OnPacket(ForwardedPacket packet, TimePoint now) {
  if (packet.service != identity_.service) {
    CountMalformed("other_service");
    return;
  }
  const Result<PacketHeader> parsed = ParsePacketHeader(packet.payload);
  if (!IsOk(parsed)) {
    CountMalformed("header");
    return;
  }
  const PacketHeader& header = ValueOf(parsed);
  if (header.is_long && header.version != kThinProtocolVersion) {
    CountMalformed("version");
    return;
  }
  Result<Frame> frame = DecodeFrame(header.payload);
  if (!IsOk(frame)) {
    CountMalformed("frame");
    return;
  }
  const std::optional<FlowIdentifier> identifier = VerifyFlowIdentifier(
      *callbacks_.keys(), identity_.service, header.destination);
  if (identifier.has_value()) {
    OnIdentifiedPacket(packet, header, *identifier, TakeValue(std::move(frame)),
                       now);
    return;
  }
  if (!header.is_long) {
    // An unknown epoch may be a new one that this agent has not read yet. A
    // Reset would break the flow, whereas without a response the caller
    // retransmits.
    if (callbacks_.keys()->EpochKey(header.destination[0]) == nullptr) {
      CountMalformed("unknown_epoch");
      return;
    }
    CountMalformed("identifier");
    SendReset(packet, header, ResetReason::kUnknownFlow);
    return;
  }
  OnUnidentifiedPacket(std::move(packet), header, TakeValue(std::move(frame)),
                       now);
}

void ThinTransport::OnIdentifiedPacket(const ForwardedPacket& packet,
                                       const PacketHeader& header,
                                       const FlowIdentifier& identifier,
                                       Frame frame, TimePoint now) {
  if (identifier.agent != identity_.data) {
    // The balancer does not know the epoch of the identifier yet.
    ForwardedPacket forwarded = packet;
    forwarded.candidates.clear();
    callbacks_.send(identifier.agent,
                    EncodeDataMessage(callbacks_.keys()->mac_key(), forwarded));
    return;
  }
  if (identifier.boot_tag != boot_tag_) {
    SendReset(packet, header, ResetReason::kOtherBoot);
    return;
  }
  Flow* flow = table_.Find(identifier.flow_number);
  if (flow == nullptr) {
    SendReset(packet, header, ResetReason::kUnknownFlow);
    return;
  }
  if (flow->key.caller != packet.caller) {
    table_.UpdateCallerAddress(identifier.flow_number, packet.caller);
  }
  flow->fabric = packet.fabric_address;
  OnFlowFrame(identifier.flow_number, *flow, std::move(frame), now);
}

void ThinTransport::OnUnidentifiedPacket(ForwardedPacket packet,
                                         const PacketHeader& header,
                                         Frame frame, TimePoint now) {
  const std::optional<CallerIdentifier> caller =
      CallerIdentifier::From(header.source);
  if (!caller.has_value()) {
    CountMalformed("caller_identifier");
    return;
  }
  const CallerKey key{packet.service_address, packet.caller, *caller};
  const std::optional<uint32_t> number = table_.FindNumber(key);
  const bool is_open = std::holds_alternative<OpenFrame>(frame);
  if (!number.has_value()) {
    if (is_open) {
      OnOpen(std::move(packet), header, key, now);
    } else {
      OnUnknownFlowPacket(std::move(packet), header);
    }
    return;
  }
  if (!is_open && caller->size > 0) {
    // Two agents may both have accepted an Open; only the identifier shows
    // which of the two flows the caller uses.
    CountMalformed("identifier");
    return;
  }
  Flow* flow = table_.Find(*number);
  flow->fabric = packet.fabric_address;
  OnFlowFrame(*number, *flow, std::move(frame), now);
}

void ThinTransport::OnOpen(ForwardedPacket packet, const PacketHeader& header,
                           const CallerKey& key, TimePoint now) {
  const FlowDecision decision = callbacks_.decide_flow(packet);
  switch (decision.action) {
    case FlowAction::kAccept: {
      const uint32_t number = table_.Add(key, packet.fabric_address, now);
      SendFrame(number, *table_.Find(number), OpenAckFrame{});
      return;
    }
    case FlowAction::kForward:
    case FlowAction::kReturn:
      ForwardToNextCandidate(std::move(packet), decision);
      return;
    case FlowAction::kShed:
      SendReset(packet, header, ResetReason::kShed);
      return;
    case FlowAction::kDrop:
      CountMalformed("hop");
      return;
  }
}

void ThinTransport::OnUnknownFlowPacket(ForwardedPacket packet,
                                        const PacketHeader& header) {
  if (DecideUnownedPacket(CandidatePositionOf(packet)) ==
      FlowAction::kForward) {
    ForwardToNextCandidate(std::move(packet),
                           FlowDecision{FlowAction::kForward, {}, -1});
    return;
  }
  SendReset(packet, header, ResetReason::kUnknownFlow);
}

void ThinTransport::ForwardToNextCandidate(ForwardedPacket packet,
                                           const FlowDecision& decision) {
  const bool is_sent =
      SendToNextCandidate(std::move(packet), decision,
                          callbacks_.keys()->mac_key(), callbacks_.send);
  if (!is_sent) CountMalformed("hop");
}

void ThinTransport::OnFlowFrame(uint32_t number, Flow& flow, Frame frame,
                                TimePoint now) {
  flow.last_received = now;
  if (std::holds_alternative<OpenFrame>(frame)) {
    SendFrame(number, flow, OpenAckFrame{});
    if (draining_) SendGoAway(number, flow, now);
  } else if (RequestFrame* request = std::get_if<RequestFrame>(&frame)) {
    OnRequest(number, flow, std::move(*request), now);
  } else if (const auto* ack = std::get_if<ResponseAckFrame>(&frame)) {
    OnAck(number, flow, *ack, now);
  } else if (const auto* cancel = std::get_if<CancelFrame>(&frame)) {
    OnCancel(number, flow, *cancel);
  } else if (std::holds_alternative<PingFrame>(frame)) {
    SendFrame(number, flow, PongFrame{});
    if (draining_) SendGoAway(number, flow, now);
  } else if (std::holds_alternative<PongFrame>(frame)) {
    // The response to GoAway: the caller has opened another flow.
    if (flow.go_aways_sent == 0) return;
    flow.go_aways_sent = kMaxGoAways;
    // A request sent before the caller received GoAway may arrive after the
    // Pong. The flow is kept so that such a request is answered with "not run".
    earliest_drain_end_ = now + kDrainDelayAfterPong;
  } else {
    CountMalformed("frame_of_agent");
  }
}

void ThinTransport::OnRequest(uint32_t flow_number, Flow& flow,
                              RequestFrame request, TimePoint now) {
  const CallerRequestId id{flow_number, request.number};
  const WindowStep step = AcceptRequestNumber(flow.requests, request.number);
  flow.requests = step.window;
  if (!step.is_new) {
    const auto stream = response_streams_.find(id);
    if (stream == response_streams_.end()) return;
    SendFrame(flow_number, flow, stream->second.MakeRequestAck());
    return;
  }
  response_streams_.emplace(id, ResponseStream(request.number, now));
  ++flow.requests_in_progress;
  handler_.OnRequest(id, std::move(request));
  if (draining_) SendGoAway(flow_number, flow, now);
}

void ThinTransport::OnAck(uint32_t flow_number, Flow& flow,
                          const ResponseAckFrame& ack, TimePoint now) {
  const CallerRequestId id{flow_number, ack.number};
  const auto found = response_streams_.find(id);
  if (found == response_streams_.end()) return;
  ResponseStream& stream = found->second;
  const bool was_full = stream.IsFull();
  stream.OnAck(ack, now);
  if (stream.IsAcknowledged()) {
    CloseStream(id, flow);
    return;
  }
  SendParts(id, flow, stream.TakeSendableParts(now));
  if (was_full && !stream.IsFull()) handler_.OnWritable(id);
}

void ThinTransport::OnCancel(uint32_t flow_number, Flow& flow,
                             const CancelFrame& cancel) {
  // A Cancel that overtakes its Request marks the number as used, so that the
  // request does not run when it arrives.
  flow.requests = AcceptRequestNumber(flow.requests, cancel.number).window;
  const CallerRequestId id{flow_number, cancel.number};
  if (!response_streams_.contains(id)) return;
  CloseStream(id, flow);
  handler_.OnCancelled(id);
}

bool ThinTransport::WriteResponse(const CallerRequestId& id, ByteView data,
                                  TimePoint now) {
  const auto found = response_streams_.find(id);
  const Flow* flow = table_.Find(id.flow_number);
  if (found == response_streams_.end() || flow == nullptr) return true;
  found->second.Append(data);
  SendParts(id, *flow, found->second.TakeSendableParts(now));
  return !found->second.IsFull();
}

void ThinTransport::FinishResponse(const CallerRequestId& id, uint16_t status,
                                   Verdict verdict, TimePoint now) {
  const auto found = response_streams_.find(id);
  const Flow* flow = table_.Find(id.flow_number);
  if (found == response_streams_.end() || flow == nullptr) return;
  found->second.Finish(status, verdict);
  SendParts(id, *flow, found->second.TakeSendableParts(now));
}

void ThinTransport::StartDrain(TimePoint now) {
  draining_ = true;
  next_go_away_slice_ = now;
}

bool ThinTransport::IsDrained() const {
  if (!draining_ || !response_streams_.empty() ||
      last_tick_ < earliest_drain_end_) {
    return false;
  }
  return table_.AllOf(
      [](const Flow& flow) { return flow.go_aways_sent >= kMaxGoAways; });
}

void ThinTransport::Tick(TimePoint now) {
  last_tick_ = now;
  RetransmitOverdue(now);
  if (draining_ && now >= next_go_away_slice_) {
    next_go_away_slice_ = now + kGoAwaySliceInterval;
    SendGoAways(now);
  }
  if (now >= next_idle_sweep_) {
    next_idle_sweep_ = now + kIdleSweepInterval;
    RemoveIdleFlows(now);
  }
}

void ThinTransport::RetransmitOverdue(TimePoint now) {
  std::vector<CallerRequestId> abandoned;
  for (auto& [id, stream] : response_streams_) {
    const Flow* flow = table_.Find(id.flow_number);
    if (flow == nullptr) continue;
    SendParts(id, *flow, stream.TakeRetransmissions(now));
    if (stream.IsAbandoned(now)) abandoned.push_back(id);
  }
  for (const CallerRequestId& id : abandoned) {
    CloseStream(id, *table_.Find(id.flow_number));
    handler_.OnCancelled(id);
  }
}

void ThinTransport::SendGoAways(TimePoint now) {
  table_.VisitSlice(kGoAwaySlices, [&](uint32_t number, Flow& flow) {
    if (flow.go_aways_sent >= kMaxGoAways) return;
    if (flow.go_aways_sent > 0 && now - flow.last_go_away < kGoAwayInterval)
      return;
    SendGoAway(number, flow, now);
  });
}

void ThinTransport::RemoveIdleFlows(TimePoint now) {
  std::vector<uint32_t> idle;
  table_.VisitSlice(kIdleSweepSlices, [&](uint32_t number, Flow& flow) {
    if (now - flow.last_received > kFlowIdleTimeout) idle.push_back(number);
  });
  for (const uint32_t number : idle) RemoveFlow(number);
}

void ThinTransport::RemoveFlow(uint32_t number) {
  std::vector<CallerRequestId> open;
  for (auto stream = response_streams_.lower_bound(CallerRequestId{number, 0});
       stream != response_streams_.end() && stream->first.flow_number == number;
       ++stream) {
    open.push_back(stream->first);
  }
  for (const CallerRequestId& id : open) {
    CloseStream(id, *table_.Find(number));
    handler_.OnCancelled(id);
  }
  table_.Remove(number);
}

void ThinTransport::CloseStream(const CallerRequestId& id, Flow& flow) {
  response_streams_.erase(id);
  --flow.requests_in_progress;
}

void ThinTransport::SendGoAway(uint32_t number, Flow& flow, TimePoint now) {
  SendFrame(number, flow, GoAwayFrame{});
  flow.last_go_away = now;
  if (flow.go_aways_sent < kMaxGoAways) ++flow.go_aways_sent;
}

void ThinTransport::SendParts(const CallerRequestId& id, const Flow& flow,
                              const std::vector<ResponsePartFrame>& parts) {
  for (const ResponsePartFrame& part : parts)
    SendFrame(id.flow_number, flow, part);
}

void ThinTransport::SendFrame(uint32_t flow_number, const Flow& flow,
                              const Frame& frame) {
  const std::shared_ptr<const KeySet> keys = callbacks_.keys();
  const FlowIdentifierBytes identifier =
      IssueFlowIdentifier(*keys, identity_.service,
                          FlowIdentifier{keys->current_epoch(), identity_.data,
                                         boot_tag_, flow_number});
  FabricPacket packet;
  packet.service_address = flow.key.service_address;
  packet.caller = flow.key.caller;
  AppendLongHeader(kThinProtocolVersion, flow.key.identifier.view(), identifier,
                   packet.payload);
  EncodeTo(frame, packet.payload);
  callbacks_.send(flow.fabric, EncodeFabricPacket(packet));
}

void ThinTransport::SendReset(const ForwardedPacket& packet,
                              const PacketHeader& header, ResetReason reason) {
  // The source repeats the refused identifier, so that the caller can
  // distinguish a late Reset from one for its current flow.
  FabricPacket response;
  response.service_address = packet.service_address;
  response.caller = packet.caller;
  AppendLongHeader(kThinProtocolVersion, header.source, header.destination,
                   response.payload);
  EncodeTo(Frame(ResetFrame{reason}), response.payload);
  callbacks_.send(packet.fabric_address, EncodeFabricPacket(response));
  const char* name = "unknown_flow";
  if (reason == ResetReason::kOtherBoot) name = "other_boot";
  if (reason == ResetReason::kShed) name = "shed";
  metrics_.Add("medlarwinch_resets_total", {{"reason", name}});
}

void ThinTransport::CountMalformed(const char* reason) {
  metrics_.Add("medlarwinch_malformed_packets_total", {{"reason", reason}});
}

}  // namespace medlarwinch
