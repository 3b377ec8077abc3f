#include "http3_session.h"

#include <charconv>
#include <utility>

namespace medlarwinch {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr size_t kQpackTableBytes = 4'096;
constexpr uint64_t kMaxClientStreams = 1'000;

std::string RcbufToString(nghttp3_rcbuf* buffer) {
  const nghttp3_vec bytes = nghttp3_rcbuf_get_buf(buffer);
  return {reinterpret_cast<const char*>(bytes.base), bytes.len};
}

nghttp3_nv ToNvField(const std::pair<std::string, std::string>& field) {
  // nghttp3 copies names and values and never writes to them.
  const auto bytes = [](const std::string& text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return nghttp3_nv{bytes(field.first), bytes(field.second), field.first.size(),
                    field.second.size(), NGHTTP3_NV_FLAG_NONE};
}

}  // namespace

nghttp3_callbacks Http3Session::Callbacks(bool is_server) {
  nghttp3_callbacks callbacks{};
  callbacks.acked_stream_data = [](nghttp3_conn*, int64_t stream,
                                   uint64_t length, void* user_data, void*) {
    Http3Session& session = FromUserData(user_data);
    const auto found = session.streams_.find(stream);
    if (found != session.streams_.end()) {
      found->second.body.Acknowledge(length);
    }
    return 0;
  };
  callbacks.recv_data = [](nghttp3_conn*, int64_t stream, const uint8_t* data,
                           size_t length, void* user_data, void*) {
    Http3Session& session = FromUserData(user_data);
    session.control_.Consume(stream, length);
    const ByteView chunk(data, length);
    if (session.is_server_) {
      Bytes& body = session.streams_[stream].request.body;
      body.insert(body.end(), chunk.begin(), chunk.end());
    } else if (session.events_.on_body) {
      session.events_.on_body(stream, chunk);
    }
    return 0;
  };
  callbacks.deferred_consume = [](nghttp3_conn*, int64_t stream,
                                  size_t consumed, void* user_data, void*) {
    FromUserData(user_data).control_.Consume(stream, consumed);
    return 0;
  };
  callbacks.begin_headers = [](nghttp3_conn*, int64_t stream, void* user_data,
                               void*) {
    FromUserData(user_data).streams_.try_emplace(stream);
    return 0;
  };
  callbacks.recv_header = [](nghttp3_conn*, int64_t stream, int32_t,
                             nghttp3_rcbuf* name, nghttp3_rcbuf* value, uint8_t,
                             void* user_data, void*) {
    FromUserData(user_data).StoreHeader(stream, RcbufToString(name),
                                        RcbufToString(value));
    return 0;
  };
  if (!is_server) {
    callbacks.end_headers = [](nghttp3_conn*, int64_t stream, int,
                               void* user_data, void*) {
      Http3Session& session = FromUserData(user_data);
      if (session.events_.on_response) {
        session.events_.on_response(stream, session.streams_[stream].head);
      }
      return 0;
    };
    callbacks.shutdown = [](nghttp3_conn*, int64_t first_unprocessed,
                            void* user_data) {
      const Http3Session& session = FromUserData(user_data);
      if (session.events_.on_go_away) {
        session.events_.on_go_away(first_unprocessed);
      }
      return 0;
    };
  } else {
    callbacks.end_stream = [](nghttp3_conn*, int64_t stream, void* user_data,
                              void*) {
      Http3Session& session = FromUserData(user_data);
      if (session.events_.on_request) {
        session.events_.on_request(stream, session.streams_[stream].request);
      }
      return 0;
    };
  }
  callbacks.stop_sending = [](nghttp3_conn*, int64_t stream, uint64_t code,
                              void* user_data, void*) {
    FromUserData(user_data).control_.StopReading(stream, code);
    return 0;
  };
  callbacks.reset_stream = [](nghttp3_conn*, int64_t stream, uint64_t code,
                              void* user_data, void*) {
    FromUserData(user_data).control_.StopWriting(stream, code);
    return 0;
  };
  return callbacks;
}

Http3Session::Http3Session(bool is_server, const QuicConnectionEvents& events,
                           StreamControl& control)
    : is_server_(is_server), events_(events), control_(control) {
  nghttp3_settings settings{};
  nghttp3_settings_default(&settings);
  settings.qpack_max_dtable_capacity = kQpackTableBytes;
  const nghttp3_callbacks callbacks = Callbacks(is_server);
  const nghttp3_mem* memory = nghttp3_mem_default();
  if (is_server) {
    nghttp3_conn_server_new(&native_, &callbacks, &settings, memory, this);
    nghttp3_conn_set_max_client_streams_bidi(native_, kMaxClientStreams);
  } else {
    nghttp3_conn_client_new(&native_, &callbacks, &settings, memory, this);
  }
}

Http3Session::~Http3Session() { nghttp3_conn_del(native_); }

bool Http3Session::BindStreams(int64_t control, int64_t encoder,
                               int64_t decoder) {
  return nghttp3_conn_bind_control_stream(native_, control) == 0 &&
         nghttp3_conn_bind_qpack_streams(native_, encoder, decoder) == 0;
}

void Http3Session::StoreHeader(int64_t stream, const std::string& name,
                               const std::string& value) {
  Stream& state = streams_[stream];
  if (name == ":method") {
    state.request.method = value;
  } else if (name == ":path") {
    state.request.path = value;
  } else if (name == ":authority") {
    state.request.authority = value;
  } else if (name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(),
                    state.head.status);
  } else if (name[0] != ':') {
    std::map<std::string, std::string>& headers =
        is_server_ ? state.request.headers : state.head.headers;
    headers[name] = value;
  }
}

bool Http3Session::Submit(int64_t stream, const Fields& fields) {
  std::vector<nghttp3_nv> nv_fields;
  nv_fields.reserve(fields.size());
  for (const std::pair<std::string, std::string>& field : fields) {
    nv_fields.push_back(ToNvField(field));
  }
  nghttp3_data_reader reader{};
  reader.read_data = [](nghttp3_conn*, int64_t id, nghttp3_vec* chunks, size_t,
                        uint32_t* flags, void* user_data,
                        void*) -> nghttp3_ssize {
    BodyQueue& body = FromUserData(user_data).streams_[id].body;
    const ByteView chunk = body.Next();
    if (body.is_fully_read()) *flags |= NGHTTP3_DATA_FLAG_EOF;
    if (chunk.empty()) {
      return body.is_fully_read() ? 0 : NGHTTP3_ERR_WOULDBLOCK;
    }
    chunks[0].base = const_cast<uint8_t*>(chunk.data());
    chunks[0].len = chunk.size();
    return 1;
  };
  const int status =
      is_server_
          ? nghttp3_conn_submit_response(native_, stream, nv_fields.data(),
                                         nv_fields.size(), &reader)
          : nghttp3_conn_submit_request(native_, stream, nv_fields.data(),
                                        nv_fields.size(), &reader, nullptr);
  return status == 0;
}

bool Http3Session::SubmitRequest(int64_t stream, const Http3Request& request) {
  streams_[stream].body.Append(request.body, true);
  Fields fields{{":method", request.method},
                {":scheme", "https"},
                {":authority", request.authority},
                {":path", request.path}};
  fields.insert(fields.end(), request.headers.begin(), request.headers.end());
  return Submit(stream, fields);
}

bool Http3Session::SubmitResponse(int64_t stream,
                                  const Http3ResponseHead& head) {
  if (streams_.count(stream) == 0) return false;
  Fields fields{{":status", std::to_string(head.status)}};
  fields.insert(fields.end(), head.headers.begin(), head.headers.end());
  return Submit(stream, fields);
}

void Http3Session::AppendBody(int64_t stream, ByteView chunk, bool is_last) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  found->second.body.Append(chunk, is_last);
  nghttp3_conn_resume_stream(native_, stream);
}

size_t Http3Session::UnacknowledgedBytes(int64_t stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? 0
                                 : found->second.body.unacknowledged_bytes();
}

void Http3Session::GoAway() { nghttp3_conn_shutdown(native_); }

void Http3Session::CloseStream(int64_t stream, uint64_t code) {
  nghttp3_conn_close_stream(native_, stream, code);
  if (streams_.erase(stream) == 0) return;
  if (is_server_ && code != kH3NoError && events_.on_cancelled) {
    events_.on_cancelled(stream);
  }
  if (!is_server_ && events_.on_closed) events_.on_closed(stream, code);
}

}  // namespace medlarwinch
