#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Maximum size of a reply, in bytes. Large enough for all records at their
/// bound, or for the complete member table.
inline constexpr uint32_t kMaxExchangeReplyBytes = 6 * 1'024 * 1'024;
inline constexpr uint32_t kMaxExchangeRequestBytes = 32 * 1'024;

/// Serves one request per TCP connection. A message is a 4-byte length in
/// network byte order, followed by that many bytes.
class TcpExchangeServer {
 public:
  /// Returns the reply, or nothing to close the connection without one. Called
  /// on the server's thread.
  using Handler = std::function<Bytes(ByteView request)>;

  /// Listens on `local`. Serves at most 32 concurrent connections and closes
  /// each one after `timeout`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<TcpExchangeServer>> Listen(
      const Endpoint& local, Millis timeout, Handler handler);

  /// Closes all connections and joins the thread.
  ~TcpExchangeServer();
  TcpExchangeServer(const TcpExchangeServer&) = delete;
  TcpExchangeServer& operator=(const TcpExchangeServer&) = delete;

 private:
  struct State;
  explicit TcpExchangeServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

/// Sends `request` on a new connection and blocks until the complete reply has
/// been received. Fails with kUnavailable if the connection can't be
/// established, with kTimeout if the reply is not complete within `timeout`,
/// and with kLimitExceeded if it is longer than kMaxExchangeReplyBytes.
Result<Bytes> ExchangeOverTcp(const Endpoint& server, const Bytes& request,
                              Millis timeout);

}  // namespace medlarwinch
