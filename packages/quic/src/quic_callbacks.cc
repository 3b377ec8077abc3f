#include <ngtcp2/ngtcp2_crypto.h>
#include <sodium.h>

#include "quic_state.h"

namespace medlarwinch {
namespace {

void FillRandom(uint8_t* bytes, size_t size, const ngtcp2_rand_ctx*) {
  randombytes_buf(bytes, size);
}

}  // namespace

bool QuicConnection::State::StartHttp3() {
  if (http3 != nullptr) return true;
  if (ngtcp2_conn_get_max_local_streams_uni(native) < 3) return false;
  int64_t control = 0;
  int64_t encoder = 0;
  int64_t decoder = 0;
  if (ngtcp2_conn_open_uni_stream(native, &control, nullptr) != 0 ||
      ngtcp2_conn_open_uni_stream(native, &encoder, nullptr) != 0 ||
      ngtcp2_conn_open_uni_stream(native, &decoder, nullptr) != 0) {
    return false;
  }
  http3 = std::make_unique<Http3Session>(is_server, events, *this);
  return http3->BindStreams(control, encoder, decoder);
}

bool QuicConnection::State::ReceiveStreamData(int64_t stream, ByteView data,
                                              bool is_last) {
  if (http3 == nullptr) return false;
  const nghttp3_ssize consumed = nghttp3_conn_read_stream(
      http3->native(), stream, data.data(), data.size(), is_last ? 1 : 0);
  if (consumed < 0) return false;
  Consume(stream, static_cast<size_t>(consumed));
  return true;
}

ngtcp2_callbacks QuicConnection::State::Callbacks() const {
  ngtcp2_callbacks callbacks{};
  if (is_server) {
    callbacks.recv_client_initial = ngtcp2_crypto_recv_client_initial_cb;
  } else {
    callbacks.client_initial = ngtcp2_crypto_client_initial_cb;
    callbacks.recv_retry = ngtcp2_crypto_recv_retry_cb;
    callbacks.handshake_completed = [](ngtcp2_conn*, void* user_data) {
      const State& state = FromUserData(user_data);
      if (state.events.on_connected) state.events.on_connected();
      return 0;
    };
  }
  callbacks.recv_crypto_data = ngtcp2_crypto_recv_crypto_data_cb;
  callbacks.encrypt = ngtcp2_crypto_encrypt_cb;
  callbacks.decrypt = ngtcp2_crypto_decrypt_cb;
  callbacks.hp_mask = ngtcp2_crypto_hp_mask_cb;
  callbacks.update_key = ngtcp2_crypto_update_key_cb;
  callbacks.delete_crypto_aead_ctx = ngtcp2_crypto_delete_crypto_aead_ctx_cb;
  callbacks.delete_crypto_cipher_ctx =
      ngtcp2_crypto_delete_crypto_cipher_ctx_cb;
  callbacks.get_path_challenge_data = ngtcp2_crypto_get_path_challenge_data_cb;
  callbacks.version_negotiation = ngtcp2_crypto_version_negotiation_cb;
  callbacks.rand = FillRandom;
  callbacks.get_new_connection_id = [](ngtcp2_conn*, ngtcp2_cid* identifier,
                                       uint8_t* token, size_t,
                                       void* user_data) {
    const State& state = FromUserData(user_data);
    *identifier = state.NewIdentifier();
    state.FillResetToken(*identifier, token);
    return 0;
  };
  callbacks.remove_connection_id =
      [](ngtcp2_conn*, const ngtcp2_cid* identifier, void* user_data) {
        const State& state = FromUserData(user_data);
        if (state.events.retire_identifier) {
          state.events.retire_identifier(
              ByteView(identifier->data, identifier->datalen));
        }
        return 0;
      };
  callbacks.recv_stream_data = [](ngtcp2_conn*, uint32_t flags, int64_t stream,
                                  uint64_t, const uint8_t* data, size_t length,
                                  void* user_data, void*) -> int {
    const bool is_last = (flags & NGTCP2_STREAM_DATA_FLAG_FIN) != 0;
    const bool is_accepted = FromUserData(user_data).ReceiveStreamData(
        stream, ByteView(data, length), is_last);
    return is_accepted ? 0 : NGTCP2_ERR_CALLBACK_FAILURE;
  };
  callbacks.acked_stream_data_offset = [](ngtcp2_conn*, int64_t stream,
                                          uint64_t, uint64_t length,
                                          void* user_data, void*) {
    State& state = FromUserData(user_data);
    if (state.http3 != nullptr) {
      nghttp3_conn_add_ack_offset(state.http3->native(), stream, length);
    }
    return 0;
  };
  callbacks.stream_close = [](ngtcp2_conn* native, uint32_t flags,
                              int64_t stream, uint64_t code, void* user_data,
                              void*) {
    State& state = FromUserData(user_data);
    const bool has_code =
        (flags & NGTCP2_STREAM_CLOSE_FLAG_APP_ERROR_CODE_SET) != 0;
    if (state.http3 != nullptr) {
      state.http3->CloseStream(stream, has_code ? code : kH3NoError);
    }
    if (state.is_server && ngtcp2_is_bidi_stream(stream) != 0) {
      ngtcp2_conn_extend_max_streams_bidi(native, 1);
    }
    return 0;
  };
  callbacks.stream_reset = [](ngtcp2_conn*, int64_t stream, uint64_t, uint64_t,
                              void* user_data, void*) {
    State& state = FromUserData(user_data);
    if (state.http3 != nullptr) {
      nghttp3_conn_shutdown_stream_read(state.http3->native(), stream);
    }
    return 0;
  };
  callbacks.stream_stop_sending = [](ngtcp2_conn*, int64_t stream, uint64_t,
                                     void* user_data, void*) {
    State& state = FromUserData(user_data);
    if (state.http3 != nullptr) {
      nghttp3_conn_shutdown_stream_read(state.http3->native(), stream);
    }
    return 0;
  };
  callbacks.extend_max_stream_data = [](ngtcp2_conn*, int64_t stream, uint64_t,
                                        void* user_data, void*) {
    State& state = FromUserData(user_data);
    if (state.http3 != nullptr) {
      nghttp3_conn_unblock_stream(state.http3->native(), stream);
    }
    return 0;
  };
  const ngtcp2_recv_key start_http3 =
      [](ngtcp2_conn*, ngtcp2_crypto_level level, void* user_data) -> int {
    if (level != NGTCP2_CRYPTO_LEVEL_APPLICATION) return 0;
    return FromUserData(user_data).StartHttp3() ? 0
                                                : NGTCP2_ERR_CALLBACK_FAILURE;
  };
  if (is_server) {
    callbacks.recv_tx_key = start_http3;
  } else {
    callbacks.recv_rx_key = start_http3;
  }
  return callbacks;
}

}  // namespace medlarwinch
