#include "medlarwinch/transport/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <set>

#include "http_fields.h"

namespace medlarwinch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr uint64_t kMaxBodyBytes = 2 * 1'024 * 1'024;

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t index = 0; index < text.size(); ++index) {
    const bool is_percent_escape =
        text[index] == '%' && index + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[index + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[index + 2])) != 0;
    if (!is_percent_escape) {
      decoded += text[index] == '+' ? ' ' : text[index];
      continue;
    }
    const std::string digits(text.substr(index + 1, 2));
    decoded += static_cast<char>(std::stoi(digits, nullptr, 16));
    index += 2;
  }
  return decoded;
}

HttpRequest ToRequest(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  request.headers = ToHeaderMap(message);
  return request;
}

}  // namespace

HttpTarget ParseTarget(const std::string& target) {
  HttpTarget parsed;
  const size_t query_start = target.find('?');
  parsed.path = target.substr(0, query_start);
  if (query_start == std::string::npos) return parsed;
  std::string_view remaining = std::string_view(target).substr(query_start + 1);
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(pair.size() + 1, remaining.size()));
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    parsed.query[std::string(pair.substr(0, equals))] =
        PercentDecode(pair.substr(equals + 1));
  }
  return parsed;
}

std::string PercentEncode(const std::string& text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const unsigned char byte = static_cast<unsigned char>(character);
    const bool is_unreserved = std::isalnum(byte) != 0 || character == '-' ||
                               character == '_' || character == '.' ||
                               character == '/' || character == ':';
    if (is_unreserved) {
      encoded += character;
      continue;
    }
    encoded += '%';
    encoded += kHexDigits[byte >> 4];
    encoded += kHexDigits[byte & 15];
  }
  return encoded;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  explicit State(Handler request_handler)
      : handler(std::move(request_handler)), acceptor(context) {}

  void AcceptLoop();
  void Serve(Tcp::socket& socket);
  void Close();

  Handler handler;
  asio::io_context context;
  Tcp::acceptor acceptor;
  std::thread accept_thread;
  std::mutex mutex;
  std::condition_variable all_connections_closed;
  bool is_closing = false;
  // Native handles of the open connections, which Close() shuts down.
  std::set<int> open_handles;
};

void HttpServer::State::AcceptLoop() {
  while (true) {
    beast::error_code error;
    Tcp::socket socket(context);
    acceptor.accept(socket, error);
    const std::lock_guard<std::mutex> lock(mutex);
    if (is_closing) return;
    if (error) continue;
    open_handles.insert(socket.native_handle());
    std::thread([self = shared_from_this(),
                 connection = std::move(socket)]() mutable {
      const int handle = connection.native_handle();
      self->Serve(connection);
      const std::lock_guard<std::mutex> connection_lock(self->mutex);
      connection.close();
      self->open_handles.erase(handle);
      self->all_connections_closed.notify_all();
    }).detach();
  }
}

void HttpServer::State::Serve(Tcp::socket& socket) {
  beast::flat_buffer buffer;
  beast::error_code error;
  socket.set_option(Tcp::no_delay(true), error);
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    http::read(socket, buffer, parser, error);
    if (error) return;
    const HttpResponse response = handler(ToRequest(parser.get()));
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), parser.get().version());
    message.set(http::field::content_type, response.content_type);
    message.keep_alive(parser.get().keep_alive());
    message.body() = response.body;
    message.prepare_payload();
    http::write(socket, message, error);
    if (error || !message.keep_alive()) return;
  }
}

void HttpServer::State::Close() {
  std::unique_lock<std::mutex> lock(mutex);
  is_closing = true;
  // Closing a listening socket does not wake a thread blocked in accept(), but
  // shutdown() does.
  ::shutdown(acceptor.native_handle(), SHUT_RDWR);
  for (const int handle : open_handles) ::shutdown(handle, SHUT_RDWR);
  all_connections_closed.wait(lock, [this] { return open_handles.empty(); });
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(const Endpoint& local,
                                                       Handler handler) {
  const std::shared_ptr<State> state =
      std::make_shared<State>(std::move(handler));
  beast::error_code error;
  const Tcp::endpoint address(asio::ip::address_v4(local.ip), local.port);
  state->acceptor.open(Tcp::v4(), error);
  if (!error) {
    state->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) state->acceptor.bind(address, error);
  if (!error) {
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + ToString(local) + ": " + error.message()};
  }
  state->accept_thread = std::thread([state] { state->AcceptLoop(); });
  return std::unique_ptr<HttpServer>(new HttpServer(state));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

HttpServer::~HttpServer() {
  state_->Close();
  state_->accept_thread.join();
}

}  // namespace medlarwinch
