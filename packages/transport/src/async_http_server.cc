#include "medlarwinch/transport/async_http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace medlarwinch {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

constexpr size_t kMaxBodyBytes = 64 * 1'024;
// Further connections are closed immediately, so that peers can't exhaust the
// file descriptors.
constexpr size_t kMaxConnections = 64;
// A connection is closed after this time without a request.
constexpr std::chrono::seconds kIdleTimeout{60};
// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

HttpRequest ToRequest(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  return request;
}

}  // namespace

struct AsyncHttpServer::State : std::enable_shared_from_this<State> {
  class Connection;

  State(boost::asio::io_context& loop, DeferredHandler handler_function)
      : acceptor(loop),
        accept_retry_timer(loop),
        handler(std::move(handler_function)) {}

  void Accept();

  tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  DeferredHandler handler;
  size_t connections = 0;
  bool is_closed = false;
};

class AsyncHttpServer::State::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> server, tcp::socket socket)
      : server_(std::move(server)), stream_(std::move(socket)) {
    ++server_->connections;
  }
  ~Connection() { --server_->connections; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kIdleTimeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t /*size*/) {
          if (error || self->server_->is_closed) return;
          self->HandleRequest();
        });
  }

 private:
  void HandleRequest() {
    server_->handler(ToRequest(parser_->get()),
                     [self = shared_from_this()](
                         std::optional<HttpResponse> response) mutable {
                       if (response.has_value()) {
                         self->Write(std::move(*response));
                       } else {
                         self->stream_.close();
                       }
                     });
  }

  void Write(HttpResponse response) {
    const http::request<http::string_body>& request = parser_->get();
    response_ = {};
    response_.version(request.version());
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers) {
      response_.set(name, value);
    }
    response_.keep_alive(request.keep_alive());
    response_.body() = std::move(response.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, size_t /*size*/) {
          if (error || !self->response_.keep_alive()) return;
          self->Read();
        });
  }

  std::shared_ptr<State> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

void AsyncHttpServer::State::Accept() {
  acceptor.async_accept([self = shared_from_this()](beast::error_code error,
                                                    tcp::socket socket) {
    if (self->is_closed) return;
    if (error) {
      self->accept_retry_timer.expires_after(kAcceptRetryDelay);
      self->accept_retry_timer.async_wait([self](beast::error_code wait_error) {
        if (!wait_error && !self->is_closed) self->Accept();
      });
      return;
    }
    if (self->connections < kMaxConnections) {
      std::make_shared<Connection>(self, std::move(socket))->Read();
    }
    self->Accept();
  });
}

Result<std::unique_ptr<AsyncHttpServer>> AsyncHttpServer::Listen(
    boost::asio::io_context& loop, const Endpoint& local, Handler handler) {
  return ListenDeferred(
      loop, local,
      [handler = std::move(handler)](const HttpRequest& request,
                                     const Responder& respond) {
        respond(handler(request));
      });
}

Result<std::unique_ptr<AsyncHttpServer>> AsyncHttpServer::ListenDeferred(
    boost::asio::io_context& loop, const Endpoint& local,
    DeferredHandler handler) {
  const std::shared_ptr<State> state =
      std::make_shared<State>(loop, std::move(handler));
  const tcp::endpoint endpoint(boost::asio::ip::address_v4(local.ip),
                               local.port);
  beast::error_code error;
  state->acceptor.open(tcp::v4(), error);
  if (!error) {
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) state->acceptor.bind(endpoint, error);
  if (!error)
    state->acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + ToString(local) + ": " + error.message()};
  }
  state->Accept();
  return std::unique_ptr<AsyncHttpServer>(new AsyncHttpServer(state));
}

AsyncHttpServer::AsyncHttpServer(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

AsyncHttpServer::~AsyncHttpServer() {
  state_->is_closed = true;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
  state_->accept_retry_timer.cancel();
}

}  // namespace medlarwinch
