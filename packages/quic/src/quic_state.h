#pragma once

#include <gnutls/gnutls.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <memory>
#include <string>
#include <utility>

#include "http3_session.h"
#include "medlarwinch/quic/quic_connection.h"

namespace medlarwinch {

/// Owns the ngtcp2, GnuTLS and HTTP/3 objects of one connection and connects
/// their callbacks.
struct QuicConnection::State : public StreamControl {
  State(bool server, QuicConnectionEvents connection_events)
      : is_server(server), events(std::move(connection_events)) {
    crypto_conn_ref.get_conn = [](ngtcp2_crypto_conn_ref* ref) {
      return static_cast<State*>(ref->user_data)->native;
    };
    crypto_conn_ref.user_data = this;
  }
  ~State() override {
    http3.reset();
    if (native != nullptr) ngtcp2_conn_del(native);
    if (tls != nullptr) gnutls_deinit(tls);
  }

  static State& FromUserData(void* user_data) {
    return *static_cast<State*>(user_data);
  }

  void Consume(int64_t stream, size_t bytes) override {
    ngtcp2_conn_extend_max_stream_offset(native, stream, bytes);
    ngtcp2_conn_extend_max_offset(native, bytes);
  }
  void StopReading(int64_t stream, uint64_t code) override {
    ngtcp2_conn_shutdown_stream_read(native, stream, code);
  }
  void StopWriting(int64_t stream, uint64_t code) override {
    ngtcp2_conn_shutdown_stream_write(native, stream, code);
  }

  bool StartTls(const TlsCredentials& credentials,
                const std::string& server_name);
  bool StartHttp3();
  bool ReceiveStreamData(int64_t stream, ByteView data, bool is_last);
  ngtcp2_callbacks Callbacks() const;
  ngtcp2_cid NewIdentifier() const;
  void FillResetToken(const ngtcp2_cid& identifier, uint8_t* token) const;
  Result<Ok> WritePackets(TimePoint now);

  bool is_server;
  QuicConnectionEvents events;
  ngtcp2_crypto_conn_ref crypto_conn_ref{};
  ngtcp2_conn* native = nullptr;
  gnutls_session_t tls = nullptr;
  std::unique_ptr<Http3Session> http3;
  bool is_closed = false;
};

}  // namespace medlarwinch
