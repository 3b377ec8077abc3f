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

/// A bound UDP socket that is served by an event loop. Unlike UdpSocket it has
/// no thread of its own.
class AsyncUdpSocket {
 public:
  /// Called with the sender and the content of each datagram; the bytes may be
  /// changed and are valid during the call only.
  using Handler =
      std::function<void(const Endpoint& from, std::span<uint8_t> datagram)>;

  /// Binds to `local`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<AsyncUdpSocket>> Open(
      boost::asio::io_context& loop, const Endpoint& local, Handler handler);

  /// As Open() into `port`, which is left alone on failure.
  static Result<Ok> OpenInto(std::unique_ptr<AsyncUdpSocket>& port,
                             boost::asio::io_context& loop,
                             const Endpoint& local, Handler handler);

  AsyncUdpSocket(const AsyncUdpSocket&) = delete;
  AsyncUdpSocket& operator=(const AsyncUdpSocket&) = delete;

  /// Sends one datagram; returns false when the system refuses it. The ends of
  /// a flow recover by sending again.
  bool Send(const Endpoint& to, ByteView datagram);

  /// Datagrams that the system refused to send.
  uint64_t send_failures() const { return send_failures_; }

 private:
  AsyncUdpSocket(boost::asio::ip::udp::socket socket, Handler handler);

  void WaitForDatagrams();
  void ReadDatagrams();

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  uint64_t send_failures_ = 0;
};

}  // namespace medlarwinch
