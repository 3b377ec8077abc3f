#include "medlarwinch/transport/async_udp_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace medlarwinch {
namespace {

using boost::asio::ip::address_v4;
using boost::asio::ip::udp;

constexpr size_t kMaxDatagramBytes = 2'048;
// Maximum number of datagrams read before other events of the loop are handled.
constexpr int kMaxBatch = 32;
// Holds the packets of a few milliseconds on a loaded machine. Not larger,
// because buffered data counts towards the memory of the process.
constexpr int kReceiveBufferBytes = 512 * 1'024;

udp::endpoint ToUdp(const Endpoint& endpoint) {
  return udp::endpoint(address_v4(endpoint.ip), endpoint.port);
}

}  // namespace

Result<std::unique_ptr<AsyncUdpSocket>> AsyncUdpSocket::Open(
    boost::asio::io_context& loop, const Endpoint& local, Handler handler) {
  boost::system::error_code error;
  udp::socket socket(loop);
  socket.open(udp::v4(), error);
  if (!error) socket.bind(ToUdp(local), error);
  if (!error) socket.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kUnavailable,
                 "cannot bind UDP " + ToString(local) + ": " + error.message()};
  }
  // On failure the default size is used.
  socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
      error);
  std::unique_ptr<AsyncUdpSocket> udp_socket(
      new AsyncUdpSocket(std::move(socket), std::move(handler)));
  udp_socket->WaitForDatagrams();
  return udp_socket;
}

Result<Ok> AsyncUdpSocket::OpenInto(std::unique_ptr<AsyncUdpSocket>& socket,
                                    boost::asio::io_context& loop,
                                    const Endpoint& local, Handler handler) {
  Result<std::unique_ptr<AsyncUdpSocket>> opened =
      Open(loop, local, std::move(handler));
  if (!IsOk(opened)) return ErrorOf(opened);
  socket = TakeValue(std::move(opened));
  return Ok{};
}

AsyncUdpSocket::AsyncUdpSocket(udp::socket socket, Handler handler)
    : socket_(std::move(socket)), handler_(std::move(handler)) {}

bool AsyncUdpSocket::Send(const Endpoint& to, ByteView datagram) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()),
                  ToUdp(to), 0, error);
  if (error) ++send_failures_;
  return !error;
}

void AsyncUdpSocket::WaitForDatagrams() {
  socket_.async_wait(udp::socket::wait_read,
                     [this](const boost::system::error_code& error) {
                       if (error) return;
                       ReadPending();
                       WaitForDatagrams();
                     });
}

void AsyncUdpSocket::ReadPending() {
  std::array<uint8_t, kMaxDatagramBytes> buffer;
  for (int count = 0; count < kMaxBatch; ++count) {
    boost::system::error_code error;
    udp::endpoint from;
    const size_t size =
        socket_.receive_from(boost::asio::buffer(buffer), from, 0, error);
    if (error == boost::asio::error::would_block) {
      ++drains_;
      return;
    }
    // The error belongs to an earlier datagram that its receiver refused. Later
    // datagrams can still be read.
    if (error) continue;
    handler_(Endpoint{from.address().to_v4().to_uint(), from.port()},
             std::span<uint8_t>(buffer.data(), size));
  }
}

}  // namespace medlarwinch
