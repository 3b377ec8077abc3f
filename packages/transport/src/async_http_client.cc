#include "medlarwinch/transport/async_http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "http_fields.h"
#include "medlarwinch/transport/idle_connection.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

// The largest listings of the store contain 1 MB of objects plus framing; the
// changes of large objects in quick succession may be larger.
constexpr size_t kMaxResponseBytes = 4 * 1'024 * 1'024;

// Maximum time between two parts of a response. A large response over a slow
// link takes longer than the timeout of a request, which covers its first part.
constexpr std::chrono::milliseconds kMaxPartDelay{1'000};

// Idle time after which a connection is not used again. A middlebox may have
// forgotten it, and a request would then wait for its whole timeout; opening a
// connection takes one round trip.
constexpr Millis kMaxReuseIdle{2'000};

std::chrono::milliseconds ToChrono(Millis span) {
  return std::chrono::milliseconds(span.value);
}

}  // namespace

struct AsyncHttpClient::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context& loop, const Endpoint& server)
      : stream(loop),
        remote(boost::asio::ip::address_v4(server.ip), server.port) {}

  void Connect(Millis connect_timeout) {
    stream.expires_after(ToChrono(connect_timeout));
    stream.async_connect(
        remote, [self = shared_from_this()](beast::error_code error) {
          if (error) {
            self->Fail(ErrorCode::kUnavailable, "connect", error);
            return;
          }
          beast::error_code ignored;
          self->stream.socket().set_option(tcp::no_delay(true), ignored);
          self->is_connected = true;
          self->is_new_connection = true;
          self->Write();
        });
  }

  void Write() {
    stream.expires_after(ToChrono(timeout));
    http::async_write(
        stream, message,
        [self = shared_from_this()](beast::error_code error, size_t /*size*/) {
          if (error) {
            self->RetryOrFail("write", error);
            return;
          }
          self->Read();
        });
  }

  void Read() {
    parser.emplace();
    parser->body_limit(kMaxResponseBytes);
    ReadPart();
  }

  void ReadPart() {
    http::async_read_some(
        stream, buffer, *parser,
        [self = shared_from_this()](beast::error_code error, size_t /*size*/) {
          if (error) {
            self->RetryOrFail("read", error);
            return;
          }
          if (self->parser->is_done()) {
            self->Complete();
            return;
          }
          self->stream.expires_after(kMaxPartDelay);
          self->ReadPart();
        });
  }

  void Complete() {
    http::response<http::string_body> parsed_response = parser->release();
    HttpResponse response;
    response.status = static_cast<int>(parsed_response.result_int());
    response.headers = ToHeaderMap(parsed_response);
    response.body = std::move(parsed_response.body());
    // Bytes after the response belong to no request.
    const bool keeps_alive = parsed_response.keep_alive() && buffer.size() == 0;
    parser.reset();
    // Releases the memory of a large response.
    buffer.consume(buffer.size());
    buffer.shrink_to_fit();
    is_new_connection = false;
    last_response_at = BootTimeNow();
    stream.expires_never();
    if (!keeps_alive) Close();
    Finish(std::move(response));
  }

  // A server may close an idle connection while a request is sent on it. A GET
  // request, which is idempotent, is then retried once on a new connection.
  void RetryOrFail(const char* action, beast::error_code error) {
    parser.reset();
    if (error == http::error::body_limit) {
      Fail(ErrorCode::kLimitExceeded, action, error);
      return;
    }
    const bool may_repeat = !is_new_connection &&
                            message.method() == http::verb::get &&
                            error != beast::error::timeout;
    if (!may_repeat) {
      Fail(ErrorCode::kTimeout, action, error);
      return;
    }
    Close();
    Connect(connect_timeout);
  }

  void Fail(ErrorCode code, const char* action, beast::error_code error) {
    Close();
    Finish(Error{code, std::string(action) + ": " + error.message()});
  }

  void Close() {
    beast::error_code ignored;
    stream.socket().close(ignored);
    buffer.clear();
    is_connected = false;
  }

  bool IsReusable() {
    return is_connected && BootTimeNow() - last_response_at <= kMaxReuseIdle &&
           IsIdleConnectionReusable(stream.socket().native_handle());
  }

  void Finish(Result<HttpResponse> result) {
    is_busy = false;
    if (is_closed) return;
    const Callback done = std::exchange(callback, nullptr);
    if (done) done(std::move(result));
  }

  beast::tcp_stream stream;
  tcp::endpoint remote;
  beast::flat_buffer buffer;
  http::request<http::string_body> message;
  std::optional<http::response_parser<http::string_body>> parser;
  Millis timeout;
  Millis connect_timeout;
  Callback callback;
  // On the clock that counts suspension.
  TimePoint last_response_at;
  bool is_connected = false;
  // True until the first response on the connection.
  bool is_new_connection = true;
  bool is_busy = false;
  bool is_closed = false;
};

AsyncHttpClient::AsyncHttpClient(boost::asio::io_context& loop,
                                 const Endpoint& server)
    : state_(std::make_shared<State>(loop, server)) {}

AsyncHttpClient::~AsyncHttpClient() {
  state_->is_closed = true;
  state_->Close();
}

bool AsyncHttpClient::is_busy() const { return state_->is_busy; }

bool AsyncHttpClient::is_receiving() const {
  return state_->is_busy && state_->parser.has_value() &&
         state_->parser->got_some();
}

void AsyncHttpClient::Send(HttpRequest request, Millis connect_timeout,
                           Millis timeout, Callback callback) {
  State& state = *state_;
  if (state.is_busy) {
    boost::asio::post(
        state.stream.get_executor(),
        [self = state_, callback = std::move(callback)] {
          if (self->is_closed) return;
          callback(Error{ErrorCode::kUnavailable, "a request is in progress"});
        });
    return;
  }
  state.is_busy = true;
  state.timeout = timeout;
  state.connect_timeout = connect_timeout;
  state.callback = std::move(callback);
  state.message = {};
  state.message.version(11);
  state.message.method_string(request.method);
  state.message.target(request.target);
  state.message.set(http::field::host, state.remote.address().to_string() +
                                           ":" +
                                           std::to_string(state.remote.port()));
  if (!request.body.empty()) {
    state.message.set(http::field::content_type, "application/json");
  }
  state.message.body() = std::move(request.body);
  state.message.prepare_payload();
  if (state.IsReusable()) {
    state.Write();
    return;
  }
  if (state.is_connected) state.Close();
  state.Connect(connect_timeout);
}

}  // namespace medlarwinch
