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

/// Event handlers of a connection, called from within Receive(), OnTimer() and
/// Flush(). All but `send` are optional.
struct QuicConnectionEvents {
  /// Sends one packet to the peer.
  std::function<void(ByteView packet)> send;
  /// Returns a new connection identifier for the peer to use as destination. A
  /// server issues flow identifiers, so that any balancer can route the
  /// packets.
  std::function<FlowIdentifierBytes()> issue_identifier;
  /// Returns the secret from which the stateless reset token of an identifier
  /// is derived, so that a restarted process can still reset the connection. If
  /// not set, a random token is used.
  std::function<ByteView()> reset_secret;
  /// An identifier returned by issue_identifier is no longer in use.
  std::function<void(ByteView identifier)> retire_identifier;

  /// Server: a complete request has been received.
  std::function<void(int64_t stream, const Http3Request& request)> on_request;
  /// Server: the client has cancelled the request.
  std::function<void(int64_t stream)> on_cancelled;

  /// Client: the handshake is complete and requests may be sent.
  std::function<void()> on_connected;
  std::function<void(int64_t stream, const Http3ResponseHead& head)>
      on_response;
  std::function<void(int64_t stream, ByteView chunk)> on_body;
  /// Client: the stream is closed. The response is complete if `code` is
  /// kH3NoError.
  std::function<void(int64_t stream, uint64_t code)> on_closed;
  /// Client: requests on stream `first_unprocessed` and above were not
  /// processed, and new ones will be refused.
  std::function<void(int64_t first_unprocessed)> on_go_away;
};

/// Creates a stateless reset packet, which ends a connection whose state was
/// lost. `identifier` is the destination of the packet that triggers the reset,
/// and `trigger_size` is its size in bytes. Returns an empty packet if that
/// size is too small to reset without the risk of a loop.
Bytes MakeStatelessReset(ByteView secret, ByteView identifier,
                         size_t trigger_size);

/// One QUIC connection that carries HTTP/3. It has no socket and no clock: the
/// caller passes in packets and the current time, and sends the packets that
/// are produced. Not thread-safe.
class QuicConnection {
 public:
  /// Creates the server side of the connection that `initial_packet` opens.
  /// Fails with kInvalidInput if the packet does not open a connection. The
  /// packet must then be passed to Receive().
  static Result<std::unique_ptr<QuicConnection>> Accept(
      const TlsCredentials& credentials, ByteView initial_packet,
      QuicConnectionEvents events, TimePoint now);

  /// Creates the client side of a connection to `server_name`. The first packet
  /// is sent by the next Flush().
  static Result<std::unique_ptr<QuicConnection>> Connect(
      const TlsCredentials& credentials, const std::string& server_name,
      QuicConnectionEvents events, TimePoint now);

  ~QuicConnection();
  QuicConnection(const QuicConnection&) = delete;
  QuicConnection& operator=(const QuicConnection&) = delete;

  /// Processes a received packet. Fails if the connection has been closed.
  Result<Ok> Receive(ByteView packet, TimePoint now);

  /// Time at which OnTimer() must be called. The maximum value if no timer is
  /// set.
  TimePoint NextTimer() const;
  Result<Ok> OnTimer(TimePoint now);

  /// Sends all packets that flow and congestion control allow at this time.
  Result<Ok> Flush(TimePoint now);

  /// Client: submits a complete request and returns its stream. Fails with
  /// kLimitExceeded while the peer's stream limit is reached.
  Result<int64_t> SubmitRequest(const Http3Request& request);

  /// Client: cancels a request. Server: aborts a response. `code` is
  /// kH3RequestCancelled, or kH3RequestRejected from a server that did not
  /// process the request.
  void ResetStream(int64_t stream, uint64_t code);

  /// Server: sends the status and header fields of a response. Fails with
  /// kNotFound if the stream is closed.
  Result<Ok> SubmitResponse(int64_t stream, const Http3ResponseHead& head);

  /// Server: appends to the body of a response. `is_last` ends the body.
  void AppendBody(int64_t stream, ByteView chunk, bool is_last);

  /// Server: number of body bytes that the peer has not acknowledged.
  size_t UnacknowledgedBytes(int64_t stream) const;

  /// Number of request streams that are not yet closed.
  size_t unfinished_streams() const;

  /// Server: sends GOAWAY. No further requests are processed on this
  /// connection, and those in progress complete normally.
  void GoAway();

  /// Closes the connection and notifies the peer.
  void Close(TimePoint now);

  bool is_connected() const;

 private:
  struct State;
  explicit QuicConnection(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
