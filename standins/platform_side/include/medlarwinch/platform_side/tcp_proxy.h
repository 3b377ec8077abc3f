#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Passes TCP connections on to a server and can make them silent, as a
/// middlebox does that forgets connections: they stay open, without a reset,
/// and pass nothing more, while new ones work.
class TcpProxy {
 public:
  /// Listens at `local`. Throws boost::system::system_error if the address is
  /// in use.
  TcpProxy(boost::asio::io_context& loop, const Endpoint& local,
           const Endpoint& server);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  /// Makes the connections silent over which nothing has passed for `idle`, and
  /// returns their number.
  size_t Silence(Millis idle);

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint server_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace medlarwinch
