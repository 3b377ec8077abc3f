#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "medlarwinch/coordination/request_path/flow_acceptance.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/daemon/flow_table.h"
#include "medlarwinch/daemon/response_stream.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Functions that a caller transport calls, possibly from within any of its own
/// functions.
struct TransportCallbacks {
  /// Sends one datagram from the data socket.
  std::function<void(const Endpoint& to, ByteView datagram)> send;
  /// Returns the current keys.
  std::function<std::shared_ptr<const KeySet>()> keys;
  /// Decides whether to accept a new flow.
  std::function<FlowDecision(const ForwardedPacket& packet)> decide_flow;
};

/// Time without a packet from the caller after which a flow is removed.
inline constexpr Millis kFlowIdleTimeout{600'000};

/// Server side of the thin request protocol.
class ThinTransport : public CallerTransport {
 public:
  /// `handler` and `metrics` must outlive the transport.
  ThinTransport(AgentIdentity identity, uint32_t first_flow_number,
                TransportCallbacks callbacks, CallerRequestHandler& handler,
                Metrics& metrics);

  void OnPacket(ForwardedPacket packet, TimePoint now) override;
  bool WriteResponse(const CallerRequestId& id, ByteView data,
                     TimePoint now) override;
  void FinishResponse(const CallerRequestId& id, uint16_t status,
                      Verdict verdict, TimePoint now) override;
  void StartDrain(TimePoint now) override;
  void Tick(TimePoint now) override;
  size_t flow_count() const override { return table_.size(); }
  size_t unacknowledged_response_count() const override {
    return response_streams_.size();
  }
  bool IsDrained() const override;

 private:
  void OnIdentifiedPacket(const ForwardedPacket& packet,
                          const PacketHeader& header,
                          const FlowIdentifier& identifier, Frame frame,
                          TimePoint now);
  void OnUnidentifiedPacket(ForwardedPacket packet, const PacketHeader& header,
                            Frame frame, TimePoint now);
  void OnUnknownFlowPacket(ForwardedPacket packet, const PacketHeader& header);
  void OnOpen(ForwardedPacket packet, const PacketHeader& header,
              const CallerKey& key, TimePoint now);
  void OnFlowFrame(uint32_t number, Flow& flow, Frame frame, TimePoint now);
  void OnRequest(uint32_t flow_number, Flow& flow, RequestFrame request,
                 TimePoint now);
  void OnAck(uint32_t flow_number, Flow& flow, const ResponseAckFrame& ack,
             TimePoint now);
  void OnCancel(uint32_t flow_number, Flow& flow, const CancelFrame& cancel);
  void ForwardToNextCandidate(ForwardedPacket packet,
                              const FlowDecision& decision);
  void SendFrame(uint32_t flow_number, const Flow& flow, const Frame& frame);
  void SendReset(const ForwardedPacket& packet, const PacketHeader& header,
                 ResetReason reason);
  void SendParts(const CallerRequestId& id, const Flow& flow,
                 const std::vector<ResponsePartFrame>& parts);
  void SendGoAway(uint32_t number, Flow& flow, TimePoint now);
  void CloseStream(const CallerRequestId& id, Flow& flow);
  void RetransmitOverdue(TimePoint now);
  void RemoveIdleFlows(TimePoint now);
  void SendGoAways(TimePoint now);
  void RemoveFlow(uint32_t number);
  void CountMalformed(const char* reason);

  AgentIdentity identity_;
  uint16_t boot_tag_;
  TransportCallbacks callbacks_;
  CallerRequestHandler& handler_;
  Metrics& metrics_;
  FlowTable table_;
  std::map<CallerRequestId, ResponseStream> response_streams_;
  bool draining_ = false;
  TimePoint next_idle_sweep_;
  TimePoint next_go_away_slice_;
  TimePoint last_tick_;
  // Earliest time at which the drain may complete.
  TimePoint earliest_drain_end_;
};

}  // namespace medlarwinch
