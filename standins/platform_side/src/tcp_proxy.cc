#include "medlarwinch/platform_side/tcp_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using boost::asio::ip::tcp;

constexpr size_t kBufferBytes = 16 * 1'024;

tcp::endpoint ToTcpEndpoint(const Endpoint& endpoint) {
  return {boost::asio::ip::address_v4(endpoint.ip), endpoint.port};
}

}  // namespace

// Both directions of one connection. Operations in progress keep it alive.
class TcpProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::io_context& loop, tcp::socket accepted)
      : client_(std::move(accepted)), server_(loop) {}

  void Connect(const tcp::endpoint& server) {
    server_.async_connect(
        server, [self = shared_from_this()](boost::system::error_code error) {
          if (error) {
            self->Close();
            return;
          }
          self->Pass(self->client_, self->server_, self->from_client_);
          self->Pass(self->server_, self->client_, self->from_server_);
        });
  }

  bool is_open() const { return client_.is_open(); }
  TimePoint last_used() const { return last_used_; }
  void Silence() { is_silent_ = true; }

  void Close() {
    boost::system::error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  using Buffer = std::array<char, kBufferBytes>;

  void Pass(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(
        boost::asio::buffer(buffer),
        [self = shared_from_this(), &from, &to, &buffer](
            boost::system::error_code error, size_t size) {
          if (self->is_silent_) return;
          if (error) {
            self->Close();
            return;
          }
          self->last_used_ = MonotonicNow();
          boost::asio::async_write(
              to, boost::asio::buffer(buffer.data(), size),
              [self, &from, &to, &buffer](boost::system::error_code failure,
                                          size_t /*size*/) {
                if (self->is_silent_) return;
                if (failure) {
                  self->Close();
                  return;
                }
                self->Pass(from, to, buffer);
              });
        });
  }

  tcp::socket client_;
  tcp::socket server_;
  Buffer from_client_;
  Buffer from_server_;
  TimePoint last_used_ = MonotonicNow();
  bool is_silent_ = false;
};

TcpProxy::TcpProxy(boost::asio::io_context& loop, const Endpoint& local,
                   const Endpoint& server)
    : loop_(loop),
      acceptor_(loop, ToTcpEndpoint(local)),
      server_(ToTcpEndpoint(server)) {
  Accept();
}

TcpProxy::~TcpProxy() {
  for (const std::shared_ptr<Connection>& connection : connections_) {
    connection->Close();
  }
}

void TcpProxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error) return;
        connections_.push_back(
            std::make_shared<Connection>(loop_, std::move(socket)));
        connections_.back()->Connect(server_);
        Accept();
      });
}

size_t TcpProxy::Silence(Millis idle) {
  std::erase_if(connections_, [](const std::shared_ptr<Connection>& known) {
    return !known->is_open();
  });
  size_t silenced = 0;
  for (const std::shared_ptr<Connection>& connection : connections_) {
    if (MonotonicNow() - connection->last_used() < idle) continue;
    connection->Silence();
    ++silenced;
  }
  return silenced;
}

}  // namespace medlarwinch
