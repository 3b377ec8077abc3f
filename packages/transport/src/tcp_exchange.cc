#include "medlarwinch/transport/tcp_exchange.h"

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <thread>
#include <utility>

namespace medlarwinch {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kMaxSessions = 32;

using Length = std::array<uint8_t, 4>;

Length EncodeLength(size_t size) {
  const uint32_t value = static_cast<uint32_t>(size);
  return Length{static_cast<uint8_t>(value >> 24),
                static_cast<uint8_t>(value >> 16),
                static_cast<uint8_t>(value >> 8), static_cast<uint8_t>(value)};
}

uint32_t DecodeLength(const Length& length) {
  return static_cast<uint32_t>(length[0]) << 24 |
         static_cast<uint32_t>(length[1]) << 16 |
         static_cast<uint32_t>(length[2]) << 8 | length[3];
}

std::array<asio::const_buffer, 2> FrameBuffers(const Length& length,
                                               const Bytes& content) {
  return {asio::buffer(length), asio::buffer(content)};
}

// One connection. Pending operations keep it alive.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, const TcpExchangeServer::Handler& handler,
          int& sessions)
      : socket_(std::move(socket)),
        deadline_(socket_.get_executor()),
        handler_(handler),
        sessions_(sessions) {
    ++sessions_;
  }
  ~Session() { --sessions_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start(Millis timeout) {
    const std::shared_ptr<Session> self = shared_from_this();
    deadline_.expires_after(std::chrono::milliseconds(timeout.value));
    deadline_.async_wait([self](const error_code& error) {
      if (!error) self->Close();
    });
    asio::async_read(socket_, asio::buffer(length_),
                     [self](const error_code& error, size_t /*bytes*/) {
                       self->OnLength(error);
                     });
  }

 private:
  void OnLength(const error_code& error) {
    const uint32_t size = DecodeLength(length_);
    if (error || size > kMaxExchangeRequestBytes) return Close();
    content_.resize(size);
    const std::shared_ptr<Session> self = shared_from_this();
    asio::async_read(socket_, asio::buffer(content_),
                     [self](const error_code& result, size_t /*bytes*/) {
                       self->OnRequest(result);
                     });
  }

  void OnRequest(const error_code& error) {
    if (error) return Close();
    content_ = handler_(content_);
    if (content_.empty() || content_.size() > kMaxExchangeReplyBytes) {
      return Close();
    }
    length_ = EncodeLength(content_.size());
    const std::shared_ptr<Session> self = shared_from_this();
    asio::async_write(socket_, FrameBuffers(length_, content_),
                      [self](const error_code& /*result*/, size_t /*bytes*/) {
                        self->Close();
                      });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    deadline_.cancel();
  }

  Tcp::socket socket_;
  asio::steady_timer deadline_;
  const TcpExchangeServer::Handler& handler_;
  int& sessions_;
  Length length_{};
  Bytes content_;
};

// Runs `context` until `is_done` or the deadline. Returns `is_done`.
bool RunUntil(asio::io_context& context, const bool& is_done,
              std::chrono::steady_clock::time_point deadline) {
  context.restart();
  while (!is_done && context.run_one_until(deadline) > 0) {
  }
  return is_done;
}

}  // namespace

struct TcpExchangeServer::State {
  State(Handler request_handler, Millis session_timeout)
      : handler(std::move(request_handler)), timeout(session_timeout) {}

  void Accept() {
    acceptor.async_accept([this](const error_code& error, Tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error && sessions < kMaxSessions) {
        std::make_shared<Session>(std::move(socket), handler, sessions)
            ->Start(timeout);
      }
      Accept();
    });
  }

  Handler handler;
  Millis timeout;
  // Declared before `context`, whose destructor destroys sessions that
  // decrement the counter.
  int sessions = 0;
  asio::io_context context;
  Tcp::acceptor acceptor{context};
  std::thread thread;
};

Result<std::unique_ptr<TcpExchangeServer>> TcpExchangeServer::Listen(
    const Endpoint& local, Millis timeout, Handler handler) {
  std::unique_ptr<State> state =
      std::make_unique<State>(std::move(handler), timeout);
  const Tcp::endpoint address(asio::ip::address_v4(local.ip), local.port);
  error_code error;
  state->acceptor.open(Tcp::v4(), error);
  if (!error) {
    state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) state->acceptor.bind(address, error);
  if (!error) {
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on TCP " + ToString(local) + ": " + error.message()};
  }
  state->Accept();
  State* running = state.get();
  state->thread = std::thread([running] { running->context.run(); });
  return std::unique_ptr<TcpExchangeServer>(
      new TcpExchangeServer(std::move(state)));
}

TcpExchangeServer::TcpExchangeServer(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

TcpExchangeServer::~TcpExchangeServer() {
  state_->context.stop();
  state_->thread.join();
}

Result<Bytes> ExchangeOverTcp(const Endpoint& server, const Bytes& request,
                              Millis timeout) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(timeout.value);
  asio::io_context context;
  Tcp::socket socket(context);
  error_code error;
  bool is_done = false;
  const auto finish = [&](const error_code& result) {
    error = result;
    is_done = true;
  };
  const auto finish_transfer = [&](const error_code& result, size_t /*bytes*/) {
    finish(result);
  };
  const Error no_reply{ErrorCode::kTimeout,
                       "no complete reply from " + ToString(server)};
  socket.async_connect(
      Tcp::endpoint(asio::ip::address_v4(server.ip), server.port), finish);
  if (!RunUntil(context, is_done, deadline) || error) {
    return Error{ErrorCode::kUnavailable,
                 "cannot connect to " + ToString(server)};
  }
  is_done = false;
  Length length = EncodeLength(request.size());
  asio::async_write(socket, FrameBuffers(length, request), finish_transfer);
  if (!RunUntil(context, is_done, deadline) || error) return no_reply;
  is_done = false;
  asio::async_read(socket, asio::buffer(length), finish_transfer);
  if (!RunUntil(context, is_done, deadline) || error) return no_reply;
  const uint32_t size = DecodeLength(length);
  if (size > kMaxExchangeReplyBytes) {
    return Error{ErrorCode::kLimitExceeded,
                 "reply of " + std::to_string(size) + " bytes from " +
                     ToString(server) + " exceeds the limit"};
  }
  Bytes reply(size);
  is_done = false;
  asio::async_read(socket, asio::buffer(reply), finish_transfer);
  if (!RunUntil(context, is_done, deadline) || error) return no_reply;
  return reply;
}

}  // namespace medlarwinch
