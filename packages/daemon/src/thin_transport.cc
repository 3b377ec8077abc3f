#include "medlarwinch/daemon/thin_transport.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "medlarwinch/daemon/flow_forwarding.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Idle flows are looked for in slices, so that no call visits hundreds of
// thousands of flows; one pass takes a minute.
constexpr size_t kSweepParts = 60;
constexpr Millis kSweepInterval{1'000};
// A lost GoAway is repeated twice: the caller answers with Pong, and a flow
// that does not answer counts as told after the last repetition.
constexpr uint8_t kMaxGoAways = 3;
constexpr Millis kGoAwayInterval{500};
constexpr Millis kGoAwaySliceInterval{20};
constexpr size_t kGoAwayParts = 10;
// Packets overtake each other by less than this time.
constexpr Millis kLingerAfterPong{1'000};

}  // namespace

ThinTransport::ThinTransport(AgentIdentity identity, uint32_t first_flow_number,
                             ThinTransportPorts ports,
                             CallerRequestHandler& handler, Metrics& metrics)
    : identity_(std::move(identity)),
      boot_tag_(BootTag(identity_.boot)),
      ports_(std::move(ports)),
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
      *ports_.keys(), identity_.service, header.destination);
  if (identifier.has_value()) {
    OnIdentifiedPacket(packet, header, *identifier, TakeValue(std::move(frame)),
                       now);
    return;
  }
  if (!header.is_long) {
    // An epoch that is not known here may be a new one that this agent has not
    // read yet; a Reset would break the flow, and silence makes the caller send
    // again.
    if (ports_.keys()->EpochKey(header.destination[0]) == nullptr) {
      CountMalformed("unknown_epoch");
      return;
    }
    CountMalformed("identifier");
    SendReset(packet, header, ResetReason::kUnknownFlow);
    return;
  }
  OnKeyedPacket(std::move(packet), header, TakeValue(std::move(frame)), now);
}

void ThinTransport::OnIdentifiedPacket(const ForwardedPacket& packet,
                                       const PacketHeader& header,
                                       const FlowIdentifier& identifier,
                                       Frame frame, TimePoint now) {
  if (identifier.agent != identity_.data) {
    // The balancer did not know the epoch of the identifier yet.
    ForwardedPacket forwarded = packet;
    forwarded.candidates.clear();
    ports_.send(identifier.agent,
                EncodeDataMessage(ports_.keys()->seal_key(), forwarded));
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
    table_.MoveCaller(identifier.flow_number, packet.caller);
  }
  flow->fabric = packet.fabric;
  OnFlowFrame(identifier.flow_number, *flow, std::move(frame), now);
}

void ThinTransport::OnKeyedPacket(ForwardedPacket packet,
                                  const PacketHeader& header, Frame frame,
                                  TimePoint now) {
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
      OnUnowned(std::move(packet), header);
    }
    return;
  }
  if (!is_open && caller->size > 0) {
    // Two agents may both have answered an OpenSuspicion; only the identifier
    // tells which of the two flows the caller uses.
    CountMalformed("identifier");
    return;
  }
  Flow* flow = table_.Find(*number);
  flow->fabric = packet.fabric;
  OnFlowFrame(*number, *flow, std::move(frame), now);
}

void ThinTransport::OnOpen(ForwardedPacket packet, const PacketHeader& header,
                           const CallerKey& key, TimePoint now) {
  const FlowDecision decision = ports_.decide_flow(packet);
  switch (decision.action) {
    case FlowAction::kAccept: {
      const uint32_t number = table_.Add(key, packet.fabric, now);
      SendFrame(number, *table_.Find(number), OpenAckFrame{});
      return;
    }
    case FlowAction::kPassOn:
    case FlowAction::kReturn:
      PassOn(std::move(packet), decision);
      return;
    case FlowAction::kShed:
      SendReset(packet, header, ResetReason::kShed);
      return;
    case FlowAction::kDrop:
      CountMalformed("hop");
      return;
  }
}

void ThinTransport::OnUnowned(ForwardedPacket packet,
                              const PacketHeader& header) {
  if (DecideUnownedPacket(PositionOf(packet)) == FlowAction::kPassOn) {
    PassOn(std::move(packet), FlowDecision{FlowAction::kPassOn, {}, -1});
    return;
  }
  SendReset(packet, header, ResetReason::kUnknownFlow);
}

void ThinTransport::PassOn(ForwardedPacket packet,
                           const FlowDecision& decision) {
  const bool is_sent = SendToNextCandidate(
      std::move(packet), decision, ports_.keys()->seal_key(), ports_.send);
  if (!is_sent) CountMalformed("hop");
}

void ThinTransport::OnFlowFrame(uint32_t number, Flow& flow, Frame frame,
                                TimePoint now) {
  flow.last_heard = now;
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
    // The answer to GoAway: the caller has opened another flow.
    if (flow.go_aways == 0) return;
    flow.go_aways = kMaxGoAways;
    // A request that the caller sent before GoAway reached it may arrive after
    // the Pong; the flow stays known to answer it with "not run".
    linger_until_ = now + kLingerAfterPong;
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
    const auto stream = streams_.find(id);
    if (stream == streams_.end()) return;
    SendFrame(flow_number, flow, stream->second.ArrivalNotice());
    return;
  }
  streams_.emplace(id, ResponseStream(request.number, now));
  ++flow.requests_in_progress;
  handler_.OnRequest(id, std::move(request));
  if (draining_) SendGoAway(flow_number, flow, now);
}

void ThinTransport::OnAck(uint32_t flow_number, Flow& flow,
                          const ResponseAckFrame& ack, TimePoint now) {
  const CallerRequestId id{flow_number, ack.number};
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  ResponseStream& stream = found->second;
  const bool was_full = stream.IsFull();
  stream.OnAck(ack, now);
  if (stream.IsAcknowledged()) {
    CloseStream(id, flow);
    return;
  }
  SendParts(id, flow, stream.TakeParts(now));
  if (was_full && !stream.IsFull()) handler_.OnWritable(id);
}

void ThinTransport::OnCancel(uint32_t flow_number, Flow& flow,
                             const CancelFrame& cancel) {
  // A Cancel that overtakes its Request takes the number, so that the request
  // is not run when it arrives.
  flow.requests = AcceptRequestNumber(flow.requests, cancel.number).window;
  const CallerRequestId id{flow_number, cancel.number};
  if (!streams_.contains(id)) return;
  CloseStream(id, flow);
  handler_.OnCancelled(id);
}

bool ThinTransport::Write(const CallerRequestId& id, ByteView data,
                          TimePoint now) {
  const auto found = streams_.find(id);
  const Flow* flow = table_.Find(id.flow);
  if (found == streams_.end() || flow == nullptr) return true;
  found->second.Append(data);
  SendParts(id, *flow, found->second.TakeParts(now));
  return !found->second.IsFull();
}

void ThinTransport::Finish(const CallerRequestId& id, uint16_t status,
                           Verdict verdict, TimePoint now) {
  const auto found = streams_.find(id);
  const Flow* flow = table_.Find(id.flow);
  if (found == streams_.end() || flow == nullptr) return;
  found->second.Finish(status, verdict);
  SendParts(id, *flow, found->second.TakeParts(now));
}

void ThinTransport::StartDrain(TimePoint now) {
  draining_ = true;
  next_go_aways_ = now;
}

bool ThinTransport::IsDrained() const {
  if (!draining_ || !streams_.empty() || ticked_at_ < linger_until_) {
    return false;
  }
  return table_.AllOf(
      [](const Flow& flow) { return flow.go_aways >= kMaxGoAways; });
}

void ThinTransport::Tick(TimePoint now) {
  ticked_at_ = now;
  ResendOverdue(now);
  if (draining_ && now >= next_go_aways_) {
    next_go_aways_ = now + kGoAwaySliceInterval;
    SendGoAways(now);
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    SweepFlows(now);
  }
}

void ThinTransport::ResendOverdue(TimePoint now) {
  std::vector<CallerRequestId> abandoned;
  for (auto& [id, stream] : streams_) {
    const Flow* flow = table_.Find(id.flow);
    if (flow == nullptr) continue;
    SendParts(id, *flow, stream.TakeOverdue(now));
    if (stream.IsAbandoned(now)) abandoned.push_back(id);
  }
  for (const CallerRequestId& id : abandoned) {
    CloseStream(id, *table_.Find(id.flow));
    handler_.OnCancelled(id);
  }
}

void ThinTransport::SendGoAways(TimePoint now) {
  table_.VisitPart(kGoAwayParts, [&](uint32_t number, Flow& flow) {
    if (flow.go_aways >= kMaxGoAways) return;
    if (flow.go_aways > 0 && now - flow.last_go_away < kGoAwayInterval) return;
    SendGoAway(number, flow, now);
  });
}

void ThinTransport::SweepFlows(TimePoint now) {
  std::vector<uint32_t> idle;
  table_.VisitPart(kSweepParts, [&](uint32_t number, Flow& flow) {
    if (now - flow.last_heard > kFlowIdleTimeout) idle.push_back(number);
  });
  for (const uint32_t number : idle) ForgetFlow(number);
}

void ThinTransport::ForgetFlow(uint32_t number) {
  std::vector<CallerRequestId> open;
  for (auto stream = streams_.lower_bound(CallerRequestId{number, 0});
       stream != streams_.end() && stream->first.flow == number; ++stream) {
    open.push_back(stream->first);
  }
  for (const CallerRequestId& id : open) {
    CloseStream(id, *table_.Find(number));
    handler_.OnCancelled(id);
  }
  table_.Remove(number);
}

void ThinTransport::CloseStream(const CallerRequestId& id, Flow& flow) {
  streams_.erase(id);
  --flow.requests_in_progress;
}

void ThinTransport::SendGoAway(uint32_t number, Flow& flow, TimePoint now) {
  SendFrame(number, flow, GoAwayFrame{});
  flow.last_go_away = now;
  if (flow.go_aways < kMaxGoAways) ++flow.go_aways;
}

void ThinTransport::SendParts(const CallerRequestId& id, const Flow& flow,
                              const std::vector<ResponsePartFrame>& parts) {
  for (const ResponsePartFrame& part : parts) SendFrame(id.flow, flow, part);
}

void ThinTransport::SendFrame(uint32_t flow_number, const Flow& flow,
                              const Frame& frame) {
  const std::shared_ptr<const KeySet> keys = ports_.keys();
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
  ports_.send(flow.fabric, EncodeFabricPacket(packet));
}

void ThinTransport::SendReset(const ForwardedPacket& packet,
                              const PacketHeader& header, ResetReason reason) {
  // The source repeats the identifier that is refused, so that the caller can
  // tell a late Reset from one for its current flow.
  FabricPacket answer;
  answer.service_address = packet.service_address;
  answer.caller = packet.caller;
  AppendLongHeader(kThinProtocolVersion, header.source, header.destination,
                   answer.payload);
  EncodeTo(Frame(ResetFrame{reason}), answer.payload);
  ports_.send(packet.fabric, EncodeFabricPacket(answer));
  const char* name = "unknown_flow";
  if (reason == ResetReason::kOtherBoot) name = "other_boot";
  if (reason == ResetReason::kShed) name = "shed";
  metrics_.Add("medlarwinch_resets_total", {{"reason", name}});
}

void ThinTransport::CountMalformed(const char* reason) {
  metrics_.Add("medlarwinch_malformed_packets_total", {{"reason", reason}});
}

}  // namespace medlarwinch
