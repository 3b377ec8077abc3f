#include "medlarwinch/transport/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace medlarwinch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr uint64_t kMaxBodyBytes = 64 * 1'024 * 1'024;

http::request<http::string_body> ToMessage(const Endpoint& server,
                                           const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, ToString(server));
  message.keep_alive(false);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

// Runs the context until `is_done`, which is set at the latest when the
// stream's timeout expires.
void RunUntil(asio::io_context& context, const bool& is_done) {
  context.restart();
  while (!is_done && context.run_one() > 0) {
  }
}

}  // namespace

Result<HttpResponse> SendHttpRequest(const Endpoint& server,
                                     const HttpRequest& request,
                                     Millis timeout) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(std::chrono::milliseconds(timeout.value));
  beast::error_code error;
  bool is_done = false;
  const auto finish = [&](beast::error_code result) {
    error = result;
    is_done = true;
  };
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(server.ip), server.port),
      finish);
  RunUntil(context, is_done);
  if (error) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot connect to " + ToString(server) + ": " + error.message()};
  }
  const http::request<http::string_body> message = ToMessage(server, request);
  is_done = false;
  http::async_write(
      stream, message,
      [&](beast::error_code result, size_t /*bytes*/) { finish(result); });
  RunUntil(context, is_done);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (!error) {
    is_done = false;
    http::async_read(
        stream, buffer, parser,
        [&](beast::error_code result, size_t /*bytes*/) { finish(result); });
    RunUntil(context, is_done);
  }
  if (error) {
    return Error{ErrorCode::kTimeout, "no response from " + ToString(server) +
                                          ": " + error.message()};
  }
  HttpResponse response;
  response.status = parser.get().result_int();
  response.content_type = std::string(parser.get()[http::field::content_type]);
  response.body = parser.get().body();
  return response;
}

}  // namespace medlarwinch
