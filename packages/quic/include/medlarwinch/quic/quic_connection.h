#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/quic/http3_message.h"
#include "medlarwinch/quic/tls_credentials.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_identifier.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// What a connection calls; all calls come from within Receive(), OnTimer() and
/// Flush(). Functions that are not set are not called.
struct QuicConnectionEvents {
  /// Sends one packet to the other side.
  std::function<void(ByteView packet)> send;
  /// Returns a fresh identifier under which the other side sends to this
  /// connection. A server issues flow identifiers, so that every balancer can
  /// route the packets.
  std::function<FlowIdentifierBytes()> issue_identifier;
  /// Returns the secret from which the stateless reset token of an identifier
  /// is derived, so that a restarted process can still end the connection; a
  /// random token is used when it is not set.
  std::function<ByteView()> reset_secret;
  /// An identifier from issue_identifier is no longer used.
  std::function<void(ByteView identifier)> retire_identifier;

  /// Server: a whole request has arrived.
  std::function<void(int64_t stream, const Http3Request& request)> on_request;
  /// Server: the client no longer wants the response.
  std::function<void(int64_t stream)> on_cancelled;

  /// Client: the connection carries requests from now on.
  std::function<void()> on_connected;
  std::function<void(int64_t stream, const Http3ResponseHead& head)>
      on_response;
  std::function<void(int64_t stream, ByteView chunk)> on_body;
  /// Client: the response is complete when `code` is kH3NoError.
  std::function<void(int64_t stream, uint64_t code)> on_closed;
  /// Client: requests on streams from `first_unprocessed` on were not
  /// processed and later ones won't be.
  std::function<void(int64_t first_unprocessed)> on_go_away;
};

/// Makes the packet that ends a connection whose state is lost. `identifier` is
/// the destination of the packet that it answers. Returns nothing when that
/// packet of `answered_size` bytes is too short to answer without a loop.
Bytes MakeStatelessReset(ByteView secret, ByteView identifier,
                         size_t answered_size);

/// One QUIC connection that carries HTTP/3, without a socket or a clock:
/// packets and time are handed in, packets are handed out. Used by one thread
/// at a time.
class QuicConnection {
 public:
  /// Accepts the connection that `initial_packet` opens. Fails with
  /// kInvalidInput when the packet does not open a connection. The packet
  /// itself is given to Receive() afterwards.
  static Result<std::unique_ptr<QuicConnection>> Accept(
      const TlsCredentials& credentials, ByteView initial_packet,
      QuicConnectionEvents events, TimePoint now);

  /// Starts a connection to `server_name`; the first packet leaves with the
  /// next Flush().
  static Result<std::unique_ptr<QuicConnection>> Connect(
      const TlsCredentials& credentials, const std::string& server_name,
      QuicConnectionEvents events, TimePoint now);

  ~QuicConnection();
  QuicConnection(const QuicConnection&) = delete;
  QuicConnection& operator=(const QuicConnection&) = delete;

  /// Takes a packet of this connection. Fails when the connection has ended.
  Result<Ok> Receive(ByteView packet, TimePoint now);

  /// Time at which OnTimer() is due; a very large value when never.
  TimePoint NextTimer() const;
  Result<Ok> OnTimer(TimePoint now);

  /// Sends everything that may be sent now.
  Result<Ok> Flush(TimePoint now);

  /// Client: submits a whole request and returns its stream. Fails with
  /// kLimitExceeded when the other side allows no more streams for now.
  Result<int64_t> SubmitRequest(const Http3Request& request);

  /// Client: cancels a request. Server: ends a response abnormally. `code` is
  /// kH3RequestCancelled, or kH3RequestRejected from a server that did not
  /// process the request.
  void ResetStream(int64_t stream, uint64_t code);

  /// Server: sends the head of a response. Fails with kNotFound when the stream
  /// is gone.
  Result<Ok> SubmitResponse(int64_t stream, const Http3ResponseHead& head);

  /// Server: adds to the body of a response; `is_last` ends it.
  void AppendBody(int64_t stream, ByteView chunk, bool is_last);

  /// Server: bytes of a response that the other side has not acknowledged.
  size_t UnacknowledgedBytes(int64_t stream) const;

  /// Streams of requests whose end the other side has not acknowledged.
  size_t unfinished_streams() const;

  /// Server: announces that no more requests are processed on this connection;
  /// requests in progress end normally.
  void GoAway();

  /// Ends the connection and tells the other side.
  void Close(TimePoint now);

  bool is_connected() const;

 private:
  struct State;
  explicit QuicConnection(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
