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

/// Largest message of an exchange, in bytes: a reply with all records at their
/// bound, or with the whole member table.
inline constexpr uint32_t kMaxExchangeReplyBytes = 6 * 1'024 * 1'024;
inline constexpr uint32_t kMaxExchangeRequestBytes = 32 * 1'024;

/// Answers one request on each TCP connection. A message is a length of four
/// bytes in network order, followed by that many bytes.
class TcpExchangeServer {
 public:
  /// Returns the reply; an empty one closes the connection. Called on the
  /// server's thread.
  using Handler = std::function<Bytes(ByteView request)>;

  /// Listens on `local`. At most 32 connections are served at the same time and
  /// each is closed after `timeout`. Fails with kUnavailable, naming the
  /// address.
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

/// Sends `request` on a connection of its own and waits for the whole reply.
/// Fails with kUnavailable when no connection could be made, with kTimeout when
/// the reply was not complete within `timeout`, and with kLimitExceeded when it
/// is longer than kMaxExchangeReplyBytes.
Result<Bytes> ExchangeOverTcp(const Endpoint& server, const Bytes& request,
                              Millis timeout);

}  // namespace medlarwinch
