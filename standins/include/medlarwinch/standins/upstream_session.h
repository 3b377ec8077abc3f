#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "medlarwinch/standins/upstream_server_state.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// One connection to the simulated upstream. All handlers run on the strand of
/// its socket.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
 public:
  UpstreamSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<UpstreamServerState> state);
  ~UpstreamSession();
  UpstreamSession(const UpstreamSession&) = delete;
  UpstreamSession& operator=(const UpstreamSession&) = delete;

  /// Serves requests until the connection closes.
  void Run();

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void ReadRequest();
  void Dispatch();
  void StartShortRequest();
  void FinishWork(bool is_expired);
  void WatchForDisconnect();
  void Respond(unsigned status, const std::string& body, bool not_run = false);
  void StartFeed();
  void WriteFeedLine();
  void OnFeedWritten(const boost::system::error_code& error);
  std::string BuildWorkResponse();
  std::string HandleControlRequest();
  void LogEvent(const char* event) const;
  bool IsExecutionLogged() const;
  std::string QueryParameter(const std::string& name) const;
  int64_t QueryNumber(const std::string& name, int64_t fallback) const;
  std::string Header(const char* name) const;
  std::string IdentityLine() const;
  void EndWork();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<UpstreamServerState> state_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  HttpTarget target_;
  std::optional<Response> response_;
  bool is_working_ = false;
  bool is_streaming_feed_ = false;
  int64_t feed_line_ = 0;
  int64_t feed_line_limit_ = 0;
  int64_t feed_interval_ms_ = 0;
  std::string chunk_;
};

}  // namespace medlarwinch
