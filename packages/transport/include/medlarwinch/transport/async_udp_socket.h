#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A bound UDP socket that runs on an event loop. Unlike UdpSocket, it has no
/// threads.
class AsyncUdpSocket {
 public:
  /// Called for each received datagram with the address of its sender. The
  /// handler may modify the bytes, which are valid only during the call.
  using Handler =
      std::function<void(const Endpoint& from, std::span<uint8_t> datagram)>;

  /// Opens a socket bound to `local`. Fails with kUnavailable, naming the
  /// address.
  static Result<std::unique_ptr<AsyncUdpSocket>> Open(
      boost::asio::io_context& loop, const Endpoint& local, Handler handler);

  /// Like Open(), but stores the socket in `socket`, which is unchanged on
  /// failure.
  static Result<Ok> OpenInto(std::unique_ptr<AsyncUdpSocket>& socket,
                             boost::asio::io_context& loop,
                             const Endpoint& local, Handler handler);

  AsyncUdpSocket(const AsyncUdpSocket&) = delete;
  AsyncUdpSocket& operator=(const AsyncUdpSocket&) = delete;

  /// Sends one datagram. Returns false if the system call fails. The endpoints
  /// of a flow recover by retransmission.
  bool Send(const Endpoint& to, ByteView datagram);

  /// Passes datagrams that have arrived to the handler, without waiting for the
  /// event loop to report them. Reads a limited number.
  void ReadPending();

  /// Number of times that the socket was read until it was empty.
  uint64_t drains() const { return drains_; }

  /// Number of datagrams that could not be sent.
  uint64_t send_failures() const { return send_failures_; }

 private:
  AsyncUdpSocket(boost::asio::ip::udp::socket socket, Handler handler);

  void WaitForDatagrams();

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  uint64_t drains_ = 0;
  uint64_t send_failures_ = 0;
};

}  // namespace medlarwinch
