#include "medlarwinch/daemon/upstream_client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <optional>

#include "medlarwinch/transport/idle_connection.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 4 * 1'024;
constexpr size_t kMaxIdleConnections = 256;
// Shorter than the keep-alive timeouts of common servers, so that the upstream
// rarely closes a pooled connection just as it is reused.
constexpr Millis kMaxIdleTime{4'000};
constexpr Millis kConnectTimeout{1'000};

struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  TimePoint idle_since;
};

}  // namespace

struct UpstreamClient::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, const Endpoint& endpoint)
      : context(io),
        upstream(asio::ip::address_v4(endpoint.ip), endpoint.port),
        host(ToString(endpoint)) {}

  class Exchange;

  std::unique_ptr<Connection> AcquireIdleConnection();
  void ReleaseToPool(std::unique_ptr<Connection> connection);

  asio::io_context& context;
  tcp::endpoint upstream;
  std::string host;
  std::atomic<uint64_t> next_number{1};
  // Accessed on the thread of the io_context only.
  std::map<uint64_t, std::shared_ptr<Exchange>> exchanges;
  std::vector<std::unique_ptr<Connection>> idle_connections;
};

std::unique_ptr<Connection> UpstreamClient::State::AcquireIdleConnection() {
  while (!idle_connections.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle_connections.back());
    idle_connections.pop_back();
    const Millis idle_time = MonotonicNow() - connection->idle_since;
    if (idle_time < kMaxIdleTime &&
        IsIdleConnectionReusable(connection->stream.socket().native_handle())) {
      return connection;
    }
  }
  return nullptr;
}

void UpstreamClient::State::ReleaseToPool(
    std::unique_ptr<Connection> connection) {
  if (connection->buffer.size() > 0) return;
  if (idle_connections.size() >= kMaxIdleConnections)
    idle_connections.erase(idle_connections.begin());
  connection->idle_since = MonotonicNow();
  connection->stream.expires_never();
  idle_connections.push_back(std::move(connection));
}

// One request and its response. All functions run on the thread of the
// io_context; the completion handlers keep the exchange alive.
class UpstreamClient::State::Exchange
    : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<State> state, uint64_t number,
           UpstreamRequest request, UpstreamEvents events)
      : state_(std::move(state)),
        number_(number),
        request_(std::move(request)),
        events_(std::move(events)) {}

  void Start() {
    if (!request_.use_new_connection)
      connection_ = state_->AcquireIdleConnection();
    if (connection_ != nullptr) {
      is_pooled_connection_ = true;
      WriteRequest();
      return;
    }
    Connect();
  }

  void Resume() {
    if (!is_paused_ || is_finished_) return;
    is_paused_ = false;
    ReadBody();
  }

  void Cancel() {
    if (is_finished_) return;
    is_finished_ = true;
    CloseConnection();
    state_->exchanges.erase(number_);
  }

 private:
  void Connect() {
    is_pooled_connection_ = false;
    connection_ = std::make_unique<Connection>(state_->context);
    SetStreamDeadline(
        std::min(request_.head_deadline, MonotonicNow() + kConnectTimeout));
    connection_->stream.async_connect(
        state_->upstream, [self = shared_from_this()](const error_code& error) {
          if (self->is_finished_) return;
          if (error) {
            self->Finish(ExchangeResult::kNotSent);
            return;
          }
          self->WriteRequest();
        });
  }

  void WriteRequest() {
    const Millis remaining = request_.head_deadline - MonotonicNow();
    // The process may have been paused since the request arrived.
    if (remaining.value <= 0) {
      connection_.reset();
      Finish(ExchangeResult::kNotSent);
      return;
    }
    message_ = {};
    message_.version(11);
    message_.method_string(request_.method);
    message_.target(request_.target);
    message_.set(http::field::host, state_->host);
    for (const auto& [name, value] : request_.headers)
      message_.set(name, value);
    message_.set("x-request-deadline-ms", std::to_string(remaining.value));
    message_.body().assign(request_.body.begin(), request_.body.end());
    message_.prepare_payload();
    SetStreamDeadline(request_.head_deadline);
    http::async_write(
        connection_->stream, message_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (self->is_finished_) return;
          if (error) {
            self->OnFailure(error);
            return;
          }
          self->ReadHead();
        });
  }

  void ReadHead() {
    parser_.emplace();
    // This version of Beast rejects every body if the limit is none.
    parser_->body_limit(UINT64_MAX);
    if (request_.method == "HEAD") parser_->skip(true);
    http::async_read_header(
        connection_->stream, connection_->buffer, *parser_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (self->is_finished_) return;
          if (error) {
            self->OnFailure(error);
            return;
          }
          self->OnHead();
        });
  }

  void OnHead() {
    head_read_ = true;
    const int status = static_cast<int>(parser_->get().result_int());
    const bool not_run = status == 503 && parser_->get()["x-not-run"] == "1";
    events_.on_head(status, not_run);
    if (!request_.deadline_covers_body) connection_->stream.expires_never();
    if (!is_finished_) ReadBody();
  }

  void ReadBody() {
    if (parser_->is_done()) {
      Complete();
      return;
    }
    parser_->get().body().data = data_.data();
    parser_->get().body().size = data_.size();
    parser_->get().body().more = true;
    http::async_read_some(
        connection_->stream, connection_->buffer, *parser_,
        [self = shared_from_this()](const error_code& error, size_t) {
          if (self->is_finished_) return;
          self->OnBody(error);
        });
  }

  void OnBody(const error_code& error) {
    const size_t size = data_.size() - parser_->get().body().size;
    bool keep_reading = true;
    if (size > 0) keep_reading = events_.on_data(ByteView(data_.data(), size));
    if (is_finished_) return;
    if (error && error != http::error::need_buffer) {
      OnFailure(error);
      return;
    }
    if (keep_reading || parser_->is_done()) {
      ReadBody();
      return;
    }
    is_paused_ = true;
  }

  void Complete() {
    if (parser_->get().keep_alive())
      state_->ReleaseToPool(std::move(connection_));
    Finish(ExchangeResult::kComplete);
  }

  void OnFailure(const error_code& error) {
    CloseConnection();
    const bool timed_out = error == beast::error::timeout;
    // The upstream may close a pooled connection just as it is reused. Only
    // idempotent requests use pooled connections.
    if (is_pooled_connection_ && !head_read_ && !timed_out) {
      Connect();
      return;
    }
    Finish(timed_out ? ExchangeResult::kTimedOut
                     : ExchangeResult::kConnectionLost);
  }

  void Finish(ExchangeResult result) {
    is_finished_ = true;
    CloseConnection();
    state_->exchanges.erase(number_);
    events_.on_end(result);
  }

  void CloseConnection() {
    if (connection_ == nullptr) return;
    connection_->stream.close();
    // Pending handlers still refer to the connection. They own the exchange,
    // which therefore keeps the closed connection.
    closed_connections_.push_back(std::move(connection_));
  }

  void SetStreamDeadline(TimePoint deadline) {
    connection_->stream.expires_after(std::chrono::milliseconds(
        std::max<int64_t>(1, (deadline - MonotonicNow()).value)));
  }

  std::shared_ptr<State> state_;
  uint64_t number_;
  UpstreamRequest request_;
  UpstreamEvents events_;
  std::unique_ptr<Connection> connection_;
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  http::request<http::vector_body<uint8_t>> message_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<uint8_t, kReadBytes> data_{};
  bool is_pooled_connection_ = false;
  bool head_read_ = false;
  bool is_paused_ = false;
  bool is_finished_ = false;
};

UpstreamClient::UpstreamClient(asio::io_context& context,
                               const Endpoint& upstream)
    : state_(std::make_shared<State>(context, upstream)) {}

UpstreamClient::~UpstreamClient() {
  // Breaks the reference cycle between the state and its exchanges.
  std::map<uint64_t, std::shared_ptr<State::Exchange>> exchanges;
  exchanges.swap(state_->exchanges);
}

uint64_t UpstreamClient::Start(UpstreamRequest request, UpstreamEvents events) {
  const uint64_t number = state_->next_number++;
  std::shared_ptr<State::Exchange> exchange = std::make_shared<State::Exchange>(
      state_, number, std::move(request), std::move(events));
  asio::post(state_->context, [state = state_, number, exchange] {
    state->exchanges.emplace(number, exchange);
    exchange->Start();
  });
  return number;
}

void UpstreamClient::Probe(std::function<void(bool is_accepting)> done) {
  const std::shared_ptr<beast::tcp_stream> stream =
      std::make_shared<beast::tcp_stream>(state_->context);
  asio::post(state_->context, [state = state_, stream, done = std::move(done)] {
    stream->expires_after(std::chrono::milliseconds(kConnectTimeout.value));
    stream->async_connect(state->upstream,
                          [stream, done](const error_code& error) {
                            stream->close();
                            done(!error);
                          });
  });
}

void UpstreamClient::Resume(uint64_t exchange) {
  asio::post(state_->context, [state = state_, exchange] {
    const auto found = state->exchanges.find(exchange);
    if (found == state->exchanges.end()) return;
    const std::shared_ptr<State::Exchange> pinned = found->second;
    pinned->Resume();
  });
}

void UpstreamClient::Cancel(uint64_t exchange) {
  asio::post(state_->context, [state = state_, exchange] {
    const auto found = state->exchanges.find(exchange);
    if (found == state->exchanges.end()) return;
    const std::shared_ptr<State::Exchange> pinned = found->second;
    pinned->Cancel();
  });
}

}  // namespace medlarwinch
