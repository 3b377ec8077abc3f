#include "medlarwinch/daemon/quic_transport.h"

#include <algorithm>
#include <set>
#include <utility>

#include "medlarwinch/daemon/flow_forwarding.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kH3InternalError = 0x0102;
constexpr int64_t kRequestStreamIdStep = 4;
// A caller that has received GoAway opens another connection and closes this
// one. If it does not, the connection is closed after this time.
constexpr Millis kCloseDelayAfterGoAway{2'000};

int64_t StreamIdOf(const CallerRequestId& id) {
  return static_cast<int64_t>(id.request_number) * kRequestStreamIdStep;
}

}  // namespace

struct QuicTransport::Connection {
  uint32_t flow_number = 0;
  Endpoint service_address;
  Endpoint caller;
  Endpoint fabric;
  // Caller and destination of the first packet.
  std::pair<Endpoint, Bytes> initial_key;
  std::unique_ptr<QuicConnection> quic;
  std::vector<uint32_t> issued_flow_numbers;
  // Collected during Receive() and handled after it has returned, because the
  // library must not be called from its own callbacks.
  std::vector<std::pair<int64_t, Http3Request>> arrived_requests;
  std::vector<int64_t> cancelled_streams;
  // Requests that the executor has not finished.
  std::set<int64_t> open_requests;
  std::set<int64_t> responses_begun;
  std::set<int64_t> paused_streams;
  bool is_closed = false;
  std::optional<TimePoint> go_away_sent_at;
};

QuicTransport::QuicTransport(AgentIdentity identity, uint32_t first_flow_number,
                             std::unique_ptr<TlsCredentials> credentials,
                             TransportCallbacks callbacks,
                             CallerRequestHandler& handler, Metrics& metrics)
    : identity_(std::move(identity)),
      boot_tag_(BootTag(identity_.boot)),
      credentials_(std::move(credentials)),
      callbacks_(std::move(callbacks)),
      handler_(handler),
      metrics_(metrics),
      next_flow_number_(first_flow_number | kQuicFlowBit) {}

QuicTransport::~QuicTransport() = default;

void QuicTransport::CountMalformed(const char* reason) {
  metrics_.Add("medlarwinch_malformed_packets_total", {{"reason", reason}});
}

QuicTransport::Connection* QuicTransport::Find(uint32_t number) {
  const auto found = connections_.find(number);
  return found == connections_.end() ? nullptr : found->second.get();
}

std::vector<QuicTransport::ConnectionPtr> QuicTransport::AllConnections()
    const {
  std::vector<ConnectionPtr> all;
  all.reserve(connections_.size());
  for (const auto& entry : connections_) all.push_back(entry.second);
  return all;
}

void QuicTransport::OnPacket(ForwardedPacket packet, TimePoint now) {
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
  const std::optional<FlowIdentifier> identifier = VerifyFlowIdentifier(
      *callbacks_.keys(), identity_.service, header.destination);
  if (identifier.has_value()) {
    const auto found = connection_by_flow_number_.find(identifier->flow_number);
    const bool is_own_flow = identifier->agent == identity_.data &&
                             identifier->boot_tag == boot_tag_ &&
                             found != connection_by_flow_number_.end();
    if (!is_own_flow) {
      SendReset(packet, header);
      return;
    }
    ReceiveOnConnection(*connections_.at(found->second), std::move(packet),
                        now);
    return;
  }
  const auto known = connection_by_caller_.find(
      {packet.caller,
       Bytes(header.destination.begin(), header.destination.end())});
  if (known != connection_by_caller_.end()) {
    ReceiveOnConnection(*connections_.at(known->second), std::move(packet),
                        now);
    return;
  }
  if (!header.is_long) {
    CountMalformed("identifier");
    return;
  }
  OnNewConnection(std::move(packet), header, now);
}

void QuicTransport::ReceiveOnConnection(Connection& connection,
                                        ForwardedPacket packet, TimePoint now) {
  connection.fabric = packet.fabric_address;
  connection.caller = packet.caller;
  const Result<Ok> received = connection.quic->Receive(packet.payload, now);
  connection.is_closed = connection.is_closed || !IsOk(received);
  ProcessEvents(connection, now);
}

void QuicTransport::OnNewConnection(ForwardedPacket packet,
                                    const PacketHeader& header, TimePoint now) {
  const FlowDecision decision = callbacks_.decide_flow(packet);
  if (decision.action == FlowAction::kForward ||
      decision.action == FlowAction::kReturn) {
    ForwardToNextCandidate(std::move(packet), decision);
    return;
  }
  // A QUIC caller retries by itself if it gets no response; before the
  // handshake there is no refusal that can't be forged.
  if (decision.action != FlowAction::kAccept) return;
  const ConnectionPtr connection = std::make_shared<Connection>();
  connection->service_address = packet.service_address;
  connection->caller = packet.caller;
  connection->fabric = packet.fabric_address;
  connection->initial_key = {packet.caller, Bytes(header.destination.begin(),
                                                  header.destination.end())};
  connection->flow_number = next_flow_number_;
  connections_[connection->flow_number] = connection;
  Result<std::unique_ptr<QuicConnection>> accepted = QuicConnection::Accept(
      *credentials_, packet.payload, MakeConnectionEvents(*connection), now);
  if (!IsOk(accepted)) {
    CountMalformed("quic_initial");
    Remove(connection->flow_number);
    return;
  }
  connection->quic = TakeValue(std::move(accepted));
  connection_by_caller_[connection->initial_key] = connection->flow_number;
  ReceiveOnConnection(*connection, std::move(packet), now);
}

FlowIdentifierBytes QuicTransport::IssueIdentifier(Connection& connection) {
  const uint32_t number = next_flow_number_;
  next_flow_number_ = (next_flow_number_ + 1) | kQuicFlowBit;
  connection_by_flow_number_[number] = connection.flow_number;
  connection.issued_flow_numbers.push_back(number);
  const std::shared_ptr<const KeySet> keys = callbacks_.keys();
  return IssueFlowIdentifier(
      *keys, identity_.service,
      FlowIdentifier{keys->current_epoch(), identity_.data, boot_tag_, number});
}

QuicConnectionEvents QuicTransport::MakeConnectionEvents(
    Connection& connection) {
  QuicConnectionEvents events;
  events.send = [this, &connection](ByteView packet) {
    FabricPacket response;
    response.service_address = connection.service_address;
    response.caller = connection.caller;
    response.payload.assign(packet.begin(), packet.end());
    callbacks_.send(connection.fabric, EncodeFabricPacket(response));
  };
  events.issue_identifier = [this, &connection] {
    return IssueIdentifier(connection);
  };
  events.reset_secret = [this] {
    return ByteView(callbacks_.keys()->mac_key());
  };
  events.on_request = [&connection](int64_t stream,
                                    const Http3Request& request) {
    connection.arrived_requests.emplace_back(stream, request);
  };
  events.on_cancelled = [&connection](int64_t stream) {
    connection.cancelled_streams.push_back(stream);
  };
  return events;
}

void QuicTransport::ProcessEvents(Connection& connection, TimePoint now) {
  const ConnectionPtr keep_alive = connections_.at(connection.flow_number);
  std::vector<std::pair<int64_t, Http3Request>> arrived_requests;
  arrived_requests.swap(connection.arrived_requests);
  for (auto& [stream, request] : arrived_requests) {
    connection.open_requests.insert(stream);
    const uint32_t number =
        static_cast<uint32_t>(stream / kRequestStreamIdStep);
    const std::string unique_key =
        "quic-" + std::to_string(identity_.boot) + "-" +
        std::to_string(connection.flow_number) + "-" + std::to_string(number);
    handler_.OnRequest(CallerRequestId{connection.flow_number, number},
                       ToRequestFrame(request, number, unique_key));
  }
  std::vector<int64_t> cancelled_streams;
  cancelled_streams.swap(connection.cancelled_streams);
  if (connection.is_closed) {
    cancelled_streams.assign(connection.open_requests.begin(),
                             connection.open_requests.end());
  }
  for (const int64_t stream : cancelled_streams) {
    if (connection.open_requests.erase(stream) == 0) continue;
    handler_.OnCancelled(
        CallerRequestId{connection.flow_number,
                        static_cast<uint32_t>(stream / kRequestStreamIdStep)});
  }
  if (!connection.is_closed) {
    connection.is_closed = !IsOk(connection.quic->Flush(now));
  }
  if (connection.is_closed) {
    if (connection.open_requests.empty()) Remove(connection.flow_number);
    return;
  }
  const std::vector<int64_t> paused_streams(connection.paused_streams.begin(),
                                            connection.paused_streams.end());
  for (const int64_t stream : paused_streams) {
    if (connection.quic->UnacknowledgedBytes(stream) >=
        kQuicResponseWindowBytes) {
      continue;
    }
    connection.paused_streams.erase(stream);
    handler_.OnWritable(
        CallerRequestId{connection.flow_number,
                        static_cast<uint32_t>(stream / kRequestStreamIdStep)});
  }
}

void QuicTransport::BeginResponse(const CallerRequestId& id, uint16_t status,
                                  TimePoint now) {
  Connection* connection = Find(id.flow_number);
  if (connection == nullptr || connection->is_closed) return;
  const int64_t stream = StreamIdOf(id);
  if (!connection->responses_begun.insert(stream).second) return;
  connection->quic->SubmitResponse(stream, Http3ResponseHead{status, {}});
  connection->is_closed = !IsOk(connection->quic->Flush(now));
}

bool QuicTransport::WriteResponse(const CallerRequestId& id, ByteView data,
                                  TimePoint now) {
  Connection* connection = Find(id.flow_number);
  if (connection == nullptr || connection->is_closed) return true;
  const int64_t stream = StreamIdOf(id);
  if (!connection->responses_begun.contains(stream)) return true;
  connection->quic->AppendBody(stream, data, false);
  connection->is_closed = !IsOk(connection->quic->Flush(now));
  if (connection->quic->UnacknowledgedBytes(stream) <
      kQuicResponseWindowBytes) {
    return true;
  }
  connection->paused_streams.insert(stream);
  return false;
}

void QuicTransport::FinishResponse(const CallerRequestId& id, uint16_t status,
                                   Verdict verdict, TimePoint now) {
  Connection* connection = Find(id.flow_number);
  if (connection == nullptr) return;
  const int64_t stream = StreamIdOf(id);
  connection->open_requests.erase(stream);
  connection->paused_streams.erase(stream);
  const bool has_begun = connection->responses_begun.erase(stream) > 0;
  if (connection->is_closed) return;
  if (verdict == Verdict::kNotRun && !has_begun) {
    connection->quic->ResetStream(stream, kH3RequestRejected);
  } else if (verdict == Verdict::kRan || !has_begun) {
    if (!has_begun) {
      connection->quic->SubmitResponse(
          stream,
          Http3ResponseHead{status, {{"x-verdict", VerdictName(verdict)}}});
    }
    connection->quic->AppendBody(stream, {}, true);
  } else {
    connection->quic->ResetStream(stream, kH3InternalError);
  }
  connection->is_closed = !IsOk(connection->quic->Flush(now));
}

size_t QuicTransport::unacknowledged_response_count() const {
  size_t count = 0;
  for (const auto& entry : connections_) {
    count += entry.second->open_requests.size();
    if (!entry.second->is_closed && entry.second->quic != nullptr) {
      count += entry.second->quic->unfinished_streams();
    }
  }
  return count;
}

void QuicTransport::StartDrain(TimePoint now) {
  draining_ = true;
  Tick(now);
}

bool QuicTransport::IsDrained() const {
  return draining_ && connections_.empty();
}

void QuicTransport::Tick(TimePoint now) {
  for (const ConnectionPtr& connection : AllConnections()) {
    if (!connection->is_closed && connection->quic->NextTimer() <= now) {
      connection->is_closed = !IsOk(connection->quic->OnTimer(now));
    }
    if (draining_ && !connection->is_closed) {
      if (!connection->go_away_sent_at.has_value()) {
        connection->quic->GoAway();
        connection->go_away_sent_at = now;
      }
      const bool is_idle = connection->open_requests.empty() &&
                           connection->quic->unfinished_streams() == 0;
      if (is_idle &&
          now - *connection->go_away_sent_at >= kCloseDelayAfterGoAway) {
        connection->quic->Close(now);
        connection->is_closed = true;
      }
    }
    ProcessEvents(*connection, now);
  }
}

void QuicTransport::Remove(uint32_t number) {
  const auto found = connections_.find(number);
  if (found == connections_.end()) return;
  for (const uint32_t issued : found->second->issued_flow_numbers) {
    connection_by_flow_number_.erase(issued);
  }
  connection_by_caller_.erase(found->second->initial_key);
  connections_.erase(found);
}

void QuicTransport::ForwardToNextCandidate(ForwardedPacket packet,
                                           const FlowDecision& decision) {
  const bool is_sent =
      SendToNextCandidate(std::move(packet), decision,
                          callbacks_.keys()->mac_key(), callbacks_.send);
  if (!is_sent) CountMalformed("hop");
}

void QuicTransport::SendReset(const ForwardedPacket& packet,
                              const PacketHeader& header) {
  const Bytes reset =
      MakeStatelessReset(ByteView(callbacks_.keys()->mac_key()),
                         header.destination, packet.payload.size());
  if (header.is_long || reset.empty()) return;
  FabricPacket response;
  response.service_address = packet.service_address;
  response.caller = packet.caller;
  response.payload = reset;
  callbacks_.send(packet.fabric_address, EncodeFabricPacket(response));
  metrics_.Add("medlarwinch_resets_total", {{"reason", "unknown_connection"}});
}

}  // namespace medlarwinch
