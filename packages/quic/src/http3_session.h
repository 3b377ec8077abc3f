#pragma once

#include <nghttp3/nghttp3.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "body_queue.h"
#include "medlarwinch/quic/quic_connection.h"

namespace medlarwinch {

/// Stream operations that the HTTP/3 layer requires from the QUIC layer.
class StreamControl {
 public:
  virtual ~StreamControl() = default;
  /// Returns flow-control credit for consumed bytes to the peer.
  virtual void Consume(int64_t stream, size_t bytes) = 0;
  virtual void StopReading(int64_t stream, uint64_t code) = 0;
  virtual void StopWriting(int64_t stream, uint64_t code) = 0;
};

/// HTTP/3 layer of one connection. Owns the nghttp3 connection and the messages
/// in progress.
class Http3Session {
 public:
  Http3Session(bool is_server, const QuicConnectionEvents& events,
               StreamControl& control);
  ~Http3Session();
  Http3Session(const Http3Session&) = delete;
  Http3Session& operator=(const Http3Session&) = delete;

  /// Binds the three local unidirectional streams. Returns false on a library
  /// error.
  bool BindStreams(int64_t control, int64_t encoder, int64_t decoder);

  bool SubmitRequest(int64_t stream, const Http3Request& request);
  bool SubmitResponse(int64_t stream, const Http3ResponseHead& head);
  void AppendBody(int64_t stream, ByteView chunk, bool is_last);
  size_t UnacknowledgedBytes(int64_t stream) const;
  size_t stream_count() const { return streams_.size(); }
  void GoAway();
  void CloseStream(int64_t stream, uint64_t code);

  nghttp3_conn* native() { return native_; }

 private:
  struct Stream {
    Http3Request request;
    Http3ResponseHead head;
    BodyQueue body;
  };

  static Http3Session& FromUserData(void* user_data) {
    return *static_cast<Http3Session*>(user_data);
  }
  static nghttp3_callbacks Callbacks(bool is_server);
  bool Submit(int64_t stream,
              const std::vector<std::pair<std::string, std::string>>& fields);
  void StoreHeader(int64_t stream, const std::string& name,
                   const std::string& value);

  bool is_server_;
  const QuicConnectionEvents& events_;
  StreamControl& control_;
  nghttp3_conn* native_ = nullptr;
  std::map<int64_t, Stream> streams_;
};

}  // namespace medlarwinch
