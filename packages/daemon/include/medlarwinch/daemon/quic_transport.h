#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/request_path/flow_acceptance.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/daemon/thin_transport.h"
#include "medlarwinch/quic/quic_connection.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Bit that is set in the flow numbers of QUIC connections and clear in those
/// of the thin protocol.
inline constexpr uint32_t kQuicFlowBit = 0x80000000;

/// Limit of a response's unacknowledged bytes at which WriteResponse() returns
/// false.
inline constexpr size_t kQuicResponseWindowBytes = 64 * 1'024;

/// Converts an HTTP/3 request to the frame that the executor takes. Requests
/// with methods other than GET, HEAD and OPTIONS run at most once; `unique_key`
/// replaces a missing idempotency key.
RequestFrame ToRequestFrame(const Http3Request& request, uint32_t number,
                            const std::string& unique_key);

/// Serves HTTP/3 over QUIC. A refused request is reset with
/// H3_REQUEST_REJECTED, which proves to the caller that it was not processed. A
/// response that is cut short is reset with H3_INTERNAL_ERROR. A request whose
/// outcome is unknown before its response has begun is answered with the header
/// `x-verdict: may_have_run`.
class QuicTransport : public CallerTransport {
 public:
  /// `handler` and `metrics` must outlive the transport.
  QuicTransport(AgentIdentity identity, uint32_t first_flow_number,
                std::unique_ptr<TlsCredentials> credentials,
                TransportCallbacks callbacks, CallerRequestHandler& handler,
                Metrics& metrics);
  ~QuicTransport() override;

  void OnPacket(ForwardedPacket packet, TimePoint now) override;
  void BeginResponse(const CallerRequestId& id, uint16_t status,
                     TimePoint now) override;
  bool WriteResponse(const CallerRequestId& id, ByteView data,
                     TimePoint now) override;
  void FinishResponse(const CallerRequestId& id, uint16_t status,
                      Verdict verdict, TimePoint now) override;
  void StartDrain(TimePoint now) override;
  void Tick(TimePoint now) override;
  size_t flow_count() const override { return connections_.size(); }
  size_t unacknowledged_response_count() const override;
  bool IsDrained() const override;

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void ReceiveOnConnection(Connection& connection, ForwardedPacket packet,
                           TimePoint now);
  void OnNewConnection(ForwardedPacket packet, const PacketHeader& header,
                       TimePoint now);
  void ForwardToNextCandidate(ForwardedPacket packet,
                              const FlowDecision& decision);
  void SendReset(const ForwardedPacket& packet, const PacketHeader& header);
  QuicConnectionEvents MakeConnectionEvents(Connection& connection);
  FlowIdentifierBytes IssueIdentifier(Connection& connection);
  void ProcessEvents(Connection& connection, TimePoint now);
  void Remove(uint32_t number);
  Connection* Find(uint32_t number);
  std::vector<ConnectionPtr> AllConnections() const;
  void CountMalformed(const char* reason);

  AgentIdentity identity_;
  uint16_t boot_tag_;
  std::unique_ptr<TlsCredentials> credentials_;
  TransportCallbacks callbacks_;
  CallerRequestHandler& handler_;
  Metrics& metrics_;
  uint32_t next_flow_number_;
  std::unordered_map<uint32_t, ConnectionPtr> connections_;
  // Maps every issued flow number to the flow number of its connection.
  std::unordered_map<uint32_t, uint32_t> connection_by_flow_number_;
  // Connections by caller and the first destination identifier that the caller
  // chose, for packets sent before the caller knows the issued identifier.
  std::map<std::pair<Endpoint, Bytes>, uint32_t> connection_by_caller_;
  bool draining_ = false;
};

}  // namespace medlarwinch
