#include "medlarwinch/quic/quic_connection.h"

#include <gnutls/gnutls.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>
#include <ngtcp2/ngtcp2_crypto_gnutls.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>

#include "medlarwinch/protocol/packet_header.h"
#include "quic_state.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kNanosPerMilli = 1'000'000;
constexpr uint64_t kStreamWindowBytes = 256 * 1'024;
constexpr uint64_t kConnectionWindowBytes = 1'024 * 1'024;
constexpr uint64_t kMaxStreams = 100;
// Clients send keep-alive packets at a third of this time, so that a feed that
// sends one line per hour keeps its connection.
constexpr Millis kIdleTimeout{600'000};
constexpr size_t kMaxUdpPayloadBytes = 1'200;
constexpr const char* kTlsPriority =
    "NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+AES-256-GCM:"
    "+CHACHA20-POLY1305:-GROUP-ALL:+GROUP-X25519:+GROUP-SECP256R1:"
    "%DISABLE_TLS13_COMPAT_MODE";

ngtcp2_tstamp ToTimestamp(TimePoint time) {
  return static_cast<ngtcp2_tstamp>(time.value) * kNanosPerMilli;
}

Error QuicError(const char* action, int64_t status) {
  return Error{
      ErrorCode::kUnavailable,
      std::string(action) + ": " + ngtcp2_strerror(static_cast<int>(status))};
}

// Returns a constant path. Balancers do the routing, so ngtcp2 must not see any
// change of address.
ngtcp2_path PlaceholderPath() {
  static sockaddr_in local{AF_INET, 1, {0x0100007f}, {}};
  static sockaddr_in remote{AF_INET, 2, {0x0100007f}, {}};
  ngtcp2_path path{};
  path.local.addr = reinterpret_cast<ngtcp2_sockaddr*>(&local);
  path.local.addrlen = sizeof(local);
  path.remote.addr = reinterpret_cast<ngtcp2_sockaddr*>(&remote);
  path.remote.addrlen = sizeof(remote);
  return path;
}

ngtcp2_transport_params TransportParameters() {
  ngtcp2_transport_params parameters{};
  ngtcp2_transport_params_default(&parameters);
  parameters.initial_max_stream_data_bidi_local = kStreamWindowBytes;
  parameters.initial_max_stream_data_bidi_remote = kStreamWindowBytes;
  parameters.initial_max_stream_data_uni = kStreamWindowBytes;
  parameters.initial_max_data = kConnectionWindowBytes;
  parameters.initial_max_streams_bidi = kMaxStreams;
  parameters.initial_max_streams_uni = 3;
  parameters.max_idle_timeout =
      static_cast<uint64_t>(kIdleTimeout.value) * kNanosPerMilli;
  parameters.active_connection_id_limit = 4;
  return parameters;
}

}  // namespace

void QuicConnection::State::FillResetToken(const ngtcp2_cid& identifier,
                                           uint8_t* token) const {
  if (!events.reset_secret) {
    randombytes_buf(token, NGTCP2_STATELESS_RESET_TOKENLEN);
    return;
  }
  const ByteView secret = events.reset_secret();
  ngtcp2_crypto_generate_stateless_reset_token(token, secret.data(),
                                               secret.size(), &identifier);
}

ngtcp2_cid QuicConnection::State::NewIdentifier() const {
  ngtcp2_cid identifier{};
  if (events.issue_identifier) {
    const FlowIdentifierBytes bytes = events.issue_identifier();
    ngtcp2_cid_init(&identifier, bytes.data(), bytes.size());
    return identifier;
  }
  std::array<uint8_t, kCallerIdentifierBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  ngtcp2_cid_init(&identifier, bytes.data(), bytes.size());
  return identifier;
}

bool QuicConnection::State::StartTls(const TlsCredentials& credentials,
                                     const std::string& server_name) {
  const unsigned side = is_server ? GNUTLS_SERVER : GNUTLS_CLIENT;
  if (gnutls_init(&tls, side | GNUTLS_NO_END_OF_EARLY_DATA) != 0) return false;
  if (gnutls_priority_set_direct(tls, kTlsPriority, nullptr) != 0) return false;
  const int configured =
      is_server ? ngtcp2_crypto_gnutls_configure_server_session(tls)
                : ngtcp2_crypto_gnutls_configure_client_session(tls);
  if (configured != 0) return false;
  gnutls_session_set_ptr(tls, &crypto_conn_ref);
  gnutls_credentials_set(tls, GNUTLS_CRD_CERTIFICATE, credentials.native());
  unsigned char protocol[] = {'h', '3'};
  const gnutls_datum_t alpn{protocol, sizeof(protocol)};
  gnutls_alpn_set_protocols(tls, &alpn, 1, GNUTLS_ALPN_MANDATORY);
  if (!is_server) {
    gnutls_server_name_set(tls, GNUTLS_NAME_DNS, server_name.data(),
                           server_name.size());
    if (credentials.verifies_peer()) {
      gnutls_session_set_verify_cert(tls, server_name.c_str(), 0);
    }
  }
  return true;
}

Bytes MakeStatelessReset(ByteView secret, ByteView identifier,
                         size_t trigger_size) {
  // RFC 9000, section 10.3.3: a stateless reset must be smaller than the packet
  // that triggers it, so that two endpoints do not reset each other in an
  // endless loop.
  constexpr size_t kMinTriggerBytes = 43;
  constexpr size_t kResetBytes = 42;
  if (trigger_size < kMinTriggerBytes ||
      identifier.size() > NGTCP2_MAX_CIDLEN) {
    return {};
  }
  ngtcp2_cid native{};
  ngtcp2_cid_init(&native, identifier.data(), identifier.size());
  std::array<uint8_t, NGTCP2_STATELESS_RESET_TOKENLEN> token{};
  ngtcp2_crypto_generate_stateless_reset_token(token.data(), secret.data(),
                                               secret.size(), &native);
  std::array<uint8_t, kResetBytes> random{};
  randombytes_buf(random.data(), random.size());
  Bytes packet(kResetBytes);
  const ngtcp2_ssize size = ngtcp2_pkt_write_stateless_reset(
      packet.data(), packet.size(), token.data(), random.data(),
      packet.size() - NGTCP2_STATELESS_RESET_TOKENLEN - 1);
  packet.resize(size > 0 ? static_cast<size_t>(size) : 0);
  return packet;
}

Result<std::unique_ptr<QuicConnection>> QuicConnection::Accept(
    const TlsCredentials& credentials, ByteView initial_packet,
    QuicConnectionEvents events, TimePoint now) {
  ngtcp2_pkt_hd header{};
  const int accepted =
      ngtcp2_accept(&header, initial_packet.data(), initial_packet.size());
  if (accepted != 0) {
    return Error{ErrorCode::kInvalidInput,
                 "packet does not open a QUIC connection"};
  }
  std::unique_ptr<State> state =
      std::make_unique<State>(true, std::move(events));
  ngtcp2_settings settings{};
  ngtcp2_settings_default(&settings);
  settings.initial_ts = ToTimestamp(now);
  settings.max_tx_udp_payload_size = kMaxUdpPayloadBytes;
  settings.no_pmtud = 1;
  ngtcp2_transport_params parameters = TransportParameters();
  parameters.original_dcid = header.dcid;
  const ngtcp2_cid identifier = state->NewIdentifier();
  parameters.stateless_reset_token_present = 1;
  state->FillResetToken(identifier, parameters.stateless_reset_token);
  const ngtcp2_callbacks callbacks = state->Callbacks();
  const ngtcp2_path path = PlaceholderPath();
  const int created = ngtcp2_conn_server_new(
      &state->native, &header.scid, &identifier, &path, header.version,
      &callbacks, &settings, &parameters, nullptr, state.get());
  if (created != 0) return QuicError("cannot accept a connection", created);
  if (!state->StartTls(credentials, "")) {
    return Error{ErrorCode::kInternal, "cannot start TLS"};
  }
  ngtcp2_conn_set_tls_native_handle(state->native, state->tls);
  return std::unique_ptr<QuicConnection>(new QuicConnection(std::move(state)));
}

Result<std::unique_ptr<QuicConnection>> QuicConnection::Connect(
    const TlsCredentials& credentials, const std::string& server_name,
    QuicConnectionEvents events, TimePoint now) {
  std::unique_ptr<State> state =
      std::make_unique<State>(false, std::move(events));
  ngtcp2_settings settings{};
  ngtcp2_settings_default(&settings);
  settings.initial_ts = ToTimestamp(now);
  settings.max_tx_udp_payload_size = kMaxUdpPayloadBytes;
  settings.no_pmtud = 1;
  const ngtcp2_transport_params parameters = TransportParameters();
  ngtcp2_cid destination{};
  std::array<uint8_t, kFlowIdentifierBytes> random{};
  randombytes_buf(random.data(), random.size());
  ngtcp2_cid_init(&destination, random.data(), random.size());
  const ngtcp2_cid source = state->NewIdentifier();
  const ngtcp2_callbacks callbacks = state->Callbacks();
  const ngtcp2_path path = PlaceholderPath();
  const int created = ngtcp2_conn_client_new(
      &state->native, &destination, &source, &path, NGTCP2_PROTO_VER_V1,
      &callbacks, &settings, &parameters, nullptr, state.get());
  if (created != 0) return QuicError("cannot create a connection", created);
  if (!state->StartTls(credentials, server_name)) {
    return Error{ErrorCode::kInternal, "cannot start TLS"};
  }
  ngtcp2_conn_set_tls_native_handle(state->native, state->tls);
  ngtcp2_conn_set_keep_alive_timeout(
      state->native,
      static_cast<uint64_t>(kIdleTimeout.value) * kNanosPerMilli / 3);
  return std::unique_ptr<QuicConnection>(new QuicConnection(std::move(state)));
}

QuicConnection::QuicConnection(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

QuicConnection::~QuicConnection() = default;

Result<Ok> QuicConnection::Receive(ByteView packet, TimePoint now) {
  const ngtcp2_path path = PlaceholderPath();
  const ngtcp2_pkt_info info{};
  const int status =
      ngtcp2_conn_read_pkt(state_->native, &path, &info, packet.data(),
                           packet.size(), ToTimestamp(now));
  if (status == 0) return Ok{};
  // Address validation with Retry packets is not used. The packet is dropped,
  // and the client retransmits it.
  if (status == NGTCP2_ERR_RETRY) return Ok{};
  state_->is_closed = true;
  return QuicError("connection closed", status);
}

TimePoint QuicConnection::NextTimer() const {
  const ngtcp2_tstamp expiry = ngtcp2_conn_get_expiry(state_->native);
  if (expiry == std::numeric_limits<ngtcp2_tstamp>::max()) {
    return TimePoint{std::numeric_limits<int64_t>::max()};
  }
  // Rounded up, so that the timer does not fire early and then again.
  return TimePoint{
      static_cast<int64_t>((expiry + kNanosPerMilli - 1) / kNanosPerMilli)};
}

Result<Ok> QuicConnection::OnTimer(TimePoint now) {
  const int status =
      ngtcp2_conn_handle_expiry(state_->native, ToTimestamp(now));
  if (status == 0) return Ok{};
  state_->is_closed = true;
  return QuicError("connection closed", status);
}

Result<Ok> QuicConnection::Flush(TimePoint now) {
  if (state_->is_closed) {
    return Error{ErrorCode::kUnavailable, "connection is closed"};
  }
  return state_->WritePackets(now);
}

Result<Ok> QuicConnection::State::WritePackets(TimePoint now) {
  std::array<uint8_t, kMaxUdpPayloadBytes> packet{};
  std::array<nghttp3_vec, 8> chunks{};
  const ngtcp2_tstamp timestamp = ToTimestamp(now);
  while (true) {
    int64_t stream = -1;
    int is_last = 0;
    nghttp3_ssize chunk_count = 0;
    if (http3 != nullptr && ngtcp2_conn_get_max_data_left(native) > 0) {
      chunk_count = nghttp3_conn_writev_stream(
          http3->native(), &stream, &is_last, chunks.data(), chunks.size());
      if (chunk_count < 0) {
        return Error{ErrorCode::kInternal, "cannot write an HTTP/3 stream"};
      }
    }
    uint32_t flags = NGTCP2_WRITE_STREAM_FLAG_MORE;
    if (is_last != 0) flags |= NGTCP2_WRITE_STREAM_FLAG_FIN;
    ngtcp2_ssize stream_bytes = -1;
    ngtcp2_pkt_info info{};
    const ngtcp2_ssize size = ngtcp2_conn_writev_stream(
        native, nullptr, &info, packet.data(), packet.size(), &stream_bytes,
        flags, stream, reinterpret_cast<const ngtcp2_vec*>(chunks.data()),
        static_cast<size_t>(chunk_count), timestamp);
    if (size == NGTCP2_ERR_STREAM_DATA_BLOCKED) {
      nghttp3_conn_block_stream(http3->native(), stream);
      continue;
    }
    if (size == NGTCP2_ERR_STREAM_SHUT_WR) {
      nghttp3_conn_shutdown_stream_write(http3->native(), stream);
      continue;
    }
    if (size < 0 && size != NGTCP2_ERR_WRITE_MORE) {
      is_closed = true;
      return QuicError("cannot write a packet", size);
    }
    if (stream_bytes >= 0) {
      nghttp3_conn_add_write_offset(http3->native(), stream,
                                    static_cast<size_t>(stream_bytes));
    }
    if (size == NGTCP2_ERR_WRITE_MORE) continue;
    if (size == 0) break;
    events.send(ByteView(packet.data(), static_cast<size_t>(size)));
  }
  ngtcp2_conn_update_pkt_tx_time(native, timestamp);
  return Ok{};
}

Result<int64_t> QuicConnection::SubmitRequest(const Http3Request& request) {
  if (state_->http3 == nullptr) {
    return Error{ErrorCode::kUnavailable, "connection is not established"};
  }
  int64_t stream = -1;
  if (ngtcp2_conn_open_bidi_stream(state_->native, &stream, nullptr) != 0) {
    return Error{ErrorCode::kLimitExceeded,
                 "the peer's stream limit is reached"};
  }
  if (!state_->http3->SubmitRequest(stream, request)) {
    return Error{ErrorCode::kUnavailable,
                 "cannot submit the request to the HTTP/3 layer"};
  }
  return stream;
}

void QuicConnection::ResetStream(int64_t stream, uint64_t code) {
  ngtcp2_conn_shutdown_stream(state_->native, stream, code);
}

Result<Ok> QuicConnection::SubmitResponse(int64_t stream,
                                          const Http3ResponseHead& head) {
  if (state_->http3 == nullptr ||
      !state_->http3->SubmitResponse(stream, head)) {
    return Error{ErrorCode::kNotFound,
                 "stream " + std::to_string(stream) + " is closed"};
  }
  return Ok{};
}

void QuicConnection::AppendBody(int64_t stream, ByteView chunk, bool is_last) {
  if (state_->http3 == nullptr) return;
  state_->http3->AppendBody(stream, chunk, is_last);
}

size_t QuicConnection::UnacknowledgedBytes(int64_t stream) const {
  return state_->http3 == nullptr ? 0
                                  : state_->http3->UnacknowledgedBytes(stream);
}

size_t QuicConnection::unfinished_streams() const {
  return state_->http3 == nullptr ? 0 : state_->http3->stream_count();
}

void QuicConnection::GoAway() {
  if (state_->http3 != nullptr) state_->http3->GoAway();
}

void QuicConnection::Close(TimePoint now) {
  if (state_->is_closed) return;
  state_->is_closed = true;
  ngtcp2_connection_close_error reason{};
  ngtcp2_connection_close_error_default(&reason);
  ngtcp2_connection_close_error_set_application_error(&reason, kH3NoError,
                                                      nullptr, 0);
  std::array<uint8_t, kMaxUdpPayloadBytes> packet{};
  ngtcp2_pkt_info info{};
  const ngtcp2_ssize size = ngtcp2_conn_write_connection_close(
      state_->native, nullptr, &info, packet.data(), packet.size(), &reason,
      ToTimestamp(now));
  if (size > 0) {
    state_->events.send(ByteView(packet.data(), static_cast<size_t>(size)));
  }
}

bool QuicConnection::is_connected() const {
  return state_->http3 != nullptr &&
         ngtcp2_conn_get_handshake_completed(state_->native) != 0;
}

}  // namespace medlarwinch
