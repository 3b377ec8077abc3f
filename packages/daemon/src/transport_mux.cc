#include "medlarwinch/daemon/transport_mux.h"

#include <utility>

namespace medlarwinch {

TransportMux::TransportMux(std::unique_ptr<ThinTransport> thin,
                           std::unique_ptr<QuicTransport> quic,
                           AgentIdentity identity,
                           std::function<std::shared_ptr<const KeySet>()> keys)
    : thin_(std::move(thin)),
      quic_(std::move(quic)),
      identity_(std::move(identity)),
      keys_(std::move(keys)) {}

bool TransportMux::IsForQuic(const ForwardedPacket& packet) const {
  if (quic_ == nullptr) return false;
  const Result<PacketHeader> header = ParsePacketHeader(packet.payload);
  if (!IsOk(header)) return false;
  if (ValueOf(header).is_long) {
    return ValueOf(header).version != kThinProtocolVersion;
  }
  const std::optional<FlowIdentifier> identifier = VerifyFlowIdentifier(
      *keys_(), identity_.service, ValueOf(header).destination);
  return identifier.has_value() &&
         (identifier->flow_number & kQuicFlowBit) != 0 &&
         identifier->agent == identity_.data;
}

CallerTransport& TransportMux::TransportOf(const CallerRequestId& id) {
  const bool is_quic = quic_ != nullptr && (id.flow_number & kQuicFlowBit) != 0;
  if (is_quic) return *quic_;
  return *thin_;
}

void TransportMux::OnPacket(ForwardedPacket packet, TimePoint now) {
  if (IsForQuic(packet)) {
    quic_->OnPacket(std::move(packet), now);
    return;
  }
  thin_->OnPacket(std::move(packet), now);
}

void TransportMux::BeginResponse(const CallerRequestId& id, uint16_t status,
                                 TimePoint now) {
  TransportOf(id).BeginResponse(id, status, now);
}

bool TransportMux::WriteResponse(const CallerRequestId& id, ByteView data,
                                 TimePoint now) {
  return TransportOf(id).WriteResponse(id, data, now);
}

void TransportMux::FinishResponse(const CallerRequestId& id, uint16_t status,
                                  Verdict verdict, TimePoint now) {
  TransportOf(id).FinishResponse(id, status, verdict, now);
}

void TransportMux::StartDrain(TimePoint now) {
  thin_->StartDrain(now);
  if (quic_ != nullptr) quic_->StartDrain(now);
}

void TransportMux::Tick(TimePoint now) {
  thin_->Tick(now);
  if (quic_ != nullptr) quic_->Tick(now);
}

size_t TransportMux::flow_count() const {
  return thin_->flow_count() + (quic_ == nullptr ? 0 : quic_->flow_count());
}

size_t TransportMux::unacknowledged_response_count() const {
  return thin_->unacknowledged_response_count() +
         (quic_ == nullptr ? 0 : quic_->unacknowledged_response_count());
}

bool TransportMux::IsDrained() const {
  return thin_->IsDrained() && (quic_ == nullptr || quic_->IsDrained());
}

}  // namespace medlarwinch
