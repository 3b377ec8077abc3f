#pragma once

#include <memory>

#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/daemon/quic_transport.h"
#include "medlarwinch/daemon/thin_transport.h"

namespace medlarwinch {

/// Serves the thin protocol and, if there is a certificate, HTTP/3 at the same
/// data address. Packets with a flow identifier are distinguished by their flow
/// number, others by the version in their header.
class TransportMux : public CallerTransport {
 public:
  /// `quic` may be null.
  TransportMux(std::unique_ptr<ThinTransport> thin,
               std::unique_ptr<QuicTransport> quic, AgentIdentity identity,
               std::function<std::shared_ptr<const KeySet>()> keys);

  void OnPacket(ForwardedPacket packet, TimePoint now) override;
  void BeginResponse(const CallerRequestId& id, uint16_t status,
                     TimePoint now) override;
  bool WriteResponse(const CallerRequestId& id, ByteView data,
                     TimePoint now) override;
  void FinishResponse(const CallerRequestId& id, uint16_t status,
                      Verdict verdict, TimePoint now) override;
  void StartDrain(TimePoint now) override;
  void Tick(TimePoint now) override;
  size_t flow_count() const override;
  size_t unacknowledged_response_count() const override;
  bool IsDrained() const override;

 private:
  CallerTransport& TransportOf(const CallerRequestId& id);
  bool IsForQuic(const ForwardedPacket& packet) const;

  std::unique_ptr<ThinTransport> thin_;
  std::unique_ptr<QuicTransport> quic_;
  AgentIdentity identity_;
  std::function<std::shared_ptr<const KeySet>()> keys_;
};

}  // namespace medlarwinch
