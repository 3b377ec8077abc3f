#include "medlarwinch/standins/upstream_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/standins/response_body.h"

namespace medlarwinch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int64_t kMaxLargeBody = 16 * 1'024 * 1'024;
constexpr int64_t kDefaultFeedIntervalMs = 1'000;
// Of each hundred requests, the first `fail_percent` fail.
constexpr uint64_t kPercent = 100;

int64_t ParseNumber(std::string_view text, int64_t fallback) {
  int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? number : fallback;
}

}  // namespace

UpstreamSession::UpstreamSession(asio::ip::tcp::socket socket,
                                 std::shared_ptr<UpstreamServerState> state)
    : stream_(std::move(socket)),
      state_(std::move(state)),
      timer_(stream_.get_executor()) {}

UpstreamSession::~UpstreamSession() {
  EndWork();
  if (is_streaming_feed_) --state_->feeds;
}

void UpstreamSession::Run() {
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  asio::dispatch(stream_.get_executor(),
                 [self = shared_from_this()] { self->ReadRequest(); });
}

void UpstreamSession::ReadRequest() {
  request_ = {};
  http::async_read(
      stream_, buffer_, request_,
      [self = shared_from_this()](beast::error_code error, size_t /*bytes*/) {
        if (!error) self->Dispatch();
      });
}

void UpstreamSession::Dispatch() {
  target_ = ParseTarget(std::string(request_.target()));
  if (target_.path == "/health") {
    const bool is_healthy = state_->reports_healthy;
    Respond(is_healthy ? 200 : 503, is_healthy ? "well\n" : "ill\n");
    return;
  }
  if (target_.path.rfind("/control/", 0) == 0) {
    Respond(200, HandleControlRequest());
    return;
  }
  if (target_.path == "/feed") {
    StartFeed();
    return;
  }
  const bool is_known = IsExecutionLogged() || target_.path == "/echo" ||
                        target_.path == "/report" ||
                        target_.path == "/manifest";
  if (!is_known) {
    Respond(404, IdentityLine() + "\n");
    return;
  }
  StartShortRequest();
}

void UpstreamSession::StartShortRequest() {
  const int64_t shed_above = state_->shed_above;
  if (shed_above > 0 && state_->in_progress >= shed_above) {
    ++state_->shed;
    Respond(503, IdentityLine() + "\n", true);
    return;
  }
  ++state_->in_progress;
  is_working_ = true;
  LogEvent("start");
  int64_t work = state_->work_ms;
  const auto age = std::chrono::steady_clock::now() - state_->started;
  if (age < std::chrono::milliseconds(state_->settings.cold_ms)) {
    work *= state_->settings.cold_factor;
  }
  work = QueryNumber("work_ms", work);
  const uint64_t sequence = state_->sequence++;
  if (sequence % kPercent <
      static_cast<uint64_t>(state_->fail_percent.load())) {
    ++state_->failed;
    EndWork();
    Respond(500, IdentityLine() + "\n");
    return;
  }
  // Logged before the work starts, so that an interrupted execution counts too.
  if (IsExecutionLogged()) {
    ++state_->executed;
    LogEvent("run");
  }
  const int64_t deadline =
      ParseNumber(Header("x-request-deadline-ms"), INT64_MAX);
  const bool is_expired = work > deadline;
  timer_.expires_after(std::chrono::milliseconds(std::min(work, deadline)));
  timer_.async_wait([self = shared_from_this(),
                     is_expired](const boost::system::error_code& error) {
    if (!error) self->FinishWork(is_expired);
  });
  WatchForDisconnect();
}

void UpstreamSession::WatchForDisconnect() {
  stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || !self->is_working_) return;
        // The readiness event may refer to data that was read before the wait
        // began; only a read shows whether the peer has closed the connection.
        char byte = 0;
        const ssize_t size = recv(self->stream_.socket().native_handle(), &byte,
                                  1, MSG_PEEK | MSG_DONTWAIT);
        if (size > 0) return;
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
          self->WatchForDisconnect();
          return;
        }
        self->EndWork();
        self->LogEvent("cancelled");
        ++self->state_->cancelled;
        self->timer_.cancel();
        self->stream_.close();
      });
}

void UpstreamSession::FinishWork(bool is_expired) {
  if (!is_working_) return;
  EndWork();
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
  if (is_expired) {
    ++state_->expired;
    LogEvent("expired");
    Respond(504, IdentityLine() + "\n");
    return;
  }
  Respond(200, BuildWorkResponse());
}

void UpstreamSession::EndWork() {
  if (!is_working_) return;
  is_working_ = false;
  --state_->in_progress;
}

std::string UpstreamSession::BuildWorkResponse() {
  if (target_.path == "/echo") return IdentityLine() + "\n" + request_.body();
  if (IsExecutionLogged()) return IdentityLine() + " accepted=1\n";
  const int64_t size =
      std::clamp<int64_t>(QueryNumber("bytes", 0), 0, kMaxLargeBody);
  return IdentityLine() + " bytes=" + std::to_string(size) + "\n" +
         PatternBody(QueryParameter("token"), static_cast<uint64_t>(size));
}

void UpstreamSession::Respond(unsigned status, const std::string& body,
                              bool not_run) {
  response_.emplace(static_cast<http::status>(status), request_.version());
  response_->set(http::field::content_type, "text/plain");
  response_->set("x-service", state_->settings.service);
  response_->set("x-request-token", QueryParameter("token"));
  if (not_run) response_->set("x-not-run", "1");
  response_->keep_alive(request_.keep_alive());
  response_->body() = body;
  response_->prepare_payload();
  http::async_write(
      stream_, *response_,
      [self = shared_from_this()](beast::error_code error, size_t /*bytes*/) {
        if (error) return;
        if (!self->response_->keep_alive()) {
          self->stream_.close();
          return;
        }
        self->ReadRequest();
      });
}

void UpstreamSession::StartFeed() {
  feed_line_ = 0;
  feed_line_limit_ = QueryNumber("lines", INT64_MAX);
  feed_interval_ms_ =
      std::max<int64_t>(1, QueryNumber("interval_ms", kDefaultFeedIntervalMs));
  is_streaming_feed_ = true;
  ++state_->feeds;
  LogEvent("start");
  chunk_ = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-service: " +
           state_->settings.service + "\r\ntransfer-encoding: chunked\r\n\r\n";
  asio::async_write(
      stream_, asio::buffer(chunk_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t /*bytes*/) {
        if (!error) self->WriteFeedLine();
      });
}

void UpstreamSession::WriteFeedLine() {
  const std::string line =
      IdentityLine() + " line=" + std::to_string(feed_line_) + "\n";
  char size[20];
  const std::to_chars_result end =
      std::to_chars(size, size + sizeof(size), line.size(), 16);
  chunk_ = std::string(size, end.ptr) + "\r\n" + line + "\r\n";
  ++feed_line_;
  if (feed_line_ >= feed_line_limit_) chunk_ += "0\r\n\r\n";
  asio::async_write(stream_, asio::buffer(chunk_),
                    [self = shared_from_this()](
                        const boost::system::error_code& error,
                        size_t /*bytes*/) { self->OnFeedWritten(error); });
}

void UpstreamSession::OnFeedWritten(const boost::system::error_code& error) {
  if (error || feed_line_ >= feed_line_limit_) {
    is_streaming_feed_ = false;
    --state_->feeds;
    if (error) {
      ++state_->cancelled;
      LogEvent("cancelled");
      return;
    }
    ReadRequest();
    return;
  }
  timer_.expires_after(std::chrono::milliseconds(feed_interval_ms_));
  timer_.async_wait([self = shared_from_this()](
                        const boost::system::error_code& timer_error) {
    if (!timer_error) self->WriteFeedLine();
  });
}

std::string UpstreamSession::HandleControlRequest() {
  if (target_.path == "/control/set") {
    state_->work_ms = QueryNumber("work_ms", state_->work_ms);
    state_->shed_above = QueryNumber("shed_above", state_->shed_above);
    state_->fail_percent = QueryNumber("fail_percent", state_->fail_percent);
    state_->reports_healthy =
        QueryNumber("says_well", state_->reports_healthy ? 1 : 0) != 0;
  }
  const nlohmann::json json{{"in_progress", state_->in_progress.load()},
                            {"feeds", state_->feeds.load()},
                            {"executed", state_->executed.load()},
                            {"shed", state_->shed.load()},
                            {"failed", state_->failed.load()},
                            {"cancelled", state_->cancelled.load()},
                            {"expired", state_->expired.load()}};
  return json.dump();
}

void UpstreamSession::LogEvent(const char* event) const {
  state_->log->Write(event, {{"service", state_->settings.service},
                             {"upstream", state_->settings.name},
                             {"path", target_.path},
                             {"token", QueryParameter("token")},
                             {"copy", std::to_string(QueryNumber("copy", 1))},
                             {"key", Header("idempotency-key")},
                             {"body", request_.body()}});
}

bool UpstreamSession::IsExecutionLogged() const {
  return target_.path == "/samples" || target_.path == "/orders";
}

std::string UpstreamSession::QueryParameter(const std::string& name) const {
  const auto found = target_.query.find(name);
  return found == target_.query.end() ? std::string() : found->second;
}

int64_t UpstreamSession::QueryNumber(const std::string& name,
                                     int64_t fallback) const {
  return ParseNumber(QueryParameter(name), fallback);
}

std::string UpstreamSession::Header(const char* name) const {
  const auto field = request_.find(name);
  return field == request_.end() ? std::string() : std::string(field->value());
}

std::string UpstreamSession::IdentityLine() const {
  return FormatResponseIdentity(ResponseIdentity{state_->settings.service,
                                                 state_->settings.name,
                                                 QueryParameter("token")});
}

}  // namespace medlarwinch
